package policy

import (
	"math"
	"time"
)

// Pool holds the replicas of one pool that may take new work, sorted into the
// lists that decisions sample from, so that a decision never scans the pool to
// step over ejected or full replicas. It is immutable after NewPool.
type Pool struct {
	whole group
	byDC  map[string]*group
	// slots and used are sums over the members by their last known load.
	slots, used int
	// steps sums the predicted steps of the members.
	steps time.Duration
	// headroom is the share of each replica's slots kept for urgent requests.
	headroom float64
	// returns is the earliest end of an ejection; zero when nobody is ejected.
	returns time.Time
}

// group is one data centre's part of a pool, or the whole pool.
type group struct {
	all []*Replica
	// open have a free slot by their last known load; roomy have one that a
	// draft may take.
	open, roomy []*Replica
}

// NewPool sorts replicas into a pool and leaves out those whose ejection ends
// after at. headroom is the share of slots, 0 to 1, kept for urgent requests.
// It keeps the replicas, which must not change any more.
func NewPool(replicas []*Replica, at time.Time, headroom float64) *Pool {
	p := &Pool{byDC: map[string]*group{}, headroom: headroom}
	p.whole.grow(len(replicas))
	sizes := map[string]int{}
	for _, r := range replicas {
		sizes[r.DataCentre]++
	}
	for name, n := range sizes {
		g := &group{}
		g.grow(n)
		p.byDC[name] = g
	}
	for _, r := range replicas {
		if r.NotBefore.After(at) {
			p.noteReturn(r.NotBefore)
			continue
		}
		p.add(r)
	}
	return p
}

func (g *group) grow(n int) {
	g.all = make([]*Replica, 0, n)
	g.open = make([]*Replica, 0, n)
	g.roomy = make([]*Replica, 0, n)
}

func (p *Pool) noteReturn(t time.Time) {
	if p.returns.IsZero() || t.Before(p.returns) {
		p.returns = t
	}
}

func (p *Pool) add(r *Replica) {
	kept := reservedSlots(r.Slots, p.headroom)
	p.whole.add(r, kept)
	p.byDC[r.DataCentre].add(r, kept)
	p.slots += r.Slots
	p.used += r.Active + r.Queued
	p.steps += stepAt(r, r.Active)
}

func (g *group) add(r *Replica, kept int) {
	g.all = append(g.all, r)
	free := slotLimit(r) - r.Active - r.Queued
	if free > 0 {
		g.open = append(g.open, r)
	}
	if free > kept {
		g.roomy = append(g.roomy, r)
	}
}

// Len returns the number of replicas that may take new work. A nil pool has none.
func (p *Pool) Len() int {
	if p == nil {
		return 0
	}
	return len(p.whole.all)
}

// Replicas returns the members. Callers must not change the slice or what it
// points to. A nil pool has none.
func (p *Pool) Replicas() []*Replica {
	if p == nil {
		return nil
	}
	return p.whole.all
}

// Returns is when the first ejected replica may take work again; zero when none
// is ejected.
func (p *Pool) Returns() time.Time { return p.returns }

// step returns the mean time between tokens of the members.
func (p *Pool) step() time.Duration {
	if p.Len() == 0 {
		return DefaultStep
	}
	return p.steps / time.Duration(p.Len())
}

// queues says whether the members queue what finds no slot.
func (p *Pool) queues() bool { return p.Len() > 0 && p.whole.all[0].Queues }

// nearThenWhole returns the part of the pool in a data centre, empty when there
// is none, and then the whole.
func (p *Pool) nearThenWhole(dataCentre string) [2]*group {
	near := p.byDC[dataCentre]
	if near == nil {
		near = &noGroup
	}
	return [2]*group{near, &p.whole}
}

var noGroup group

// reservedSlots returns how many of a replica's slots drafts may not take. Any
// headroom keeps at least one, but never all.
func reservedSlots(slots int, share float64) int {
	if share <= 0 || slots <= 1 {
		return 0
	}
	kept := int(math.Ceil(share * float64(slots)))
	return min(kept, slots-1)
}

// slotLimit returns the replica's slots; one that states none or queues has no bound.
func slotLimit(r *Replica) int {
	if r.Slots <= 0 || r.Queues {
		return math.MaxInt32
	}
	return r.Slots
}
