package roles

import "time"

// Holding is what the store says of this daemon's membership.
type Holding struct {
	// Generation grows with each change of the group.
	Generation uint64
	// Owner says that this daemon holds the one part that stands for the lease.
	Owner bool
}

// Lease decides whether this daemon may give orders, from what the store answered
// and when it was asked.
//
// What goes wrong: two daemons that believe they hold the lease order the same
// engine in turn, and an engine that checks no fence takes both. So a new holder
// waits until orders of the one before it can no longer arrive, and one that cannot
// renew stops before the store gives the lease away. It is not safe for concurrent
// use.
type Lease struct {
	ttl, quiet time.Duration
	opens      time.Time // see Bootstrap; zero when it does not hold
	holding    Holding
	since      time.Time // since when this daemon has held it without a gap
	renewed    time.Time // when the last answered join was sent
}

// NewLease returns a lease that is not held. ttl is how long the store believes in
// a silent member, and quiet how long orders of two holders must be apart.
func NewLease(ttl, quiet time.Duration) *Lease { return &Lease{ttl: ttl, quiet: quiet} }

// Bootstrap says that all daemons start for the first time about now, and that none
// gives orders before opens. Who holds the lease by then needs no quiet time: nobody has
// given an order before. Daemons may start a quarter of the ttl apart.
//
// What it buys: engines that are to change their role do so before callers come, instead
// of refusing prompts for six seconds under load.
func (l *Lease) Bootstrap(opens time.Time) { l.opens = opens }

// opening says that this daemon held the lease for long enough before the orders opened
// that whoever held it before had lost it by then.
func (l *Lease) opening(now time.Time) bool {
	return !l.opens.IsZero() && !now.Before(l.opens) && !l.since.After(l.opens.Add(-l.ttl))
}

// Early says that a fence rests on Bootstrap alone. An order may then be given only to an
// engine that has had none, in case the assumption does not hold.
func (l *Lease) Early(now time.Time) bool { return now.Before(l.since.Add(l.ttl + l.quiet)) }

// Joined takes the store's answer to a join that was sent at the given time.
func (l *Lease) Joined(sent, now time.Time, h Holding) {
	gap := l.renewed.IsZero() || !now.Before(l.renewed.Add(l.ttl))
	switch {
	case !h.Owner:
		l.since = time.Time{}
	case !l.holding.Owner || gap:
		l.since = now
	}
	l.holding, l.renewed = h, sent
}

// Held says whether the store last told that this daemon holds the lease.
func (l *Lease) Held() bool { return l.holding.Owner }

// Generation returns the last generation that the store told; 0 before the first.
func (l *Lease) Generation() uint64 { return l.holding.Generation }

// Fence returns the fencing token for an order at this moment, or false when this
// daemon must not give any. A later holder's token is higher: the lease changes
// hands only with a new generation.
func (l *Lease) Fence(now time.Time) (uint64, bool) {
	const margin = 4 // the last quarter of the ttl is left for the order to arrive
	valid := l.holding.Owner && now.Before(l.renewed.Add(l.ttl-l.ttl/margin))
	if !valid || l.Early(now) && !l.opening(now) {
		return 0, false
	}
	return l.holding.Generation, true
}
