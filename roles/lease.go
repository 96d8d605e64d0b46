package roles

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/logpos"
)

// Membership is the store's response to a daemon that joins the group or renews its
// membership. The group has a single partition, which the store assigns to one member; the
// owner of the partition holds the lease.
type Membership struct {
	// Generation increases with each change of the group, within an epoch of the store.
	Generation uint64
	Epoch      logpos.Epoch
	// Owner means that this daemon owns the partition and so holds the lease.
	Owner bool
}

// Lease decides whether this daemon may send orders, from the responses of the store and
// the times of the requests. It is not safe for concurrent use.
//
// At no time may two daemons send orders: they could order the same engine in turn, and
// an engine that does not check fencing tokens would carry out both orders. So a new
// holder waits until orders of the previous one can no longer arrive, and a holder that
// cannot renew its membership stops before the store passes the lease on.
type Lease struct {
	ttl, quietPeriod time.Duration
	ordersOpenAt     time.Time // time from which orders are allowed after Bootstrap; zero without it
	holding          Membership
	heldSince        time.Time // since when the lease has been held without a break; zero if not held
	renewedAt        time.Time // when the last successful join was sent
}

// NewLease returns a lease that is not held. ttl is the time after which the store
// expires a membership that is not renewed. quiet is the minimum time between the last
// order of one holder and the first order of the next.
func NewLease(ttl, quiet time.Duration) *Lease { return &Lease{ttl: ttl, quietPeriod: quiet} }

// Bootstrap declares that all daemons are starting for the first time, at most a quarter
// of the ttl apart, and that none of them sends orders before the time opens. A daemon that holds
// the lease by then need not wait for the quiet period, because no order has been sent
// before.
//
// This way engines change their roles before clients connect. Later, an engine that
// changes its role would refuse prompts for six seconds under load.
func (l *Lease) Bootstrap(opens time.Time) { l.ordersOpenAt = opens }

// bootstrapped reports whether the time passed to Bootstrap has been reached and this daemon
// had already held the lease for the ttl at that time. Any previous holder had then lost
// the lease.
func (l *Lease) bootstrapped(now time.Time) bool {
	return !l.ordersOpenAt.IsZero() && !now.Before(l.ordersOpenAt) && !l.heldSince.After(l.ordersOpenAt.Add(-l.ttl))
}

// BootstrapOnly reports whether this daemon has held the lease for less than the ttl plus the
// quiet period, so that it may send orders only because of Bootstrap. An order may then be
// sent only to an engine that has had none, in case this is not the first start after all.
func (l *Lease) BootstrapOnly(now time.Time) bool {
	return now.Before(l.heldSince.Add(l.ttl + l.quietPeriod))
}

// RecordJoin records the store's response to a join that was sent at the given time.
func (l *Lease) RecordJoin(sent, now time.Time, h Membership) {
	expired := l.renewedAt.IsZero() || !now.Before(l.renewedAt.Add(l.ttl))
	switch {
	case !h.Owner:
		l.heldSince = time.Time{}
	case !l.holding.Owner || expired:
		l.heldSince = now
	}
	l.holding, l.renewedAt = h, sent
}

// Held reports whether this daemon holds the lease according to the last response of the
// store.
func (l *Lease) Held() bool { return l.holding.Owner }

// Membership returns the last response of the store; zero before the first one.
func (l *Lease) Membership() Membership { return l.holding }

// Fence returns the fencing token for an order sent now, or false if this daemon must not
// send any. Each holder has a higher token than the previous one, because the holder
// changes only with the generation, or with the epoch of the store.
func (l *Lease) Fence(now time.Time) (uint64, bool) {
	const margin = 4 // the last quarter of the ttl is reserved for the order to arrive
	valid := l.holding.Owner && now.Before(l.renewedAt.Add(l.ttl-l.ttl/margin))
	if !valid || l.BootstrapOnly(now) && !l.bootstrapped(now) {
		return 0, false
	}
	return l.holding.fence(), true
}

// fence returns the fencing token of a membership. Generations go back with the store when it is restored
// from a copy that is some seconds old, by fewer than generationsPerEpoch.
func (m Membership) fence() uint64 {
	const generationsPerEpoch = 1 << 20
	return uint64(max(m.Epoch, logpos.Unnumbered)-logpos.Unnumbered)*generationsPerEpoch + m.Generation
}
