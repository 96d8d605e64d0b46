package peer

import (
	"slices"
	"sync"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	frame  *wire.Frame
	oneWay bool
}

// queue is the bounded send queue of one connection, so that a peer that does not
// read cannot exhaust memory. When it is full, push drops the oldest one-way frame,
// because one-way messages report state that later ones replace. It is safe for
// concurrent use.
type queue struct {
	ready chan struct{} // signals that frames may wait; capacity 1

	mu     sync.Mutex
	limit  int
	frames []queuedFrame
	closed bool
	// writing is true from drain until markWritten.
	writing bool
}

func newQueue(limit int) *queue {
	return &queue{limit: limit, ready: make(chan struct{}, 1)}
}

// push adds a frame and takes ownership of it. ok is false when the frame was not
// queued. dropped is true when this frame or an older one was dropped.
func (q *queue) push(it queuedFrame) (ok, dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		it.frame.Release()
		return false, true
	}
	if len(q.frames) >= q.limit {
		i := slices.IndexFunc(q.frames, func(o queuedFrame) bool { return o.oneWay })
		if i < 0 {
			it.frame.Release()
			return false, true
		}
		q.frames[i].frame.Release()
		q.frames = slices.Delete(q.frames, i, i+1)
		dropped = true
	}
	q.frames = append(q.frames, it)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true, dropped
}

// drain moves all waiting frames to dst. The caller must call markWritten once they
// are written.
func (q *queue) drain(dst []queuedFrame) []queuedFrame {
	q.mu.Lock()
	defer q.mu.Unlock()
	dst = append(dst, q.frames...)
	clear(q.frames)
	q.frames = q.frames[:0]
	q.writing = true
	return dst
}

// markWritten records that the frames returned by drain are written.
func (q *queue) markWritten() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
}

// flushed reports whether no frame waits or is being written. A closed queue counts
// as flushed.
func (q *queue) flushed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed || (len(q.frames) == 0 && !q.writing)
}

// close drops the waiting frames and makes push reject later ones.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, it := range q.frames {
		it.frame.Release()
	}
	q.frames = nil
}
