package members

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Event says what changed.
type Event uint8

// The events.
const (
	Joined     Event = iota + 1 // a daemon, or a new life of one, was heard of
	Suspected                   // a live daemon fell silent
	Died                        // a daemon was silent for too long
	Recovered                   // a suspect or dead daemon was heard again
	Froze                       // this process was stopped for longer than FrozenAfter
	Thawed                      // the view is fresh again
	Superseded                  // a later incarnation of this daemon's own instance lives
)

// String returns the event's name for logs.
func (e Event) String() string {
	return [...]string{"none", "joined", "suspected", "died", "recovered", "froze", "thawed", "superseded"}[e]
}

// Action is one change that Tick reports; Node is the daemon concerned.
type Action struct {
	Event Event
	Node  wire.NodeID
}

// entry is one other daemon's latest life.
type entry struct {
	Member
	seq     uint64    // highest heard; 0 when only gossip told of the daemon
	heard   time.Time // when seq last grew, or the deadline was reset
	direct  time.Time // last heartbeat on an own connection
	relayed time.Time // last relay by another daemon
	version uint64    // table version at which peers have to be told
}

// Table keeps the liveness of all daemons. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	entries map[string]*entry
	short   map[wire.ShortID]*entry
	view    *View
	events  []Action

	seq      uint64 // of this daemon's own heartbeats
	rounds   uint64 // of heartbeats to all neighbours
	version  uint64 // grows when peers must be told of a daemon
	dirty    bool   // the roster must be built again
	draining bool
	deaths   uint64

	frozenAt time.Time // zero unless frozen
	askFrom  uint64    // first own Seq since the freeze
	echoes   map[string]struct{}
}

// NewTable returns a table that knows only this daemon.
func NewTable(cfg Config, now time.Time) *Table {
	t := &Table{
		cfg:     cfg.withDefaults(),
		entries: map[string]*entry{},
		short:   map[wire.ShortID]*entry{},
		echoes:  map[string]struct{}{},
	}
	t.view = &View{cfg: &t.cfg, ticked: now, since: now}
	t.view.roster = t.buildRoster(0)
	return t
}

// View returns the view of the last tick.
func (t *Table) View() *View { return t.view }

// SetDraining tells the table whether this daemon drains.
func (t *Table) SetDraining(draining bool) {
	t.dirty = t.dirty || draining != t.draining
	t.draining = draining
}

// Hear takes one heartbeat that arrived on an own connection.
func (t *Table) Hear(now time.Time, hb wire.Heartbeat) {
	t.checkFreeze(now)
	if t.supersedes(hb.Node) {
		return
	}
	e := t.learn(now, wire.Known{Node: hb.Node, DataCentre: hb.DataCentre, Address: hb.Address})
	if e == nil {
		return
	}
	if hb.Seq >= e.seq { // a relay may have been faster
		t.freshen(now, e, hb.Seq)
		e.direct = now
		t.dirty = t.dirty || e.Draining != hb.Draining
		e.Draining = hb.Draining
	}
	t.hearEcho(now, hb)
	for _, k := range hb.Known {
		t.learn(now, k)
	}
	if hb.DataCentre == t.cfg.DataCentre {
		t.hearRelay(now, hb.Fresh)
	}
}

// supersedes reports whether n is a life of this daemon's own instance, and
// remembers a later one: two processes run under one name, and everybody else
// takes this one for dead.
func (t *Table) supersedes(n wire.NodeID) bool {
	if n.Instance != t.cfg.Node.Instance {
		return false
	}
	if n.Incarnation > t.cfg.Node.Incarnation {
		t.event(Superseded, n)
	}
	return true
}

// learn returns the entry of a daemon, making one for a new daemon or a later
// life; nil for this daemon and for a life that is over. Gossip about a dead
// daemon does not revive it: only its own progress does.
func (t *Table) learn(now time.Time, k wire.Known) *entry {
	if k.Node.IsZero() || t.supersedes(k.Node) {
		return nil
	}
	e := t.entries[k.Node.Instance]
	if e != nil && k.Node.Incarnation < e.Node.Incarnation {
		return nil
	}
	if e != nil && k.Node.Incarnation == e.Node.Incarnation {
		return e
	}
	if e != nil {
		delete(t.short, e.Node.Short())
		t.deaths++
	}
	e = &entry{Member: newMember(k.Node, k.DataCentre, k.Address), heard: now}
	t.entries[k.Node.Instance] = e
	t.short[k.Node.Short()] = e
	t.dirty = true
	t.event(Joined, k.Node)
	return e
}

// freshen records that a daemon made progress up to seq.
func (t *Table) freshen(now time.Time, e *entry, seq uint64) {
	if seq == e.seq {
		return
	}
	if e.seq == 0 || e.Liveness == Dead {
		t.version++
		e.version = t.version
	}
	e.seq = seq
	e.heard = now
	if e.Liveness != Alive {
		e.Liveness = Alive
		t.dirty = true
		t.event(Recovered, e.Node)
	}
}

