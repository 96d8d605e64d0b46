package policy

import (
	"math"
	"slices"
	"time"
)

// Pool holds the replicas of one pool that may take new work, sorted into lists from which
// decisions sample, so that a decision does not scan the pool to skip ejected or full
// replicas. It is immutable after NewPool.
type Pool struct {
	all  group
	byDC map[string]*group
	// slots and used are sums over the members, by their last reported load.
	slots, used int
	// stepSum is the sum of the members' predicted times between tokens.
	stepSum time.Duration
	// headroom is the share of each replica's slots reserved for urgent requests.
	headroom float64
	// ejectionEnd is the earliest end of an ejection; zero when no replica is ejected.
	ejectionEnd time.Time
	// restEnd is the earliest end of a rest; zero when no replica rests.
	restEnd time.Time
	// silent lists the ejected replicas that may only have been silent for a moment. trial is the
	// pool of these replicas, of any version, if the pool has no members and some are silent;
	// otherwise nil.
	silent []*Replica
	trial  *Pool
	// version is the software version of the members if all have the same one. Otherwise versions
	// holds the pools of the single versions.
	version  string
	versions map[string]*Pool
}

// group holds the members of a pool in one data centre, or all members.
type group struct {
	replicas []*Replica
	// withFreeSlot lists the replicas with a free slot by their last reported load, and
	// withDraftSlot those with a free slot outside the headroom.
	withFreeSlot, withDraftSlot []*Replica
}

// NewPool builds a pool of the given replicas. Replicas that are still ejected or want no requests at
// the given time are no members. headroom is the share of slots, from 0 to 1, reserved for urgent requests.
// NewPool retains the replicas, which must not be modified afterwards.
func NewPool(replicas []*Replica, at time.Time, headroom float64) *Pool {
	p := &Pool{headroom: headroom}
	p.addMembers(p.withoutUnavailable(replicas, at))
	p.splitByVersion(replicas, at)
	if p.Len() == 0 {
		p.trial = newTrialPool(p)
	}
	return p
}

// withoutUnavailable records the replicas that are ejected or rest and returns the others. It makes no
// copy of the list if there are none.
func (p *Pool) withoutUnavailable(replicas []*Replica, at time.Time) []*Replica {
	unavailable := func(r *Replica) bool { return r.EjectedUntil.After(at) || r.RestUntil.After(at) }
	if !slices.ContainsFunc(replicas, unavailable) {
		return replicas
	}
	others := make([]*Replica, 0, len(replicas))
	for _, r := range replicas {
		switch {
		case r.RestUntil.After(at):
			p.restEnd = earliest(p.restEnd, r.RestUntil)
		case r.EjectedUntil.After(at):
			p.addEjected(r)
		default:
			others = append(others, r)
		}
	}
	return others
}

// addMembers adds the replicas that may take new work.
func (p *Pool) addMembers(members []*Replica) {
	p.byDC = map[string]*group{}
	p.all.allocate(len(members))
	sizes := map[string]int{}
	for _, r := range members {
		sizes[r.DataCentre]++
	}
	for name, n := range sizes {
		g := &group{}
		g.allocate(n)
		p.byDC[name] = g
	}
	for _, r := range members {
		p.add(r)
	}
}

// addEjected records an ejected replica.
func (p *Pool) addEjected(r *Replica) {
	p.ejectionEnd = earliest(p.ejectionEnd, r.EjectedUntil)
	if r.Silent {
		p.silent = append(p.silent, r)
	}
}

// allocate creates the lists with capacity for n replicas.
func (g *group) allocate(n int) {
	g.replicas = make([]*Replica, 0, n)
	g.withFreeSlot = make([]*Replica, 0, n)
	g.withDraftSlot = make([]*Replica, 0, n)
}

// earliest returns the earlier of two times; a zero time counts as none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// add adds a replica to the lists and the sums.
func (p *Pool) add(r *Replica) {
	reserved := headroomSlots(r.Slots, p.headroom)
	p.all.add(r, reserved)
	p.byDC[r.DataCentre].add(r, reserved)
	p.slots += r.Slots
	p.used += r.Active + r.Queued
	p.stepSum += predictStep(r, r.Active)
}

// add adds a replica to the lists. reserved is the number of its slots that are reserved for
// urgent requests.
func (g *group) add(r *Replica, reserved int) {
	g.replicas = append(g.replicas, r)
	free := slotLimit(r) - r.Active - r.Queued
	if free > 0 {
		g.withFreeSlot = append(g.withFreeSlot, r)
	}
	if free > reserved {
		g.withDraftSlot = append(g.withDraftSlot, r)
	}
}

// Len returns the number of replicas that may take new work; 0 for a nil pool.
func (p *Pool) Len() int {
	if p == nil {
		return 0
	}
	return len(p.all.replicas)
}

// Replicas returns the members, or nil for a nil pool. Callers must not modify the slice or
// the replicas.
func (p *Pool) Replicas() []*Replica {
	if p == nil {
		return nil
	}
	return p.all.replicas
}

// EarliestEjectionEnd returns the earliest time at which an ejected replica may take work again;
// zero when none is ejected.
func (p *Pool) EarliestEjectionEnd() time.Time { return p.ejectionEnd }

// meanStep returns the mean of the members' predicted times between tokens, or DefaultStep if
// there are no members.
func (p *Pool) meanStep() time.Duration {
	if p.Len() == 0 {
		return DefaultStep
	}
	return p.stepSum / time.Duration(p.Len())
}

// membersQueue reports whether the members queue requests that find no free slot.
func (p *Pool) membersQueue() bool { return p.Len() > 0 && p.all.replicas[0].Queues }

// localThenAll returns the members in the given data centre, possibly none, and then all
// members.
func (p *Pool) localThenAll(dataCentre string) [2]*group {
	local := p.byDC[dataCentre]
	if local == nil {
		local = &emptyGroup
	}
	return [2]*group{local, &p.all}
}

// emptyGroup represents a data centre in which the pool has no members.
var emptyGroup group

// headroomSlots returns how many of a replica's slots are reserved for urgent requests. Any
// positive share reserves at least one slot, but never all of them.
func headroomSlots(slots int, share float64) int {
	if share <= 0 || slots <= 1 {
		return 0
	}
	reserved := int(math.Ceil(share * float64(slots)))
	return min(reserved, slots-1)
}

// slotLimit returns the number of the replica's slots. There is no limit when the replica
// does not state one or queues requests itself.
func slotLimit(r *Replica) int {
	if r.Slots <= 0 || r.Queues {
		return math.MaxInt32
	}
	return r.Slots
}
