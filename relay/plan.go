package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

const (
	// minFleet is the smallest number of daemons with which a fleet uses readers. In a smaller
	// fleet, readers would save few calls, and direct reads keep the fault of one daemon from
	// affecting others.
	minFleet = 10
	// storeDownBackoff is how long a peer is not asked after it answered that the store is
	// unavailable, and staleBackoff after it answered that its data is stale.
	storeDownBackoff = time.Second
	staleBackoff     = 2 * time.Second
	// minProbeInterval is the pause after the first failed call to the store; it doubles
	// with each further failure. A reader's pause grows up to maxReaderProbeInterval,
	// because registrations that expired during an outage must be restored within 2 s of
	// its end, and the probe may take a quarter of that. The pause of a successor grows up
	// to maxSuccessorProbeInterval; its probes are needed in case the store refuses only the
	// reader.
	minProbeInterval          = 250 * time.Millisecond
	maxReaderProbeInterval    = 500 * time.Millisecond
	maxSuccessorProbeInterval = 1500 * time.Millisecond
	// followerProbeInterval is multiplied by the average number of daemons in a data centre
	// to get the pause between two probes of one follower. All followers of a data centre
	// together then make about one call a second.
	followerProbeInterval = time.Second
	// maxIsolatedProbeInterval is the longest pause between two probes of a daemon without a
	// known reader, or of a daemon in a small fleet.
	maxIsolatedProbeInterval = time.Second
	// minSearchInterval is the shortest interval between two searches for a reader. It
	// doubles up to maxSearchInterval while no reader is found. smallFleetSearchInterval is
	// the interval in a fleet that is too small to need a reader.
	minSearchInterval        = 5 * time.Second
	smallFleetSearchInterval = 20 * time.Second
	maxSearchInterval        = time.Minute
	// startupSearchInterval is the interval during the startupPeriod of a daemon. When a
	// whole fleet starts, the seeds may not know the other daemons yet.
	startupSearchInterval = time.Second
	startupPeriod         = 8 * time.Second
	// seedWait is how long a starting daemon waits for one of the seeds to answer, and
	// seedRetryInterval the pause between two attempts. The daemons of a fleet start within
	// 0.3 s of each other, in any order, and a small daemon needs 0.1 s more. Without this
	// wait, 292 of 295 daemons read the store directly for their first 5 s.
	seedWait          = 600 * time.Millisecond
	seedRetryInterval = 100 * time.Millisecond
	// maxSubstitutes is how many readers of other data centres a reader asks in place of the
	// store, and substituteProbeInterval the pause of its calls to the store meanwhile.
	maxSubstitutes          = 2
	substituteProbeInterval = 1500 * time.Millisecond
	// jitter is the fraction by which pauses vary at random, so that daemons that lost a
	// connection at the same moment do not retry at the same moment.
	jitter = 0.25
)

// ReadReason says why a daemon reads the store itself, for its log.
type ReadReason string

// The reasons for which a daemon reads the store itself.
const (
	readsAsReader      ReadReason = "reader"
	readsForFollowers  ReadReason = "followers"   // other daemons read through this one
	readsAsSuccessor   ReadReason = "successor"   // no daemon earlier in the succession has fresh data
	readsAsProbe       ReadReason = "probe"       // no daemon of the succession has fresh data
	readsInSmallFleet  ReadReason = "small-fleet" // see minFleet
	readsWithoutReader ReadReason = "no-reader"   // the search has found none
)

// Step is the next action of a daemon that reads a feed.
type Step struct {
	Action Action
	Reason ReadReason // for AskStore
	Peer   Peer       // for AskPeer and AskReader
	// Patient is set if there is no other daemon left to ask (see readRequest).
	Patient bool
	// Substitute is set for AskPeer if the peer is asked in place of the store (see
	// Plan.Substitutes).
	Substitute bool
	// Probe is set if the store may be unavailable. The call to the store then does not wait
	// there for new records, so that it cannot last beyond the store's recovery.
	Probe bool
	Pause time.Duration // for Wait
}

// Action is the kind of a Step.
type Action uint8

// The kinds of steps.
const (
	AskStore Action = iota
	AskPeer
	AskReader   // ask a daemon for the readers of this data centre
	ListReaders // ask the store for the list of readers
	Wait
)

