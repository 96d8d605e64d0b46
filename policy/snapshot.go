package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// PrefixIndex tells how much of a prompt a replica is believed to hold. It is
// immutable, and wrong within the error that package board states.
type PrefixIndex interface {
	// CachedBlocks returns how many leading blocks of prefix the replica holds.
	CachedBlocks(replica string, prefix []uint64) int
}

// Snapshot is everything a decision reads. It is immutable after Build.
type Snapshot struct {
	// Bundle is the version in force, and Number its number.
	Bundle *bundle.Bundle
	Number uint64
	// At is when the snapshot was built.
	At time.Time
	// Prefix is the prefix index; nil means nothing is known.
	Prefix PrefixIndex

	pools map[string][]Replica
}

// NewSnapshot returns a snapshot over replicas, which may take new work: joining
// and leaving upstreams must have been left out by the caller. It keeps replicas.
func NewSnapshot(b *bundle.Bundle, number uint64, at time.Time, replicas []Replica, prefix PrefixIndex) *Snapshot {
	s := &Snapshot{Bundle: b, Number: number, At: at, Prefix: prefix, pools: map[string][]Replica{}}
	for _, r := range replicas {
		s.pools[r.Pool] = append(s.pools[r.Pool], r)
	}
	return s
}

// Pool returns the replicas of a pool that may take new work. Callers must not
// change the slice.
func (s *Snapshot) Pool(name string) []Replica { return s.pools[name] }
