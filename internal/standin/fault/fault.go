// Package fault stores the faults that a test injects into a simulated service,
// and provides the control API that sets them: POST and GET /faults, POST /reset
// and GET /stats. The control API has no authentication and must listen on
// loopback only.
package fault

import (
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"

	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
)

// The paths of the control API that all simulated services have.
const (
	PathFaults = "/faults" // POST and GET a SetRequest with the service's type of faults
	PathReset  = "/reset"  // POST; clears the faults and the statistics
	PathStats  = "/stats"  // GET -> the service's statistics
)

// Injector stores the current faults, of type F, and counts the calls that they affect.
// It is safe for concurrent use.
type Injector[F any] struct {
	mu      sync.Mutex
	faults  F
	hits    int           // affected calls since the last call of Set
	maxHits int           // the faults are cleared after this many hits; 0 means never
	changed chan struct{} // closed and replaced at each change of the faults
}

// NewInjector returns an Injector with no faults set.
func NewInjector[F any]() *Injector[F] {
	return &Injector[F]{changed: make(chan struct{})}
}

// Set replaces the faults. If limit is positive, the faults are cleared after
// they have affected that many calls.
func (b *Injector[F]) Set(faults F, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults, b.maxHits, b.hits = faults, limit, 0
	b.notify()
}

// Get returns the current faults without counting a hit.
func (b *Injector[F]) Get() F {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Hit reports whether the current faults satisfy match. If they do, it returns
// them and counts the call against the limit given to Set.
func (b *Injector[F]) Hit(match func(F) bool) (F, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !match(b.faults) {
		var none F
		return none, false
	}
	faults := b.faults
	b.hits++
	if b.maxHits > 0 && b.hits >= b.maxHits {
		var none F
		b.faults, b.maxHits = none, 0
		b.notify()
	}
	return faults, true
}

// Changed returns a channel that is closed at the next change of the faults.
func (b *Injector[F]) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// notify signals a change of the faults; b.mu must be held.
func (b *Injector[F]) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Hooks are the functions by which the control API reaches a simulated service.
type Hooks struct {
	// Stats returns the statistics for GET /stats.
	Stats func() any
	// Reset zeroes the statistics.
	Reset func()
	// Changed is called after each change of the faults; it may be nil.
	Changed func()
}

// SetRequest is the body of POST /faults.
type SetRequest[F any] struct {
	Faults F `json:"faults"`
	// Times is the number of affected calls after which the faults are cleared; 0
	// means that they stay.
	Times int `json:"times"`
}

// Router returns the control API of a simulated service, which may add routes to
// it.
func Router[F any](box *Injector[F], hooks Hooks) *httprouter.Router {
	rt := httprouter.New()
	changed := func() {
		if hooks.Changed != nil {
			hooks.Changed()
		}
	}
	rt.HandlerFunc(http.MethodPost, PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var set SetRequest[F]
		if !httpjson.Read(w, r, &set) {
			return
		}
		box.Set(set.Faults, set.Times)
		changed()
		httpjson.Write(w, http.StatusOK, set)
	})
	rt.HandlerFunc(http.MethodGet, PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, SetRequest[F]{Faults: box.Get()})
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