// Plan selects the source from which a daemon reads the store's feeds. It is not safe for
// concurrent use.
//
// It is designed for events that affect hundreds of daemons at once: a start, a restart of
// the whole fleet, the loss of a reader, a store that fails for all or for some daemons, a
// network partition of a data centre. In each of these events the number of calls to the
// store grows with the number of data centres, not of daemons: a reader and a few successors
// call the store, and all other daemons call the reader or a successor. A daemon that
// reaches no other daemon calls the store itself, at growing intervals, so that it can go on
// serving.
type Plan struct {
	self      Peer
	startedAt time.Time
	roster    *Roster
	rng       *rand.Rand
	// seeds are the addresses from the settings. candidates are the addresses that the
	// current search has yet to ask: the seeds, then the readers that the store listed.
	seeds, candidates []string
	listedAt          time.Time // when the store was last asked for its list of readers
	searchedAt        time.Time
	searches          int // consecutive searches without a result
	// backoffUntil holds, by address, the time before which a peer without fresh data is not
	// asked again.
	backoffUntil map[string]time.Time
	// noFreshPeer reports that a peer has answered without fresh data, and that no peer has
	// answered with fresh data since. This follower then probes the store itself, for the
	// first time when store is due.
	noFreshPeer  bool
	store        storeBackoff
	substitution substitution
	hasFollowers bool // at the last step: other daemons read through this one
	// otherReaders is the largest number of readers of other data centres known at one time.
	otherReaders int
}

// substitution says whether the store that does not answer this reader answers those of other data centres.
type substitution uint8

const (
	substitutionUntried substitution = iota
	substitutionHolds                // it answered one when they were asked last
	substitutionEnded                // it answered none
)

// storeBackoff schedules the calls to a store that does not answer.
//
// It holds no time of the next call, because the interval of a daemon's calls changes with its
// role. A follower that has become the reader would otherwise stay silent for as long as a
// follower does, which is minutes in a large fleet, while all daemons of its data centre wait
// for it to find that the store is back.
type storeBackoff struct {
	failures int
	since    time.Time // the last call that failed was sent or, before one, when the first peer had no fresh data
	factor   float64   // random, in multiples of the interval of the daemon's role
}

// NewPlan returns the plan of a daemon that knows no other daemon yet, only the seeds'
// addresses.
func NewPlan(now time.Time, self Peer, seeds []string, roster *Roster, rng *rand.Rand) *Plan {
	p := &Plan{self: self, startedAt: now, roster: roster, rng: rng, seeds: seeds, backoffUntil: map[string]time.Time{}}
	for _, address := range seeds {
		if address == self.Address {
			roster.BecomeReader() // starting daemons ask the seeds for their reader, so a seed begins as a reader
		}
	}
	p.startSearch(now)
	return p
}

// startSearch begins a new search for a reader at the seeds.
func (p *Plan) startSearch(now time.Time) {
	p.searchedAt, p.candidates = now, nil
	p.searches++
	for _, address := range p.seeds {
		if address != p.self.Address {
			p.candidates = append(p.candidates, address)
		}
	}
}

// ReadsStore reports whether this daemon reads the store itself in normal operation, and not
// only as a fallback while its reader fails.
func (p *Plan) ReadsStore(now time.Time) bool {
	order := p.roster.Order(now)
	if len(order) == 0 {
		return !p.listedAt.IsZero() && len(p.candidates) == 0 // the search has found no reader
	}
	return order[0].Address == p.self.Address || p.smallFleet(now)
}

// smallFleet reports whether the fleet is too small for readers, so that each daemon reads
// the store itself.
func (p *Plan) smallFleet(now time.Time) bool { return p.roster.IsSmall(now) }

// Next returns the next step for a feed. hasFollowers is set while other daemons read
// through this one.
func (p *Plan) Next(now time.Time, f fleet.Feed, hasFollowers bool) Step {
	p.hasFollowers = hasFollowers
	p.otherReaders = max(p.otherReaders, len(p.roster.OtherReaders(now)))
	order := p.roster.Order(now)
	if step, ok := p.searchStep(now, order); ok {
		return step
	}
	switch {
	case len(order) == 0:
		return p.readerStep(now, f, order, readsWithoutReader)
	case order[0].Address == p.self.Address:
		return p.readerStep(now, f, order, readsAsReader)
	case hasFollowers:
		return p.readerStep(now, f, order, readsForFollowers)
	case p.smallFleet(now):
		return p.readerStep(now, f, order, readsInSmallFleet)
	}
	return p.followerStep(now, f, order)
}

