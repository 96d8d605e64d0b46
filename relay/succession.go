package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Succession returns the succession of a data centre. It leaves out the daemons at the
// addresses in unreachable, which failed to answer the caller.
func (r *Roster) Succession(now time.Time, dataCentre string, unreachable []string) Succession {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Succession{Daemons: r.countDaemons(now)}
	s.ShareCount = r.maxShareCount
	if dataCentre == r.self.DataCentre {
		s.LocalDaemons = r.maxLocalDaemons
	}
	for _, p := range r.otherReaders(now) {
		if p.DataCentre != dataCentre {
			s.Others = append(s.Others, p)
		}
	}
	if r.isReader && r.self.DataCentre != dataCentre {
		s.Others = append(s.Others, r.self)
	}
	if s.Order = r.electOrder(now, dataCentre, unreachable); r.followsReaderIn(dataCentre) {
		s.Order = r.receivedOrder(now, unreachable, s.Order)
	}
	return s
}

// followsReaderIn reports whether this daemon is a follower of the reader of the given data
// centre.
func (r *Roster) followsReaderIn(dataCentre string) bool {
	return dataCentre == r.self.DataCentre && !r.isReader && len(r.received.Order) > 0
}

// receivedOrder returns the reachable daemons of the failover order that another daemon sent
// to this one, or fallback if there are none.
func (r *Roster) receivedOrder(now time.Time, unreachable []string, fallback []Peer) []Peer {
	order := slices.DeleteFunc(slices.Clone(r.received.Order), func(p Peer) bool {
		return r.isUnreachable(now, p) || slices.Contains(unreachable, p.Address)
	})
	if len(order) == 0 {
		return fallback
	}
	return order
}

// candidate is a daemon that may be elected reader.
type candidate struct {
	Peer
	isReader bool
	// known is set if the daemon has been known for takeoverDelay.
	known bool
}

// electOrder returns the reader of a data centre, followed by its successors in failover
// order. The successors are ordered by weight.
func (r *Roster) electOrder(now time.Time, dataCentre string, unreachable []string) []Peer {
	candidates := r.candidates(now, dataCentre, unreachable)
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return byWeight(a.Peer, b.Peer) })
	reader := electReader(candidates)
	order := []Peer{reader}
	for _, c := range candidates {
		if c.Address != reader.Address && len(order) <= maxSuccessors {
			order = append(order, c.Peer)
		}
	}
	return order
}

// candidates returns the reachable daemons of a data centre, in no order. It leaves out those at the
// addresses in unreachable.
func (r *Roster) candidates(now time.Time, dataCentre string, unreachable []string) (out []candidate) {
	add := func(c candidate) {
		if c.DataCentre == dataCentre && !slices.Contains(unreachable, c.Address) && !r.isUnreachable(now, c.Peer) {
			out = append(out, c)
		}
	}
	add(candidate{Peer: r.self, isReader: r.isReader, known: true})
	for _, e := range r.peers {
		if clock.Elapsed(e.lastSeen, now) < peerTTL {
			add(candidate{Peer: e.peer, isReader: e.hasClaim(now), known: now.Sub(e.firstSeen) >= takeoverDelay})
		}
	}
	return out
}

// electReader returns the current reader, the one with the largest weight if there are several, unless a
// daemon of much larger weight has been known for takeoverDelay. Without a reader it returns the daemon with
// the largest weight. The candidates are ordered by weight, and there is at least one.
func electReader(candidates []candidate) Peer {
	reader := slices.IndexFunc(candidates, func(c candidate) bool { return c.isReader })
	if reader < 0 {
		return candidates[0].Peer
	}
	heaviest := slices.IndexFunc(candidates, func(c candidate) bool { return c.known })
	if heaviest >= 0 && float64(candidates[heaviest].Weight) >= takeoverWeightRatio*float64(candidates[reader].Weight) {
		return candidates[heaviest].Peer
	}
	return candidates[reader].Peer
}

// hasClaim reports whether the daemon has a valid claim, and so is a reader.
func (e *knownPeer) hasClaim(now time.Time) bool {
	return !e.claimedAt.IsZero() && clock.Elapsed(e.claimedAt, now) < claimTTL
}

// byWeight orders daemons by descending weight, then by address.
func byWeight(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Address, b.Address))
}
