package policy

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/corianderturn/corianderturn/errkind"
)

// The baselines are the policies that the reserve policy is compared with. They observe the
// same constraints: no excluded, joining or leaving upstream, no ejected one except on trial, and
// the team's limit of requests in flight. They start prefill before a decode slot is reserved and
// leave it to the engines to refuse requests.

// roundRobin picks the members of a pool in rotation.
type roundRobin struct{ cursor atomic.Uint64 }

// Name implements Policy.
func (*roundRobin) Name() string { return NameRoundRobin }

// Plan implements Policy.
func (b *roundRobin) Plan(s *Snapshot, in Inflight, q Query, rng *rand.Rand) (Plan, *errkind.Error) {
	d := newBaselineDecision(s, in, &q, rng)
	return d.planBaseline(b.nextUsable, NameRoundRobin)
}

// PickService implements Policy.
func (b *roundRobin) PickService(s *Snapshot, in Inflight, service string, q Query, rng *rand.Rand) (ServicePlan, *errkind.Error) {
	d := newBaselineDecision(s, in, &q, rng)
	return d.pickServiceBaseline(service, b.nextUsable, NameRoundRobin)
}

// nextUsable advances the cursor and returns the first usable member from there.
func (b *roundRobin) nextUsable(d *decision, list []*Replica) *Replica {
	start := b.cursor.Add(1)
	for i := range list {
		r := list[(start+uint64(i))%uint64(len(list))]
		d.considered++
		if d.usable(r) {
			return r
		}
	}
	return nil
}

// leastLoaded picks the member with the lowest load: its last report plus the requests that
// this daemon started there since. It scans the whole pool.
type leastLoaded struct{}

// Name implements Policy.
func (leastLoaded) Name() string { return NameLeastLoaded }

// Plan implements Policy.
func (leastLoaded) Plan(s *Snapshot, in Inflight, q Query, rng *rand.Rand) (Plan, *errkind.Error) {
	d := newBaselineDecision(s, in, &q, rng)
	return d.planBaseline(pickLeastLoaded, NameLeastLoaded)
}

// PickService implements Policy.
func (leastLoaded) PickService(s *Snapshot, in Inflight, service string, q Query, rng *rand.Rand) (ServicePlan, *errkind.Error) {
	d := newBaselineDecision(s, in, &q, rng)
	return d.pickServiceBaseline(service, pickLeastLoaded, NameLeastLoaded)
}

// pickLeastLoaded returns the usable member with the lowest load. It starts at a random
// member, so that daemons with the same reports do not all pick the same one of several
// equally loaded members.
func pickLeastLoaded(d *decision, list []*Replica) *Replica {
	var best *Replica
	var load int
	start := d.rng.IntN(len(list))
	for i := range list {
		r := list[(start+i)%len(list)]
		d.considered++
		if !d.usable(r) {
			continue
		}
		if used := d.usedSlots(r); best == nil || used < load {
			best, load = r, used
		}
	}
	return best
}

// newBaselineDecision returns a decision with all optional features of the reserve policy off.
func newBaselineDecision(s *Snapshot, in Inflight, q *Query, rng *rand.Rand) *decision {
	return &decision{snapshot: s, inflight: in, query: q, rng: rng, target: q.target(s.Bundle)}
}

// selectFunc picks a usable member from a non-empty list, or returns nil.
type selectFunc func(d *decision, list []*Replica) *Replica

// planBaseline plans a completion on the prefill and the decode engine that pick returns.
func (d *decision) planBaseline(pick selectFunc, reason string) (Plan, *errkind.Error) {
	model, ok := d.snapshot.Bundle.Models[d.query.Model]
	if !ok {
		return Plan{}, errkind.New(errkind.UnknownModel, "the model is not in the bundle in force")
	}
	if err := d.checkTeamLimit(); err != nil {
		return Plan{}, err
	}
	prefill, err := d.selectFrom(model.PrefillPool, d.query.Version, pick)
	if err != nil {
		return Plan{}, err
	}
	decode, err := d.selectFrom(model.DecodePool, prefill.Version, pick)
	if err != nil {
		return Plan{}, err
	}
	dc := d.costDecode(decode, d.usedSlots(decode))
	pc := d.costPrefill(prefill, decode, model.KVBytesPerToken*int64(d.query.PromptTokens))
	plan := d.plan(dc, pc)
	plan.PrefillFirst = true
	plan.Reason = reason
	return plan, nil
}

// selectFrom applies pick to the members of the named pool that have a software version.
func (d *decision) selectFrom(pool, version string, pick selectFunc) (*Replica, *errkind.Error) {
	p, err := d.available(d.snapshot.pools[pool].OfVersion(version))
	if err != nil {
		return nil, err
	}
	if r := pick(d, p.all.replicas); r != nil {
		return r, nil
	}
	return nil, d.refuseNoUpstream(p)
}

// pickServiceBaseline picks a replica of a plain service with pick.
func (d *decision) pickServiceBaseline(service string, pick selectFunc, reason string) (ServicePlan, *errkind.Error) {
	p, err := d.servicePool(service)
	if err != nil {
		return ServicePlan{}, err
	}
	if r := pick(d, p.all.replicas); r != nil {
		return d.servicePlan(r, reason), nil
	}
	return ServicePlan{}, d.refuseNoUpstream(p)
}
