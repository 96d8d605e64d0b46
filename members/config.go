// Package members implements failure detection and membership among the daemons.
// A Table processes heartbeats and publishes immutable Views. It does no I/O and
// reads no clock: package peer passes it the received heartbeats and the current
// time. A daemon of another data centre is called remote.
// docs/design/membership.md gives the reasons for the defaults below.
package members

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// Default values of the Config fields with the same names.
const (
	DefaultHeartbeat            = 250 * time.Millisecond
	DefaultUnknownAfter         = 10 * time.Second
	DefaultFrozenAfter          = time.Second
	DefaultRefreshAfter         = time.Second
	DefaultForgetAfter          = time.Hour
	DefaultIsolationWindow      = 30 * time.Second
	DefaultContacts             = 2
	DefaultRelayEvery           = 2
	DefaultMaxKnownPerHeartbeat = 32
)

// Defaults of SuspectAfter, DeadAfter and RemoteDeadAfter, in heartbeat intervals.
const (
	suspectHeartbeats    = 3
	deadHeartbeats       = 5
	remoteDeadHeartbeats = 10
)

// Config holds this daemon's identity and the table's timeouts and limits. A
// timeout or limit of zero is replaced by its default.
type Config struct {
	// Node is this daemon's instance name and incarnation.
	Node       wire.NodeID
	DataCentre string
	// Address is the host:port of this daemon's listener for other daemons.
	Address string

	// Heartbeat is the interval between heartbeats to a neighbour.
	Heartbeat time.Duration
	// SuspectAfter and DeadAfter are the times without a new heartbeat after which
	// a daemon of this data centre becomes Suspect and Dead.
	SuspectAfter, DeadAfter time.Duration
	// RemoteDeadAfter replaces DeadAfter for daemons of other data centres. It is
	// longer because most of their heartbeats arrive indirectly: daemons of this
	// data centre relay the sequence numbers, once every RelayEvery heartbeats.
	RemoteDeadAfter time.Duration
	// UnknownAfter is how long a daemon must stay Unknown, with this process not
	// frozen meanwhile, before callers may treat it as dead. It covers the time
	// that a newly started daemon needs to discover all others.
	UnknownAfter time.Duration
	// FrozenAfter is the gap between two ticks above which this process is
	// considered to have been frozen (stopped or suspended).
	FrozenAfter time.Duration
	// RefreshAfter is the time after which a freeze ends even if too few peers
	// have replied, for example because there are none.
	RefreshAfter time.Duration
	// ForgetAfter is the time without a heartbeat after which a daemon is removed
	// from the table; until then connection attempts to it go on.
	ForgetAfter time.Duration
	// IsolationWindow is the time since its last heartbeat during which a silent daemon
	// counts for View.Isolated.
	IsolationWindow time.Duration
	// Contacts is the number of daemons in each other data centre that this daemon
	// exchanges heartbeats with, unless the data centre is small enough to connect
	// to all of its daemons.
	Contacts int
	// RelayEvery is the number of heartbeats per relay: every RelayEvery-th one to
	// this data centre carries the sequence numbers of remote daemons.
	RelayEvery int
	// MaxKnownPerHeartbeat is the maximum number of daemon descriptions per heartbeat.
	MaxKnownPerHeartbeat int
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.SuspectAfter, suspectHeartbeats*c.Heartbeat)
	setDefault(&c.DeadAfter, deadHeartbeats*c.Heartbeat)
	setDefault(&c.RemoteDeadAfter, max(remoteDeadHeartbeats*c.Heartbeat, 2*c.DeadAfter))
	setDefault(&c.UnknownAfter, DefaultUnknownAfter)
	setDefault(&c.FrozenAfter, DefaultFrozenAfter)
	setDefault(&c.RefreshAfter, DefaultRefreshAfter)
	setDefault(&c.ForgetAfter, DefaultForgetAfter)
	setDefault(&c.IsolationWindow, DefaultIsolationWindow)
	setDefault(&c.Contacts, DefaultContacts)
	setDefault(&c.RelayEvery, DefaultRelayEvery)
	setDefault(&c.MaxKnownPerHeartbeat, DefaultMaxKnownPerHeartbeat)
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
