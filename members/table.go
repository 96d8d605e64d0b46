package members

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Event is the kind of a membership change.
type Event uint8

// The kinds of membership changes.
const (
	Joined     Event = iota + 1 // a daemon or a later incarnation of one was added
	Suspected                   // no new heartbeat for SuspectAfter (longer for a remote daemon)
	Died                        // no new heartbeat for DeadAfter, or RemoteDeadAfter for a remote daemon
	Recovered                   // a suspect or dead daemon sent a new heartbeat
	Froze                       // this process did not run for longer than FrozenAfter
	Thawed                      // the freeze ended: peers replied, or RefreshAfter passed
	Superseded                  // a later incarnation of this daemon's own instance exists
)

// String returns the event's name for logs.
func (e Event) String() string {
	return [...]string{"none", "joined", "suspected", "died", "recovered", "froze", "thawed", "superseded"}[e]
}

// Change is one membership change returned by Tick. Node is the daemon that
// changed.
type Change struct {
	Event Event
	Node  wire.NodeID
}

// entry is the state of another daemon, for its latest known incarnation.
type entry struct {
	Member
	seq           uint64    // highest heartbeat number seen; 0 if only other daemons' lists named the daemon
	lastProgress  time.Time // when seq last grew or the timeouts were restarted
	lastDirect    time.Time // last heartbeat received from the daemon itself
	lastRelayed   time.Time // last time another daemon relayed the sequence number
	changeVersion uint64    // Table.version of the last change to send to peers
}

// Table holds the liveness of all known daemons. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	entries   map[string]*entry
	byShortID map[wire.ShortID]*entry
	view      *View
	events    []Change

	seq               uint64 // number of this daemon's last heartbeat
	rounds            uint64 // periodic rounds sent
	version           uint64 // incremented on each change to send to peers
	membershipChanged bool   // View.membership must be rebuilt
	draining          bool
	deaths            uint64 // see View.Deaths

	frozenAt   time.Time           // start of the current freeze; zero if not frozen
	minEchoSeq uint64              // number of the first own heartbeat after the freeze
	echoedBy   map[string]struct{} // instances that echoed a heartbeat since the freeze
}

// NewTable returns a table that contains only this daemon.
func NewTable(cfg Config, now time.Time) *Table {
	t := &Table{
		cfg:       cfg.withDefaults(),
		entries:   map[string]*entry{},
		byShortID: map[wire.ShortID]*entry{},
		echoedBy:  map[string]struct{}{},
	}
	t.view = &View{cfg: &t.cfg, lastTick: now, validSince: now}
	t.view.membership = t.buildMembership(0)
	return t
}

// View returns the most recently published view.
func (t *Table) View() *View { return t.view }

// SetDraining sets whether this daemon is draining.
func (t *Table) SetDraining(draining bool) {
	t.membershipChanged = t.membershipChanged || draining != t.draining
	t.draining = draining
}

// HandleHeartbeat processes a heartbeat received directly from its sender.
func (t *Table) HandleHeartbeat(now time.Time, hb wire.Heartbeat) {
	t.detectFreeze(now)
	if t.checkOwnInstance(hb.Node) {
		return
	}
	e := t.addOrGet(now, wire.KnownDaemon{Node: hb.Node, DataCentre: hb.DataCentre, Address: hb.Address})
	if e == nil {
		return
	}
	if hb.Seq >= e.seq { // lower if a relayed number overtook the heartbeat
		t.recordProgress(now, e, hb.Seq)
		e.lastDirect = now
		t.membershipChanged = t.membershipChanged || e.Draining != hb.Draining
		e.Draining = hb.Draining
	}
	t.handleEcho(now, hb)
	for _, k := range hb.Known {
		t.addOrGet(now, k)
	}
	if hb.DataCentre == t.cfg.DataCentre {
		t.handleRelay(now, hb.RelayedSeqs)
	}
}

