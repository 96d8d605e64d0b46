package relay

import (
	"slices"
	"time"
)

// Share returns this daemon's share of the fleet's shared limits: an equal share for each
// data centre, divided by the largest number of daemons ever known in this data centre. It
// is 0 while no other daemon is known.
//
// The limits are not divided by the number of all daemons, because a reader that has just
// started knows few daemons of the other data centres and would take their share as well.
func (r *Roster) Share(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.countDaemons(now); len(r.peers) == 0 && r.maxDaemons <= 1 {
		return 0
	}
	return 1 / float64(max(1, len(r.dataCentres))*max(1, r.maxLocalDaemons))
}

// LocalDaemons returns the largest number of daemons known in this data centre since this
// process started.
func (r *Roster) LocalDaemons(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countDaemons(now)
	return r.maxLocalDaemons
}

// RaiseLocalDaemons raises the number of daemons known in this data centre to n, the number
// that another daemon knows, if n is larger.
//
// If the number were not raised, a restarted reader, which knows few daemons, would add
// too many units to its ledger for the time that its followers hand over.
func (r *Roster) RaiseLocalDaemons(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxLocalDaemons = max(r.maxLocalDaemons, n)
}

// LoanCandidates returns the daemons that may have units to lend, in the order in which to
// ask them: lastRecipient, which is the daemon to which this one last handed over time, the
// reader of this data centre, and the readers of the others. In a small fleet, where each
// daemon adds the units of its share to its own ledger, it returns all lenders.
func (r *Roster) LoanCandidates(now time.Time, lastRecipient Peer) []Peer {
	lenders := r.Lenders(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.countDaemons(now) < minFleet {
		return lenders
	}
	out := r.otherReaders(now)
	if r.isReader {
		return out
	}
	if len(lenders) > 0 && lenders[0].Address != lastRecipient.Address {
		out = slices.Insert(out, 0, lenders[0])
	}
	if lastRecipient.Address != "" && !r.isUnreachable(now, lastRecipient) {
		out = slices.Insert(out, 0, lastRecipient)
	}
	return out
}
