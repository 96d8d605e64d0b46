// Package quota enforces rate limits across all daemons without a remote call for each
// request: the limits of teams, and those that upstreams report (see package ratelimit). It
// reads no clock and does no I/O.
//
// Load pattern: a team's callers use few connections, so a few of hundreds of daemons receive
// all of its requests, each many times its equal share of the limit. At times a team requests
// many times its limit, or an upstream accepts less than one request a second. Meanwhile
// daemons are killed, join, stall or are partitioned, and callers move from one daemon to
// another.
//
// Limits are counted in units. A unit of a team's limit is a request or a token, as the limit
// says; a unit of an upstream's limit is a request.
//
// Each daemon accrues its share of the rate as time passes. Accrued units may be spent by the
// daemon that holds them until they expire. In each data centre one daemon, the reader, reads
// the state store for the others, its followers. Followers hand their time over to their
// reader, which accrues it, and a daemon that needs more units than it holds borrows from
// readers.
//
// No window exceeds its bound: units spent in a window were accrued in that window or at most
// one lifetime before it. The fleet accrues the rate only once, since the shares sum to at most
// one, each daemon hands its time over once, and units that are handed over, lent or returned
// keep the time at which they were accrued. So at most rate x (window + lifetime) is spent in
// any window, which is what the bounds allow (see Terms). No state has to outlive a process: a
// restarted daemon begins with an empty ledger.
package quota

import "time"

// Account identifies one limit: that of a team, or that of one incarnation of an upstream.
type Account struct {
	Team string // set for the limit of a team
	// Upstream and Incarnation are set for the limit of an upstream.
	Upstream    string
	Incarnation int64
}

// Limit is the rate limit of a team across all daemons.
type Limit struct {
	// Rate is in units a second, 0 for no limit. Burst is in units.
	Rate, Burst float64
}

// Bounds define how far a limit may be exceeded: in any Window, at most
// (Rate x Window + Burst) x (1 + Excess) + Slack units are spent.
type Bounds struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Terms are the rate at which a limit is accrued and the time after which accrued units expire.
// In any window, at most Rate x (window + lifetime) units are spent.
type Terms struct {
	// Rate is in units a second across all daemons.
	Rate float64
	// Lifetime is the lifetime of accrued units, at most MaxLifetime.
	Lifetime time.Duration
}

const (
	// lifetimeFraction is the lifetime as a fraction of the window. A longer lifetime allows
	// larger bursts but a lower rate; with a shorter one, units expire before they have been
	// handed over and lent.
	lifetimeFraction = 0.25
	// MaxLifetime bounds the lifetime, and so the number of slots that a ledger keeps.
	MaxLifetime = 16 * time.Second
)

// Terms returns the terms for a limit, chosen so that rate x (window + lifetime) is exactly what
// the bounds allow.
func (b Bounds) Terms(l Limit) Terms {
	life := min(time.Duration(lifetimeFraction*float64(b.Window)), MaxLifetime)
	allowed := (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Excess) + b.Slack
	return Terms{Rate: allowed / (b.Window + life).Seconds(), Lifetime: life}
}
