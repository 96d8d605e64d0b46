package policy

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

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

// prefixOwner returns the replica of a non-empty list to which a prefix hashes, by rendezvous
// hashing: the one with the highest hash of prefix and name. Daemons whose lists differ, because
// each knows another subset of the pool or has ejected other replicas, still agree on most
// owners, and a replica that comes or goes moves only its own prefixes.
func prefixOwner(list []*Replica, prefix uint64) *Replica {
	owner, highest := list[0], uint64(0)
	for _, r := range list {
		if h := mixHash(xxhash.Sum64String(r.Name) ^ prefix); h >= highest {
			owner, highest = r, h
		}
	}
	return owner
}

// mixHash spreads the bits of h by the finalizer of MurmurHash3.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
