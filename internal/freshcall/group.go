// Package freshcall shares calls among those who need a result that is newer than their need for it.
package freshcall

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Group makes calls, at most one at a time for each key. A caller gets the result of a call that began
// after it asked, and shares it with all who asked meanwhile. It is safe for concurrent use.
type Group[K comparable, V any] struct {
	timeout time.Duration
	call    func(ctx context.Context, key K) (V, error)

	mu   sync.Mutex // guards next
	next map[K]*flight[V]
}

// flight is a call that has not begun, one in progress, or its result.
type flight[V any] struct {
	done  chan struct{} // closed when value and err are set
	value V
	err   error
}

// New returns a group of calls, each of which has a timeout.
func New[K comparable, V any](timeout time.Duration, call func(ctx context.Context, key K) (V, error)) *Group[K, V] {
	return &Group[K, V]{timeout: timeout, call: call, next: map[K]*flight[V]{}}
}

// Do returns the result of a call that begins after Do was called, or an error if ctx ends before.
func (g *Group[K, V]) Do(ctx context.Context, key K) (value V, err error) {
	f := g.join(key)
	select {
	case <-f.done:
		return f.value, f.err
	case <-ctx.Done():
		return value, errors.WithStack(ctx.Err())
	}
}

// join returns the next call for a key. The map holds an entry, nil if nobody waits, for as long as calls
// are made for its key.
func (g *Group[K, V]) join(key K) *flight[V] {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, running := g.next[key]
	if f == nil {
		f = &flight[V]{done: make(chan struct{})}
		g.next[key] = f
	}
	if !running {
		go g.run(key)
	}
	return f
}

// run makes the calls for a key until nobody waits for one.
func (g *Group[K, V]) run(key K) {
	for f := g.take(key); f != nil; f = g.take(key) {
		g.fly(key, f)
	}
}

// take returns the next call, which nobody joins any more; nil if there is none.
func (g *Group[K, V]) take(key K) *flight[V] {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.next[key]
	if f == nil {
		delete(g.next, key)
		return nil
	}
	g.next[key] = nil
	return f
}

// fly makes one call. It does not end with the context of a caller, because others wait for it too.
func (g *Group[K, V]) fly(key K, f *flight[V]) {
	defer close(f.done)
	ctx, cancel := context.WithTimeout(context.Background(), g.timeout)
	defer cancel()
	f.value, f.err = g.call(ctx, key)
}
