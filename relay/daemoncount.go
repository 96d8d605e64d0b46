package relay

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// ShareCount returns the number of daemons by which the fleet's shared limits are divided:
// the largest number known since this process started, plus an estimate for data centres
// without any known daemon. It is 0 while no other daemon is known.
func (r *Roster) ShareCount(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.countDaemons(now); len(r.peers) == 0 && r.maxDaemons <= 1 {
		return 0
	}
	return r.maxShareCount
}

// FleetSize returns the largest number of daemons of the fleet that was known since this
// process started.
func (r *Roster) FleetSize(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countDaemons(now)
}

// countDaemons counts the known daemons, raises maxDaemons, maxShareCount and maxLocalDaemons
// if the counts are larger, and returns maxDaemons.
func (r *Roster) countDaemons(now time.Time) int {
	counts := map[string]int{r.self.DataCentre: r.countIn(now, r.self.DataCentre)}
	for _, e := range r.peers {
		dc := e.peer.DataCentre
		if _, ok := counts[dc]; !ok {
			counts[dc] = r.countIn(now, dc)
		}
		counts[dc] = max(counts[dc], e.daemons)
	}
	r.maxDaemons = max(r.maxDaemons, FleetSize(counts, nil))
	r.maxShareCount = max(r.maxShareCount, FleetSize(counts, r.dataCentres))
	r.maxLocalDaemons = max(r.maxLocalDaemons, counts[r.self.DataCentre])
	return r.maxDaemons
}

// countIn counts the daemons of a data centre whose last contact is less than countTTL ago,
// including this daemon, and drops the entries of all others.
func (r *Roster) countIn(now time.Time, dataCentre string) int {
	n := 0
	if dataCentre == r.self.DataCentre {
		n = 1
	}
	for address, e := range r.peers {
		switch {
		case clock.Elapsed(e.lastSeen, now) >= countTTL:
			delete(r.peers, address)
		case e.peer.DataCentre == dataCentre:
			n++
		}
	}
	return n
}
