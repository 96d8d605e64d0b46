package board

import "slices"

// bucketWays is the number of 8-byte block hashes in a bucket: one 64-byte cache line.
const bucketWays = 8

// blockSet is a set of prefix block hashes in bounded memory. It is a hash table of
// buckets with bucketWays places each, the most recently stored block first; storing
// into a full bucket drops its oldest block. A hash of 0 marks an empty place.
type blockSet struct {
	buckets [][bucketWays]uint64
	count   int
	// unreliable is set when many entries may be wrong because cache events were lost.
	// countLeading then returns half of what it finds.
	unreliable bool
	// frozen is set once snapshots may read the set. It must then be copied before a
	// change.
	frozen bool
}

// newBlockSet returns an empty set with capacity for at least n blocks.
func newBlockSet(n int) *blockSet {
	buckets := 1
	for buckets*bucketWays < n {
		buckets *= 2
	}
	return &blockSet{buckets: make([][bucketWays]uint64, buckets)}
}

// capacity returns the largest number of blocks that the set can hold.
func (s *blockSet) capacity() int { return len(s.buckets) * bucketWays }

// writable returns the set itself, or a copy if the set is frozen.
func (s *blockSet) writable() *blockSet {
	if !s.frozen {
		return s
	}
	return &blockSet{buckets: slices.Clone(s.buckets), count: s.count, unreliable: s.unreliable}
}

func (s *blockSet) bucket(block uint64) *[bucketWays]uint64 {
	return &s.buckets[block&uint64(len(s.buckets)-1)]
}

func (s *blockSet) contains(block uint64) bool {
	return block != 0 && slices.Contains(s.bucket(block)[:], block)
}

// store adds block to its bucket, or moves it to the front of the bucket if it is
// already there.
func (s *blockSet) store(block uint64) {
	if block == 0 {
		return
	}
	b := s.bucket(block)
	at := slices.Index(b[:], block)
	if at < 0 {
		at = bucketWays - 1
		if b[at] == 0 {
			s.count++
		}
	}
	copy(b[1:at+1], b[:at])
	b[0] = block
}

// evict removes block from the set.
func (s *blockSet) evict(block uint64) {
	b := s.bucket(block)
	at := slices.Index(b[:], block)
	if at < 0 || block == 0 {
		return
	}
	copy(b[at:], b[at+1:])
	b[bucketWays-1] = 0
	s.count--
}

// countLeading returns how many leading blocks of prefix are in the set; for an
// unreliable set, half of that number.
func (s *blockSet) countLeading(prefix []uint64) int {
	n := 0
	for n < len(prefix) && s.contains(prefix[n]) {
		n++
	}
	if s.unreliable {
		return n / 2
	}
	return n
}
