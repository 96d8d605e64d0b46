package policy

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// PrefixIndex estimates how much of a prompt each replica has cached, in blocks of a fixed
// number of tokens. It is immutable. Package board states its error bounds.
type PrefixIndex interface {
	// CachedBlocks returns how many leading blocks of prefix the replica has cached.
	CachedBlocks(replica string, prefix []uint64) int
}

// The features of the reserve policy that PolicyConfig.Disable can switch off.
const (
	FeatureDecodeFirst  = "decode-first"  // reserve a decode slot before prefill starts
	FeatureHeadroom     = "headroom"      // reserve some decode slots for urgent requests
	FeaturePrefix       = "prefix"        // prefer prefill engines with a cached prefix
	FeatureEarlyRefusal = "early-refusal" // refuse requests predicted to miss their targets
	FeatureQueue        = "queue"         // let requests wait for a free slot
)

// Snapshot is the immutable input that decisions share: the bundle and the replicas' state.
type Snapshot struct {
	// Bundle is the current bundle, and Number its version number.
	Bundle *bundle.Bundle
	Number uint64
	// At is when the snapshot was built.
	At time.Time
	// Prefix is the prefix index; nil means that no cached prefix is known.
	Prefix PrefixIndex

	pools      map[string]*Pool
	features   features
	meanWeight float64
}

// features holds which optional features of the reserve policy are enabled.
type features struct {
	decodeFirst, headroom, prefix, earlyRefusal, queue bool
}

// NewSnapshot returns a snapshot of replicas that may take new work: the caller must leave
// out joining and leaving upstreams. It retains the slice.
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

// AssembleSnapshot returns a snapshot of existing pools. Pools are immutable, so consecutive
// snapshots may share those that did not change. meanWeight is MeanWeight of the bundle,
// which callers compute once per bundle.
func AssembleSnapshot(b *bundle.Bundle, number uint64, at time.Time, pools map[string]*Pool, prefix PrefixIndex, meanWeight float64) *Snapshot {
	off := b.Policy.Disable
	return &Snapshot{
		Bundle: b, Number: number, At: at, Prefix: prefix,
		pools:      pools,
		meanWeight: meanWeight,
		features: features{
			decodeFirst:  !slices.Contains(off, FeatureDecodeFirst),
			headroom:     !slices.Contains(off, FeatureHeadroom),
			prefix:       !slices.Contains(off, FeaturePrefix),
			earlyRefusal: !slices.Contains(off, FeatureEarlyRefusal),
			queue:        !slices.Contains(off, FeatureQueue),
		},
	}
}

// MeanWeight returns the mean weight of the bundle's teams, or 1 when it has none.
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

// Pool returns the replicas of a pool that may take new work, or nil. Callers must not
// modify them.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }
