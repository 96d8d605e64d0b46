package members

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Liveness is the state of one incarnation of a daemon as seen by the failure
// detector.
type Liveness uint8

// The states of an incarnation. Unknown means that the table has no information
// about it; it may be alive.
const (
	Unknown Liveness = iota
	Alive
	Suspect // no new heartbeat for a while; still counted as live
	Dead    // no new heartbeat for too long, or replaced by a later incarnation
)

// String returns the state's name.
func (l Liveness) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead"}[l]
}

// Member describes a daemon by the latest information received about it.
type Member struct {
	Node       wire.NodeID
	DataCentre string
	Address    string
	Liveness   Liveness
	// Draining is set while the daemon shuts down. It is then alive but not chosen
	// as a steward unless no other daemon is available.
	Draining bool

	hash uint64 // hash of the instance name, for rendezvous hashing
}

func newMember(n wire.NodeID, dataCentre, address string) Member {
	return Member{Node: n, DataCentre: dataCentre, Address: address, Liveness: Alive, hash: xxhash.Sum64String(n.Instance)}
}

// View is a snapshot of a Table. It is immutable and safe for concurrent use. The
// slices that its methods return must not be modified.
type View struct {
	cfg        *Config
	membership *membership
	lastTick   time.Time
	// validSince is when the table was created or last detected a freeze.
	validSince time.Time
	frozen     bool
	deaths     uint64
	// isolated is set if most other daemons recently fell silent; see
	// Table.detectIsolation.
	isolated bool
}

// membership is the part of a view that is rebuilt only when a daemon is added,
// removed or changes its state. "Live" means Alive or Suspect.
type membership struct {
	generation       uint64
	members          map[string]Member   // by instance name, without this daemon
	live             []Member            // including this daemon, sorted by instance name
	liveByCentre     map[string][]Member // live daemons, by data centre
	eligibleByCentre map[string][]Member // live and not draining daemons, by data centre
	eligible         []Member            // live and not draining daemons of all data centres
	neighbours       []Member
	near             []Member
}

// Self returns this daemon's ID.
func (v *View) Self() wire.NodeID { return v.cfg.Node }

// DataCentre returns this daemon's data centre.
func (v *View) DataCentre() string { return v.cfg.DataCentre }

// Heartbeat returns the configured heartbeat interval.
func (v *View) Heartbeat() time.Duration { return v.cfg.Heartbeat }

// RemoteDeadAfter returns the configured time without a new heartbeat after which a
// daemon of another data centre is Dead.
func (v *View) RemoteDeadAfter() time.Duration { return v.cfg.RemoteDeadAfter }

// Generation returns a number that changes whenever the results of Live,
// Neighbours, Near or Steward may have changed.
func (v *View) Generation() uint64 { return v.membership.generation }

// Live returns the daemons that are Alive or Suspect, including this one, sorted
// by instance name.
func (v *View) Live() []Member { return v.membership.live }

// LiveIn returns the daemons of a data centre that are Alive or Suspect.
func (v *View) LiveIn(dataCentre string) []Member { return v.membership.liveByCentre[dataCentre] }

// Deaths returns how many times an incarnation was declared dead or replaced by a
// later one.
func (v *View) Deaths() uint64 { return v.deaths }

// Isolated reports whether most of the other daemons recently fell silent. It is
// then more likely that this daemon lost its network than that the others died,
// and callers should delay actions that a daemon's death requires. With a single
// other daemon it is false, because the two cases cannot be distinguished.
func (v *View) Isolated() bool { return v.isolated }

// Superseded reports whether a later incarnation of n's instance is known. This
// proves that n has ended, which a lack of heartbeats does not.
func (v *View) Superseded(n wire.NodeID) bool {
	if n.Instance == v.cfg.Node.Instance {
		return n.Incarnation < v.cfg.Node.Incarnation
	}
	m, ok := v.membership.members[n.Instance]
	return ok && n.Incarnation < m.Node.Incarnation
}

// Near returns the live daemons, except this one, of this data centre and of
// each data centre with at most maxFullyLinkedCentre live daemons.
func (v *View) Near() []Member { return v.membership.near }

// Neighbours returns the daemons to keep a connection to: all of this data centre,
// including dead ones so that a repaired connection is noticed, and some of each
// other data centre: its contacts and the daemons that have this one as a contact.
func (v *View) Neighbours() []Member { return v.membership.neighbours }

// Liveness returns the state of one incarnation of a daemon. An incarnation before
// the latest known one is Dead; one after it is Unknown.
func (v *View) Liveness(n wire.NodeID) Liveness {
	known, state := v.cfg.Node, Alive
	if n.Instance != known.Instance {
		m, ok := v.membership.members[n.Instance]
		if !ok {
			return Unknown
		}
		known, state = m.Node, m.Liveness
	}
	switch {
	case n.Incarnation < known.Incarnation:
		return Dead
	case n.Incarnation > known.Incarnation:
		return Unknown
	}
	return state
}

// Member returns the daemon with the given instance name, and false if that is this
// daemon or an unknown one.
func (v *View) Member(instance string) (Member, bool) {
	m, ok := v.membership.members[instance]
	return m, ok
}

// Steward returns the daemon that is responsible for polling an upstream and for
// releasing its orphaned memory. It is chosen by rendezvous hashing among the live,
// not draining daemons of the upstream's data centre. If there are none, those of
// all data centres are candidates, and if all drain, all live daemons.
func (v *View) Steward(upstream, dataCentre string) wire.NodeID {
	key := xxhash.Sum64String(upstream)
	for _, candidates := range [][]Member{v.membership.eligibleByCentre[dataCentre], v.membership.eligible, v.membership.live} {
		if m, ok := highestWeight(key, candidates); ok {
			return m.Node
		}
	}
	return v.cfg.Node
}

// IsSteward reports whether this daemon is the Steward of an upstream. It is cheaper
// than Steward for upstreams of other data centres, because it needs no hashing
// where such a data centre has candidates of its own.
func (v *View) IsSteward(upstream, dataCentre string) bool {
	if dataCentre != v.cfg.DataCentre && len(v.membership.eligibleByCentre[dataCentre]) > 0 {
		return false
	}
	return v.Steward(upstream, dataCentre) == v.cfg.Node
}

// TopRanked returns up to n daemons for a key, by rendezvous hashing among the live,
// not draining daemons of all data centres or, if there are none, among all live
// daemons. Callers use the first; when it dies, the second becomes the first.
func (v *View) TopRanked(key string, n int) []Member {
	candidates := v.membership.eligible
	if len(candidates) == 0 {
		candidates = v.membership.live
	}
	return topN(xxhash.Sum64String(key), candidates, n)
}

// ValidSince returns when the table was created or last detected a freeze of this
// process. Observations made before that time are outdated.
func (v *View) ValidSince() time.Time { return v.validSince }

// UnknownAfter returns the configured time after which an Unknown daemon may be
// treated as dead.
func (v *View) UnknownAfter() time.Duration { return v.cfg.UnknownAfter }

// Frozen reports whether this process was frozen and the view has not been
// refreshed since. It also compares now with the time of the last tick, so that
// a caller that runs before the first tick after a freeze gets true.
func (v *View) Frozen(now time.Time) bool {
	return v.frozen || clock.Elapsed(v.lastTick, now) > v.cfg.FrozenAfter
}
