package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRecent bounds the records that a daemon keeps for its followers, and maxBatch those of
	// one response to a follower, about 60 bytes each.
	maxRecent = 4096
	maxBatch  = 512
	// recentEvictFraction: when there are too many records, one in recentEvictFraction is
	// dropped at once, so that not every added record moves all the others.
	recentEvictFraction = 16
)

// recentRecords buffers the latest records that a daemon applied, at consecutive positions.
type recentRecords struct {
	// records are ordered by position; base is the position of the first.
	records []Record
	base    uint64
	changed chan struct{} // closed and replaced when records are added
}

// newRecentRecords returns an empty buffer. Its first position is derived from the start time, so
// that the positions of two processes of one daemon, or of two daemons, do not overlap.
func newRecentRecords(now time.Time) recentRecords {
	const perMilli = 1 << 20
	return recentRecords{base: uint64(now.UnixMilli()) * perMilli, changed: make(chan struct{})}
}

func (n *recentRecords) add(r Record) {
	n.records = append(n.records, r)
	if len(n.records) > maxRecent {
		const extra = maxRecent / recentEvictFraction
		n.records = append(n.records[:0], n.records[extra:]...)
		n.base += extra
	}
}

func (n *recentRecords) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *recentRecords) next() uint64 { return n.base + uint64(len(n.records)) }

// contains reports whether a position lies within the buffer.
func (n *recentRecords) contains(position uint64) bool {
	return position >= n.base && position <= n.next()
}

// HasRecords reports whether there are records for a follower that has received those before a
// position, and returns a channel that is closed when more are added.
func (k *Keeper) HasRecords(position uint64) (more bool, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recent.contains(position) {
		return position < k.recent.next(), k.recent.changed
	}
	return k.requestsWithCrashes.Load() > 0, k.recent.changed
}

// Since returns records for a follower that has received those before a position, and the
// position to continue from. If the position is not in the buffer, because it comes from another
// daemon or is too old, Since returns the crashes in the ledger instead, those of quarantined
// requests first.
func (k *Keeper) Since(position uint64) (list []Record, next uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recent.contains(position) {
		list = k.recent.records[position-k.recent.base:]
		list = slices.Clone(list[:min(len(list), maxBatch)])
		return list, position + uint64(len(list))
	}
	held := k.ledger.List(k.o.Now())
	for _, refused := range []bool{true, false} {
		for _, h := range held {
			for i := 0; h.Refused == refused && i < len(h.Crashes) && len(list) < maxBatch; i++ {
				list = append(list, crashRecord(h.Digest, h.Crashes[i]))
			}
		}
	}
	return list, k.recent.next()
}
