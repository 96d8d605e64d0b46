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
	// over says that no free slot was known and the engine is asked all the same.
	over bool
}

// pickDecode returns the cheapest of a few decode engines with a free slot, from
// the daemon's own data centre when it has any.
func (d *decision) pickDecode(p *Pool) (decodeChoice, *errkind.Error) {
	if p.Len() == 0 {
		return decodeChoice{}, d.noUpstream(p)
	}
	for _, g := range [...]*group{p.group(d.q.DataCentre), &p.whole} {
		if c, ok := d.pickDecodeIn(p, g); ok {
			return c, nil
		}
	}
	if !d.parts.earlyRefusal {
		return d.pickOverSlots(p)
	}
	if !d.anyUsable(p) {
		return decodeChoice{}, d.noUpstream(p)
	}
	return decodeChoice{}, d.overloaded(p)
}

// pickDecodeIn samples the replicas of g that have a free slot by their last
// load. This daemon's own work may have filled all that it draws; it then draws
// again, and looks at everything when the pool is small.
func (d *decision) pickDecodeIn(p *Pool, g *group) (decodeChoice, bool) {
	if g == nil {
		return decodeChoice{}, false
	}
	list := g.open
	if d.keepsHeadroom() {
		list = g.roomy
	}
	for range maxRounds {
		var c candidates
		c.draw(list, decodeChoices, d.rng)
		if best, ok := d.bestDecode(p, c.list[:c.n]); ok {
			return best, true
		}
		if len(list) <= decodeChoices {
			return decodeChoice{}, false
		}
	}
	if len(list) <= scanLimit {
		return d.bestDecode(p, list)
	}
	return decodeChoice{}, false
}

// keepsHeadroom says whether this request must leave the headroom alone.
func (d *decision) keepsHeadroom() bool {
	return d.parts.headroom && d.q.Class != bundle.Urgent
}

func (d *decision) bestDecode(p *Pool, list []*Replica) (decodeChoice, bool) {
	var best decodeChoice
	for _, r := range list {
		d.looked++
		c, ok := d.scoreDecode(p, r)
		if ok && (best.replica == nil || c.score < best.score) {
			best = c
		}
	}
	return best, best.replica != nil
}

// scoreDecode returns the cost of r, or false when it may not take the request.
func (d *decision) scoreDecode(p *Pool, r *Replica) (decodeChoice, bool) {
	if !d.usable(r) {
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

// costDecode scores r by predicted time between tokens, how full it is, its
// data centre and its weight.
func (d *decision) costDecode(r *Replica, used int) decodeChoice {
	step := stepAt(r, used+1)
	fill := float64(used) / float64(slotLimit(r))
	score := float64(step) * (1 + fill) * remote(r, d.q.DataCentre) / weight(r)
	return decodeChoice{replica: r, step: step, score: score}
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
