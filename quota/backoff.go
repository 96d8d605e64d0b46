package quota

import "time"

// minBackoff is the shortest pause between requests for a loan.
const minBackoff = 100 * time.Millisecond

// Backoff is the pause after a failed attempt to borrow units of an account: until it ends, no
// daemon is asked again for as many units or more, unless for a more urgent request. Its
// zero value is no backoff.
//
// Load pattern: dozens of requests a second for which no daemon has units to lend, and among
// them an occasional request of a more urgent rank.
type Backoff struct {
	until time.Time
	units float64
	rank  int
}

// Start starts a backoff after no units could be borrowed for a request. A lower rank is more
// urgent. wait is the time until the lenders expect to have enough; maxBackoff bounds the
// backoff.
func (r *Backoff) Start(now time.Time, units float64, rank int, wait, maxBackoff time.Duration) {
	*r = Backoff{until: now.Add(max(minBackoff, min(wait, maxBackoff))), units: units, rank: rank}
}

// Active reports whether the backoff applies to a request, so that it should not ask for a loan.
// A more urgent request than the one that failed may still ask: lenders keep a reserve for it
// that the failed one could not get.
func (r *Backoff) Active(now time.Time, units float64, rank int) bool {
	return now.Before(r.until) && units >= r.units && rank >= r.rank
}
