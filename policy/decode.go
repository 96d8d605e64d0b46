package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// decodeChoice is a candidate decode engine with its predicted cost.
type decodeChoice struct {
	replica *Replica
	// step is the predicted time between tokens once this request is in the batch.
	step  time.Duration
	score float64
	// usesHeadroom is set when the slot is in the headroom that drafts may not use.
	usesHeadroom bool
	// pauseDraft is set when one of this daemon's own drafts must be paused to free the slot.
	pauseDraft bool
	// overSlots is set when no free slot was found and the engine is used regardless.
	overSlots bool
}

// pickDecode returns the cheapest of a few sampled decode engines with a free slot. It
// prefers the daemon's own data centre when an engine there meets the target.
func (d *decision) pickDecode(p *Pool) (decodeChoice, *errkind.Error) {
	if best := d.pickFreeDecode(p); best.replica != nil {
		return best, nil
	}
	if c, ok := d.pickByPausing(p); ok {
		return c, nil
	}
	if !d.features.earlyRefusal {
		return d.pickOverSlots(p)
	}
	if !d.anyUsable(p) {
		return decodeChoice{}, d.refuseNoUpstream(p)
	}
	return decodeChoice{}, d.refuseOverloaded(p)
}

// pickFreeDecode returns the cheapest engine with a free slot; its replica is nil when there is none.
// A request that begins a stream leaves room at versions of which few engines are left, unless no
// other engine has a free slot.
func (d *decision) pickFreeDecode(p *Pool) decodeChoice {
	if d.leaveRoom = d.query.Version == "" && p.mixed(); d.leaveRoom {
		best := d.pickDecodeInGroups(p)
		d.leaveRoom = false
		if best.replica != nil {
			return best
		}
	}
	return d.pickDecodeInGroups(p)
}

// pickDecodeInGroups prefers the daemon's own data centre when an engine there meets the target.
func (d *decision) pickDecodeInGroups(p *Pool) (best decodeChoice) {
	for _, g := range p.localThenAll(d.query.DataCentre) {
		best = d.pickDecodeIn(p, g, best)
		if best.replica != nil && d.withinTarget(best.step, d.target.BetweenTokens()) {
			return best
		}
	}
	return best
}

// pickDecodeIn returns the cheapest of best and a few sampled replicas of g that have a free
// slot by their last reported load. If this daemon's own requests have filled all sampled
// replicas since, it samples again, and finally scans a group of up to scanLimit replicas.
func (d *decision) pickDecodeIn(p *Pool, g *group, best decodeChoice) decodeChoice {
	list := g.withFreeSlot
	if d.mustLeaveHeadroom() {
		list = g.withDraftSlot
	}
	for range maxSampleRounds {
		var c candidates
		c.sample(list, decodeChoices, d.rng)
		best = d.cheapestDecode(p, c.list[:c.n], best)
		if best.replica != nil || len(list) <= decodeChoices {
			return best
		}
	}
	if len(list) <= scanLimit {
		best = d.cheapestDecode(p, list, best)
	}
	return best
}

// mustLeaveHeadroom reports whether this request may not use slots of the headroom.
func (d *decision) mustLeaveHeadroom() bool {
	return d.features.headroom && d.query.Class != bundle.Urgent
}

// cheapestDecode returns the cheapest of best and the replicas in list that can take the
// request.
func (d *decision) cheapestDecode(p *Pool, list []*Replica, best decodeChoice) decodeChoice {
	for _, r := range list {
		d.considered++
		c, ok := d.scoreDecode(p, r)
		if ok && (best.replica == nil || c.score < best.score) {
			best = c
		}
	}
	return best
}

