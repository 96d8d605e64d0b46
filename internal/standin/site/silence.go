package site

import (
	"net"
	"sync"
)

// silence holds back what an upstream writes, as if its process were stopped: connections stay open
// and new ones are accepted, and what was held back goes out when the silence ends.
type silence struct {
	mu  sync.Mutex
	end chan struct{} // closed when the current silence ends; nil if there is none
}

// set begins or ends a silence.
func (s *silence) set(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.end == nil:
		s.end = make(chan struct{})
	case !silent && s.end != nil:
		close(s.end)
		s.end = nil
	}
}

// current returns a channel that is closed when the current silence ends, or nil if there is none.
func (s *silence) current() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// silencedListener accepts connections that the silence applies to.
type silencedListener struct {
	net.Listener
	silence *silence
}

// Accept implements net.Listener.
func (l silencedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silencedConn{Conn: conn, silence: l.silence, closed: make(chan struct{})}, nil
}

// silencedConn is a connection whose writes wait for the end of a silence.
type silencedConn struct {
	net.Conn
	silence *silence
	once    sync.Once
	closed  chan struct{}
}

// Write implements net.Conn.
func (c *silencedConn) Write(p []byte) (int, error) {
	for {
		end := c.silence.current()
		if end == nil {
			return c.Conn.Write(p)
		}
		select {
		case <-end:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close implements net.Conn.
func (c *silencedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
