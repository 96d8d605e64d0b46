//go:build !race

// See world_test.go for why these tests run without the race detector.

package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network connects daemons by pipes in memory.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// cut tells whether two addresses do not reach each other; nil is never.
	cut func(a, b string) bool
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// link is one end of a connection, which a test may silence.
type link struct {
	net.Conn
	network *network
	a, b    string
}

// Write drops what crosses a cut.
func (l *link) Write(p []byte) (int, error) {
	if l.network.isCut(l.a, l.b) {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(a, b)
}

func (n *network) setCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) listen(address string) net.Listener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *network) unlisten(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if n.isCut(from, to) {
		time.Sleep(dialTime)
		return nil, errors.New("no answer")
	}
	if l == nil {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	timer := time.NewTimer(dialTime)
	defer timer.Stop()
	select {
	case l.conns <- &link{far, n, to, from}:
		return &link{near, n, from, to}, nil
	case <-l.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	near.Close()
	return nil, errors.New("refused")
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
