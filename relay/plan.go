package relay

import (
	"math/rand/v2"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

const (
	// minFleet is the number of daemons from which on one reads for others. In a smaller
	// fleet the calls saved are few, and each daemon that reads for itself is one fault
	// less that reaches the others.
	minFleet = 10
	// awayRest is how long a daemon that waits for the store itself is left alone, and
	// unfitRest one whose word is too old.
	awayRest  = time.Second
	unfitRest = 2 * time.Second
	// probeFirst is the pause after a first call to the store that failed; it doubles up
	// to probeMost. What lapsed while the store was away is wanted back within 2 s of its
	// return, of which a reader's probe may take a quarter. probeNext is the most for those
	// who stand by to follow the reader: they find a store that refuses the reader alone.
	probeFirst = 250 * time.Millisecond
	probeMost  = 500 * time.Millisecond
	probeNext  = 1500 * time.Millisecond
	// probeShare is the pause between the probes of one follower, for each daemon that
	// would do the same: together they make about one call a second in a data centre.
	probeShare = time.Second
	// aloneMost is the longest pause of a daemon that knows nobody.
	aloneMost = time.Second
	// lookAgain is the least time between two searches for a reader, which grows up to
	// lookMost while none is found, and lookSmall that of a fleet which needs none so far.
	lookAgain = 5 * time.Second
	lookSmall = 20 * time.Second
	lookMost  = time.Minute
	// lookYoung is the same in the first youngTime of a daemon: when a whole fleet starts,
	// who is asked first may not have heard of the others yet.
	lookYoung = time.Second
	youngTime = 8 * time.Second
	// seedTime is how long a daemon that starts waits for those at which it looks first,
	// and seedPause the pause between two tries: all daemons start within 0.3 s of each
	// other, in any order, and a small one takes 0.1 s longer. Without it 292 of 295 began
	// by asking the store, for 5 s.
	seedTime  = 600 * time.Millisecond
	seedPause = 100 * time.Millisecond
	// jitter is the part by which pauses vary, so that daemons that lost something at the
	// same moment do not come back at the same moment.
	jitter = 0.25
)

// Step is what a daemon does next to learn what is new.
type Step struct {
	Do   Do
	Peer Peer // of AskPeer and Meet
	// Patient is set where nobody else is left to ask (see readCall).
	Patient bool
	// Probe is set where the store may give no answer: a reading that waits there could
	// outlast its return.
	Probe bool
	Pause time.Duration // of Wait
}

// Do is the kind of a Step.
type Do uint8

// The kinds.
const (
	AskStore Do = iota
	AskPeer
	Meet // ask a daemon who reads for this data centre
	List // ask the store which daemons read
	Wait
)

// Plan decides whom a daemon asks for the store's feeds. It is not safe for concurrent
// use.
//
// Load patterns, each for hundreds of daemons at once: a start, a restart of all, a
// reader that is lost, a store that is away for all or refuses some, a cut data centre.
// In each the calls to the store follow the number of data centres: one reader and the
// few who stand in for it ask, everybody else asks them. A daemon that reaches nobody
// asks the store itself, at growing pauses, so that it serves what only it can.
type Plan struct {
	self   Peer
	born   time.Time
	roster *Roster
	rng    *rand.Rand
	// meets are the addresses at which to look for a reader: those in the settings, then
	// those that the store listed.
	seeds, meets []string
	listed       time.Time // when the store was asked for readers
	searched     time.Time
	searches     int // in a row that found nobody
	// resting are peers that answered without a fresh word, until when.
	resting map[string]time.Time
	// doubting says that no peer has a fresh word, so that this follower's own probes are
	// due from store.next on.
	doubting bool
	store    gate
}

// gate paces the calls to a store that does not answer.
type gate struct {
	failures int
	next     time.Time
}

// NewPlan returns the plan of a daemon that knows nobody but the addresses of others.
func NewPlan(now time.Time, self Peer, seeds []string, roster *Roster, rng *rand.Rand) *Plan {
	p := &Plan{self: self, born: now, roster: roster, rng: rng, seeds: seeds, resting: map[string]time.Time{}}
	for _, address := range seeds {
		if address == self.Address {
			roster.Lead() // whoever looks for a reader comes here first
		}
	}
	p.search(now)
	return p
}

// search begins a new search for a reader.
func (p *Plan) search(now time.Time) {
	p.searched, p.meets = now, nil
	p.searches++
	for _, address := range p.seeds {
		if address != p.self.Address {
			p.meets = append(p.meets, address)
		}
	}
}

// Reads says whether this daemon reads the store itself for good, and not only while
// those it follows give no answer.
func (p *Plan) Reads(now time.Time) bool {
	order := p.roster.Order(now)
	if len(order) == 0 {
		return !p.listed.IsZero() && len(p.meets) == 0 // the search is over
	}
	return order[0].Address == p.self.Address || p.small(now)
}

func (p *Plan) small(now time.Time) bool { return p.roster.Daemons(now) < minFleet }

// Next returns the next step for a feed; asked says that others rely on this daemon.
func (p *Plan) Next(now time.Time, f fleet.Feed, asked bool) Step {
	order := p.roster.Order(now)
	if step, ok := p.look(now, order); ok {
		return step
	}
	leads := len(order) == 0 || order[0].Address == p.self.Address
	if leads || asked || p.small(now) {
		return p.lead(now, f, order)
	}
	return p.follow(now, f, order)
}

// look returns the next step of a search, if one is due.
func (p *Plan) look(now time.Time, order []Peer) (Step, bool) {
	leads := len(order) > 0 && order[0].Address == p.self.Address
	every := min(lookAgain<<max(0, min(p.searches, 8)-1), lookMost)
	if len(order) > 0 && p.small(now) {
		every = lookSmall
	}
	if now.Sub(p.born) < youngTime {
		every = lookYoung
	}
	known := leads || len(order) > 0 && !p.small(now)
	if known {
		p.meets, p.searches = nil, 0
	}
	if !known && now.Sub(p.searched) >= p.vary(every) {
		p.search(now)
	}
	if len(p.meets) > 0 {
		next := p.meets[0]
		p.meets = p.meets[1:]
		return Step{Do: Meet, Peer: Peer{Address: next}}, true
	}
	if len(order) == 0 && len(p.seeds) > 0 && now.Sub(p.born) < seedTime {
		p.search(now)
		return Step{Do: Wait, Pause: p.vary(seedPause)}, true
	}
	if len(order) == 0 && now.Sub(p.listed) >= max(every, lookAgain) {
		p.listed = now
		return Step{Do: List}, true
	}
	return Step{}, false
}

// lead returns the step of a daemon that reads itself: the store, or while that gives it
// no answer, others who may have one.
func (p *Plan) lead(now time.Time, f fleet.Feed, order []Peer) Step {
	if p.open(now, f) {
		return Step{Do: AskStore, Probe: p.doubting || p.store.failures > 0}
	}
	for _, peer := range append(order, p.roster.Others(now)...) {
		if peer.Address != p.self.Address && p.rested(now, peer) {
			return Step{Do: AskPeer, Peer: peer}
		}
	}
	return Step{Do: Wait, Pause: p.pause(now)}
}

// follow returns the step of a daemon that has a reader.
func (p *Plan) follow(now time.Time, f fleet.Feed, order []Peer) Step {
	for _, peer := range order {
		if peer.Address == p.self.Address {
			return p.lead(now, f, order) // those before it have no word
		}
		if p.rested(now, peer) {
			return Step{Do: AskPeer, Peer: peer}
		}
	}
	if p.doubting && f == fleet.FeedUpstreams && !now.Before(p.store.next) {
		return Step{Do: AskStore, Probe: true}
	}
	return Step{Do: AskPeer, Peer: order[0], Patient: true}
}

// open says whether the store is asked now. While it gives no answer the feed of
// upstreams alone tries: the other one would only double the calls.
func (p *Plan) open(now time.Time, f fleet.Feed) bool {
	return p.store.failures == 0 || f == fleet.FeedUpstreams && !now.Before(p.store.next)
}

// pause returns how long there is nothing to do.
func (p *Plan) pause(now time.Time) time.Duration {
	until := p.store.next
	for _, rest := range p.resting {
		if rest.After(now) && rest.Before(until) {
			until = rest
		}
	}
	return max(until.Sub(now), probeFirst/10)
}

func (p *Plan) rested(now time.Time, peer Peer) bool {
	until, ok := p.resting[peer.Address]
	if ok && !now.Before(until) {
		delete(p.resting, peer.Address)
		return true
	}
	return !ok
}

// Took notes that a peer gave a fresh word.
func (p *Plan) Took(now time.Time, peer Peer) {
	delete(p.resting, peer.Address)
	p.doubting = false
	p.roster.Served(now, peer)
}

// Silent notes that a peer gave no answer.
func (p *Plan) Silent(now time.Time, peer Peer) { p.roster.Silent(now, peer.Address) }

// Waits notes that a peer answered that it waits for the store itself.
func (p *Plan) Waits(now time.Time, peer Peer) { p.rest(now, peer, awayRest) }

// Unfit notes that a peer answered without a fresh word.
func (p *Plan) Unfit(now time.Time, peer Peer) { p.rest(now, peer, unfitRest) }

func (p *Plan) rest(now time.Time, peer Peer, d time.Duration) {
	p.resting[peer.Address] = now.Add(p.vary(d))
	if !p.doubting && p.store.failures == 0 {
		p.doubting = true
		p.store.next = now.Add(time.Duration(2 * p.rng.Float64() * float64(p.probe(now))))
	}
}

// Failed notes that the store gave this daemon no answer.
func (p *Plan) Failed(now time.Time) {
	p.store.failures++
	p.store.next = now.Add(p.vary(p.probe(now)))
}

// Answered notes that the store answered this daemon.
func (p *Plan) Answered() { p.store, p.doubting = gate{}, false }

// probe returns the pause before the next call to a store that gives no answer.
func (p *Plan) probe(now time.Time) time.Duration {
	d := probeFirst << max(0, min(p.store.failures, 8)-1)
	order := p.roster.Order(now)
	for i, peer := range order {
		switch {
		case peer.Address != p.self.Address:
		case i == 0:
			return min(d, probeMost)
		default:
			return min(d, probeNext)
		}
	}
	if len(order) == 0 || p.small(now) {
		return min(d, aloneMost)
	}
	return probeShare * time.Duration(max(1, p.roster.Daemons(now)/max(1, 1+len(p.roster.Others(now)))))
}

// vary spreads a pause.
func (p *Plan) vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*p.rng.Float64()-1)))
}

// Met takes what the daemon at an address said of who reads. One that gives no answer may
// only have started later than this one, and is not counted as silent.
func (p *Plan) Met(address string, s Succession) {
	p.roster.Answered(address)
	p.roster.Told(s)
	p.meets = nil
}

// Listed takes the daemons that read by the store's word, nearest first.
func (p *Plan) Listed(peers []Peer) {
	for _, near := range []bool{true, false} {
		for _, peer := range peers {
			if peer.Address != p.self.Address && (peer.DataCentre == p.self.DataCentre) == near && len(p.meets) < successors {
				p.meets = append(p.meets, peer.Address)
			}
		}
	}
}
