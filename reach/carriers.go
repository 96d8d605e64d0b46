package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidFor is how long a daemon is not asked again after it could not carry a connection, or
	// not for the same upstream.
	avoidFor = time.Second
	// candidatesTTL is how long a list of candidates is used.
	candidatesTTL = 2 * time.Second
	// emptyTTL is how long a list without a usable candidate is kept.
	emptyTTL = 200 * time.Millisecond
)

// Scope says in which data centres candidates are looked for.
type Scope uint8

// The values of Scope. Local daemons are preferred: bytes between data centres cost more.
const (
	Local  Scope = iota // this daemon's data centre
	Remote              // the other data centres
	scopes
)

// Carriers selects the daemons that are asked to carry a connection. It is safe for concurrent
// use.
//
// Load pattern: some, most or all daemons of a data centre lose their paths to some or all
// upstreams at once. Their requests must spread over the daemons that still reach them, and
// must not ask those that do not again and again.
type Carriers struct {
	mu         sync.Mutex
	random     *rand.Rand
	candidates [scopes]candidates
	// avoided and unreaching hold until when a daemon is not asked: for any upstream, or for one
	// that it could not connect to. proven are the daemons that carried the last connection to
	// an upstream.
	avoided    map[string]time.Time
	unreaching map[pair]time.Time
	proven     map[string]string
}

// Candidate is a daemon that may carry connections.
type Candidate struct {
	Address string
	// CutOff is set if the daemon has lost its path to most upstreams. It is asked only when no
	// other is left, because it may reach just those that this daemon does not.
	CutOff bool
}

// candidates are the daemons of a scope that may carry connections.
type candidates struct {
	list []Candidate
	at   time.Time // when they were looked up; zero if never
}

// pair is a daemon with an upstream.
type pair struct{ daemon, upstream string }

// NewCarriers returns a Carriers without candidates.
func NewCarriers(random *rand.Rand) *Carriers {
	return &Carriers{random: random, avoided: map[string]time.Time{}, unreaching: map[pair]time.Time{}, proven: map[string]string{}}
}

// Set replaces the candidates of a scope.
func (c *Carriers) Set(now time.Time, z Scope, list []Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidates[z] = candidates{list: list, at: now}
	maps.DeleteFunc(c.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(c.unreaching, func(_ pair, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(c.proven, func(_, daemon string) bool { return !c.isCandidate(daemon) })
}

func (c *Carriers) isCandidate(daemon string) bool {
	return slices.ContainsFunc(c.candidates[:], func(of candidates) bool {
		return slices.ContainsFunc(of.list, func(d Candidate) bool { return d.Address == daemon })
	})
}

// Stale reports whether the candidates of a scope must be looked up: the list is old, or has no
// candidate for an upstream any more.
func (c *Carriers) Stale(now time.Time, z Scope, upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.candidates[z].at)
	return age >= candidatesTTL || age >= emptyTTL && len(c.usable(now, z, upstream, nil)) == 0
}

// Pick returns a candidate of a scope for an upstream that is not among those already asked: the
// one that carried the last connection, or else a random one.
func (c *Carriers) Pick(now time.Time, z Scope, upstream string, asked []string) (daemon string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.usable(now, z, upstream, asked)
	if proven := c.proven[upstream]; slices.Contains(list, proven) {
		return proven, true
	}
	return c.any(list)
}

// PickLast returns a candidate for the case that Pick has none left: the one that carried the
// last connection, or a random one that is cut off from most upstreams, or one that was
// avoided for another reason than the upstream.
func (c *Carriers) PickLast(now time.Time, upstream string, asked []string) (daemon string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cutOff, avoided []string
	for _, of := range c.candidates {
		for _, d := range of.list {
			switch {
			case now.Before(c.unreaching[pair{d.Address, upstream}]) || slices.Contains(asked, d.Address):
			case now.Before(c.avoided[d.Address]):
				avoided = append(avoided, d.Address)
			default:
				cutOff = append(cutOff, d.Address)
			}
		}
	}
	if proven := c.proven[upstream]; slices.Contains(cutOff, proven) {
		return proven, true
	}
	if daemon, ok := c.any(cutOff); ok {
		return daemon, true
	}
	return c.any(avoided)
}

func (c *Carriers) any(list []string) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	return list[c.random.IntN(len(list))], true
}

// usable returns the candidates of a scope for an upstream that are neither cut off nor avoided.
func (c *Carriers) usable(now time.Time, z Scope, upstream string, asked []string) []string {
	var out []string
	for _, d := range c.candidates[z].list {
		if !d.CutOff && !now.Before(c.avoided[d.Address]) && !now.Before(c.unreaching[pair{d.Address, upstream}]) && !slices.Contains(asked, d.Address) {
			out = append(out, d.Address)
		}
	}
	return out
}

// Avoid records that a daemon could not carry any connection.
func (c *Carriers) Avoid(now time.Time, daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[daemon] = now.Add(avoidFor)
}

// RecordResult records whether a daemon could connect to an upstream.
func (c *Carriers) RecordResult(now time.Time, daemon, upstream string, connected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connected {
		c.proven[upstream] = daemon
		return
	}
	c.unreaching[pair{daemon, upstream}] = now.Add(avoidFor)
	if c.proven[upstream] == daemon {
		delete(c.proven, upstream)
	}
}
