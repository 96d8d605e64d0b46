package policy

import (
	"math/rand/v2"

	"github.com/corianderturn/corianderturn/errkind"
)

// PickService implements Policy. It picks the cheaper of two sampled replicas by load,
// including this daemon's own calls, data centre and weight. If the replicas queue calls and
// state their pace, it picks by the query's forecast instead.
func (reserve) PickService(s *Snapshot, in Inflight, service string, q Query, rng *rand.Rand) (ServicePlan, *errkind.Error) {
	d := decision{snapshot: s, inflight: in, query: &q, rng: rng, features: s.features}
	p, err := d.servicePool(service)
	if err != nil {
		return ServicePlan{}, err
	}
	if p.membersQueue() && q.Forecast.Ready(q.Now) && !d.onTrial(p.all.replicas[0]) {
		return d.planByForecast(p)
	}
	groups := p.localThenAll(q.DataCentre)
	if p.membersQueue() {
		// Replicas that queue without limit get no preference for being local: waiting in a
		// local queue takes longer than a call to an idle replica in another data centre.
		groups[0] = &emptyGroup
	}
	for _, g := range groups {
		if best := d.bestService(g.withFreeSlot); best != nil {
			return d.servicePlan(best, d.serviceReason(best)), nil
		}
	}
	if !d.anyUsable(p) {
		return ServicePlan{}, d.refuseNoUpstream(p)
	}
	return ServicePlan{}, d.refuse(errkind.Overloaded, "every replica of the service is full", minRetryAfter)
}

// servicePool returns the pool of a service, after checking the team's limit.
func (d *decision) servicePool(service string) (*Pool, *errkind.Error) {
	svc, ok := d.snapshot.Bundle.Services[service]
	if !ok {
		return nil, errkind.New(errkind.UnknownModel, "the service is not in the bundle in force")
	}
	if err := d.checkTeamLimit(); err != nil {
		return nil, err
	}
	return d.available(d.snapshot.pools[svc.Pool])
}

// bestService returns the cheapest of two sampled replicas. It samples again when both are
// full or excluded, and finally scans a list of up to scanLimit replicas.
func (d *decision) bestService(list []*Replica) *Replica {
	for range maxSampleRounds {
		var c candidates
		c.sample(list, serviceChoices, d.rng)
		if best := d.cheapestService(c.list[:c.n]); best != nil {
			return best
		}
	}
	if len(list) > scanLimit {
		return nil
	}
	return d.cheapestService(list)
}

// cheapestService returns the replica with the lowest utilization, adjusted for its data
// centre and weight, or nil when all are full or excluded.
func (d *decision) cheapestService(list []*Replica) *Replica {
	var best *Replica
	var least float64
	for _, r := range list {
		d.considered++
		if !d.usable(r) {
			continue
		}
		used := d.usedSlots(r)
		if used >= slotLimit(r) {
			continue
		}
		cost := float64(used+1) / float64(max(r.Slots, 1)) * remoteFactor(r, d.query.DataCentre) / effectiveWeight(r)
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	return best
}

// serviceReason returns why r is called.
func (d *decision) serviceReason(r *Replica) string {
	if d.onTrial(r) {
		return reasonTrial
	}
	return reasonLeastCost
}

// servicePlan returns the plan to call r.
func (d *decision) servicePlan(r *Replica, reason string) ServicePlan {
	return ServicePlan{
		Replica:    *r,
		Candidates: d.considered,
		LoadAge:    loadAge(r, d.query.Now),
		Reason:     reason,
	}
}