// searchStep returns the next step of the search for a reader, and false if none is due.
func (p *Plan) searchStep(now time.Time, order []Peer) (Step, bool) {
	isReader := len(order) > 0 && order[0].Address == p.self.Address
	interval := min(minSearchInterval<<max(0, min(p.searches, 8)-1), maxSearchInterval)
	if len(order) > 0 && p.smallFleet(now) {
		interval = smallFleetSearchInterval
	}
	if now.Sub(p.startedAt) < startupPeriod {
		interval = startupSearchInterval
	}
	known := isReader || len(order) > 0 && !p.smallFleet(now)
	if known {
		p.candidates, p.searches = nil, 0
	}
	if !known && now.Sub(p.searchedAt) >= p.withJitter(interval) {
		p.startSearch(now)
	}
	if len(p.candidates) > 0 {
		next := p.candidates[0]
		p.candidates = p.candidates[1:]
		return Step{Action: AskReader, Peer: Peer{Address: next}}, true
	}
	if len(order) == 0 && len(p.seeds) > 0 && now.Sub(p.startedAt) < seedWait {
		p.startSearch(now)
		return Step{Action: Wait, Pause: p.withJitter(seedRetryInterval)}, true
	}
	if len(order) == 0 && now.Sub(p.listedAt) >= max(interval, minSearchInterval) {
		p.listedAt = now
		return Step{Action: ListReaders}, true
	}
	return Step{}, false
}

// readerStep returns the step of a daemon that reads the store itself, for a reason: a read
// from the store or, while the store fails, from another daemon that may have fresh data.
func (p *Plan) readerStep(now time.Time, f fleet.Feed, order []Peer, reason ReadReason) Step {
	if p.storeDue(now, f) {
		return Step{Action: AskStore, Reason: reason, Probe: p.noFreshPeer || p.store.failures > 0}
	}
	if peers := p.Substitutes(now); p.substitution == substitutionHolds && len(peers) > 0 {
		return Step{Action: AskPeer, Peer: peers[0], Substitute: true}
	}
	for _, peer := range append(order, p.roster.OtherReaders(now)...) {
		if peer.Address != p.self.Address && p.available(now, peer) {
			return Step{Action: AskPeer, Peer: peer}
		}
	}
	return Step{Action: Wait, Pause: p.idleTime(now)}
}

// Substitutes returns the readers of other data centres that this reader asks in place of the store once a
// call to it has failed or is late, in order. There are none after the store has answered none of them either,
// until the store answers this daemon again.
//
// A reader of another data centre whose calls go on shows that only the path of this daemon is lost, so
// that upstreams which disappear meanwhile have been withdrawn. If the followers turned to a successor of
// this reader instead, that one could not tell the lost path from an outage, and would take withdrawals for
// leases that have expired.
func (p *Plan) Substitutes(now time.Time) []Peer {
	order := p.roster.Order(now)
	isReader := len(order) > 0 && order[0].Address == p.self.Address
	if !isReader || p.smallFleet(now) || p.substitution == substitutionEnded {
		return nil
	}
	readers := slices.DeleteFunc(p.roster.OtherReaders(now), func(peer Peer) bool { return !p.available(now, peer) })
	return readers[:min(maxSubstitutes, len(readers))]
}

// StoreFails reports whether the last call to the store failed.
func (p *Plan) StoreFails() bool { return p.store.failures > 0 }

// SubstituteAsked records whether the store answers a substitute: it had fresh data and knew of no outage.
func (p *Plan) SubstituteAsked(storeAnswers bool) {
	p.substitution = substitutionEnded
	if storeAnswers {
		p.substitution = substitutionHolds
	}
}

// followerStep returns the step of a daemon that has a reader.
func (p *Plan) followerStep(now time.Time, f fleet.Feed, order []Peer) Step {
	for _, peer := range order {
		if peer.Address == p.self.Address {
			return p.readerStep(now, f, order, readsAsSuccessor)
		}
		if p.available(now, peer) {
			return Step{Action: AskPeer, Peer: peer}
		}
	}
	if p.noFreshPeer && f == fleet.FeedUpstreams && p.probeDue(now) {
		return Step{Action: AskStore, Reason: readsAsProbe, Probe: true}
	}
	return Step{Action: AskPeer, Peer: order[0], Patient: true}
}

// storeDue reports whether a call to the store is due. While the store fails, only the
// upstreams feed makes calls; calls for the configuration feed would only double their
// number.
func (p *Plan) storeDue(now time.Time, f fleet.Feed) bool {
	return p.store.failures == 0 || f == fleet.FeedUpstreams && p.probeDue(now)
}

// probeDue reports whether the next call to a store that does not answer is due.
func (p *Plan) probeDue(now time.Time) bool { return !now.Before(p.nextProbe(now)) }

// nextProbe returns the time of the next call to a store that does not answer, by the current
// role of this daemon.
func (p *Plan) nextProbe(now time.Time) time.Time {
	return p.store.since.Add(time.Duration(p.store.factor * float64(p.probeInterval(now))))
}

