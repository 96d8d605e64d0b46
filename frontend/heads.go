package frontend

import (
	"bytes"
	"net/http"

	"golang.org/x/sync/semaphore"
)

const (
	// headFieldBytes is what a field of a head holds besides its text: its share of a map, a slice and a string,
	// here and in the copy that is sent to an upstream.
	headFieldBytes = 256
	// freeHeadBytes is what a head may hold without a part of the budget. The heads of ordinary requests have less.
	freeHeadBytes = 8 << 10
	// shortFieldBytes is the size of a field with a name of three letters and no value.
	shortFieldBytes = len("abc:\r\n")
)

// HeadBudget is the memory that the heads of callers' requests may hold together, beyond the freeHeadBytes of
// each. It is taken while a head is read and for as long as its request is handled. A nil *HeadBudget has no
// bound. It is safe for concurrent use.
//
// net/http bounds the bytes of one head, but not its fields: a head of 64 KiB of fields without values holds
// 17 times its size until its request ends.
type HeadBudget struct {
	total *semaphore.Weighted
	least int64 // bytes that a head takes at least, if it takes any
}

// NewHeadBudget returns a budget of a size in bytes.
func NewHeadBudget(size int64) *HeadBudget {
	return &HeadBudget{total: semaphore.NewWeighted(size)}
}

// NewSingleHeadBudget returns a budget of a size in bytes that one head has at a time. The others are refused as soon
// as they need a part of it, which takes the least processor time.
func NewSingleHeadBudget(size int64) *HeadBudget {
	return &HeadBudget{total: semaphore.NewWeighted(size), least: size}
}

// headSize is the size of a head, of which a part may have been read.
type headSize struct{ bytes, fields int }

// add adds bytes that have been read.
func (s *headSize) add(p []byte) {
	s.bytes += len(p)
	s.fields += bytes.Count(p, []byte{'\n'})
}

// addEncrypted adds bytes that have been read, of which only their number is known. Beyond freeHeadBytes they count as
// short fields.
func (s *headSize) addEncrypted(n int) {
	s.bytes += n
	s.fields = max(0, s.bytes-freeHeadBytes) / shortFieldBytes
}

// excess returns the bytes of a budget that a head takes.
func (s headSize) excess() int64 {
	return int64(max(0, s.bytes+s.fields*headFieldBytes-freeHeadBytes))
}

// sizeOf returns the size of a request's head.
func sizeOf(r *http.Request) headSize {
	s := headSize{bytes: len(r.RequestURI)}
	for name, values := range r.Header {
		s.fields += len(values)
		for _, value := range values {
			s.bytes += len(name) + len(value)
		}
	}
	return s
}

// headLease is what one head holds of a budget.
type headLease struct {
	budget *HeadBudget
	held   int64 // bytes
}

// extend makes the lease hold n bytes if it holds less; it returns false if the budget has not enough.
func (l *headLease) extend(n int64) bool {
	if l.budget == nil || n <= l.held {
		return true
	}
	n = max(n, l.budget.least)
	more := n - l.held
	if !l.budget.total.TryAcquire(more) {
		return false
	}
	l.held = n
	return true
}

// release returns what the lease holds.
func (l *headLease) release() {
	if l.held > 0 {
		l.budget.total.Release(l.held)
		l.held = 0
	}
}

// Handler returns a handler that passes requests to next if their heads fit into the budget, and the others to
// refuse. Of a refused head, only the fields in keep are left.
func (b *HeadBudget) Handler(next, refuse http.Handler, keep ...string) http.Handler {
	if b == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lease := headLease{budget: b}
		if !lease.extend(sizeOf(r).excess()) {
			r.Header = headerOf(r.Header, keep)
			w.Header().Set("Connection", "close")
			refuse.ServeHTTP(w, r)
			return
		}
		defer lease.release()
		next.ServeHTTP(w, r)
	})
}

// headerOf returns a header with the fields in names only.
func headerOf(h http.Header, names []string) http.Header {
	out := http.Header{}
	for _, name := range names {
		if values := h.Values(name); len(values) > 0 {
			out.Set(name, values[0])
		}
	}
	return out
}
