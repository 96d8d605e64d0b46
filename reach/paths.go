package reach

import (
	"sync"
	"time"
)

// pathTTL is how long the path to an address is remembered after its last use. Addresses are
// used again by other upstreams.
const pathTTL = 15 * time.Second

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
// upstreams. It is safe for concurrent use.
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
	// usedAt is the time of the last result, and heardAt the time of the last bytes that arrived
	// from the address, on any connection.
	usedAt, heardAt time.Time
}

// Transition describes how the path to an address has changed.
type Transition struct {
	// Lost is set if the path has just failed, and Regained if it works again.
	Lost, Regained bool
	// Failing and Known are the numbers of addresses whose path fails, and of all recently used
	// ones. If most of them fail, the fault is probably on this daemon's side.
	Failing, Known int
	// SinceHeard is the time since the last bytes arrived from the address; negative if none
	// have. A short one shows that open connections survive while new ones fail.
	SinceHeard time.Duration
	// LostFor is how long the path failed, if it works again.
	LostFor time.Duration
}

// neverHeard is Transition.SinceHeard of an address that has never sent anything.
const neverHeard = -time.Millisecond

// NewPaths returns the state in which nothing is known.
func NewPaths() *Paths { return &Paths{byAddress: map[string]*path{}} }

// RecordDial records the result of opening a connection.
func (p *Paths) RecordDial(now time.Time, address string, f Failure) Transition {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetUnused(now)
	e := p.get(address)
	e.usedAt = now
	t := Transition{
		Lost:       f != NoFailure && e.failure == NoFailure,
		Regained:   f == NoFailure && e.failure != NoFailure,
		SinceHeard: neverHeard,
	}
	if !e.heardAt.IsZero() {
		t.SinceHeard = now.Sub(e.heardAt)
	}
	if t.Regained {
		t.LostFor = now.Sub(e.lostAt)
	}
	if t.Lost {
		e.lostAt = now
	}
	e.failure = f
	t.Failing, t.Known = p.count()
	return t
}

// RecordHeard records that bytes arrived from an address.
func (p *Paths) RecordHeard(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.get(address)
	e.usedAt, e.heardAt = now, now
}

// Count returns the number of addresses whose path fails, and of all recently used ones.
func (p *Paths) Count(now time.Time) (failing, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetUnused(now)
	return p.count()
}

// count is Count for callers that hold the lock.
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
