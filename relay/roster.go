package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// heardLife is how long a daemon counts as alive after it was last heard. A follower
	// asks its reader several times within it.
	heardLife = 5 * time.Second
	// claimLife is how long a reader's claim holds. Readers repeat theirs every
	// exchangeEvery.
	claimLife = 4 * time.Second
	// countLife is how long a daemon is counted. Retries are divided by the count, for
	// which too many are safe and too few are not.
	countLife = 30 * time.Second
	// silentTime is how long a daemon that gave no answer is left alone.
	silentTime = 10 * time.Second
	// settleTime is how long a daemon must have been heard of before it takes over from a
	// lighter reader, and heavier how many times its weight it must have: each change of
	// the reader costs a call of each follower.
	settleTime = 5 * time.Second
	heavier    = 1.5
	// successors is how many daemons are told of to follow a reader. Of five, half of a
	// fleet that is killed at once leaves one in 31 cases of 32.
	successors = 4
)

// Roster knows the other daemons, and decides who reads the store for a data centre: who
// does so already, else the one that can bear most. It is safe for concurrent use.
//
// Load pattern: hundreds of daemons that start, or lose their reader, at the same moment.
// All must come to the same reader, from few messages, without asking the store.
type Roster struct {
	self Peer
	// dataCentres are those in which daemons may run.
	dataCentres []string

	mu      sync.Mutex
	entries map[string]*entry // by address
	silent  map[string]time.Time
	// told is what a reader or another daemon said last of this data centre.
	told Succession
	// leads says that this daemon reads for its data centre.
	leads bool
	// most is the largest number of daemons that was known in this life, and sharing the
	// largest that those of which nothing is heard make likely. near is the largest of this
	// data centre.
	most, sharing, near int
}

type entry struct {
	peer         Peer
	first, heard time.Time
	claimed      time.Time // zero when it is no reader
	daemons      int       // of its data centre, as it claimed
}

// NewRoster returns a roster that knows this daemon alone, and the data centres in which
// daemons may run.
func NewRoster(self Peer, dataCentres []string) *Roster {
	return &Roster{self: self, dataCentres: dataCentres, entries: map[string]*entry{}, silent: map[string]time.Time{}}
}

// Self returns this daemon as it tells others.
func (r *Roster) Self() Peer { return r.self }

// Heard notes that a daemon asked this one.
func (r *Roster) Heard(now time.Time, p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silent, p.Address)
	r.note(now, p)
}

func (r *Roster) note(now time.Time, p Peer) *entry {
	if p.Address == "" || p.Address == r.self.Address {
		return nil
	}
	e := r.entries[p.Address]
	if e == nil || now.Sub(e.heard) >= heardLife {
		e = &entry{first: now, heard: now}
		r.entries[p.Address] = e
	}
	e.peer = p
	if now.After(e.heard) {
		e.heard = now
	}
	return e
}

// Claimed notes the readers that another daemon knows.
func (r *Roster) Claimed(now time.Time, claims []claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range claims {
		if c.Age >= claimLife {
			continue
		}
		at := now.Add(-c.Age)
		if e := r.entries[c.Peer.Address]; e != nil && at.Before(e.claimed) {
			continue
		}
		if e := r.note(at, c.Peer); e != nil {
			e.claimed, e.daemons = at, c.Daemons
		}
	}
}

// Told takes what another daemon said of who reads for this one's data centre.
func (r *Roster) Told(s Succession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = s
	r.most = max(r.most, s.Daemons)
	r.sharing = max(r.sharing, s.Sharing)
	r.near = max(r.near, s.Near)
}

// Lead makes this daemon the reader of its data centre until one is heard of that goes
// before it.
func (r *Roster) Lead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leads = true
}

// Leads says whether this daemon reads for its data centre.
func (r *Roster) Leads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leads
}

// Silent notes that a daemon gave no answer.
func (r *Roster) Silent(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[address] = now.Add(silentTime)
	delete(r.entries, address)
}

// Answered notes that a daemon answered, and so is not silent.
func (r *Roster) Answered(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silent, address)
}

// Served notes that a daemon answered a call for records.
//
// What goes wrong otherwise: a successor that reads for a reader which the store refuses
// asks nobody, is not heard, and leaves the order after heardLife; the next ones are asked
// in turn, each of which may be refused too, and a version is seconds late.
func (r *Roster) Served(now time.Time, p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silent, p.Address)
	r.note(now, p)
}

func (r *Roster) isSilent(now time.Time, address string) bool {
	until, ok := r.silent[address]
	if ok && !now.Before(until) {
		delete(r.silent, address)
		return false
	}
	return ok
}

