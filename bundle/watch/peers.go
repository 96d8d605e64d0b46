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
	// peerKeep is how long a peer's word counts after it was last heard.
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

type peerWord struct {
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
	words     map[wire.NodeID]peerWord
	limiter   *rate.Limiter
	busy      bool
	lastAsked time.Time
}

func newPeers(rng *rand.Rand) *peers {
	return &peers{
		rng:     rng,
		words:   map[wire.NodeID]peerWord{},
		limiter: rate.NewLimiter(fetchRate, fetchBurst),
	}
}

func (p *peers) notice(now time.Time, from wire.NodeID, number uint64) {
	word, known := p.words[from]
	if !known && len(p.words) >= maxPeers {
		return
	}
	if !known || number != word.number {
		word.above = now
	}
	word.number = number
	word.heard = now
	p.words[from] = word
}

// failed ends a call without a usable answer.
func (p *peers) failed(now time.Time, from wire.NodeID) {
	p.busy = false
	if word, ok := p.words[from]; ok {
		word.notBefore = now.Add(failedPause)
		p.words[from] = word
	}
}

// answered ends a call; number is what the peer has in force.
func (p *peers) answered(from wire.NodeID, number uint64) {
	p.busy = false
	if word, ok := p.words[from]; ok {
		word.number = max(word.number, number)
		p.words[from] = word
	}
}

// highest returns the highest number that a peer told of.
func (p *peers) highest() uint64 {
	var top uint64
	for _, word := range p.words {
		top = max(top, word.number)
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
	for _, word := range p.words {
		if word.number > n.number && (n.urgent || now.Sub(word.above) >= fetchDelay) {
			return true
		}
	}
	return n.confirm && now.Sub(p.lastAsked) >= confirmEvery
}

// pick returns a random one of the peers with the highest number that may be asked.
func (p *peers) pick(now time.Time) (wire.NodeID, bool) {
	var best []wire.NodeID
	var top uint64
	for id, word := range p.words {
		if now.Before(word.notBefore) || word.number < top {
			continue
		}
		if word.number > top {
			top = word.number
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
	for id, word := range p.words {
		if now.Sub(word.heard) > peerKeep {
			delete(p.words, id)
		}
	}
}
