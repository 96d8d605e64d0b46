package request

import (
	"slices"
	"sync"

	"github.com/corianderturn/corianderturn/policy"
)

// rank orders the requests that wait; a lower one comes first.
type rank uint8

// The ranks. A caller who came back after a refusal has waited longer than any
// other, and a second refusal leaves most of them without an answer.
const (
	rankUrgent rank = iota
	rankReturned
	rankOther
)

// waiter is one request that waits for a decode slot.
type waiter struct {
	pool  string
	rank  rank
	ready chan struct{}
}

// turn returns the channel that tells the request to ask again; nil, which never
// does, for one that does not wait.
func (w *waiter) turn() <-chan struct{} {
	if w == nil {
		return nil
	}
	return w.ready
}

// waiters lists the requests that wait for a slot of each decode pool: by
// rank, each rank in the order in which it came. The policy bounds it. It
// is safe for concurrent use.
type waiters struct {
	mu     sync.Mutex
	byPool map[string][]*waiter
}

func newWaiters() *waiters { return &waiters{byPool: map[string][]*waiter{}} }

func (l *waiters) add(pool string, rank rank) *waiter {
	w := &waiter{pool: pool, rank: rank, ready: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byPool[pool] = slices.Insert(l.byPool[pool], l.end(pool, rank), w)
	return w
}

// end returns the position of a new request of the rank; l.mu is held.
func (l *waiters) end(pool string, rank rank) int {
	list := l.byPool[pool]
	if i := slices.IndexFunc(list, func(o *waiter) bool { return o.rank > rank }); i >= 0 {
		return i
	}
	return len(list)
}

// ahead returns how many requests come before w, or before a new one of the pool
// and rank when w is nil.
func (l *waiters) ahead(w *waiter, pool string, rank rank) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w == nil {
		return l.end(pool, rank)
	}
	return slices.Index(l.byPool[w.pool], w)
}

// drop removes w, which is listed, and lets the first of its pool ask.
func (l *waiters) drop(w *waiter) {
	l.mu.Lock()
	i := slices.Index(l.byPool[w.pool], w)
	l.byPool[w.pool] = slices.Delete(l.byPool[w.pool], i, i+1)
	if len(l.byPool[w.pool]) == 0 {
		delete(l.byPool, w.pool)
	}
	l.mu.Unlock()
	l.wake(w.pool)
}

// wake lets the first of a pool ask for a slot. It never blocks: one that was
// told and has not asked yet will see this slot too.
func (l *waiters) wake(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byPool[pool]
	if len(list) == 0 {
		return
	}
	select {
	case list[0].ready <- struct{}{}:
	default:
	}
}

// wait keeps the request in the queue; only its entry is logged, not each time
// that it asks again.
func (d *drive) wait(a Action, p policy.Plan, pool string, paid int) {
	if d.place == nil {
		d.place = d.r.waiters.add(pool, d.rank())
		d.logPlan(a, p)
		d.r.update(func() {
			d.entry.Attempt = a.Attempt
			d.shown, d.entry.State = StateQueued, StateQueued.String()
		})
	}
	d.queue = append(d.queue, Event{Kind: EventPlanned, Plan: &p, Paid: paid})
}

// leaveQueue gives the place up, once what the request takes is counted: the next
// one asks at once and would be planned onto the same slot.
func (d *drive) leaveQueue() {
	if d.place != nil {
		d.r.waiters.drop(d.place)
		d.place = nil
	}
}
