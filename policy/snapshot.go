package policy

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// PrefixIndex tells how much of a prompt a replica is believed to hold. It is
// immutable, and wrong within the error that package board states.
type PrefixIndex interface {
	// CachedBlocks returns how many leading blocks of prefix the replica holds.
	CachedBlocks(replica string, prefix []uint64) int
}

// The parts of the reserve policy that PolicyConfig.Disable can switch off.
const (
	PartDecodeFirst  = "decode-first"
	PartHeadroom     = "headroom"
	PartPrefix       = "prefix"
	PartEarlyRefusal = "early-refusal"
	PartQueue        = "queue"
)

// Snapshot is everything a decision reads. It is immutable after it is built.
type Snapshot struct {
	// Bundle is the version in force, and Number its number.
	Bundle *bundle.Bundle
	Number uint64
	// At is when the snapshot was built.
	At time.Time
	// Prefix is the prefix index; nil means nothing is known.
	Prefix PrefixIndex

	pools      map[string]*Pool
	parts      parts
	meanWeight float64
}

// parts says which mechanisms of the reserve policy are on.
type parts struct {
	decodeFirst, headroom, prefix, earlyRefusal, queue bool
}

// NewSnapshot returns a snapshot over replicas, which may take new work: joining
// and leaving upstreams must have been left out by the caller. It keeps replicas.
func NewSnapshot(b *bundle.Bundle, number uint64, at time.Time, replicas []Replica, prefix PrefixIndex) *Snapshot {
	members := map[string][]*Replica{}
	for i := range replicas {
		r := &replicas[i]
		members[r.Pool] = append(members[r.Pool], r)
	}
	pools := make(map[string]*Pool, len(members))
	for name, list := range members {
		pools[name] = NewPool(list, at, b.Policy.UrgentHeadroom)
	}
	return AssembleSnapshot(b, number, at, pools, prefix, MeanWeight(b))
}

// AssembleSnapshot returns a snapshot over pools that were built before. Pools
// are immutable, so that a writer may share those that did not change between
// snapshots. meanWeight is MeanWeight of the bundle, which is worth keeping.
func AssembleSnapshot(b *bundle.Bundle, number uint64, at time.Time, pools map[string]*Pool, prefix PrefixIndex, meanWeight float64) *Snapshot {
	off := b.Policy.Disable
	return &Snapshot{
		Bundle: b, Number: number, At: at, Prefix: prefix,
		pools:      pools,
		meanWeight: meanWeight,
		parts: parts{
			decodeFirst:  !slices.Contains(off, PartDecodeFirst),
			headroom:     !slices.Contains(off, PartHeadroom),
			prefix:       !slices.Contains(off, PartPrefix),
			earlyRefusal: !slices.Contains(off, PartEarlyRefusal),
			queue:        !slices.Contains(off, PartQueue),
		},
	}
}

// MeanWeight returns the mean weight of the bundle's teams; 1 when it has none.
func MeanWeight(b *bundle.Bundle) float64 {
	if len(b.Teams) == 0 {
		return 1
	}
	sum := 0
	for _, t := range b.Teams {
		sum += max(t.Weight, 1)
	}
	return float64(sum) / float64(len(b.Teams))
}

// Pool returns the replicas of a pool that may take new work, or nil. Callers
// must not change them.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }
