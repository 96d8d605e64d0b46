package request

import (
	"slices"
	"sync"
	"time"
)

// callOrder is the order in which calls to a plain service wait: by their rank, of which a lower one
// goes first, and then by their deadlines.
type callOrder struct {
	rank     int
	deadline time.Time
}

// before reports whether calls of order a go before those of order b.
func (a callOrder) before(b callOrder) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.deadline.Before(b.deadline)
}

// callWaiter is a call that waits for a replica of a plain service.
type callWaiter struct {
	service string
	order   callOrder
	ready   chan struct{} // buffered; signals that the call should be planned again
}

// callQueues holds one queue of calls per plain service. It is safe for concurrent use.
//
// Load pattern: bursts of seconds in which the queues of all replicas are full, while a daemon gets a
// few calls a second. A queue is a few calls long, and the policy bounds it. A call behind others is
// planned with those ahead of it counted as the daemon's own calls, so that one which may not be sent
// to the replica that has room does not hold up the others.
type callQueues struct {
	mu        sync.Mutex
	byService map[string][]*callWaiter
	total     int
}

func newCallQueues() *callQueues { return &callQueues{byService: map[string][]*callWaiter{}} }

// join puts a call into the queue of its service.
func (q *callQueues) join(service string, order callOrder) *callWaiter {
	w := &callWaiter{service: service, order: order, ready: make(chan struct{}, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.total++
	q.byService[service] = slices.Insert(q.byService[service], q.index(service, order), w)
	return w
}

// index returns the position for a new call; q.mu must be held.
func (q *callQueues) index(service string, order callOrder) int {
	list := q.byService[service]
	if i := slices.IndexFunc(list, func(o *callWaiter) bool { return order.before(o.order) }); i >= 0 {
		return i
	}
	return len(list)
}

// place returns how many calls wait ahead of w or, if w is nil, of a new call with the given order.
func (q *callQueues) place(service string, w *callWaiter, order callOrder) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w == nil {
		return q.index(service, order)
	}
	return slices.Index(q.byService[service], w)
}

// len returns the number of calls that wait for all services.
func (q *callQueues) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}

// leave removes w, which must be listed, and wakes the first call of its queue.
func (q *callQueues) leave(w *callWaiter) {
	q.mu.Lock()
	q.total--
	list := slices.DeleteFunc(q.byService[w.service], func(o *callWaiter) bool { return o == w })
	if q.byService[w.service] = list; len(list) == 0 {
		delete(q.byService, w.service)
	}
	q.mu.Unlock()
	q.wake(w.service)
}

// wake tells the first call of a service's queue to be planned again. It never blocks.
func (q *callQueues) wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.byService[service]
	if len(list) == 0 {
		return
	}
	select {
	case list[0].ready <- struct{}{}:
	default: // it was woken already
	}
}