// scoreDecode returns r as a decode choice, or false when r cannot take the request.
func (d *decision) scoreDecode(p *Pool, r *Replica) (decodeChoice, bool) {
	if !d.usable(r) {
		return decodeChoice{}, false
	}
	if !d.fitsMemory(r) {
		return decodeChoice{}, false
	}
	used := d.usedSlots(r)
	free := slotLimit(r) - used
	reserved := headroomSlots(r.Slots, p.headroom)
	if free <= 0 || (d.mustLeaveHeadroom() && free <= reserved) {
		return decodeChoice{}, false
	}
	if d.leaveRoom && free <= p.roomToLeave(r) {
		return decodeChoice{}, false
	}
	c := d.costDecode(r, used)
	c.usesHeadroom = free <= reserved
	return c, true
}

// fitsMemory reports whether r is expected to have memory for the request, judging by this
// daemon's own requests there and by reservations that r refused recently.
func (d *decision) fitsMemory(r *Replica) bool {
	if d.inflight.Full(r.Name, d.query.Now) {
		return false
	}
	if r.MemoryTokens <= 0 {
		return true
	}
	_, held := d.inflight.Upstream(r.Name, time.Time{})
	return held+d.query.MemoryTokens <= r.MemoryTokens
}

// costDecode scores r by its predicted time between tokens, slot utilization, data centre
// and weight. A lower score is better.
func (d *decision) costDecode(r *Replica, used int) decodeChoice {
	step := predictStep(r, used+1)
	utilization := float64(used) / float64(slotLimit(r))
	score := float64(step) * (1 + utilization) * remoteFactor(r, d.query.DataCentre) / effectiveWeight(r)
	return decodeChoice{replica: r, step: step, score: score}
}

// pickByPausing returns a full engine where an urgent request can take over the slot of one
// of this daemon's own drafts. The paused draft keeps its memory and resumes when a slot is
// free again.
func (d *decision) pickByPausing(p *Pool) (decodeChoice, bool) {
	if d.query.Class != bundle.Urgent || !d.features.headroom {
		return decodeChoice{}, false
	}
	for _, g := range p.localThenAll(d.query.DataCentre) {
		for range maxSampleRounds {
			var c candidates
			c.sample(g.replicas, decodeChoices, d.rng)
			if best := d.cheapestPausable(c.list[:c.n]); best.replica != nil {
				return best, true
			}
		}
		if len(g.replicas) > scanLimit {
			continue
		}
		if best := d.cheapestPausable(g.replicas); best.replica != nil {
			return best, true
		}
	}
	return decodeChoice{}, false
}

// cheapestPausable returns the cheapest engine in list that runs a draft of this daemon that
// can be paused; its replica is nil when there is none.
func (d *decision) cheapestPausable(list []*Replica) decodeChoice {
	var best decodeChoice
	for _, r := range list {
		d.considered++
		if !d.usable(r) || d.inflight.Pausable(r.Name) == 0 {
			continue
		}
		c := d.costDecode(r, max(0, d.usedSlots(r)-1))
		c.pauseDraft = true
		if best.replica == nil || c.score < best.score {
			best = c
		}
	}
	return best
}

// pickOverSlots is used when early refusal is disabled: it returns the cheapest of a few
// sampled engines although none has a free slot.
func (d *decision) pickOverSlots(p *Pool) (decodeChoice, *errkind.Error) {
	var c candidates
	c.sample(p.all.replicas, decodeChoices, d.rng)
	var best decodeChoice
	for _, r := range c.list[:c.n] {
		if !d.usable(r) {
			continue
		}
		if got := d.costDecode(r, d.usedSlots(r)); best.replica == nil || got.score < best.score {
			best = got
		}
	}
	if best.replica == nil {
		return best, d.refuseNoUpstream(p)
	}
	best.overSlots = true
	return best, nil
}

// anyUsable reports whether the pool has a usable member. It looks at no more members than Exclude and
// NoReply list and one more, unless they get requests on trial only.
func (d *decision) anyUsable(p *Pool) bool {
	for _, r := range p.all.replicas {
		if d.usable(r) {
			return true
		}
	}
	return false
}
