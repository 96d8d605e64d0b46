package policy

import "math/rand/v2"

// Choices per decision. Two would do for balance; three give a miss of one
// stale load less weight and cost little. docs/design/policy.md has the figures.
const (
	decodeChoices  = 3
	prefillChoices = 3
	serviceChoices = 2
	// maxRounds bounds how often a decision samples again when this daemon's own
	// work has filled all that it drew.
	maxRounds = 3
	// scanLimit is the pool size up to which every replica is looked at for a
	// cached prefix, or when all that were drawn are full.
	scanLimit = 16
	// maxCandidates bounds the candidates of one round.
	maxCandidates = scanLimit + prefillChoices
)

// candidates is a small set of replicas that lives on the stack.
type candidates struct {
	list [maxCandidates]*Replica
	n    int
}

// add takes r unless it is there already or the set is full.
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

// draw adds up to d replicas of from, drawn at random. It draws at most 2d
// times, so that it ends also when most of from is in the set.
func (c *candidates) draw(from []*Replica, d int, rng *rand.Rand) {
	if len(from) <= d {
		for _, r := range from {
			c.add(r)
		}
		return
	}
	want := c.n + d
	for range 2 * d {
		c.add(from[rng.IntN(len(from))])
		if c.n >= want {
			return
		}
	}
}

// jump returns the bucket of key among n by Lamping and Veach's consistent
// hash: a pool that grows by one moves one key in n.
func jump(key uint64, n int) int {
	b, j := int64(-1), int64(0)
	for j < int64(n) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}
