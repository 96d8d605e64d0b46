package watch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// maxPeers bounds the peers remembered; a data centre of the design size has 46.
	maxPeers = 1024
	// peerKeep is how long a peer's version counts after it was last heard.
	peerKeep = 30 * time.Second
	// fetchDelay is how long the log gets to bring a version that a peer told of,
	// before the peer is asked for it.
	fetchDelay = 500 * time.Millisecond
	// failedPause is how long a peer that failed is not asked again.
	failedPause = 2 * time.Second
	// fetchRate and fetchBurst bound this daemon's calls to peers, per second.
	fetchRate  = 2
	fetchBurst = 4
	// confirmEvery bounds the calls that only ask whether there is anything higher.
	confirmEvery = time.Second
)

// fetchJob is one call to a peer.
type fetchJob struct {
	from  wire.NodeID
	after uint64
}

// need says what the chain lacks.
type need struct {
	number  uint64 // in force
	urgent  bool   // do not wait for the log
	confirm bool   // a peer's answer is wanted even when it tells of nothing higher
}

type peerVersion struct {
	number uint64
	heard  time.Time
	// above is when it first told of this number.
	above time.Time
	// notBefore is the end of its pause after a failure.
	notBefore time.Time
}

// peers remembers what other daemons said and picks the one to ask. One call
// is out at a time.
type peers struct {
	rng       *rand.Rand
	versions  map[wire.NodeID]peerVersion
	limiter   *rate.Limiter
	busy      bool
	lastAsked time.Time
}

func newPeers(rng *rand.Rand) *peers {
	return &peers{
		rng:      rng,
		versions: map[wire.NodeID]peerVersion{},
		limiter:  rate.NewLimiter(fetchRate, fetchBurst),
	}
}

func (p *peers) notice(now time.Time, from wire.NodeID, number uint64) {
	seen, known := p.versions[from]
	if !known && len(p.versions) >= maxPeers {
		return
	}
	if !known || number != seen.number {
		seen.above = now
	}
	seen.number = number
	seen.heard = now
	p.versions[from] = seen
}

// failed ends a call without a usable answer.
func (p *peers) failed(now time.Time, from wire.NodeID) {
	p.busy = false
	if seen, ok := p.versions[from]; ok {
		seen.notBefore = now.Add(failedPause)
		p.versions[from] = seen
	}
}

// answered ends a call; number is what the peer has in force.
func (p *peers) answered(from wire.NodeID, number uint64) {
	p.busy = false
	if seen, ok := p.versions[from]; ok {
		seen.number = max(seen.number, number)
		p.versions[from] = seen
	}
}

// highest returns the highest number that a peer told of.
func (p *peers) highest() uint64 {
	var top uint64
	for _, seen := range p.versions {
		top = max(top, seen.number)
	}
	return top
}

// next returns the call to make now, or nil.
func (p *peers) next(now time.Time, n need) *fetchJob {
	p.forget(now)
	if p.busy || !p.wanted(now, n) {
		return nil
	}
	from, ok := p.pick(now)
	if !ok || !p.limiter.AllowN(now, 1) {
		return nil
	}
	p.busy = true
	p.lastAsked = now
	return &fetchJob{from: from, after: n.number}
}

func (p *peers) wanted(now time.Time, n need) bool {
	for _, seen := range p.versions {
		if seen.number > n.number && (n.urgent || now.Sub(seen.above) >= fetchDelay) {
			return true
		}
	}
	return n.confirm && now.Sub(p.lastAsked) >= confirmEvery
}

// pick returns a random one of the peers with the highest number that may be asked.
func (p *peers) pick(now time.Time) (wire.NodeID, bool) {
	var best []wire.NodeID
	var top uint64
	for id, seen := range p.versions {
		if now.Before(seen.notBefore) || seen.number < top {
			continue
		}
		if seen.number > top {
			top = seen.number
			best = best[:0]
		}
		best = append(best, id)
	}
	if len(best) == 0 {
		return wire.NodeID{}, false
	}
	// The map's order is random; the choice must depend on the seeded source alone.
	slices.SortFunc(best, func(a, b wire.NodeID) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return best[p.rng.IntN(len(best))], true
}

func (p *peers) forget(now time.Time) {
	for id, seen := range p.versions {
		if now.Sub(seen.heard) > peerKeep {
			delete(p.versions, id)
		}
	}
}
