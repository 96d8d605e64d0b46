package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// TimeKeeper hands this daemon's time over to the reader of its data centre, with calls
// that are made anyway (see package quota). It is safe for concurrent use.
type TimeKeeper struct {
	quota  *quota.Ledger
	roster *Roster

	mu     sync.Mutex
	stamps map[string]stamped // by the address of the daemon that gave it
	// last is the daemon that was given time last.
	last Peer
}

// stamped is a stamp and when it came.
type stamped struct {
	stamp quota.Stamp
	got   time.Time
}

// maxStamps bounds the daemons of which a stamp is kept; a succession names a few.
const maxStamps = 16

// NewTimeKeeper returns a keeper that has no stamp of anybody.
func NewTimeKeeper(l *quota.Ledger, r *Roster) *TimeKeeper {
	return &TimeKeeper{quota: l, roster: r, stamps: map[string]stamped{}}
}

// handOver returns the time that goes with a call to a daemon: none to one of another data
// centre, whose parts are others, and none of a daemon that others hand theirs to.
func (k *TimeKeeper) handOver(now time.Time, to Peer) quota.Span {
	if k == nil || to.DataCentre != k.roster.Self().DataCentre || k.roster.Leads() {
		return quota.Span{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.stamps[to.Address]
	if !ok {
		return quota.Span{}
	}
	k.last = to
	return k.quota.HandOver(now, s.stamp, s.got, k.roster.Near(now))
}

// holder returns the daemon that has this one's time.
//
// What goes wrong otherwise: followers whose reader has no fresh word turn to its
// successor, hand their time to it, and ask the reader for loans, which has nothing; all
// callers of a data centre are refused for seconds while their limits are not used.
func (k *TimeKeeper) holder() Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.last
}

// stamped takes the stamp that came with an answer.
func (k *TimeKeeper) stamped(now time.Time, address string, stamp quota.Stamp) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.stamps[address]; !known && len(k.stamps) >= maxStamps {
		clear(k.stamps)
	}
	k.stamps[address] = stamped{stamp, now}
}