// checkOwnInstance reports whether n belongs to this daemon's own instance. If n
// is a later incarnation, it adds a Superseded event: two processes then run under
// one instance name, and all other daemons consider this one dead.
func (t *Table) checkOwnInstance(n wire.NodeID) bool {
	if n.Instance != t.cfg.Node.Instance {
		return false
	}
	if n.Incarnation > t.cfg.Node.Incarnation {
		t.addEvent(Superseded, n)
	}
	return true
}

// addOrGet returns the entry of a daemon and creates it for a new daemon or a later
// incarnation. It returns nil for this daemon's own instance and for an earlier
// incarnation. An existing entry is left unchanged, so that being listed by
// another daemon does not make a dead daemon alive; only a higher sequence number
// does.
func (t *Table) addOrGet(now time.Time, k wire.KnownDaemon) *entry {
	if k.Node.IsZero() || t.checkOwnInstance(k.Node) {
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
		delete(t.byShortID, e.Node.Short())
		t.deaths++
	}
	e = &entry{Member: newMember(k.Node, k.DataCentre, k.Address), lastProgress: now}
	t.entries[k.Node.Instance] = e
	t.byShortID[k.Node.Short()] = e
	t.membershipChanged = true
	t.addEvent(Joined, k.Node)
	return e
}

// recordProgress sets a daemon's sequence number and marks the daemon alive. A
// daemon that was dead or had sent no heartbeat before is listed to peers again.
func (t *Table) recordProgress(now time.Time, e *entry, seq uint64) {
	if seq == e.seq {
		return
	}
	if e.seq == 0 || e.Liveness == Dead {
		t.version++
		e.changeVersion = t.version
	}
	e.seq = seq
	e.lastProgress = now
	if e.Liveness != Alive {
		e.Liveness = Alive
		t.membershipChanged = true
		t.addEvent(Recovered, e.Node)
	}
}

// Tick updates the liveness of all daemons for the time now, publishes a new view
// and returns the changes since the previous tick. Call it at least every half
// Config.Heartbeat.
func (t *Table) Tick(now time.Time) []Change {
	t.detectFreeze(now)
	if !t.frozenAt.IsZero() && clock.Elapsed(t.frozenAt, now) >= t.cfg.RefreshAfter {
		t.endFreeze()
	}
	for name, e := range t.entries {
		t.updateLiveness(now, name, e)
	}
	t.publish(now)
	events := t.events
	t.events = nil
	return events
}

// updateLiveness sets a daemon's state by the time since its last progress, or
// removes the daemon after ForgetAfter. For a remote daemon all timeouts are
// longer by the difference of RemoteDeadAfter and DeadAfter.
func (t *Table) updateLiveness(now time.Time, name string, e *entry) {
	extraTime := time.Duration(0)
	if e.DataCentre != t.cfg.DataCentre {
		extraTime = t.cfg.RemoteDeadAfter - t.cfg.DeadAfter
	}
	switch silent := now.Sub(e.lastProgress) - extraTime; {
	case silent >= t.cfg.ForgetAfter:
		delete(t.entries, name)
		delete(t.byShortID, e.Node.Short())
		t.membershipChanged = true
	case silent >= t.cfg.DeadAfter:
		if e.Liveness != Dead {
			t.deaths++
		}
		t.setLiveness(e, Dead, Died)
	case silent >= t.cfg.SuspectAfter && e.Liveness == Alive:
		t.setLiveness(e, Suspect, Suspected)
	}
}

// setLiveness sets a daemon's state and adds the event ev if the state changes.
func (t *Table) setLiveness(e *entry, l Liveness, ev Event) {
	if e.Liveness == l {
		return
	}
	e.Liveness = l
	t.membershipChanged = true
	t.addEvent(ev, e.Node)
}

func (t *Table) addEvent(ev Event, n wire.NodeID) {
	t.events = append(t.events, Change{Event: ev, Node: n})
}

