package board

import "slices"

// bucketWays is the number of blocks in a bucket: one cache line of 8-byte hashes.
const bucketWays = 8

// blockSet is a set of block hashes in bounded memory: buckets of bucketWays,
// newest first; a full bucket drops its oldest. The hash 0 marks a free place.
type blockSet struct {
	buckets [][bucketWays]uint64
	count   int
	// suspect says that the set is only half believed.
	suspect bool
	// frozen says that a snapshot may read the set, so that it must be copied
	// before a change.
	frozen bool
}

// newBlockSet returns a set for at least n blocks.
func newBlockSet(n int) *blockSet {
	buckets := 1
	for buckets*bucketWays < n {
		buckets *= 2
	}
	return &blockSet{buckets: make([][bucketWays]uint64, buckets)}
}

// capacity returns how many blocks the set can hold.
func (s *blockSet) capacity() int { return len(s.buckets) * bucketWays }

// writable returns the set itself, or a copy when a snapshot may read it.
func (s *blockSet) writable() *blockSet {
	if !s.frozen {
		return s
	}
	return &blockSet{buckets: slices.Clone(s.buckets), count: s.count, suspect: s.suspect}
}

func (s *blockSet) bucket(block uint64) *[bucketWays]uint64 {
	return &s.buckets[block&uint64(len(s.buckets)-1)]
}

func (s *blockSet) has(block uint64) bool {
	return block != 0 && slices.Contains(s.bucket(block)[:], block)
}

// store puts block in front of its bucket.
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

// evict takes block out of its bucket.
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

// leading returns how many leading blocks of prefix the set holds, less for a
// suspect set.
func (s *blockSet) leading(prefix []uint64) int {
	n := 0
	for n < len(prefix) && s.has(prefix[n]) {
		n++
	}
	if s.suspect {
		return n / 2
	}
	return n
}
