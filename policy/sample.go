package policy

import "math/rand/v2"

// The number of replicas sampled for a choice. Two are enough to balance load. A third makes
// the choice less sensitive to a single stale load report at little cost. See
// docs/design/policy.md for measurements.
const (
	decodeChoices  = 3
	prefillChoices = 3
	serviceChoices = 2
	// maxSampleRounds bounds how often a decision samples when this daemon's own requests have
	// filled all replicas of a sample.
	maxSampleRounds = 3
	// scanLimit is the pool size up to which all replicas are scanned, for a cached prefix or
	// when all sampled replicas are full.
	scanLimit = 16
	// maxCandidates bounds the number of candidates of one round.
	maxCandidates = scanLimit + prefillChoices
)

// candidates is a set of a few replicas, of fixed size to avoid heap allocation.
type candidates struct {
	list [maxCandidates]*Replica
	n    int
}

// add adds r unless it is already in the set or the set is full.
func (c *candidates) add(r *Replica) {
	for _, have := range c.list[:c.n] {
		if have == r {
			return
		}
	}
	if c.n < len(c.list) {
		c.list[c.n] = r
		c.n++
	}
}

// sample adds up to count random replicas of from. It makes at most 2*count draws, so that it
// terminates when most of from is already in the set.
func (c *candidates) sample(from []*Replica, count int, rng *rand.Rand) {
	if len(from) <= count {
		for _, r := range from {
			c.add(r)
		}
		return
	}
	want := c.n + count
	for range 2 * count {
		c.add(from[rng.IntN(len(from))])
		if c.n >= want {
			return
		}
	}
}

// jumpHash returns the bucket of key among n buckets by Lamping and Veach's jump consistent
// hash. When n grows by one, a fraction 1/n of the keys moves.
func jumpHash(key uint64, n int) int {
	b, j := int64(-1), int64(0)
	for j < int64(n) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}
