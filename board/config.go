// Package board tracks the state of all upstreams: their load and its age, health,
// cached prefixes, and which of them are leaving, that is, shutting down. From it the
// package builds the immutable snapshots that package policy uses to place requests.
//
// A board is fed with bundle versions (package bundle: the configuration that lists the
// upstreams), load reports, call results and the messages of other daemons, called
// peers. Each upstream is polled by one daemon, its steward, which sends the load to
// the peers. An upstream's incarnation identifies one run of it and changes with each
// restart. Engines have a role: a prefill engine computes prompts, a decode engine
// generates answers.
//
// Board does no I/O and reads no clock; the time is an argument of its methods. Holder
// makes it safe for concurrent use. Inflight counts this daemon's own requests and its
// bookings of KV links.
package board

import (
	"time"

	"github.com/corianderturn/corianderturn/availability"
)

// Config configures a Board. Zero fields take their defaults, which are given with each
// field.
type Config struct {
	// FailureThreshold is the number of consecutive failures after which an upstream is
	// ejected, that is, gets no requests for a while. Default 3.
	FailureThreshold int
	// EjectBase is the duration of the first ejection. Each further one lasts twice as
	// long as the previous, up to EjectMax. Defaults 500 ms and 30 s.
	EjectBase, EjectMax time.Duration
	// EjectUnanswered makes a single call to RecordUnanswered eject an upstream. It also
	// ejects all upstreams of a remote data centre together once the data centre is
	// considered unreachable. Default false.
	EjectUnanswered bool
	// DataCentre is the daemon's own data centre. It is never considered unreachable as
	// a whole.
	DataCentre string
	// SlowStart is the duration of the slow start: the time in which an upstream's
	// weight grows back to 1 after an ejection or a restart. Default 5 s.
	SlowStart time.Duration
	// ReportLag is added to the age of every load report from an upstream, because
	// engines report with a delay that they do not state. Default 100 ms.
	ReportLag time.Duration
	// PrefixBlocks is the number of prefix blocks remembered for each upstream, at 8
	// bytes each. Default 4096, which covers 65,536 tokens.
	PrefixBlocks int
	// PrefixSets is the number of upstreams for which prefix blocks are remembered.
	// When it is reached, the least recently updated set is dropped. Default 1024,
	// which takes 32 MiB.
	PrefixSets int
	// PeerNoticeLifetime is how long a peer's notice that an upstream is leaving remains
	// valid after the peer last repeated it. Default 60 s.
	PeerNoticeLifetime time.Duration
	// RestartSlack is the least time between an upstream's own notice that it is
	// leaving and a later report of its steward that shows it serving, for the report
	// to prove a restart. It must exceed the delay of load reports. Default 5 s.
	RestartSlack time.Duration
	// Stated returns what an upstream has stated of its availability. Default: nothing.
	Stated func(upstream string, incarnation int64) availability.State
	// OnRestart is called when a load report shows that an upstream has started again under its
	// name, so that what it stated before is over. It must not use the board. Default: nothing.
	OnRestart func(upstream string)
}

func (c Config) withDefaults() Config {
	setDefault(&c.FailureThreshold, 3)
	setDefault(&c.EjectBase, 500*time.Millisecond)
	setDefault(&c.EjectMax, 30*time.Second)
	setDefault(&c.SlowStart, 5*time.Second)
	setDefault(&c.ReportLag, 100*time.Millisecond)
	setDefault(&c.PrefixBlocks, 4096)
	setDefault(&c.PrefixSets, 1024)
	setDefault(&c.PeerNoticeLifetime, time.Minute)
	setDefault(&c.RestartSlack, 5*time.Second)
	if c.Stated == nil {
		c.Stated = func(string, int64) availability.State { return availability.State{} }
	}
	if c.OnRestart == nil {
		c.OnRestart = func(string) {}
	}
	return c
}

func setDefault[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}
