package members

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight ranks a candidate for a key, both given by their hashes. The largest
// weight wins, so that a candidate's death moves only its own keys.
func weight(key, candidate uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], candidate)
	return xxhash.Sum64(b[:])
}

// winner returns the candidate with the largest weight for key; ok is false when
// there is none.
func winner(key uint64, candidates []Member) (best Member, ok bool) {
	var top uint64
	for i := range candidates {
		w := weight(key, candidates[i].hash)
		if !ok || w > top {
			best, top, ok = candidates[i], w, true
		}
	}
	return best, ok
}

// top returns the n candidates with the largest weights for key, largest first.
func top(key uint64, candidates []Member, n int) []Member {
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

// among reports whether m is one of the n candidates with the largest weights.
func among(key uint64, candidates []Member, m Member, n int) bool {
	own := weight(key, m.hash)
	above := 0
	for i := range candidates {
		if weight(key, candidates[i].hash) > own {
			above++
		}
	}
	return above < n
}
