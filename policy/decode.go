package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// decodeChoice is the decode engine of a plan.
type decodeChoice struct {
	replica *Replica
	// step is the predicted time between tokens with this request in the batch.
	step  time.Duration
	score float64
	// headroom says that the slot is one that drafts may not take.
	headroom bool
	// pause says that one of this daemon's own drafts must be paused for the slot.
	pause bool
	// over says that no free slot was known and the engine is asked all the same.
	over bool
}

// pickDecode returns the cheapest of a few decode engines with a free slot, from
// the daemon's own data centre when one there meets the target.
func (d *decision) pickDecode(p *Pool) (decodeChoice, *errkind.Error) {
	if p.Len() == 0 {
		return decodeChoice{}, d.noUpstream(p)
	}
	var best decodeChoice
	for _, g := range p.nearThenWhole(d.q.DataCentre) {
		best = d.pickDecodeIn(p, g, best)
		if best.replica != nil && d.within(best.step, d.target.BetweenTokens()) {
			return best, nil
		}
	}
	if best.replica != nil {
		return best, nil
	}
	if c, ok := d.pickByPausing(p); ok {
		return c, nil
	}
	if !d.parts.earlyRefusal {
		return d.pickOverSlots(p)
	}
	if !d.anyUsable(p) {
		return decodeChoice{}, d.noUpstream(p)
	}
	return decodeChoice{}, d.overloaded(p)
}

// pickDecodeIn returns the cheapest of best and a few replicas of g that have a
// free slot by their last load. This daemon's own work may have filled all that
// it draws; it then draws again, and looks at the whole of a small group.
func (d *decision) pickDecodeIn(p *Pool, g *group, best decodeChoice) decodeChoice {
	list := g.open
	if d.keepsHeadroom() {
		list = g.roomy
	}
	for range maxRounds {
		var c candidates
		c.draw(list, decodeChoices, d.rng)
		best = d.cheaperDecode(p, c.list[:c.n], best)
		if best.replica != nil || len(list) <= decodeChoices {
			return best
		}
	}
	if len(list) <= scanLimit {
		best = d.cheaperDecode(p, list, best)
	}
	return best
}

// keepsHeadroom says whether this request must leave the headroom alone.
func (d *decision) keepsHeadroom() bool {
	return d.parts.headroom && d.q.Class != bundle.Urgent
}

func (d *decision) cheaperDecode(p *Pool, list []*Replica, best decodeChoice) decodeChoice {
	for _, r := range list {
		d.looked++
		c, ok := d.scoreDecode(p, r)
		if ok && (best.replica == nil || c.score < best.score) {
			best = c
		}
	}
	return best
}

// scoreDecode returns the cost of r, or false when it may not take the request.
func (d *decision) scoreDecode(p *Pool, r *Replica) (decodeChoice, bool) {
	if !d.usable(r) {
		return decodeChoice{}, false
	}
	if !d.fits(r) {
		return decodeChoice{}, false
	}
	used := d.used(r)
	free := slotLimit(r) - used
	kept := reservedSlots(r.Slots, p.headroom)
	if free <= 0 || (d.keepsHeadroom() && free <= kept) {
		return decodeChoice{}, false
	}
	c := d.costDecode(r, used)
	c.headroom = free <= kept
	return c, true
}

// fits says whether r may have the memory that the request needs, by what this
// daemon holds there itself and by what r refused a moment ago.
func (d *decision) fits(r *Replica) bool {
	if d.in.Full(r.Name, d.q.Now) {
		return false
	}
	if r.MemoryTokens <= 0 {
		return true
	}
	_, held := d.in.Upstream(r.Name, time.Time{})
	return held+d.q.HoldTokens <= r.MemoryTokens
}

// costDecode scores r by predicted time between tokens, how full it is, its
// data centre and its weight.
func (d *decision) costDecode(r *Replica, used int) decodeChoice {
	step := stepAt(r, used+1)
	fill := float64(used) / float64(slotLimit(r))
	score := float64(step) * (1 + fill) * remote(r, d.q.DataCentre) / weight(r)
	return decodeChoice{replica: r, step: step, score: score}
}

// pickByPausing returns a full engine on which an urgent request may have the
// slot of one of this daemon's own drafts. The draft keeps its memory and goes
// on when a slot is free again.
func (d *decision) pickByPausing(p *Pool) (decodeChoice, bool) {
	if d.q.Class != bundle.Urgent || !d.parts.headroom {
		return decodeChoice{}, false
	}
	for _, g := range p.nearThenWhole(d.q.DataCentre) {
		for range maxRounds {
			var c candidates
			c.draw(g.all, decodeChoices, d.rng)
			if best := d.bestPausable(c.list[:c.n]); best.replica != nil {
				return best, true
			}
		}
		if len(g.all) > scanLimit {
			continue
		}
		if best := d.bestPausable(g.all); best.replica != nil {
			return best, true
		}
	}
	return decodeChoice{}, false
}

func (d *decision) bestPausable(list []*Replica) decodeChoice {
	var best decodeChoice
	for _, r := range list {
		d.looked++
		if !d.usable(r) || d.in.Pausable(r.Name) == 0 {
			continue
		}
		c := d.costDecode(r, max(0, d.used(r)-1))
		c.pause = true
		if best.replica == nil || c.score < best.score {
			best = c
		}
	}
	return best
}

// pickOverSlots is the ablation of early refusal: it asks the least full of a
// few engines although none has a free slot.
func (d *decision) pickOverSlots(p *Pool) (decodeChoice, *errkind.Error) {
	var c candidates
	c.draw(p.whole.all, decodeChoices, d.rng)
	var best decodeChoice
	for _, r := range c.list[:c.n] {
		if !d.usable(r) {
			continue
		}
		if got := d.costDecode(r, d.used(r)); best.replica == nil || got.score < best.score {
			best = got
		}
	}
	if best.replica == nil {
		return best, d.noUpstream(p)
	}
	best.over = true
	return best, nil
}

// anyUsable says whether excluding left anything of the pool. It ends early:
// at most len(q.Exclude) members are excluded.
func (d *decision) anyUsable(p *Pool) bool {
	for _, r := range p.whole.all {
		if d.usable(r) {
			return true
		}
	}
	return false
}
