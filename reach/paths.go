package reach

import (
	"sync"
	"time"
)

const (
	// pathTTL is how long the path to an address is remembered after its last use. Addresses are
	// used again by other upstreams.
	pathTTL = 15 * time.Second
	// silenceLimit is how long an upstream may be silent after bytes were sent to it until the
	// path to it is probed. Connections that have lost their path show it in no other way.
	silenceLimit = 250 * time.Millisecond
	// probeInterval is the least time between two probes of the path to one address.
	probeInterval = 500 * time.Millisecond
	// recently is the age up to which a result counts when this daemon's own paths are judged.
	recently = 2 * time.Second
)

// Failure is the reason why a connection could not be opened.
type Failure uint8

// The reasons.
const (
	// NoFailure: the connection was opened.
	NoFailure Failure = iota
	// Refused: no process listens at the address, or something on the way refuses connections.
	Refused
	// Reset: the connection was reset while it was opened.
	Reset
	// TimedOut: there was no answer.
	TimedOut
	// OtherFailure: for example, no file descriptor was free.
	OtherFailure
)

// String returns the name used in logs and metrics.
func (f Failure) String() string {
	return [...]string{"opened", "refused", "reset", "timeout", "other"}[f]
}

// Paths holds what is known of the direct paths from this daemon to the addresses of
// upstreams, and decides from it how to send the next request. It is safe for concurrent use.
//
// Load pattern: a daemon with a few requests a second to dozens of upstreams loses its path to
// all of them at once. Each request must not wait for a timeout of its own, an upstream that
// is down must not look like a lost path, and the end of the fault must show within a second
// without probes of idle paths.
type Paths struct {
	mu        sync.Mutex
	byAddress map[string]*path
	sweptAt   time.Time
}

// path is the state of the direct path to one address.
type path struct {
	// failure is the reason why the last connection failed, and lostAt the time of the first
	// failure since a connection was opened.
	failure Failure
	lostAt  time.Time
	// usedAt is the time of the last use, openedAt that of the last opened connection, and
	// receivedAt that of the last bytes that arrived on any connection.
	usedAt, openedAt, receivedAt time.Time
	// waitingSince is the time at which bytes were first sent since bytes last arrived; zero
	// if nothing is awaited.
	waitingSince time.Time
	probedAt     time.Time
}

// Transition describes how the path to an address has changed.
type Transition struct {
	// Lost is set if the path has just failed, and Regained if it works again.
	Lost, Regained bool
	// Failing and Known are the numbers of addresses whose path fails, and of all recently used
	// ones. If most of them fail, the fault is probably on this daemon's side.
	Failing, Known int
	// SinceReceived is the time since the last bytes arrived from the address; negative if none
	// have. A short one shows that open connections survive while new ones fail.
	SinceReceived time.Duration
	// LostFor is how long the path failed, if it works again.
	LostFor time.Duration
}

// Route says how to send the next request to an address.
type Route struct {
	// Detour: through another daemon. The direct path is only the second choice.
	Detour bool
	// Probe: find out beside the request whether a direct connection can be opened.
	Probe bool
}

// neverReceived is Transition.SinceReceived of an address that has never sent anything.
const neverReceived = -time.Millisecond

// NewPaths returns the state in which nothing is known.
func NewPaths() *Paths { return &Paths{byAddress: map[string]*path{}} }

// Route returns how to send a request to an address now.
//
// A path on which the last direct connection failed is not used first, because each request
// would wait for the timeout again. Nor is one of which nothing recent is known while this
// daemon is cut off. Whether it works is found out by probes, which only its requests cause.
func (p *Paths) Route(now time.Time, address string) Route {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.get(address)
	e.usedAt = now
	suspect := p.isSuspect(now, e)
	silent := !e.waitingSince.IsZero() && now.Sub(e.waitingSince) >= silenceLimit
	r := Route{Detour: suspect, Probe: (suspect || silent) && e.mayProbe(now)}
	if r.Probe {
		e.probedAt = now
	}
	return r
}

// NeedsDetour reports whether a request to an address would go through another daemon now.
func (p *Paths) NeedsDetour(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byAddress[address]
	if e == nil {
		return p.cutOff(now)
	}
	return p.isSuspect(now, e)
}

// isSuspect reports whether the direct path is expected to fail.
func (p *Paths) isSuspect(now time.Time, e *path) bool {
	return e.failure != NoFailure || !e.worked(now) && p.cutOff(now)
}

