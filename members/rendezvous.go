package members

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight returns the rendezvous-hashing weight of a candidate for a key, both given
// by their hashes. A key belongs to the candidate with the highest weight, so
// that the removal of a candidate moves only the keys that belonged to it.
func weight(key, candidate uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], candidate)
	return xxhash.Sum64(b[:])
}

// highestWeight returns the candidate with the highest weight for key; ok is false
// if there are no candidates.
func highestWeight(key uint64, candidates []Member) (best Member, ok bool) {
	var maxWeight uint64
	for i := range candidates {
		w := weight(key, candidates[i].hash)
		if !ok || w > maxWeight {
			best, maxWeight, ok = candidates[i], w, true
		}
	}
	return best, ok
}

// topN returns up to n candidates with the highest weights for key, highest first.
func topN(key uint64, candidates []Member, n int) []Member {
	type ranked struct {
		weight uint64
		index  int
	}
	order := make([]ranked, len(candidates))
	for i := range candidates {
		order[i] = ranked{weight(key, candidates[i].hash), i}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	var out []Member
	for _, r := range order[:min(n, len(order))] {
		out = append(out, candidates[r.index])
	}
	return out
}

// inTopN reports whether fewer than n candidates have a higher weight for key
// than m.
func inTopN(key uint64, candidates []Member, m Member, n int) bool {
	ownWeight := weight(key, m.hash)
	above := 0
	for i := range candidates {
		if weight(key, candidates[i].hash) > ownWeight {
			above++
		}
	}
	return above < n
}
