package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// AccrualSender hands over a follower's time to the reader of its data centre.
//
// Each daemon has a share of every rate limit. As time passes, the units of that share are
// added to a ledger (see package quota). A follower does not add them to its own ledger, but
// hands over time to the reader: with each call that it makes anyway, it sends the span of time for which
// no daemon has added the follower's units yet. The reader adds them to its own ledger, and
// followers borrow units from the reader.
//
// Each daemon's ledger has its own clock. A stamp (quota.Stamp) is the time on that clock at
// which the daemon sent a response. A follower states the span relative to the last stamp
// that it received from the recipient, so it can hand over no time before the first stamp.
//
// An AccrualSender is safe for concurrent use.
type AccrualSender struct {
	quota  *quota.Ledger
	roster *Roster

	mu     sync.Mutex
	stamps map[string]receivedStamp // the last stamp of each daemon, by its address
	// recipient is the daemon to which time was last handed over.
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

// handOver returns the span of time for which the called daemon, not this one, is to add
// this daemon's units to its ledger. The same span is not returned again, even if the call
// fails, so that no units are added twice. The span is empty if this daemon is a reader
// itself, if the recipient is in another data centre, where the daemons' shares differ, or
// if the recipient has not sent a stamp yet.
func (a *AccrualSender) handOver(now time.Time, to Peer) quota.Span {
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

// lastRecipient returns the daemon to which this one last handed over time.
//
// Followers ask that daemon for loans first. After a failover they hand over their time
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