// worked reports whether the path has worked recently.
func (e *path) worked(now time.Time) bool {
	return e.failure == NoFailure && (now.Sub(e.openedAt) < recently || now.Sub(e.receivedAt) < recently)
}

func (e *path) mayProbe(now time.Time) bool { return now.Sub(e.probedAt) >= probeInterval }

// RecordDial records the result of opening a connection.
func (p *Paths) RecordDial(now time.Time, address string, f Failure) Transition {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetUnused(now)
	e := p.get(address)
	e.usedAt = now
	t := Transition{
		Lost:          f != NoFailure && e.failure == NoFailure,
		Regained:      f == NoFailure && e.failure != NoFailure,
		SinceReceived: neverReceived,
	}
	if !e.receivedAt.IsZero() {
		t.SinceReceived = now.Sub(e.receivedAt)
	}
	if t.Regained {
		t.LostFor = now.Sub(e.lostAt)
		p.probeFailingSoon()
	}
	if t.Lost {
		e.lostAt = now
	}
	if f == NoFailure {
		e.openedAt = now
	}
	e.failure, e.waitingSince = f, time.Time{}
	t.Failing, t.Known = p.count()
	return t
}

// probeFailingSoon lets the next request to each failing path probe it. The paths of a daemon
// mostly fail and come back together.
func (p *Paths) probeFailingSoon() {
	for _, e := range p.byAddress {
		if e.failure != NoFailure {
			e.probedAt = time.Time{}
		}
	}
}

// RecordSent records that bytes were sent to an address on a direct connection.
func (p *Paths) RecordSent(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.get(address); e.waitingSince.IsZero() {
		e.usedAt, e.waitingSince = now, now
	}
}

// RecordHeard records that bytes arrived from an address on a direct connection.
func (p *Paths) RecordHeard(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.get(address)
	e.usedAt, e.receivedAt, e.waitingSince = now, now, time.Time{}
}

// Suspects returns at most n addresses whose path worked and is to be probed now, because
// that to another address has just failed. The answer tells a fault of this daemon's network
// from an upstream that is down.
func (p *Paths) Suspects(now time.Time, n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, e := range p.byAddress {
		if len(out) < n && e.failure == NoFailure && e.mayProbe(now) {
			e.probedAt = now
			out = append(out, address)
		}
	}
	return out
}

// Failure returns the reason why the last direct connection to an address failed, if it did.
func (p *Paths) Failure(address string) Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byAddress[address]; e != nil {
		return e.failure
	}
	return NoFailure
}

// minFailing is the number of failing paths from which a daemon may be cut off. A single one may
// be due to the upstream.
const minFailing = 2

// CutOff reports whether this daemon has probably lost its own network path: of the paths with
// a recent result, at least as many fail as work.
func (p *Paths) CutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff(now)
}

// cutOff is CutOff for callers that hold the lock.
func (p *Paths) cutOff(now time.Time) bool {
	failing, working := 0, 0
	for _, e := range p.byAddress {
		switch {
		case e.failure != NoFailure:
			failing++
		case e.worked(now):
			working++
		}
	}
	return failing >= minFailing && failing >= working
}

// ForgetGone drops the failing paths to addresses at which no upstream is registered. That nobody
// answers at the address of an upstream that is gone says nothing about this daemon's own network.
// registered returns the addresses of all upstreams; it is called only if a path fails.
func (p *Paths) ForgetGone(registered func() map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failing, _ := p.count(); failing == 0 {
		return
	}
	addresses := registered()
	for address, e := range p.byAddress {
		if e.failure != NoFailure && !addresses[address] {
			delete(p.byAddress, address)
		}
	}
}

// count returns the number of addresses whose path fails, and of all known ones.
func (p *Paths) count() (failing, known int) {
	for _, e := range p.byAddress {
		if e.failure != NoFailure {
			failing++
		}
	}
	return failing, len(p.byAddress)
}

func (p *Paths) get(address string) *path {
	e := p.byAddress[address]
	if e == nil {
		e = &path{}
		p.byAddress[address] = e
	}
	return e
}

// forgetUnused drops the paths that have not been used for pathTTL.
func (p *Paths) forgetUnused(now time.Time) {
	const interval = time.Second
	if now.Sub(p.sweptAt) < interval {
		return
	}
	p.sweptAt = now
	for address, e := range p.byAddress {
		if now.Sub(e.usedAt) >= pathTTL {
			delete(p.byAddress, address)
		}
	}
}
