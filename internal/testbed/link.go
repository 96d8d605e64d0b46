package testbed

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// Mode is how a Link treats the connections of one source.
type Mode int

// The modes. Open forwards data. Cut closes existing connections and refuses new
// ones. Stalled keeps connections open but forwards no data, as a network that
// drops all packets does.
const (
	Open Mode = iota
	Cut
	Stalled
)

// identifyFunc reads the name of a connection's source from the first bytes that
// the source sends. A Link without one treats all connections alike.
type identifyFunc func(io.Reader) (string, error)

// maxHelloBytes is the maximum size of the first frame of a connection between
// daemons.
const maxHelloBytes = 64 << 10

// peerDataCentre identifies the source of a connection between daemons by the data
// centre in its Hello message.
func peerDataCentre(r io.Reader) (string, error) {
	e, _, err := wire.NewReader(r, maxHelloBytes).Read()
	if err != nil {
		return "", errors.WithStack(err)
	}
	var hello wire.Hello
	err = wire.Decode(e.Body, &hello)
	return hello.DataCentre, errors.WithStack(err)
}

// Link is a TCP proxy that forwards connections to a target and can cut or stall
// those of a source, to simulate network faults. It is safe for concurrent use and
// must be closed.
type Link struct {
	target   string
	identify identifyFunc
	listener net.Listener
	wg       conc.WaitGroup

	mu           sync.Mutex
	closed       bool
	modes        map[string]Mode // by source; Open when missing
	modesChanged chan struct{}   // closed and replaced when modes or closed changes
	sessions     map[*session]bool
}

// session is a connection from a source and, once dialled, the connection to the
// target that it is forwarded to.
type session struct {
	source string
	conns  []net.Conn
}

func (s *session) close() {
	for _, c := range s.conns {
		c.Close()
	}
}

// newLink starts a Link that listens on a free loopback port.
func newLink(target string, identify identifyFunc) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l := &Link{
		target:       target,
		identify:     identify,
		listener:     listener,
		modes:        make(map[string]Mode),
		modesChanged: make(chan struct{}),
		sessions:     make(map[*session]bool),
	}
	l.wg.Go(l.accept)
	return l, nil
}

// Address returns the address that sources connect to instead of the target's.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the mode of a source. Without an identifyFunc, the only source is "".
func (l *Link) Set(source string, m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modes[source] = m
	l.notify()
	if m != Cut {
		return
	}
	for s := range l.sessions {
		if s.source == source {
			s.close()
		}
	}
}

// Close closes the listener and all connections and waits until forwarding has
// ended.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for s := range l.sessions {
		s.close()
	}
	l.notify()
	l.mu.Unlock()
	l.wg.Wait()
}

// notify wakes the goroutines in awaitOpen. The caller holds mu.
func (l *Link) notify() {
	close(l.modesChanged)
	l.modesChanged = make(chan struct{})
}

func (l *Link) accept() {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { l.serve(conn) })
	}
}

// serve forwards one connection until either side closes it. No connection to the
// target is opened while the source is cut or stalled.
func (l *Link) serve(conn net.Conn) {
	s := &session{conns: []net.Conn{conn}}
	defer l.unregister(s)
	if !l.register(s, "") {
		return
	}
	var consumed bytes.Buffer
	source := ""
	if l.identify != nil {
		var err error
		if source, err = l.identify(io.TeeReader(conn, &consumed)); err != nil {
			return
		}
	}
	if !l.register(s, source) || !l.awaitOpen(s) {
		return
	}
	targetConn, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		return
	}
	l.mu.Lock()
	s.conns = append(s.conns, targetConn)
	l.mu.Unlock()
	if !l.register(s, source) {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { l.copy(s, targetConn, io.MultiReader(&consumed, conn)) })
	wg.Go(func() { l.copy(s, conn, targetConn) })
	wg.Wait()
}

// dialTimeout is the timeout for connecting to a target, which is on loopback.
const dialTimeout = 5 * time.Second

// register adds s under its source. It returns false when the link is closed or the
// source is cut.
func (l *Link) register(s *session, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.source = source
	if l.closed || l.identified(s) && l.modes[source] == Cut {
		return false
	}
	l.sessions[s] = true
	return true
}

// identified reports whether the source of s has been determined.
func (l *Link) identified(s *session) bool { return l.identify == nil || s.source != "" }

// unregister closes the connections of s and removes it.
func (l *Link) unregister(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.close()
	delete(l.sessions, s)
}

// copyBufferBytes is the size of the buffer for one direction of a session.
const copyBufferBytes = 32 << 10

// copy forwards data in one direction until either side ends, and then closes both
// connections of s.
func (l *Link) copy(s *session, to io.Writer, from io.Reader) {
	defer s.close()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.awaitOpen(s) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitOpen waits while the source of s is stalled. It returns false when s must be
// closed because its source is cut or the link is closed.
func (l *Link) awaitOpen(s *session) bool {
	for {
		l.mu.Lock()
		mode, closed, changed := l.modes[s.source], l.closed, l.modesChanged
		l.mu.Unlock()
		switch {
		case closed || mode == Cut:
			return false
		case mode == Open:
			return true
		}
		<-changed
	}
}
