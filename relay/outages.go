package relay

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// outages records when the store was last known to be unavailable and when each feed was last
// read, and decides whether the next batch from the store may cover an outage. It is not safe
// for concurrent use.
//
// Load pattern: the store is unavailable for about as long as one read waits there, and leases
// of running upstreams expire meanwhile. Each daemon sees another part of it: a reader's call
// for one feed fails while its call for the other still waits, a successor reads the store
// for the first time because that reader asks it, and followers have made no call at all. The
// first of them to read the removals must know of the outage, or its whole data centre drops
// upstreams that run.
type outages struct {
	// failed is when a call of this daemon last failed or was answered late, for either feed:
	// both belong to the same store. reported is the newest outage that other daemons have reported.
	failed, reported time.Time
	feeds            [feedCount]contact
}

// contact is the last successful read of a feed.
type contact struct {
	at     time.Time // when the store returned the data
	direct bool      // this daemon itself called the store
	failed bool      // a call of this daemon has failed, or was answered late, since
}

// recordFailure records that a call of this daemon to the store failed or was answered late.
func (o *outages) recordFailure(at time.Time) {
	o.failed = at
	for f := range o.feeds {
		o.feeds[f].failed = true
	}
}

// recordReport records an outage that another daemon reported.
func (o *outages) recordReport(at time.Time) {
	if at.After(o.reported) {
		o.reported = at
	}
}

// recordContact records a successful read of a feed. Data that another daemon read before the
// last failure does not end the outage.
func (o *outages) recordContact(f int, c contact) {
	last := o.feeds[f]
	if c.at.Before(last.at) {
		return
	}
	c.failed = last.failed && c.at.Before(o.failed)
	o.feeds[f] = c
}

// suspected reports whether the store may have been unavailable since the last successful read
// of a feed. Reports of other daemons do not count while this daemon reads the store itself:
// its own calls tell, and the store may refuse only the other daemon.
func (o *outages) suspected(f int) bool {
	last := o.feeds[f]
	return last.failed || !last.direct && !o.reported.IsZero() && !o.reported.Before(last.at)
}

// sinceLast returns the time since the last known outage, 0 if none is known.
func (o *outages) sinceLast(now time.Time) time.Duration {
	last := o.failed
	if o.reported.After(last) {
		last = o.reported
	}
	if last.IsZero() {
		return 0
	}
	return max(clock.Elapsed(last, now), time.Nanosecond)
}
