// Package fault holds the faults that a test sets on a stand-in and the control
// API that sets them: POST and GET /faults, POST /reset and GET /stats. The
// control listener is for loopback only and has no authentication.
package fault

import (
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"

	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
)

// The paths of the control API that every stand-in has.
const (
	PathFaults = "/faults" // POST and GET Faults, the stand-in's own type
	PathReset  = "/reset"  // POST: no faults, zero statistics
	PathStats  = "/stats"  // GET -> the stand-in's own statistics
)

// Box holds the current faults of type F. It is safe for concurrent use.
type Box[F any] struct {
	mu      sync.Mutex
	faults  F
	hits    int
	limit   int
	changed chan struct{}
}

// NewBox returns a Box without faults.
func NewBox[F any]() *Box[F] {
	return &Box[F]{changed: make(chan struct{})}
}

// Set replaces the faults. When limit is positive the faults are cleared after
// that many calls were hit.
func (b *Box[F]) Set(faults F, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults, b.limit, b.hits = faults, limit, 0
	b.notify()
}

// Get returns the faults in force without counting a hit.
func (b *Box[F]) Get() F {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Hit reports whether match holds for the faults in force, counts it against
// the limit, and returns the faults that applied.
func (b *Box[F]) Hit(match func(F) bool) (F, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !match(b.faults) {
		var none F
		return none, false
	}
	faults := b.faults
	b.hits++
	if b.limit > 0 && b.hits >= b.limit {
		var none F
		b.faults, b.limit = none, 0
		b.notify()
	}
	return faults, true
}

// Changed returns a channel that is closed at the next change of the faults.
func (b *Box[F]) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Box[F]) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Hooks connect the control API to one stand-in.
type Hooks struct {
	// Stats returns the statistics to show.
	Stats func() any
	// Reset zeroes the statistics.
	Reset func()
	// Changed is called after each change of the faults; it may be nil.
	Changed func()
}

// Set is the body of POST /faults.
type Set[F any] struct {
	Faults F `json:"faults"`
	// Times limits how many calls are hit; 0 means no limit.
	Times int `json:"times"`
}

// Router returns the control API of a stand-in, to which it may add routes.
func Router[F any](box *Box[F], hooks Hooks) *httprouter.Router {
	rt := httprouter.New()
	changed := func() {
		if hooks.Changed != nil {
			hooks.Changed()
		}
	}
	rt.HandlerFunc(http.MethodPost, PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var set Set[F]
		if !httpjson.Read(w, r, &set) {
			return
		}
		box.Set(set.Faults, set.Times)
		changed()
		httpjson.Write(w, http.StatusOK, set)
	})
	rt.HandlerFunc(http.MethodGet, PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, Set[F]{Faults: box.Get()})
	})
	rt.HandlerFunc(http.MethodPost, PathReset, func(w http.ResponseWriter, _ *http.Request) {
		var none F
		box.Set(none, 0)
		hooks.Reset()
		changed()
		w.WriteHeader(http.StatusNoContent)
	})
	rt.HandlerFunc(http.MethodGet, PathStats, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, hooks.Stats())
	})
	return rt
}
