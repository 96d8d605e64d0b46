package policy

import (
	"slices"
	"time"
)

// Admission says whether a request may ask for a decode slot, where requests that wait for one are
// admitted in turns over all daemons (see package admission).
type Admission uint8

const (
	// AdmissionOff leaves the order to this daemon's own queue.
	AdmissionOff Admission = iota
	// AdmissionOpen permits the request to ask. If it is to wait, it will wait for a turn.
	AdmissionOpen
	// AdmissionWaits makes the request wait for its turn.
	AdmissionWaits
	// AdmissionTurn permits the request to ask, whoever waits ahead of it in this daemon's queue.
	AdmissionTurn
)

// orderedRecheckInterval is how often a request that waits for its turn is planned again, which
// refuses one that can no longer meet its target.
const orderedRecheckInterval = 250 * time.Millisecond

// pickNamedDecode picks the decode engine that the request's turn names, even if it looks full from
// here. It returns false if the turn names none, or if the engine cannot be used.
func (d *decision) pickNamedDecode(p *Pool) (decodeChoice, bool) {
	if d.query.Engine == "" {
		return decodeChoice{}, false
	}
	i := slices.IndexFunc(p.all.replicas, func(r *Replica) bool { return r.Name == d.query.Engine })
	if i < 0 || !d.usable(p.all.replicas[i]) {
		return decodeChoice{}, false
	}
	d.considered++
	r := p.all.replicas[i]
	// The last reported load may still contain the request whose end made room.
	return d.costDecode(r, min(d.usedSlots(r), max(slotLimit(r)-1, 0))), true
}
