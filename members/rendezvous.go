package members

import (
	"encoding/binary"

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
