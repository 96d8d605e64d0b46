package frontend

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// bodyReads are the requests whose bodies are being read, the one that began first in front. It is safe for
// concurrent use.
//
// Clients that leave bodies unfinished could otherwise hold all places for requests in flight until
// callers.body_timeout, over a few connections that speak HTTP/2.
type bodyReads struct {
	mu   sync.Mutex
	list list.List // of *bodyRead
}

// bodyRead is the reading of one body. bodyReads guards its fields.
type bodyRead struct {
	rc      *http.ResponseController
	began   time.Time
	element *list.Element
	ended   bool // by endStalled
}

// begin notes that a request's body is read from now on. end must be called when it is whole, or reading fails.
func (b *bodyReads) begin(rc *http.ResponseController) *bodyRead {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &bodyRead{rc: rc, began: now()}
	r.element = b.list.PushBack(r)
	return r
}

// end reports whether endStalled has ended the reading.
func (b *bodyReads) end(r *bodyRead) (stalled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.ended {
		b.list.Remove(r.element)
	}
	return r.ended
}

// endStalled makes the reading fail that began first, if that was at least defaultStallTimeout ago. It returns false
// if there is none.
func (b *bodyReads) endStalled(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	front := b.list.Front()
	if front == nil {
		return false
	}
	r := front.Value.(*bodyRead)
	if at.Sub(r.began) < defaultStallTimeout {
		return false
	}
	b.list.Remove(front)
	r.ended = true
	_ = r.rc.SetReadDeadline(at) // fails only if the connection is closed
	return true
}