// publish replaces the view with a snapshot of the current state.
func (t *Table) publish(now time.Time) {
	v := *t.view
	v.lastTick = now
	v.frozen = !t.frozenAt.IsZero()
	v.deaths = t.deaths
	v.isolated = t.detectIsolation(now)
	if t.membershipChanged {
		v.membership = t.buildMembership(v.membership.generation + 1)
		t.membershipChanged = false
	}
	t.view = &v
}

// detectIsolation reports whether the daemons that recently fell silent, up to
// IsolationWindow ago, outnumber those that recently made progress. If this daemon loses
// its network, all others fall silent at once. The count uses the time since the last
// progress, not Liveness, which changes later for remote daemons. With a single other
// daemon the result is false, because its failure and that of the network look the
// same.
func (t *Table) detectIsolation(now time.Time) bool {
	recent, silent := 0, 0
	for _, e := range t.entries {
		limit := t.cfg.SuspectAfter
		if e.DataCentre != t.cfg.DataCentre {
			limit = t.cfg.DeadAfter
		}
		switch silence := now.Sub(e.lastProgress); {
		case silence < limit:
			recent++
		case silence < t.cfg.IsolationWindow:
			silent++
		}
	}
	return recent < silent && recent+silent > 1
}

// buildMembership returns the membership part of a view for the current entries.
func (t *Table) buildMembership(generation uint64) *membership {
	r := &membership{
		generation:       generation,
		members:          make(map[string]Member, len(t.entries)),
		liveByCentre:     map[string][]Member{},
		eligibleByCentre: map[string][]Member{},
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
	r.neighbours = selectNeighbours(self, r, t.cfg.Contacts)
	for _, m := range r.live {
		fullyLinked := m.DataCentre == t.cfg.DataCentre || len(r.liveByCentre[m.DataCentre]) <= maxFullyLinkedCentre
		if fullyLinked && m.Node != t.cfg.Node {
			r.near = append(r.near, m)
		}
	}
	return r
}

func byInstance(a, b Member) int { return cmp.Compare(a.Node.Instance, b.Node.Instance) }

// addLive adds a live daemon to the lists of live and of eligible daemons.
func (r *membership) addLive(m Member) {
	r.live = append(r.live, m)
	r.liveByCentre[m.DataCentre] = append(r.liveByCentre[m.DataCentre], m)
	if !m.Draining {
		r.eligible = append(r.eligible, m)
		r.eligibleByCentre[m.DataCentre] = append(r.eligibleByCentre[m.DataCentre], m)
	}
}

// maxFullyLinkedCentre is the largest number of daemons in a data centre for which
// daemons of other data centres connect to all of them; for larger data centres
// they connect to a few contacts. A deployment of seven daemons in three data
// centres is thereby a full mesh.
const maxFullyLinkedCentre = 3

// linkCount returns the number of daemons to connect to in a data centre with the
// given candidates.
func linkCount(candidates []Member, contacts int) int {
	if len(candidates) <= maxFullyLinkedCentre {
		return len(candidates)
	}
	return contacts
}

// selectNeighbours returns the daemons to connect to: all of this data centre and,
// for each other data centre, its contacts and the daemons that have this one as
// a contact. For a data centre without live daemons the contacts are chosen among
// the dead ones: after a network partition each side considers the other dead,
// and connection attempts must go on so that they find each other again.
func selectNeighbours(self Member, r *membership, contacts int) []Member {
	byCentre := map[string][]Member{}
	for _, m := range r.members {
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
	}
	out := slices.Clone(byCentre[self.DataCentre])
	own := r.liveByCentre[self.DataCentre]
	for centre, candidates := range byCentre {
		if centre == self.DataCentre {
			continue
		}
		if live := r.liveByCentre[centre]; len(live) > 0 {
			candidates = live
		}
		localLinks, remoteLinks := linkCount(candidates, contacts), linkCount(own, contacts)
		for _, m := range candidates {
			if inTopN(self.hash, candidates, m, localLinks) || inTopN(m.hash, own, self, remoteLinks) {
				out = append(out, m)
			}
		}
	}
	slices.SortFunc(out, byInstance)
	return out
}
