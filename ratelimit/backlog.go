package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// backlog counts, by rank, the refused requests that were given a retry time and that the limits
// have not covered yet. A request is covered once the limits would have allowed it after all more
// urgent ones. The zero value is an empty backlog.
type backlog struct {
	byRank    map[int]float64
	updatedAt time.Time
}

// drain removes the requests that the limits have covered since the last call, at a rate in
// requests a second, the most urgent first.
func (b *backlog) drain(now time.Time, rate float64) {
	accrued := rate * now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	for _, rank := range slices.Sorted(maps.Keys(b.byRank)) {
		served := min(accrued, b.byRank[rank])
		accrued -= served
		if b.byRank[rank] -= served; b.byRank[rank] <= 0 {
			delete(b.byRank, rank)
		}
	}
}

// add adds one request, or the fraction of one that keeps its rank and more urgent ones within
// capacity. It returns the number of requests that are at least as urgent, including this one.
func (b *backlog) add(rank int, capacity float64) float64 {
	ahead := 0.0
	for other, n := range b.byRank {
		if other <= rank {
			ahead += n
		}
	}
	added := max(0, min(1, capacity-ahead))
	if b.byRank == nil {
		b.byRank = map[int]float64{}
	}
	b.byRank[rank] += added
	return ahead + added
}
