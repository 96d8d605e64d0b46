package members

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Liveness is what a table believes of one life of a daemon.
type Liveness uint8

// The states of liveness. Unknown is no verdict: the daemon may live.
const (
	Unknown Liveness = iota
	Alive
	Suspect // silent for a while; still counted as live
	Dead    // silent for too long, or superseded by a later incarnation
)

// String returns the state's name.
func (l Liveness) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead"}[l]
}

// Member is one daemon as last heard of.
type Member struct {
	Node       wire.NodeID
	DataCentre string
	Address    string
	Liveness   Liveness
	// Draining daemons live but take no stewardship.
	Draining bool

	hash uint64 // of the instance name, for rendezvous hashing
}

func newMember(n wire.NodeID, dataCentre, address string) Member {
	return Member{Node: n, DataCentre: dataCentre, Address: address, Liveness: Alive, hash: xxhash.Sum64String(n.Instance)}
}

// View is what a table believes at one tick. It is immutable and safe for
// concurrent use. Slices it returns must not be changed.
type View struct {
	cfg    *Config
	roster *roster
	ticked time.Time
	// since is when the table started or last noticed a freeze.
	since  time.Time
	frozen bool
	deaths uint64
	// isolated says that most daemons fell silent lately.
	isolated bool
}

// roster is the part of a view that changes only when a daemon does.
type roster struct {
	generation uint64
	members    map[string]Member // by instance, without this daemon
	live       []Member          // with this daemon
	byCentre   map[string][]Member
	stewards   map[string][]Member // live and not draining, by data centre
	anywhere   []Member            // live and not draining
	neighbours []Member
	near       []Member
}

// Self returns this daemon.
func (v *View) Self() wire.NodeID { return v.cfg.Node }

// DataCentre returns this daemon's data centre.
func (v *View) DataCentre() string { return v.cfg.DataCentre }

// Heartbeat returns the configured time between heartbeats.
func (v *View) Heartbeat() time.Duration { return v.cfg.Heartbeat }

// FarDeadAfter returns the configured silence after which a daemon of another
// data centre is dead.
func (v *View) FarDeadAfter() time.Duration { return v.cfg.FarDeadAfter }

// Generation changes whenever Live, Neighbours or a steward may have changed.
func (v *View) Generation() uint64 { return v.roster.generation }

// Live returns the daemons that are Alive or Suspect, this one included, sorted
// by instance.
func (v *View) Live() []Member { return v.roster.live }

// LiveIn returns the live daemons of one data centre.
func (v *View) LiveIn(dataCentre string) []Member { return v.roster.byCentre[dataCentre] }

// Deaths counts the lives of daemons that the table saw end, by silence or by a
// later incarnation.
func (v *View) Deaths() uint64 { return v.deaths }

// Isolated reports whether most of the other daemons fell silent lately. Then
// this one is cut off rather than the others dead, and readers should wait with
// what the death of many would call for. With one other daemon nobody can tell.
func (v *View) Isolated() bool { return v.isolated }

// Superseded reports whether a later incarnation of n's instance was heard of,
// which proves that n is over, as silence does not.
func (v *View) Superseded(n wire.NodeID) bool {
	if n.Instance == v.cfg.Node.Instance {
		return n.Incarnation < v.cfg.Node.Incarnation
	}
	m, ok := v.roster.members[n.Instance]
	return ok && n.Incarnation < m.Node.Incarnation
}

// Near returns the live daemons, without this one, of the own data centre and of
// each data centre that is small enough to be linked to as a whole.
func (v *View) Near() []Member { return v.roster.near }

// Neighbours returns the daemons to keep a connection to: all of the own data
// centre, also dead ones so that a healed link is noticed, and the contacts in
// each other data centre.
func (v *View) Neighbours() []Member { return v.roster.neighbours }

// Liveness returns the state of one life of a daemon.
func (v *View) Liveness(n wire.NodeID) Liveness {
	known, state := v.cfg.Node, Alive
	if n.Instance != known.Instance {
		m, ok := v.roster.members[n.Instance]
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

// Member returns the daemon of an instance name, as last heard of.
func (v *View) Member(instance string) (Member, bool) {
	m, ok := v.roster.members[instance]
	return m, ok
}

// Steward returns the daemon that polls and sweeps an upstream: by rendezvous
// hashing among the live daemons of the upstream's data centre that do not
// drain, else among those of all data centres, else among all live ones.
func (v *View) Steward(upstream, dataCentre string) wire.NodeID {
	key := xxhash.Sum64String(upstream)
	for _, candidates := range [][]Member{v.roster.stewards[dataCentre], v.roster.anywhere, v.roster.live} {
		if m, ok := winner(key, candidates); ok {
			return m.Node
		}
	}
	return v.cfg.Node
}

// Mine reports whether this daemon is the Steward of an upstream. It is cheaper to
// ask than Steward for the many upstreams of data centres that look after their own.
func (v *View) Mine(upstream, dataCentre string) bool {
	if dataCentre != v.cfg.DataCentre && len(v.roster.stewards[dataCentre]) > 0 {
		return false
	}
	return v.Steward(upstream, dataCentre) == v.cfg.Node
}

// Homes returns up to n daemons for a key, by rendezvous hashing among the live
// ones of all data centres that do not drain, else among all live ones. The
// first is the one to go to; when it dies, the second takes its place.
func (v *View) Homes(key string, n int) []Member {
	candidates := v.roster.anywhere
	if len(candidates) == 0 {
		candidates = v.roster.live
	}
	return top(xxhash.Sum64String(key), candidates, n)
}

// Since returns when the table started or last noticed that this process had
// been stopped. What was believed before proves nothing now.
func (v *View) Since() time.Time { return v.since }

// UnknownAfter returns the configured time before an unknown daemon may be
// taken for dead.
func (v *View) UnknownAfter() time.Duration { return v.cfg.UnknownAfter }

// Frozen reports whether this process was stopped and its view is not refreshed
// yet. It compares now with the last tick, so that it holds for a caller that
// runs before the ticker does.
func (v *View) Frozen(now time.Time) bool {
	return v.frozen || clock.Elapsed(v.ticked, now) > v.cfg.FrozenAfter
}
