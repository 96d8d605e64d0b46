package ratelimit

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// The bound on the requests that an upstream with a limit may receive in any Window is
// allowedExcess x limit x Window + allowedSlack.
const (
	allowedExcess = 1.5
	allowedSlack  = 5.0
	// safetyFactor is the fraction of that bound that is used, since requests sent in different
	// windows may arrive in the same one.
	safetyFactor = 0.9
	// probeRate is the least rate accrued for an upstream, in requests a second from all
	// daemons. Even one that accepts no requests is probed at this rate, since only its own
	// responses show that it has recovered.
	probeRate = 0.25
	// maxRate caps the accrued rate, in requests a second. A limit this high is no limit in
	// practice.
	maxRate = 1e6
)

// Terms returns the terms on which the fleet accrues a limit: at the reported rate, limited
// to the range from probeRate to maxRate, with the longest lifetime that keeps every window within its
// bound. Limits of less than a few requests a second need a long lifetime, since a daemon's
// share takes seconds to add up to a whole request.
func Terms(limit float64) quota.Terms {
	rate := min(max(limit, probeRate), maxRate)
	life := safetyFactor*(allowedExcess*Window.Seconds()+allowedSlack/rate) - Window.Seconds()
	return quota.Terms{Rate: rate, Lifetime: min(time.Duration(life*float64(time.Second)), quota.MaxLifetime)}
}

// Account returns the quota account for the limit of an upstream.
func (u Upstream) Account() quota.Account {
	return quota.Account{Upstream: u.Name, Incarnation: u.Incarnation}
}

// maxReserve bounds the number of requests that a daemon reserves for more urgent ones. Shares
// are small: in fleets of dozens of daemons a larger reserve would leave nothing for the rest.
const maxReserve = 1.0

// Limiter is the rate limiter of this daemon: it decides which upstreams with a limit may receive
// another request. It is safe for concurrent use.
//
// Each request spends a unit that this daemon accrued, was handed over or borrowed in its
// quota.Ledger. The units spent by all daemons stay within the bound, no matter which daemon
// learns of the limit first. A request leaves up to one unit for more urgent ones if any arrived
// within about the last second.
type Limiter struct {
	table  *Table
	ledger *quota.Ledger

	mu    sync.Mutex
	pools map[string]*poolState
}

// poolState tracks the requests for one pool in which upstreams have limits.
type poolState struct {
	// demand is the rate of requests, by rank.
	demand map[int]*quota.Demand
	// backlog holds the refused requests that were told when to retry.
	backlog backlog
}

// NewLimiter returns a limiter that takes limits from a table and spends units of a ledger.
func NewLimiter(table *Table, ledger *quota.Ledger) *Limiter {
	return &Limiter{table: table, ledger: ledger, pools: map[string]*poolState{}}
}

// Request describes a request for which an upstream is being selected.
type Request struct {
	Pool string
	// Rank is the priority of the request; a lower rank is more urgent.
	Rank int
}

// RecordDemand records the demand of a request for a pool in which any upstream has a limit.
func (g *Limiter) RecordDemand(now time.Time, s Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(s.Pool)
	d := p.demand[s.Rank]
	if d == nil {
		d = &quota.Demand{}
		p.demand[s.Rank] = d
	}
	d.Add(now, 1)
}

// pool returns the state of a pool, created if necessary. The caller holds g.mu.
func (g *Limiter) pool(name string) *poolState {
	p := g.pools[name]
	if p == nil {
		p = &poolState{demand: map[int]*quota.Demand{}}
		g.pools[name] = p
	}
	return p
}

// reserve returns the number of units that a request must leave for more urgent ones.
func (g *Limiter) reserve(now time.Time, s Request) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	moreUrgent := 0.0
	for rank, d := range g.pool(s.Pool).demand {
		if rank < s.Rank {
			moreUrgent += d.Rate(now)
		}
	}
	return min(moreUrgent, maxReserve)
}

// Allows reports whether an upstream may receive a request now. It spends nothing.
func (g *Limiter) Allows(now time.Time, u Upstream, s Request) bool {
	limit, ok := g.table.Limit(u)
	return !ok || g.ledger.Available(now, u.Account(), Terms(limit)) >= 1+g.reserve(now, s)
}

// Acquire spends one unit for a request to an upstream; ok is false if too few are available. For
// an upstream without a limit, limited is false, ok is true and the ticket is empty.
func (g *Limiter) Acquire(now time.Time, u Upstream, s Request) (ticket quota.Ticket, limited, ok bool) {
	limit, limited := g.table.Limit(u)
	if !limited {
		return ticket, false, true
	}
	terms := Terms(limit)
	if ticket, ok = g.ledger.Spend(now, u.Account(), terms, 1, g.reserve(now, s)); ok {
		g.ledger.RecordDemand(now, u.Account(), terms, 1)
		g.table.RecordSent(now, u)
	}
	return ticket, true, ok
}

// borrowAheadTime is how much expected demand a daemon borrows for beyond the waiting request.
const borrowAheadTime = 500 * time.Millisecond

// LoanRequest describes the loan that a daemon needs for one more request to an upstream.
type LoanRequest struct {
	Terms quota.Terms
	// Reserve is the number of units to leave for more urgent requests. Ahead is the number
	// wanted for requests expected soon.
	Reserve, Ahead float64
}

// LoanRequest returns the loan needed for a request to an upstream; ok is false if the upstream has no
// limit.
func (g *Limiter) LoanRequest(now time.Time, u Upstream, s Request) (l LoanRequest, ok bool) {
	limit, ok := g.table.Limit(u)
	if !ok {
		return l, false
	}
	return LoanRequest{
		Terms:   Terms(limit),
		Reserve: g.reserve(now, s),
		Ahead:   g.ledger.Demand(now, u.Account()) * borrowAheadTime.Seconds(),
	}, true
}

// Lend lends units of an upstream's limit to another daemon for the request s. It keeps the
// reserve for requests more urgent than s, both this daemon's own and those that other daemons
// asked loans for. partial allows a loan of less than needs.
func (g *Limiter) Lend(now time.Time, u Upstream, s Request, needs, wants float64, partial bool) quota.Loan {
	limit, ok := g.table.Limit(u)
	if !ok || !(needs > 0) {
		return quota.Loan{}
	}
	g.RecordDemand(now, s)
	return g.ledger.Lend(now, u.Account(), Terms(limit), needs, wants, g.reserve(now, s), partial)
}

// minWait and maxWait bound the retry delay that refused callers are given.
const (
	minWait = 200 * time.Millisecond
	maxWait = 10 * time.Second
)

// RetryAfter returns the time after which a request that no upstream of its pool could take may be
// retried: when this daemon's share of their limits will have covered it and all earlier refused
// requests that are at least as urgent.
func (g *Limiter) RetryAfter(now time.Time, s Request, upstreams []Upstream, share float64) time.Duration {
	rate := 0.0
	for _, u := range upstreams {
		if limit, ok := g.table.Limit(u); ok {
			rate += Terms(limit).Rate * share
		}
	}
	if rate <= 0 {
		return maxWait
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(s.Pool)
	p.backlog.drain(now, rate)
	position := p.backlog.add(s.Rank, rate*maxWait.Seconds())
	return max(minWait, time.Duration(position/rate*float64(time.Second)))
}
