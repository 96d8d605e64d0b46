package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// AccrualSender hands the accrual time of a follower over to the reader of its data centre.
//
// A daemon's share of a limit accrues over time. A follower does not add it to its own
// ledger: with the calls that it makes anyway it sends the reader the span of time for
// which its share is not accrued yet, and the reader accrues the share in its ledger (see
// package quota). Followers then borrow from the reader. An AccrualSender is safe for
// concurrent use.
type AccrualSender struct {
	quota  *quota.Ledger
	roster *Roster

	mu     sync.Mutex
	stamps map[string]receivedStamp // keyed by the address of the daemon that issued the stamp
	// recipient is the daemon that was last sent accrual time.
	recipient Peer
}

// receivedStamp is a reading of the recipient's clock and the time of its receipt.
type receivedStamp struct {
	stamp      quota.Stamp
	receivedAt time.Time
}

// maxStamps bounds the daemons whose stamps are kept. A succession names only a few
// daemons.
const maxStamps = 16

// NewAccrualSender returns an AccrualSender without stamps.
func NewAccrualSender(l *quota.Ledger, r *Roster) *AccrualSender {
	return &AccrualSender{quota: l, roster: r, stamps: map[string]receivedStamp{}}
}

// handOver returns the accrual time to send with a call to a daemon. It is empty if this
// daemon is a reader itself, or if the recipient is in another data centre, where the
// daemons' shares differ.
func (k *AccrualSender) handOver(now time.Time, to Peer) quota.Span {
	if k == nil || to.DataCentre != k.roster.Self().DataCentre || k.roster.IsReader() {
		return quota.Span{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.stamps[to.Address]
	if !ok {
		return quota.Span{}
	}
	k.recipient = to
	return k.quota.HandOver(now, s.stamp, s.receivedAt, k.roster.LocalDaemons(now))
}

// lastRecipient returns the daemon to which this one handed its accrual time over last.
//
// Followers ask that daemon for loans first. After a failover they hand their time over to
// a successor; if they went on asking the reader for loans, it would have nothing to lend,
// and all requests of the data centre would be refused for seconds although the limits are
// not used up.
func (k *AccrualSender) lastRecipient() Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.recipient
}

// recordStamp stores the stamp of a response from the daemon at an address.
func (k *AccrualSender) recordStamp(now time.Time, address string, stamp quota.Stamp) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.stamps[address]; !known && len(k.stamps) >= maxStamps {
		clear(k.stamps)
	}
	k.stamps[address] = receivedStamp{stamp, now}
}
