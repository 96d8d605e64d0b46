package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// AccrualSender sends a follower's unaccrued time to the reader of its data centre.
//
// Each daemon has a share of every rate limit, and the units of that share accrue in a
// ledger as time passes (see package quota). Unaccrued time is the span of time for which a
// daemon's share has not been added to any ledger yet. A follower does not add its share to
// its own ledger. It sends its unaccrued time along with the calls that it makes anyway, the
// reader adds the follower's share for that time to its own ledger, and followers borrow
// units from the reader. Package quota calls this handing time over.
//
// Each daemon's ledger has its own clock. A stamp (quota.Stamp) is the time on that clock at
// which the daemon sent a response. A follower states its unaccrued time relative to the last
// stamp that it received from the recipient, so it can send none before the first stamp.
//
// An AccrualSender is safe for concurrent use.
type AccrualSender struct {
	quota  *quota.Ledger
	roster *Roster

	mu     sync.Mutex
	stamps map[string]receivedStamp // the last stamp of each daemon, by its address
	// recipient is the daemon that unaccrued time was last sent to.
	recipient Peer
}

// receivedStamp is a ledger time that another daemon sent, with the local time of its receipt.
type receivedStamp struct {
	stamp      quota.Stamp
	receivedAt time.Time
}

// maxStamps is the largest number of daemons whose last stamp is kept. Only the stamps of
// the reader of this data centre and of its few successors are used.
const maxStamps = 16

// NewAccrualSender returns an AccrualSender that has not received a stamp from any daemon.
func NewAccrualSender(l *quota.Ledger, r *Roster) *AccrualSender {
	return &AccrualSender{quota: l, roster: r, stamps: map[string]receivedStamp{}}
}

// takeUnaccrued returns the unaccrued time to send with a call to a daemon and removes it
// from this daemon's ledger. The returned span is empty if this daemon is a reader itself, if
// the recipient is in another data centre, where the daemons' shares differ, or if the
// recipient has not sent a stamp yet.
func (a *AccrualSender) takeUnaccrued(now time.Time, to Peer) quota.Span {
	if a == nil || to.DataCentre != a.roster.Self().DataCentre || a.roster.IsReader() {
		return quota.Span{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.stamps[to.Address]
	if !ok {
		return quota.Span{}
	}
	a.recipient = to
	return a.quota.HandOver(now, s.stamp, s.receivedAt, a.roster.LocalDaemons(now))
}

// lastRecipient returns the daemon to which this one last sent unaccrued time.
//
// Followers ask that daemon for loans first. After a failover they send their unaccrued time
// to a successor. If they went on asking the previous reader for loans, it would have
// nothing to lend, and all requests of the data centre would be refused for seconds although
// the limits are not used up.
func (a *AccrualSender) lastRecipient() Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recipient
}

// recordStamp stores the ledger time in a response of the daemon at an address.
func (a *AccrualSender) recordStamp(now time.Time, address string, stamp quota.Stamp) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.stamps[address]; !known && len(a.stamps) >= maxStamps {
		clear(a.stamps)
	}
	a.stamps[address] = receivedStamp{stamp, now}
}
