// Package answers bounds the memory that the answers of all upstreams together hold in a daemon, and, by another
// budget, the bodies of all callers' requests. It opens no connection, reads no clock and starts no goroutine: those
// who read answers or bodies take bytes before they allocate them.
//
// Load pattern: many requests hold a few kilobytes each, and some upstreams send as fast as they can on every
// connection they have, so that tens of calls ask for megabytes at the same moment.
package answers

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// RequestBytes is what each request holds besides the bodies of its answers: their heads and read buffers.
	RequestBytes = 4 << 10
	// upstreamFraction is the fraction of the budget that the answers of one upstream may hold, so that one faulty
	// upstream of each pool leaves most of the budget to the others. It is at least minUpstreamBytes, which
	// is the largest answer.
	upstreamFraction = 8
	minUpstreamBytes = 8 << 20
)

// The errors of Lease.Take.
var (
	// ErrExhausted means that the whole budget is held.
	ErrExhausted = errors.New("the memory for bodies is used up")
	// ErrUpstreamShare means that the answers of one upstream hold its share of the budget.
	ErrUpstreamShare = errors.New("the answers of the upstream hold its share of the memory for answers")
	errReleased      = errors.New("the request has ended")
)

// Budget is the memory for the answers of all upstreams. A nil *Budget has no bound. It is safe for
// concurrent use.
type Budget struct {
	total       *semaphore.Weighted
	perUpstream int64

	mu         sync.Mutex
	held       int64
	byUpstream map[string]int64 // without the upstreams that hold nothing
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(size int64) *Budget {
	return &Budget{
		total:       semaphore.NewWeighted(size),
		perUpstream: min(size, max(size/upstreamFraction, minUpstreamBytes)),
		byUpstream:  map[string]int64{},
	}
}

// NewBudgetOfHalves returns a budget of a size in bytes, of which one name may hold half.
func NewBudgetOfHalves(size int64) *Budget {
	b := NewBudget(size)
	b.perUpstream = size / 2
	return b
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Begin returns the lease of a new request; ok is false if the budget is used up, and the request must not be
// sent. The lease must be released when the request ends.
func (b *Budget) Begin() (l *Lease, ok bool) {
	if b == nil {
		return nil, true
	}
	if b.take("", RequestBytes) != nil {
		return nil, false
	}
	return &Lease{budget: b, held: map[string]int64{"": RequestBytes}}, true
}

// Lease returns a lease that holds nothing yet, for a call that belongs to no caller's request.
func (b *Budget) Lease() *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b, held: map[string]int64{}}
}

// take takes n bytes for an upstream; an empty name stands for no upstream.
func (b *Budget) take(upstream string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if upstream != "" && b.byUpstream[upstream]+n > b.perUpstream {
		return ErrUpstreamShare
	}
	if !b.total.TryAcquire(n) {
		return ErrExhausted
	}
	b.held += n
	b.byUpstream[upstream] += n
	return nil
}

func (b *Budget) giveBack(upstream string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.Release(n)
	b.held -= n
	if b.byUpstream[upstream] -= n; b.byUpstream[upstream] == 0 {
		delete(b.byUpstream, upstream)
	}
}

// Lease is what the answers of one request hold, from all its attempts. A nil *Lease has no bound. It is safe
// for concurrent use.
type Lease struct {
	budget *Budget

	mu       sync.Mutex
	held     map[string]int64 // by upstream
	released bool
}

// Take takes n bytes for the answer of an upstream. If it fails, the answer must not be read on.
func (l *Lease) Take(upstream string, n int64) error {
	if l == nil || n <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return errReleased
	}
	if err := l.budget.take(upstream, n); err != nil {
		return err
	}
	l.held[upstream] += n
	return nil
}

// GiveBack returns n bytes that were taken for an upstream, at most those that are held.
func (l *Lease) GiveBack(upstream string, n int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n = min(n, l.held[upstream]); n > 0 {
		l.held[upstream] -= n
		l.budget.giveBack(upstream, n)
	}
}

// move replaces the bytes that are held in one name by more bytes in another, or in the same. If it fails, it
// changes nothing.
func (l *Lease) move(from, to string, held, wanted int64) error {
	if from == to {
		return l.Take(to, wanted-held)
	}
	if err := l.Take(to, wanted); err != nil {
		return err
	}
	l.GiveBack(from, held)
	return nil
}

// Release returns all bytes. Bytes cannot be taken any more afterwards.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	for upstream, n := range l.held {
		if n > 0 {
			l.budget.giveBack(upstream, n)
		}
	}
	l.held = nil
}

// leaseKey is the context key of a request's lease.
type leaseKey struct{}

// WithLease returns a context with the lease of a request.
func WithLease(ctx context.Context, l *Lease) context.Context {
	return context.WithValue(ctx, leaseKey{}, l)
}

// FromContext returns the lease of a context's request, or nil if it has none.
func FromContext(ctx context.Context) *Lease {
	l, _ := ctx.Value(leaseKey{}).(*Lease)
	return l
}
