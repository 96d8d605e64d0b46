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
	// partitioned reports whether two addresses are partitioned from each other; nil means no
	// partition.
	partitioned func(a, b string) bool
}

// pipeListener is the listener of one daemon. Its connections are pipes in memory.
type pipeListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// pipeConn is one end of a connection. It is subject to partitions of its network.
type pipeConn struct {
	net.Conn
	network *network
	a, b    string
}

// Write discards data sent across a partition.
func (l *pipeConn) Write(p []byte) (int, error) {
	if l.network.isPartitioned(l.a, l.b) {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (n *network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned != nil && n.partitioned(a, b)
}

func (n *network) setPartition(partitioned func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (n *network) listen(address string) net.Listener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *network) removeListener(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if n.isPartitioned(from, to) {
		time.Sleep(dialTimeout)
		return nil, errors.New("no answer")
	}
	if l == nil {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case l.conns <- &pipeConn{far, n, to, from}:
		return &pipeConn{near, n, from, to}, nil
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