// idleTime returns the time until the store or a peer can be asked again. It is at most
// maxReaderProbeInterval, because this daemon may become the reader meanwhile.
func (p *Plan) idleTime(now time.Time) time.Duration {
	until := p.nextProbe(now)
	for _, retryAt := range p.backoffUntil {
		if retryAt.After(now) && retryAt.Before(until) {
			until = retryAt
		}
	}
	return min(max(until.Sub(now), minProbeInterval/10), maxReaderProbeInterval)
}

// available reports whether a peer may be asked now. After an answer without fresh data, a
// peer is not asked again until its backoff is over.
func (p *Plan) available(now time.Time, peer Peer) bool {
	until, ok := p.backoffUntil[peer.Address]
	if ok && !now.Before(until) {
		delete(p.backoffUntil, peer.Address)
		return true
	}
	return !ok
}

// PeerFresh records that a peer returned fresh data.
func (p *Plan) PeerFresh(now time.Time, peer Peer) {
	delete(p.backoffUntil, peer.Address)
	p.noFreshPeer = false
	p.roster.RecordAnswer(now, peer)
}

// PeerUnreachable records that a peer failed to answer.
func (p *Plan) PeerUnreachable(now time.Time, peer Peer) { p.roster.MarkUnreachable(now, peer) }

// PeerStoreDown records that a peer answered that the store is unavailable.
func (p *Plan) PeerStoreDown(now time.Time, peer Peer) { p.backOff(now, peer, storeDownBackoff) }

// PeerStale records that a peer answered that its data is stale.
func (p *Plan) PeerStale(now time.Time, peer Peer) { p.backOff(now, peer, staleBackoff) }

// backOff keeps a peer without fresh data from being asked for about d. If it is the first
// such peer, backOff also schedules the first probe of the store, at a random time so that
// the followers do not probe together.
func (p *Plan) backOff(now time.Time, peer Peer, d time.Duration) {
	p.backoffUntil[peer.Address] = now.Add(p.withJitter(d))
	if !p.noFreshPeer && p.store.failures == 0 {
		p.noFreshPeer = true
		p.store.since, p.store.factor = now, 2*p.rng.Float64()
	}
}

// StoreFailed records that the store failed to answer a call that this daemon sent at a time. The
// pause before the next call counts from then: a call that hangs until its timeout has paused for
// long enough, and both together would be longer than an upstream's drain time.
func (p *Plan) StoreFailed(sentAt time.Time) {
	p.store.failures++
	p.store.since, p.store.factor = sentAt, 1+p.randomJitter()
}

// StoreAnswered records that the store answered this daemon.
func (p *Plan) StoreAnswered() {
	p.store, p.noFreshPeer, p.substitution = storeBackoff{}, false, substitutionUntried
}

// probeInterval returns the pause before the next call to a failing store. It is shortest
// for the reader and longer for successors and for other daemons through which daemons read;
// the remaining followers of a data centre divide one call a second among them.
func (p *Plan) probeInterval(now time.Time) time.Duration {
	d := minProbeInterval << max(0, min(p.store.failures, 8)-1)
	order := p.roster.Order(now)
	for i, peer := range order {
		switch {
		case peer.Address != p.self.Address:
		case i == 0 && p.substitution == substitutionHolds:
			return substituteProbeInterval
		case i == 0:
			return min(d, maxReaderProbeInterval)
		default:
			return min(d, maxSuccessorProbeInterval)
		}
	}
	if len(order) == 0 || p.smallFleet(now) {
		return min(d, maxIsolatedProbeInterval)
	}
	if p.hasFollowers {
		return min(d, maxSuccessorProbeInterval)
	}
	return followerProbeInterval * time.Duration(max(1, p.roster.FleetSize(now)/(1+p.otherReaders)))
}

// withJitter returns d, changed at random by up to the fraction jitter.
func (p *Plan) withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + p.randomJitter()))
}

// randomJitter returns a random number between -jitter and jitter.
func (p *Plan) randomJitter() float64 { return jitter * (2*p.rng.Float64() - 1) }

// ReaderFound stores the succession that the daemon at an address returned and ends the
// search. There is no counterpart for a daemon that does not answer a search: a seed may
// only start later than this daemon, so it isn't marked as unreachable.
func (p *Plan) ReaderFound(address string, s Succession) {
	p.roster.MarkReachable(address)
	p.roster.SetSuccession(s)
	p.candidates = nil
}

// ReadersListed adds the readers that the store listed to the addresses that the search has
// yet to ask: those of this data centre first, at most maxSuccessors in all.
func (p *Plan) ReadersListed(peers []Peer) {
	for _, near := range []bool{true, false} {
		for _, peer := range peers {
			if peer.Address != p.self.Address && (peer.DataCentre == p.self.DataCentre) == near && len(p.candidates) < maxSuccessors {
				p.candidates = append(p.candidates, peer.Address)
			}
		}
	}
}
