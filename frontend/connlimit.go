package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"github.com/apex/log"
)

// connLimiter is a listener that bounds the number of open connections. At the bound, a new
// connection takes the place of the one that has been idle for longest; if none is idle, the new
// one is closed at once.
//
// If new connections waited in the kernel's accept queue instead, their callers would time out with
// requests that nobody has read, when they could have asked another daemon.
type connLimiter struct {
	net.Listener
	max    int
	logger log.Interface

	mu   sync.Mutex // guards the fields below
	open map[net.Conn]*list.Element
	idle *list.List // of net.Conn, the one that has been idle for longest first
}

func newConnLimiter(ln net.Listener, limit int, logger log.Interface) *connLimiter {
	return &connLimiter{Listener: ln, max: limit, logger: logger, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit(conn) {
			return conn, nil
		}
		_ = conn.Close() // its caller sees the end in any case
		l.logger.WithField("open", l.max).Warn("caller's connection closed unread: too many are open")
	}
}

// admit adds a connection if there is room or an idle one can be closed.
func (l *connLimiter) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.max {
		longest := l.idle.Front()
		if longest == nil {
			return false
		}
		victim := longest.Value.(net.Conn)
		l.remove(victim)
		_ = victim.Close() // the server notices
	}
	l.open[conn] = nil
	return true
}

// remove forgets a connection; l.mu must be held.
func (l *connLimiter) remove(conn net.Conn) {
	if e := l.open[conn]; e != nil {
		l.idle.Remove(e)
	}
	delete(l.open, conn)
}

// onState is the server's ConnState hook.
func (l *connLimiter) onState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(interface{ NetConn() net.Conn }); ok { // a TLS connection
		conn = c.NetConn()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.open[conn]
	if !ok {
		return // closed to make room
	}
	switch state {
	case http.StateIdle:
		l.open[conn] = l.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	default:
		if e != nil {
			l.idle.Remove(e)
			l.open[conn] = nil
		}
	}
}