// SilentOnes returns the addresses that gave no answer of late.
func (r *Roster) SilentOnes(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address := range r.silent {
		if r.isSilent(now, address) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// Order returns who reads for this daemon's data centre, the reader first, without those
// who are silent. Where it names this daemon first, this daemon leads from then on.
func (r *Roster) Order(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leads {
		order := r.computed(now, r.self.DataCentre, nil)
		if order[0].Address == r.self.Address {
			return order
		}
		r.leads, r.told.Order = false, order
	}
	order := slices.DeleteFunc(slices.Clone(r.told.Order), func(p Peer) bool { return r.isSilent(now, p.Address) })
	if len(order) > 0 && order[0].Address == r.self.Address {
		r.leads = true
	}
	return order
}

// Others returns the readers of the other data centres that are not silent.
func (r *Roster) Others(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others(now)
}

// Lenders returns the daemons that may be asked for what the fleet shares: those of this
// one's data centre that are told of, and the other readers in a small fleet, in which the
// former are few.
func (r *Roster) Lenders(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.told.Order
	if r.leads {
		list = r.computed(now, r.self.DataCentre, nil)
	}
	out := slices.Clone(list)
	if r.daemons(now) < minFleet {
		out = append(out, r.others(now)...)
	}
	return slices.DeleteFunc(out, func(p Peer) bool { return p.Address == r.self.Address || r.isSilent(now, p.Address) })
}

func (r *Roster) others(now time.Time) []Peer {
	out := slices.Clone(r.told.Others)
	for _, e := range r.entries {
		known := slices.ContainsFunc(out, func(p Peer) bool { return p.Address == e.peer.Address })
		if !known && e.claims(now) {
			out = append(out, e.peer)
		}
	}
	out = slices.DeleteFunc(out, func(p Peer) bool {
		return p.DataCentre == r.self.DataCentre || r.isSilent(now, p.Address)
	})
	slices.SortFunc(out, before)
	return out
}

// Succession returns who reads for a data centre, for a caller to whom the daemons at
// some addresses were silent.
func (r *Roster) Succession(now time.Time, dataCentre string, silent []string) Succession {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Succession{Daemons: r.daemons(now)}
	s.Sharing = r.sharing
	if dataCentre == r.self.DataCentre {
		s.Near = r.near
	}
	for _, p := range r.others(now) {
		if p.DataCentre != dataCentre {
			s.Others = append(s.Others, p)
		}
	}
	if r.leads && r.self.DataCentre != dataCentre {
		s.Others = append(s.Others, r.self)
	}
	if s.Order = r.computed(now, dataCentre, silent); r.follows(dataCentre) {
		s.Order = r.toldOrder(now, silent, s.Order)
	}
	return s
}

// follows says whether this daemon has a reader of its own in a data centre.
func (r *Roster) follows(dataCentre string) bool {
	return dataCentre == r.self.DataCentre && !r.leads && len(r.told.Order) > 0
}

// toldOrder returns the order that this daemon was told itself, if anybody is left of it.
func (r *Roster) toldOrder(now time.Time, silent []string, otherwise []Peer) []Peer {
	order := slices.DeleteFunc(slices.Clone(r.told.Order), func(p Peer) bool {
		return r.isSilent(now, p.Address) || slices.Contains(silent, p.Address)
	})
	if len(order) == 0 {
		return otherwise
	}
	return order
}

// computed returns the order of a data centre from what was heard: a reader that is one
// already, unless a much heavier daemon has settled, then the heaviest others.
func (r *Roster) computed(now time.Time, dataCentre string, silent []string) []Peer {
	var readers, all []Peer
	var settled []Peer
	add := func(p Peer, reads, old bool) {
		if p.DataCentre != dataCentre || slices.Contains(silent, p.Address) || r.isSilent(now, p.Address) {
			return
		}
		all = append(all, p)
		if reads {
			readers = append(readers, p)
		}
		if old {
			settled = append(settled, p)
		}
	}
	add(r.self, r.leads, true)
	for _, e := range r.entries {
		if clock.Elapsed(e.heard, now) < heardLife {
			add(e.peer, e.claims(now), now.Sub(e.first) >= settleTime)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, before)
	slices.SortFunc(readers, before)
	slices.SortFunc(settled, before)
	first := all[0]
	if len(readers) > 0 {
		first = readers[0]
		if len(settled) > 0 && float64(settled[0].Weight) >= heavier*float64(first.Weight) {
			first = settled[0]
		}
	}
	out := []Peer{first}
	for _, p := range all {
		if p.Address != first.Address && len(out) <= successors {
			out = append(out, p)
		}
	}
	return out
}

func (e *entry) claims(now time.Time) bool {
	return !e.claimed.IsZero() && clock.Elapsed(e.claimed, now) < claimLife
}

// before orders daemons by what they can bear.
func before(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Address, b.Address))
}

// Claims returns the readers that are known, this daemon among them if it leads.
func (r *Roster) Claims(now time.Time) []claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []claim
	if r.leads {
		out = append(out, claim{Peer: r.self, Daemons: r.heardIn(now, r.self.DataCentre)})
	}
	for _, e := range r.entries {
		if e.claims(now) {
			out = append(out, claim{Peer: e.peer, Daemons: e.daemons, Age: clock.Elapsed(e.claimed, now)})
		}
	}
	return out
}

// Sharing returns by how many daemons what the fleet shares is to be divided: those that
// were ever known in this life, and as many as are likely where nothing is heard. It is 0
// while this daemon has heard of no other.
func (r *Roster) Sharing(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.daemons(now); len(r.entries) == 0 && r.most <= 1 {
		return 0
	}
	return r.sharing
}

// Daemons returns how many daemons the fleet has, as far as it was ever known in this
// life.
func (r *Roster) Daemons(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.daemons(now)
}

func (r *Roster) daemons(now time.Time) int {
	by := map[string]int{r.self.DataCentre: r.heardIn(now, r.self.DataCentre)}
	for _, e := range r.entries {
		dc := e.peer.DataCentre
		if _, ok := by[dc]; !ok {
			by[dc] = r.heardIn(now, dc)
		}
		by[dc] = max(by[dc], e.daemons)
	}
	r.most = max(r.most, FleetSize(by, nil))
	r.sharing = max(r.sharing, FleetSize(by, r.dataCentres))
	r.near = max(r.near, by[r.self.DataCentre])
	return r.most
}

// heardIn counts the daemons of a data centre that were heard of late, with this one.
func (r *Roster) heardIn(now time.Time, dataCentre string) int {
	n := 0
	if dataCentre == r.self.DataCentre {
		n = 1
	}
	for address, e := range r.entries {
		switch {
		case clock.Elapsed(e.heard, now) >= countLife:
			delete(r.entries, address)
		case e.peer.DataCentre == dataCentre:
			n++
		}
	}
	return n
}
