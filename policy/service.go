package policy

import (
	"math/rand/v2"

	"github.com/corianderturn/corianderturn/errkind"
)

// PickService implements Policy: the better of two replicas by load, this
// daemon's own calls, data centre and weight.
func (reserve) PickService(s *Snapshot, in Inflight, service string, q Query, rng *rand.Rand) (ServicePlan, *errkind.Error) {
	d := decision{s: s, in: in, q: &q, rng: rng, parts: s.parts}
	p, err := d.servicePool(service)
	if err != nil {
		return ServicePlan{}, err
	}
	groups := p.nearThenWhole(q.DataCentre)
	if p.queues() {
		// Where one replica a data centre queues without end, the near one is not
		// preferred over an idle one elsewhere: its queue takes longer than the way.
		groups[0] = &noGroup
	}
	for _, g := range groups {
		if best := d.bestService(g.open); best != nil {
			return d.servicePlan(best, "least-cost"), nil
		}
	}
	if !d.anyUsable(p) {
		return ServicePlan{}, d.noUpstream(p)
	}
	return ServicePlan{}, d.refuse(errkind.Overloaded, "every replica of the service is full", minRetryAfter)
}

// servicePool returns the pool of a service, after the team's bound.
func (d *decision) servicePool(service string) (*Pool, *errkind.Error) {
	svc, ok := d.s.Bundle.Services[service]
	if !ok {
		return nil, errkind.New(errkind.UnknownModel, "the service is not in the bundle in force")
	}
	if err := d.checkTeam(); err != nil {
		return nil, err
	}
	p := d.s.pools[svc.Pool]
	if p.Len() == 0 {
		return nil, d.noUpstream(p)
	}
	return p, nil
}

// bestService draws two and draws again when both are full or excluded; a small
// pool is then looked at whole.
func (d *decision) bestService(list []*Replica) *Replica {
	for range maxRounds {
		var c candidates
		c.draw(list, serviceChoices, d.rng)
		if best := d.leastCost(c.list[:c.n]); best != nil {
			return best
		}
	}
	if len(list) > scanLimit {
		return nil
	}
	return d.leastCost(list)
}

func (d *decision) leastCost(list []*Replica) *Replica {
	var best *Replica
	var least float64
	for _, r := range list {
		d.looked++
		if !d.usable(r) {
			continue
		}
		used := d.used(r)
		if used >= slotLimit(r) {
			continue
		}
		cost := float64(used+1) / float64(max(r.Slots, 1)) * remote(r, d.q.DataCentre) / weight(r)
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	return best
}

func (d *decision) servicePlan(r *Replica, reason string) ServicePlan {
	return ServicePlan{
		Replica:    *r,
		Candidates: d.looked,
		ViewAge:    viewAge(r, d.q.Now),
		Reason:     reason,
	}
}
