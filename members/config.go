// Package members tells which daemons live. A Table takes heartbeats and the
// time, and publishes immutable Views; it does no I/O and reads no clock, and
// package peer drives it. docs/design/membership.md gives the reasons for the
// figures below.
package members

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// The defaults of Config.
const (
	DefaultHeartbeat    = 250 * time.Millisecond
	DefaultUnknownAfter = 10 * time.Second
	DefaultFrozenAfter  = time.Second
	DefaultRefreshAfter = time.Second
	DefaultForgetAfter  = time.Hour
	DefaultLossMemory   = 30 * time.Second
	DefaultContacts     = 2
	DefaultRelayEvery   = 2
	DefaultKnownPerBeat = 32
)

// The silences that make a daemon Suspect and Dead by default, in heartbeats.
const (
	suspectBeats = 3
	deadBeats    = 5
	farDeadBeats = 10
)

// Config holds this daemon's identity and the table's limits. A zero limit
// takes its default.
type Config struct {
	Node       wire.NodeID
	DataCentre string
	// Address is the peer listener, host:port, that other daemons dial.
	Address string

	// Heartbeat is the time between two heartbeats to each neighbour.
	Heartbeat time.Duration
	// SuspectAfter and DeadAfter are the silences after which a daemon of the own
	// data centre is Suspect and Dead.
	SuspectAfter, DeadAfter time.Duration
	// FarDeadAfter is DeadAfter for other data centres, whose daemons are mostly
	// heard of by relays every RelayEvery heartbeats.
	FarDeadAfter time.Duration
	// UnknownAfter is how long a daemon must stay unknown to a table that runs
	// without a freeze before readers may take it for dead. It covers the time in
	// which a fresh daemon learns of all others.
	UnknownAfter time.Duration
	// FrozenAfter is the time between two ticks from which on this process is
	// taken to have been stopped.
	FrozenAfter time.Duration
	// RefreshAfter ends a freeze when too few peers answer, as when alone.
	RefreshAfter time.Duration
	// ForgetAfter is how long a dead daemon is remembered and dialled.
	ForgetAfter time.Duration
	// LossMemory is how long a daemon that fell silent counts in View.Isolated.
	LossMemory time.Duration
	// Contacts is the number of daemons to heartbeat in each other data centre.
	Contacts int
	// RelayEvery is the number of heartbeats from one relay to the next.
	RelayEvery int
	// KnownPerBeat bounds the daemons described in one heartbeat.
	KnownPerBeat int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.SuspectAfter, suspectBeats*c.Heartbeat)
	setDefault(&c.DeadAfter, deadBeats*c.Heartbeat)
	setDefault(&c.FarDeadAfter, max(farDeadBeats*c.Heartbeat, 2*c.DeadAfter))
	setDefault(&c.UnknownAfter, DefaultUnknownAfter)
	setDefault(&c.FrozenAfter, DefaultFrozenAfter)
	setDefault(&c.RefreshAfter, DefaultRefreshAfter)
	setDefault(&c.ForgetAfter, DefaultForgetAfter)
	setDefault(&c.LossMemory, DefaultLossMemory)
	setDefault(&c.Contacts, DefaultContacts)
	setDefault(&c.RelayEvery, DefaultRelayEvery)
	setDefault(&c.KnownPerBeat, DefaultKnownPerBeat)
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
