package request

import (
	"slices"
	"sync"

	"github.com/corianderturn/corianderturn/policy"
)

// rank orders waiting requests: first by their rank in the policy, of which a lower one goes
// first, and then retried requests before others. Retried requests are those that were refused
// before or whose earlier attempt failed: their callers have waited longest, and most requests
// that are refused a second time are never answered.
type rank struct {
	level   int
	retried bool
}

// before reports whether requests of rank a go before those of rank b.
func (a rank) before(b rank) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	return a.retried && !b.retried
}

// waiter is a request that waits for a decode slot.
type waiter struct {
	pool  string
	rank  rank
	ready chan struct{} // buffered; signals that the request should ask for a slot again
}

// readyChan returns the channel that tells the request to ask for a slot again. A nil waiter
// has a nil channel, which never delivers.
func (w *waiter) readyChan() <-chan struct{} {
	if w == nil {
		return nil
	}
	return w.ready
}

// waiters holds one queue per decode pool, ordered by rank and then by arrival. The policy
// bounds the length of a queue. It is safe for concurrent use.
type waiters struct {
	mu     sync.Mutex
	byPool map[string][]*waiter
}

func newWaiters() *waiters { return &waiters{byPool: map[string][]*waiter{}} }

func (l *waiters) add(pool string, rank rank) *waiter {
	w := &waiter{pool: pool, rank: rank, ready: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byPool[pool] = slices.Insert(l.byPool[pool], l.insertIndex(pool, rank), w)
	return w
}

// insertIndex returns the position for a new request of the rank; l.mu must be held.
func (l *waiters) insertIndex(pool string, rank rank) int {
	list := l.byPool[pool]
	if i := slices.IndexFunc(list, func(o *waiter) bool { return rank.before(o.rank) }); i >= 0 {
		return i
	}
	return len(list)
}

// ahead returns how many requests are ahead of w or, if w is nil, of a new request with the
// given pool and rank.
func (l *waiters) ahead(w *waiter, pool string, rank rank) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w == nil {
		return l.insertIndex(pool, rank)
	}
	return slices.Index(l.byPool[w.pool], w)
}

// remove removes w, which must be listed, and wakes the first request of its pool.
func (l *waiters) remove(w *waiter) {
	l.mu.Lock()
	i := slices.Index(l.byPool[w.pool], w)
	l.byPool[w.pool] = slices.Delete(l.byPool[w.pool], i, i+1)
	if len(l.byPool[w.pool]) == 0 {
		delete(l.byPool, w.pool)
	}
	l.mu.Unlock()
	l.wake(w.pool)
}

// wake tells the first request of a pool to ask for a slot. It never blocks: a request that was
// woken and has not asked yet needs no second signal.
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

// wakeAll tells all waiting requests to ask for a slot. It never blocks.
func (l *waiters) wakeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.byPool {
		for _, w := range list {
			select {
			case w.ready <- struct{}{}:
			default:
			}
		}
	}
}

// RecheckQueued makes all requests that wait for a slot ask for one again, so that those which the
// quarantine has begun to refuse are answered at once. It does not block.
func (r *Runner) RecheckQueued() { r.waiters.wakeAll() }

// enqueue puts the request into the queue unless it is there already. The plan is logged only
// when the request joins the queue, not each time that it asks for a slot again.
func (d *driver) enqueue(a Action, p policy.Plan, pool string, rank rank, permits int) {
	if d.waiter == nil {
		d.waiter = d.r.waiters.add(pool, rank)
		d.logPlan(a, p)
		d.r.updateEntry(func() {
			d.entry.Attempt = a.Attempt
			d.shownState, d.entry.State = StateQueued, StateQueued.String()
		})
		if d.r.quarantined(d.c.ID, d.subject) { // RecheckQueued may have come before the request was listed
			d.pendingEvents = append(d.pendingEvents, Event{Kind: EventPlanFailed, Err: errQuarantined()})
			return
		}
	}
	d.pendingEvents = append(d.pendingEvents, Event{Kind: EventPlanned, Plan: &p, Permits: permits})
}

// leaveQueue removes the request from the queue and wakes the next one. It must be called after
// the request's slot is counted in Inflight, because the next request would otherwise be
// planned onto the same slot.
func (d *driver) leaveQueue() {
	if d.waiter != nil {
		d.r.waiters.remove(d.waiter)
		d.waiter = nil
	}
}
