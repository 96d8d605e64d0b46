// Package availability remembers what upstreams state about their own availability: that they are
// leaving, or that they want no requests for a time (a rest). It reads no clock and does no I/O.
//
// Load pattern: an upstream that is shut down or overloaded says so in its responses, to each daemon
// apart, while its registration, its health, its load and other daemons say for seconds that it serves.
// Responses of requests in flight repeat the statement, out of order. Registrations expire and return.
//
// A statement therefore binds until it ends by itself or its upstream has started again. Nothing else
// withdraws it: the table knows nothing of registrations, versions, health and other daemons.
package availability

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// MaxRest bounds a rest. An upstream that asks for more has a wrong clock or setting.
	MaxRest = 24 * time.Hour
	// retention is how long a statement is kept after its upstream last made one. The platform
	// removes upstreams that leave long before.
	retention = 24 * time.Hour
	// sweepInterval is the least time between two evictions of old statements.
	sweepInterval = time.Minute
	// The end of a rest is delayed at random by up to delayShare of the rest and maxDelay, so that
	// daemons that were told together do not return together.
	delayShare = 0.2
	maxDelay   = time.Second
	// MaxCallsInRest is the number of calls for ongoing work that are sent to an upstream in a rest.
	MaxCallsInRest = 2
)

// Statement is what one response states about the availability of its upstream.
type Statement struct {
	Upstream string
	// Incarnation is the known incarnation of the upstream, or 0.
	Incarnation int64
	// Leaving is set if the upstream leaves.
	Leaving bool
	// Rest is the time for which the upstream wants no requests; 0 if it states none.
	Rest time.Duration
	// At is when the response arrived.
	At time.Time
}

// State is what holds of an upstream.
type State struct {
	Leaving bool
	// RestEnd is the end of the current or last rest; zero if there was none.
	RestEnd time.Time
}

// Resting reports whether the upstream is in a rest.
func (s State) Resting(now time.Time) bool { return now.Before(s.RestEnd) }

// TakesWork reports whether the upstream may be sent new work.
func (s State) TakesWork(now time.Time) bool { return !s.Leaving && !s.Resting(now) }

// Change is how a statement changed the state of its upstream.
type Change struct {
	// Leaves is set if the upstream was not known to leave. RestBegan is set if it was in no rest, and
	// RestProlonged if its rest ends later than before.
	Leaves, RestBegan, RestProlonged bool
	State                            State
}

// Any reports whether anything changed.
func (c Change) Any() bool { return c.Leaves || c.RestBegan || c.RestProlonged }

// Use is what a call is for.
type Use uint8

// The uses of calls.
const (
	// NewWork is everything that is not one of the others: requests, reservations, prefills, orders.
	NewWork Use = iota
	// OngoingWork is a call without which work that the upstream does already is lost.
	OngoingWork
	// Cleanup frees what the upstream holds. It can be done later, or left to a timeout of the
	// upstream.
	Cleanup
)

// String returns the name used in logs.
func (u Use) String() string { return [...]string{"new-work", "ongoing-work", "cleanup"}[u] }

// Table holds the state of the upstreams that made statements. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	rng       *rand.Rand
	entries   map[string]*entry
	lastSweep time.Time
}

// entry is the state of one upstream.
type entry struct {
	incarnation int64
	state       State
	// calls is the number of calls for ongoing work in the rest until state.RestEnd.
	calls         int
	lastStatement time.Time
}

// NewTable returns an empty table. rng must not be used by others.
func NewTable(rng *rand.Rand) *Table { return &Table{rng: rng, entries: map[string]*entry{}} }

// Observe applies a statement and returns what it changed. A rest never becomes shorter: the upstream
// may ask each of several requests for another time.
func (t *Table) Observe(s Statement) (c Change) {
	if !s.Leaving && s.Rest <= 0 {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(s.At)
	e := t.current(s.Upstream, s.Incarnation)
	if e == nil {
		e = &entry{}
		t.entries[s.Upstream] = e
	}
	e.incarnation, e.lastStatement = max(e.incarnation, s.Incarnation), s.At
	c.Leaves = s.Leaving && !e.state.Leaving
	e.state.Leaving = e.state.Leaving || s.Leaving
	c.RestBegan = s.Rest > 0 && !e.state.Resting(s.At)
	before := e.state.RestEnd
	t.prolong(e, s, c.RestBegan)
	c.RestProlonged = !c.RestBegan && e.state.RestEnd.After(before)
	c.State = e.state
	return c
}

// prolong extends the rest of an entry by a statement; t.mu must be held.
func (t *Table) prolong(e *entry, s Statement, began bool) {
	if s.Rest <= 0 {
		return
	}
	if began {
		e.calls = 0
	}
	rest := min(s.Rest, MaxRest)
	delay := t.rng.Float64() * min(delayShare*float64(rest), float64(maxDelay))
	if end := s.At.Add(rest + time.Duration(delay)); end.After(e.state.RestEnd) {
		e.state.RestEnd = end
	}
}

// current returns the entry of an upstream, or nil if there is none or it is of an earlier incarnation;
// t.mu must be held. Incarnations grow, and 0 is an unknown one: the first known one counts as that of
// the statement.
func (t *Table) current(upstream string, incarnation int64) *entry {
	e := t.entries[upstream]
	if e == nil || e.incarnation != 0 && incarnation > e.incarnation {
		return nil
	}
	e.incarnation = max(e.incarnation, incarnation)
	return e
}

// evict removes statements that are older than retention; t.mu must be held.
func (t *Table) evict(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for name, e := range t.entries {
		if now.Sub(e.lastStatement) >= retention && !e.state.Resting(now) {
			delete(t.entries, name)
		}
	}
}

// State returns the state of an upstream, whose known incarnation is 0 if unknown.
func (t *Table) State(upstream string, incarnation int64) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.current(upstream, incarnation); e != nil {
		return e.state
	}
	return State{}
}

// Empty reports whether no upstream has stated anything.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Forget removes what an upstream stated, because it has started again under its name.
func (t *Table) Forget(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, upstream)
}

// Allow reports whether a call may be sent to an upstream now. In a rest, each call for ongoing work
// that it allows counts.
func (t *Table) Allow(now time.Time, upstream string, incarnation int64, use Use) (s State, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(upstream, incarnation)
	if e == nil {
		return s, true
	}
	switch {
	case !e.state.Resting(now):
		return e.state, use != NewWork || !e.state.Leaving
	case use != OngoingWork || e.calls >= MaxCallsInRest:
		return e.state, false
	}
	e.calls++
	return e.state, true
}
