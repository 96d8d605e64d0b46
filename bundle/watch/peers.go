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
	// maxPeers is the maximum number of peers tracked. A data centre of the design
	// size has 46.
	maxPeers = 1024
	// peerTTL is how long a peer's version stays valid after its last heartbeat.
	peerTTL = 30 * time.Second
	// fetchDelay is how long to wait for the log to deliver a version that a peer
	// announced, before requesting it from a peer.
	fetchDelay = 500 * time.Millisecond
	// failureBackoff is how long no call is made to a peer after a failed call.
	failureBackoff = 2 * time.Second
	// fetchRate and fetchBurst limit this daemon's calls to peers: the sustained rate
	// in calls per second, and the number of calls in a burst.
	fetchRate  = 2
	fetchBurst = 4
	// confirmInterval is the minimum time between a call to a peer and the next call
	// that is made although no peer announced a higher version.
	confirmInterval = time.Second
)

// fetchJob is one call to a peer, for the records after a version number.
type fetchJob struct {
	from  wire.NodeID
	after uint64
}

// fetchNeed describes why the core may need a call to a peer.
type fetchNeed struct {
	number  uint64 // of the version in force here
	urgent  bool   // fetch a higher version at once instead of waiting fetchDelay for the log
	confirm bool   // call a peer even if none announced a higher version
}

// peerVersion is the last known version of a peer.
type peerVersion struct {
	number    uint64
	lastHeard time.Time // of the last heartbeat
	// numberSince is when the peer first announced this number.
	numberSince time.Time
	// backoffUntil is the time before which no call is made to the peer.
	backoffUntil time.Time
}

// peers tracks the versions of other daemons and chooses when to call which of
// them. At most one call is in flight.
type peers struct {
	rng          *rand.Rand
	versions     map[wire.NodeID]peerVersion
	limiter      *rate.Limiter
	callInFlight bool
	lastCall     time.Time // start of the last call
}

func newPeers(rng *rand.Rand) *peers {
	return &peers{
		rng:      rng,
		versions: map[wire.NodeID]peerVersion{},
		limiter:  rate.NewLimiter(fetchRate, fetchBurst),
	}
}

// update records the version number in a peer's heartbeat. It ignores new peers
// beyond maxPeers.
func (p *peers) update(now time.Time, from wire.NodeID, number uint64) {
	seen, known := p.versions[from]
	if !known && len(p.versions) >= maxPeers {
		return
	}
	if !known || number != seen.number {
		seen.numberSince = now
	}
	seen.number = number
	seen.lastHeard = now
	p.versions[from] = seen
}

// failed records the end of a call without a usable response, and starts the
// peer's backoff.
func (p *peers) failed(now time.Time, from wire.NodeID) {
	p.callInFlight = false
	if seen, ok := p.versions[from]; ok {
		seen.backoffUntil = now.Add(failureBackoff)
		p.versions[from] = seen
	}
}

// succeeded records the end of a call with a usable response; number is that of
// the version in force on the peer.
func (p *peers) succeeded(from wire.NodeID, number uint64) {
	p.callInFlight = false
	if seen, ok := p.versions[from]; ok {
		seen.number = max(seen.number, number)
		p.versions[from] = seen
	}
}

// highest returns the highest version number that a peer announced, or 0.
func (p *peers) highest() uint64 {
	var top uint64
	for _, seen := range p.versions {
		top = max(top, seen.number)
	}
	return top
}

// nextCall returns the call to make now, or nil if none is needed or possible.
func (p *peers) nextCall(now time.Time, n fetchNeed) *fetchJob {
	p.expire(now)
	if p.callInFlight || !p.callNeeded(now, n) {
		return nil
	}
	from, ok := p.pickPeer(now)
	if !ok || !p.limiter.AllowN(now, 1) {
		return nil
	}
	p.callInFlight = true
	p.lastCall = now
	return &fetchJob{from: from, after: n.number}
}

// callNeeded reports whether a peer has a version to fetch now, or a call for
// confirmation is due.
func (p *peers) callNeeded(now time.Time, n fetchNeed) bool {
	for _, seen := range p.versions {
		if seen.number > n.number && (n.urgent || now.Sub(seen.numberSince) >= fetchDelay) {
			return true
		}
	}
	return n.confirm && now.Sub(p.lastCall) >= confirmInterval
}

// pickPeer returns a random one of the peers with the highest version number,
// leaving out those in backoff. ok is false if there is none.
func (p *peers) pickPeer(now time.Time) (wire.NodeID, bool) {
	var best []wire.NodeID
	var top uint64
	for id, seen := range p.versions {
		if now.Before(seen.backoffUntil) || seen.number < top {
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
	// Sorted, because the iteration order of the map is random: the choice must be
	// reproducible from the seed.
	slices.SortFunc(best, func(a, b wire.NodeID) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return best[p.rng.IntN(len(best))], true
}

// expire removes the peers without a heartbeat for longer than peerTTL.
func (p *peers) expire(now time.Time) {
	for id, seen := range p.versions {
		if now.Sub(seen.lastHeard) > peerTTL {
			delete(p.versions, id)
		}
	}
}