// Tick moves the table to now and returns what changed since the last tick.
// Call it at least every half Heartbeat.
func (t *Table) Tick(now time.Time) []Action {
	t.checkFreeze(now)
	if !t.frozenAt.IsZero() && clock.Elapsed(t.frozenAt, now) >= t.cfg.RefreshAfter {
		t.thaw()
	}
	for name, e := range t.entries {
		t.expire(now, name, e)
	}
	t.publish(now)
	events := t.events
	t.events = nil
	return events
}

// expire moves one daemon to the state that its silence calls for.
func (t *Table) expire(now time.Time, name string, e *entry) {
	slack := time.Duration(0)
	if e.DataCentre != t.cfg.DataCentre {
		slack = t.cfg.FarDeadAfter - t.cfg.DeadAfter
	}
	switch silent := now.Sub(e.heard) - slack; {
	case silent >= t.cfg.ForgetAfter:
		delete(t.entries, name)
		delete(t.short, e.Node.Short())
		t.dirty = true
	case silent >= t.cfg.DeadAfter:
		if e.Liveness != Dead {
			t.deaths++
		}
		t.set(e, Dead, Died)
	case silent >= t.cfg.SuspectAfter && e.Liveness == Alive:
		t.set(e, Suspect, Suspected)
	}
}

func (t *Table) set(e *entry, l Liveness, ev Event) {
	if e.Liveness == l {
		return
	}
	e.Liveness = l
	t.dirty = true
	t.event(ev, e.Node)
}

func (t *Table) event(ev Event, n wire.NodeID) {
	t.events = append(t.events, Action{Event: ev, Node: n})
}

// publish swaps in a view of this moment.
func (t *Table) publish(now time.Time) {
	v := *t.view
	v.ticked = now
	v.frozen = !t.frozenAt.IsZero()
	v.deaths = t.deaths
	v.isolated = t.isolated(now)
	if t.dirty {
		v.roster = t.buildRoster(v.roster.generation + 1)
		t.dirty = false
	}
	t.view = &v
}

// isolated counts the daemons by their silence and not by their state, since far
// ones are declared dead later: a cut of this daemon silences all at once.
func (t *Table) isolated(now time.Time) bool {
	speaking, silent := 0, 0
	for _, e := range t.entries {
		limit := t.cfg.SuspectAfter
		if e.DataCentre != t.cfg.DataCentre {
			limit = t.cfg.DeadAfter
		}
		switch quiet := now.Sub(e.heard); {
		case quiet < limit:
			speaking++
		case quiet < t.cfg.LossMemory:
			silent++
		}
	}
	return speaking < silent && speaking+silent > 1
}

func (t *Table) buildRoster(generation uint64) *roster {
	r := &roster{
		generation: generation,
		members:    make(map[string]Member, len(t.entries)),
		byCentre:   map[string][]Member{},
		stewards:   map[string][]Member{},
	}
	self := newMember(t.cfg.Node, t.cfg.DataCentre, t.cfg.Address)
	self.Draining = t.draining
	r.addLive(self)
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		m := t.entries[name].Member
		r.members[name] = m
		if m.Liveness != Dead {
			r.addLive(m)
		}
	}
	slices.SortFunc(r.live, byInstance)
	r.neighbours = neighbours(self, r, t.cfg.Contacts)
	for _, m := range r.live {
		whole := m.DataCentre == t.cfg.DataCentre || len(r.byCentre[m.DataCentre]) <= smallCentre
		if whole && m.Node != t.cfg.Node {
			r.near = append(r.near, m)
		}
	}
	return r
}

func byInstance(a, b Member) int { return cmp.Compare(a.Node.Instance, b.Node.Instance) }

func (r *roster) addLive(m Member) {
	r.live = append(r.live, m)
	r.byCentre[m.DataCentre] = append(r.byCentre[m.DataCentre], m)
	if !m.Draining {
		r.anywhere = append(r.anywhere, m)
		r.stewards[m.DataCentre] = append(r.stewards[m.DataCentre], m)
	}
}

// smallCentre is the number of daemons up to which a data centre is linked to
// as a whole: a firm's seven daemons in three data centres then all see each
// other, and only large data centres are represented by contacts.
const smallCentre = 3

// reach returns how many of the candidates to link to.
func reach(candidates []Member, contacts int) int {
	if len(candidates) <= smallCentre {
		return len(candidates)
	}
	return contacts
}

// neighbours returns the daemons to connect to. A data centre without a live
// daemon is represented by its dead ones: after a cut both sides take each
// other for dead, and somebody has to dial again.
func neighbours(self Member, r *roster, contacts int) []Member {
	byCentre := map[string][]Member{}
	for _, m := range r.members {
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
	}
	out := slices.Clone(byCentre[self.DataCentre])
	own := r.byCentre[self.DataCentre]
	for centre, all := range byCentre {
		if centre == self.DataCentre {
			continue
		}
		if live := r.byCentre[centre]; len(live) > 0 {
			all = live
		}
		there, back := reach(all, contacts), reach(own, contacts)
		for _, m := range all {
			if among(self.hash, all, m, there) || among(m.hash, own, self, back) {
				out = append(out, m)
			}
		}
	}
	slices.SortFunc(out, byInstance)
	return out
}
