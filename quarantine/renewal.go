package quarantine

import (
	"math/rand/v2"
	"time"
)

// maxRenewedRequests bounds the requests whose records are renewed, a few records each.
const maxRenewedRequests = 64

// renewal selects the records to append to the log again before its retention time ends.
// It reads no clock and is not safe for concurrent use.
//
// Without renewal a restart of all daemons loses the records that the log no longer holds. A request quarantined
// for longer than the retention time could then crash three more upstreams, and one released
// from quarantine could be refused again once a partitioned daemon reports its old crashes.
type renewal struct {
	// maxAge is the time after an append at which records are appended again.
	maxAge time.Duration
	// appendedAt is the estimated time at which a request's records were last appended.
	appendedAt map[Digest]time.Time
}

// newRenewal returns the renewal for a log that keeps records for retention. Each daemon
// draws its own maxAge, between a half and three quarters of retention, so that mostly one of them
// renews a record and the others see its append.
func newRenewal(retention time.Duration) renewal {
	return renewal{maxAge: retention/2 + rand.N(max(1, retention/4)), appendedAt: map[Digest]time.Time{}}
}

// noteAppend updates appendedAt for a record that was appended now, or was read and may have been
// in the log for the time age. A record cannot have been appended before the event it reports.
func (n *renewal) noteAppend(now time.Time, r Record, age time.Duration) {
	at := now.Add(-age)
	if observed := r.at(); observed.After(at) && observed.Before(now) {
		at = observed
	}
	n.appendedAt[r.Digest] = at
}

// due returns the records to append now, and marks them as appended.
func (n *renewal) due(now time.Time, l *Ledger) (list []Record) {
	for _, d := range l.RenewalCandidates(maxRenewedRequests) {
		if now.Sub(n.appendedAt[d]) >= n.maxAge {
			n.appendedAt[d] = now
			list = append(list, l.recordsOf(d)...)
		}
	}
	return list
}

// forget removes requests that are no longer in the ledger.
func (n *renewal) forget(l *Ledger) {
	for d := range n.appendedAt {
		if !l.Known(d) {
			delete(n.appendedAt, d)
		}
	}
}
