package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// promises are for how many requests refused callers were told to come back that are still to
// be borne, by the rank of the requests. Its zero value is none.
type promises struct {
	by map[int]float64
	at time.Time // as of when
}

// keep takes off what was accrued since, at a rate in requests a second: what goes first is
// borne first.
func (p *promises) keep(now time.Time, rate float64) {
	accrued := rate * now.Sub(p.at).Seconds()
	p.at = now
	for _, rank := range slices.Sorted(maps.Keys(p.by)) {
		borne := min(accrued, p.by[rank])
		accrued -= borne
		if p.by[rank] -= borne; p.by[rank] <= 0 {
			delete(p.by, rank)
		}
	}
}

// add promises one more request, unless its rank and those before it have been promised most,
// and returns how many go no later than it.
func (p *promises) add(rank int, most float64) float64 {
	sum := 0.0
	for other, n := range p.by {
		if other <= rank {
			sum += n
		}
	}
	one := max(0, min(1, most-sum))
	if p.by == nil {
		p.by = map[int]float64{}
	}
	p.by[rank] += one
	return sum + one
}
