package router

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/corianderturn/corianderturn/upstream"
)

// linkMode is a fault of a link between a daemon and all upstreams.
type linkMode uint8

const (
	linkWorks   linkMode = iota
	linkSilent           // nothing gets through in either direction
	linkRefuses          // open connections live on, new ones are refused
	linkResets           // open connections are reset, new ones are refused
	linkOneWay           // requests get through, answers and new connections do not
)

// link is the network path from one daemon to all upstreams.
type link struct {
	connect upstream.DialFunc

	mu      sync.Mutex
	mode    linkMode
	changed chan struct{} // closed when the mode changes
	conns   map[*linkConn]bool
}

func newLink() *link {
	return &link{connect: upstreamTransport().Dialer(), changed: make(chan struct{}), conns: map[*linkConn]bool{}}
}

func (l *link) current() (linkMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

// open returns the number of open connections.
func (l *link) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == linkResets {
		for c := range l.conns {
			c.fail(syscall.ECONNRESET)
		}
	}
}

// dial is an upstream.DialFunc.
func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		mode, changed := l.current()
		switch mode {
		case linkRefuses, linkResets:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case linkSilent, linkOneWay:
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
			}
		}
		conn, err := l.connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &linkConn{Conn: conn, link: l, failed: make(chan struct{})}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		return c, nil
	}
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link *link

	once   sync.Once
	failed chan struct{} // closed when the connection ends
	err    error         // set before failed is closed
}

// fail ends the connection with an error.
func (c *linkConn) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.failed)
		_ = c.Conn.Close()
	})
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.fail(net.ErrClosed)
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	delete(c.link.conns, c)
	return nil
}

// Write implements net.Conn. On a silent link the bytes are lost, and the connection fails after
// the time that a kernel waits for their acknowledgement.
func (c *linkConn) Write(p []byte) (int, error) {
	if mode, _ := c.link.current(); mode == linkSilent {
		time.AfterFunc(upstreamUnackedTimeout, func() { c.fail(syscall.ETIMEDOUT) })
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		mode, changed := c.link.current()
		if mode != linkSilent && mode != linkOneWay {
			break
		}
		select {
		case <-changed:
		case <-c.failed:
			return 0, c.err
		}
	}
	select {
	case <-c.failed:
		return 0, c.err
	default:
		return n, err
	}
}
