// Package ratelimit tracks the rate limits that upstreams report in their responses and enforces
// them across all daemons (see package quota). It reads no clock and does no I/O.
//
// Load pattern: an overloaded upstream accepts a few requests a second for a while. Hundreds of
// daemons have requests for it. Most of them learn of the limit from other daemons, some only
// after a delay. Responses arrive out of order, and the limit changes or ends without notice.
package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Upstream identifies one incarnation of an upstream. After a restart under the same name, an
// upstream has no limit until it reports one.
type Upstream struct {
	Name string
	// Incarnation is the incarnation, 0 where the platform reports none.
	Incarnation int64
}

// Observation is what one response says about the limit of its upstream.
type Observation struct {
	Upstream Upstream
	// HasLimit is set if the response reports a limit: Limit requests a second from all daemons.
	HasLimit bool
	Limit    float64
	// At orders responses. If the response reports a limit, At is its time of arrival, the
	// latest time at which it can have been written. If not, At is the time at which the
	// request was sent, the earliest such time. If both used the time of arrival, a long
	// response that began before the limit was set would clear the limit when it ends.
	At time.Time
}

// Change describes how a response changed the limit of an upstream.
type Change struct {
	Upstream Upstream
	// Old and New are the limits before and after, in requests a second, or NoLimit.
	Old, New float64
	// Sent is the number of requests that this daemon sent to the upstream in the last Window.
	Sent int
}

// NoLimit is the value of Old or New in a Change for no limit.
const NoLimit = -1

const (
	// Window is the span over which the requests that a limited upstream receives are bounded
	// (see allowedExcess).
	Window = 4 * time.Second
	// noLimitTTL and limitTTL are how long the state of an upstream without and with a limit is
	// kept after its last update. limitTTL is so long that an upstream without any update in
	// that time no longer exists; it ends no limit of a running one.
	noLimitTTL = time.Minute
	limitTTL   = 10 * time.Minute
	// sweepInterval is the least time between two evictions of expired state.
	sweepInterval = 10 * time.Second
)

// Table is the table of the limits in force, by upstream. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	entries   map[Upstream]*entry
	lastSweep time.Time
	// limited lists the upstreams with a limit. The slice is replaced, never modified, so that
	// it can be read without the lock.
	limited atomic.Pointer[[]Upstream]
}

// entry is the state of one upstream.
type entry struct {
	inForce bool
	limit   float64 // requests a second
	// limitAsOf and noLimitAsOf are the newest times At of the applied responses that reported a
	// limit, and of those that reported none.
	limitAsOf, noLimitAsOf time.Time
	lastUpdate             time.Time
	// lastChange is the time of the last change, or of the last outdated update that
	// contradicted the entry. After either, the entry is sent to other daemons.
	lastChange time.Time
	sends      sendCounter
}

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{entries: map[Upstream]*entry{}} }

// Observe updates the limit of an upstream from a response and returns what changed. Responses may
// arrive in any order.
func (b *Table) Observe(now time.Time, o Observation) (c Change, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictStale(now)
	e := b.entries[o.Upstream]
	if e == nil {
		if !o.HasLimit {
			return c, false
		}
		e = &entry{}
		b.entries[o.Upstream] = e
	}
	c = Change{Upstream: o.Upstream, Old: e.limitOrNone(), Sent: e.sends.count(now)}
	e.lastUpdate = now
	e.apply(o)
	if c.New = e.limitOrNone(); (c.New == NoLimit) != (c.Old == NoLimit) {
		b.rebuildLimited()
	}
	if c.New != c.Old || o.HasLimit != e.inForce {
		e.lastChange = now
	}
	return c, c.New != c.Old
}

// apply updates the entry from a response, unless a newer response has been applied already.
func (e *entry) apply(o Observation) {
	switch {
	case o.HasLimit && o.At.Before(e.limitAsOf), o.HasLimit && o.At.Before(e.noLimitAsOf):
	case o.HasLimit:
		e.inForce, e.limit, e.limitAsOf = true, o.Limit, o.At
	case o.At.Before(e.limitAsOf), o.At.Before(e.noLimitAsOf):
	default:
		e.inForce, e.noLimitAsOf = false, o.At
	}
}

// limitOrNone returns the limit in force, or NoLimit.
func (e *entry) limitOrNone() float64 {
	if !e.inForce {
		return NoLimit
	}
	return e.limit
}

// evictStale removes upstreams that had no update within their TTL. The caller holds b.mu.
func (b *Table) evictStale(now time.Time) {
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	for u, e := range b.entries {
		ttl := noLimitTTL
		if e.inForce {
			ttl = limitTTL
		}
		if now.Sub(e.lastUpdate) >= ttl {
			delete(b.entries, u)
		}
	}
	b.rebuildLimited()
}

// rebuildLimited replaces the list of upstreams with a limit. The caller holds b.mu.
func (b *Table) rebuildLimited() {
	var out []Upstream
	for u, e := range b.entries {
		if e.inForce {
			out = append(out, u)
		}
	}
	b.limited.Store(&out)
}

// Limited returns the upstreams with a limit, in no particular order. Callers must not modify the
// slice.
func (b *Table) Limited() []Upstream {
	if list := b.limited.Load(); list != nil {
		return *list
	}
	return nil
}

// Limit returns the limit of an upstream, in requests a second, if one is in force.
func (b *Table) Limit(u Upstream) (limit float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[u]
	if e == nil || !e.inForce {
		return 0, false
	}
	return e.limit, true
}

// RecordSent records that this daemon sends a request to an upstream.
func (b *Table) RecordSent(now time.Time, u Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[u]; e != nil {
		e.sends.add(now)
	}
}

// Usage is the limit of an upstream, in requests a second, and the number of requests that this
// daemon sent to it in the last Window.
type Usage struct {
	Upstream Upstream
	Limit    float64
	Sent     int
}

// InForce returns all limits in force, in no particular order.
func (b *Table) InForce(now time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Usage
	for u, e := range b.entries {
		if e.inForce {
			out = append(out, Usage{Upstream: u, Limit: e.limit, Sent: e.sends.count(now)})
		}
	}
	return out
}
