package relay

import (
	"slices"
	"time"
)

// Part returns the part of one daemon of this data centre in what all daemons share: each
// data centre has as much as any other, and in it each daemon that was ever known. It is 0
// while this daemon has heard of no other.
//
// What goes wrong if parts follow the number of all daemons: a reader that has just started
// knows few of the other data centres, and takes their part for its own.
func (r *Roster) Part(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.daemons(now); len(r.entries) == 0 && r.most <= 1 {
		return 0
	}
	return 1 / float64(max(1, len(r.dataCentres))*max(1, r.near))
}

// Near returns how many daemons this data centre has, as far as it was ever known in this
// life.
func (r *Roster) Near(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons(now)
	return r.near
}

// NearKnown takes how many daemons of this data centre another one of it knows.
//
// What goes wrong otherwise: a reader that was started again has heard of few, and takes
// the time of those who turn to it for a larger part than theirs.
func (r *Roster) NearKnown(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.near = max(r.near, n)
}

// Keepers returns the daemons that may hold what others have accrued, the likeliest first:
// the one that holds this one's time, the reader of this data centre and those of the
// others, and in a small fleet, in which each accrues for itself, all that are told of.
func (r *Roster) Keepers(now time.Time, holder Peer) []Peer {
	lenders := r.Lenders(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.daemons(now) < minFleet {
		return lenders
	}
	out := r.others(now)
	if r.leads {
		return out
	}
	if len(lenders) > 0 && lenders[0].Address != holder.Address {
		out = slices.Insert(out, 0, lenders[0])
	}
	if holder.Address != "" && !r.isSilent(now, holder.Address) {
		out = slices.Insert(out, 0, holder)
	}
	return out
}
