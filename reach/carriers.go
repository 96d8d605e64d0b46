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

// Zone says in which data centres candidates are looked for.
type Zone uint8

// The values of Zone. Local daemons are preferred: bytes between data centres cost more.
const (
	Local  Zone = iota // this daemon's data centre
	Remote             // the other data centres
	zones
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
	candidates [zones]candidates
	// avoided and unreaching hold until when a daemon is not asked: for any upstream, or for one
	// that it could not connect to. proven are the daemons that carried the last connection to
	// an upstream.
	avoided    map[string]time.Time
	unreaching map[pair]time.Time
	proven     map[string]string
}

// candidates are the daemons of a zone that may carry connections.
type candidates struct {
	addresses []string
	at        time.Time // when they were looked up; zero if never
}

// pair is a daemon with an upstream.
type pair struct{ daemon, upstream string }

// NewCarriers returns a Carriers without candidates.
func NewCarriers(random *rand.Rand) *Carriers {
	return &Carriers{random: random, avoided: map[string]time.Time{}, unreaching: map[pair]time.Time{}, proven: map[string]string{}}
}

// Set replaces the candidates of a zone.
func (c *Carriers) Set(now time.Time, z Zone, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidates[z] = candidates{addresses: addresses, at: now}
	maps.DeleteFunc(c.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(c.unreaching, func(_ pair, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(c.proven, func(_, daemon string) bool { return !c.isCandidate(daemon) })
}

func (c *Carriers) isCandidate(daemon string) bool {
	return slices.ContainsFunc(c.candidates[:], func(list candidates) bool { return slices.Contains(list.addresses, daemon) })
}

// Stale reports whether the candidates of a zone must be looked up: the list is old, or has no
// candidate for an upstream any more.
func (c *Carriers) Stale(now time.Time, z Zone, upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.candidates[z].at)
	return age >= candidatesTTL || age >= emptyTTL && len(c.usable(now, z, upstream, nil)) == 0
}

// Pick returns a candidate of a zone for an upstream that is not among those already asked: the
// one that carried the last connection, or else a random one.
func (c *Carriers) Pick(now time.Time, z Zone, upstream string, asked []string) (daemon string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.usable(now, z, upstream, asked)
	if proven := c.proven[upstream]; slices.Contains(list, proven) {
		return proven, true
	}
	return c.any(list)
}

// PickAvoided returns a random candidate that was avoided for any reason but the upstream. It is
// for the case that no other is left.
func (c *Carriers) PickAvoided(now time.Time, upstream string, asked []string) (daemon string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, z := range c.candidates {
		for _, daemon := range z.addresses {
			if !now.Before(c.unreaching[pair{daemon, upstream}]) && !slices.Contains(asked, daemon) {
				list = append(list, daemon)
			}
		}
	}
	return c.any(list)
}

func (c *Carriers) any(list []string) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	return list[c.random.IntN(len(list))], true
}

// usable returns the candidates of a zone for an upstream that are not avoided.
func (c *Carriers) usable(now time.Time, z Zone, upstream string, asked []string) []string {
	return slices.DeleteFunc(slices.Clone(c.candidates[z].addresses), func(daemon string) bool {
		return now.Before(c.avoided[daemon]) || now.Before(c.unreaching[pair{daemon, upstream}]) || slices.Contains(asked, daemon)
	})
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
