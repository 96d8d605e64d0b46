package peer

import (
	"slices"
	"sync"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// item is one frame that waits to be written.
type item struct {
	frame  *wire.Frame
	oneWay bool
}

// queue holds the frames for one connection. When it is full the oldest one-way
// frame is dropped: it tells of a state that a later one tells better, and a
// peer that does not read must not cost memory. It is safe for concurrent use.
type queue struct {
	ready chan struct{} // holds a token while items may wait

	mu     sync.Mutex
	limit  int
	items  []item
	closed bool
	// writing says that what was taken is not written yet.
	writing bool
}

func newQueue(limit int) *queue {
	return &queue{limit: limit, ready: make(chan struct{}, 1)}
}

// push adds a frame and takes it over. ok is false when it was not taken;
// dropped is true when an older frame, or this one, was lost.
func (q *queue) push(it item) (ok, dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		it.frame.Release()
		return false, true
	}
	if len(q.items) >= q.limit {
		i := slices.IndexFunc(q.items, func(o item) bool { return o.oneWay })
		if i < 0 {
			it.frame.Release()
			return false, true
		}
		q.items[i].frame.Release()
		q.items = slices.Delete(q.items, i, i+1)
		dropped = true
	}
	q.items = append(q.items, it)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true, dropped
}

// take moves all waiting items to dst; written must be called once they are written.
func (q *queue) take(dst []item) []item {
	q.mu.Lock()
	defer q.mu.Unlock()
	dst = append(dst, q.items...)
	clear(q.items)
	q.items = q.items[:0]
	q.writing = true
	return dst
}

func (q *queue) written() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
}

// empty says whether nothing waits or is being written.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed || (len(q.items) == 0 && !q.writing)
}

// close drops what waits and refuses what comes.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, it := range q.items {
		it.frame.Release()
	}
	q.items = nil
}
