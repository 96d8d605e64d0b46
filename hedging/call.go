// Package hedging decides when a call to a plain service is sent to a second replica while the
// first one has it. It reads no clock and performs no I/O.
package hedging

import "time"

// Cause is why another replica is sought for a call that is in progress.
type Cause string

const (
	// Slow means that the replica is slower than most calls of the service have been lately.
	Slow Cause = "slow"
	// Silent means that the replica has been silent for so long that it may be lost.
	Silent Cause = "silent"
)

// seekInterval is the time after which a call that found no other replica seeks one again.
const seekInterval = 250 * time.Millisecond

// Call decides when one idempotent call to a plain service is sent to another replica while the
// earlier ones have not answered. There are two rules:
//
//   - A slow call is sent to one more replica, once. It is an extra dispatch, for which there is a
//     budget of its own; Service says after which time a call is slow and when it is not hedged.
//   - The replacement of a silent replica is sought until there is one: the replica may be lost, or
//     may answer in a moment; nothing tells which. The call stays in progress there until another
//     replica has answered, as the other one may fail, and may not be found at all.
//
// Load pattern: 200 calls a second to three replicas with queues, through 89 daemons of which each
// sees two calls a second; one replica at a time is 2.5 times slower than the others for seconds,
// and at times all are.
type Call struct {
	// Silence is how long the latest replica may be silent until another one is sought; 0 means that
	// none is sought.
	Silence time.Duration
	// SlowAfter is the time after which a call is slow; 0 means that it is not hedged.
	SlowAfter time.Duration
	// MaxAttempts bounds the dispatches, and MaxSends those that were not refused; 0 means no bound.
	MaxAttempts, MaxSends int

	hedged bool
	// slowAt is when the call becomes slow, zero if it is not to be hedged any more. seekAt is when a
	// replacement of a silent replica is sought.
	slowAt, seekAt time.Time
}

// Progress describes a call: its attempts, the dispatches that ended without a refusal, and those in
// progress.
type Progress struct{ Attempts, Ended, InProgress int }

// Sent records that the call was sent to one more replica.
func (c *Call) Sent(now time.Time) {
	c.seekAt, c.slowAt = now.Add(c.Silence), time.Time{}
	if c.SlowAfter > 0 && !c.hedged {
		c.slowAt = now.Add(c.SlowAfter)
	}
}

// Hedged records that the call was sent to a second replica because it is slow. If the first one
// turns out to be silent, the hedge is its replacement, and a further one is not sought earlier than
// without the hedge.
func (c *Call) Hedged() {
	c.hedged, c.slowAt = true, time.Time{}
	c.seekAt = c.seekAt.Add(c.Silence)
}

// NotHedged records that the call is slow and was not hedged. That is decided once for a dispatch,
// so that a hedge which is denied costs no further work.
func (c *Call) NotHedged() { c.slowAt = time.Time{} }

// HedgeLost records that the hedge failed while the first replica still has the call. No other hedge
// is sent in its place; a silent first replica is replaced when it would have been without the hedge.
func (c *Call) HedgeLost() { c.seekAt = c.seekAt.Add(-c.Silence) }

// Lost records that the replica that was sent to last failed.
func (c *Call) Lost(now time.Time) { c.seekAt = now }

// NotFound records that no replacement was found.
func (c *Call) NotFound(now time.Time) { c.seekAt = now.Add(seekInterval) }

// Allowed reports whether another dispatch is allowed.
func (c *Call) Allowed(p Progress) bool {
	return p.Attempts < c.MaxAttempts && (c.MaxSends == 0 || p.Ended+p.InProgress < c.MaxSends)
}

// Next returns after which time another replica is sought, and why; ok is false if none is.
func (c *Call) Next(now time.Time, p Progress) (wait time.Duration, why Cause, ok bool) {
	switch {
	case !c.Allowed(p):
		return 0, "", false
	case !c.slowAt.IsZero() && p.InProgress == 1 && (c.Silence <= 0 || c.slowAt.Before(c.seekAt)):
		return max(0, c.slowAt.Sub(now)), Slow, true
	case c.Silence <= 0:
		return 0, "", false
	}
	return max(0, c.seekAt.Sub(now)), Silent, true
}

// Overdue reports whether a replica has been silent for so long that another one was sought.
func (c *Call) Overdue(silent time.Duration) bool { return c.Silence > 0 && silent >= c.Silence }
