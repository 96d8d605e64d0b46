package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// peerTTL is how long a daemon counts as running after the last contact with it. A
	// follower calls its reader several times within it.
	peerTTL = 5 * time.Second
	// claimTTL is how long a reader's claim is valid. Readers repeat their claim every
	// exchangeInterval.
	claimTTL = 4 * time.Second
	// countTTL is how long a daemon is counted after the last contact with it. The fleet's
	// retries are divided by the count. A count that is too large only makes the shares
	// smaller; one that is too small would let the fleet exceed its limit.
	countTTL = 30 * time.Second
	// unreachableTTL is how long a daemon that failed to answer is not called again.
	unreachableTTL = 10 * time.Second
	// A daemon replaces a reader of lower weight only after it has been known for
	// takeoverDelay and if its weight is takeoverWeightRatio times the reader's. Each
	// change of the reader costs one call of each follower.
	takeoverDelay       = 5 * time.Second
	takeoverWeightRatio = 1.5
	// maxSuccessors is how many successors a succession lists after the reader. If a random
	// half of the fleet is killed at once, at least one of these five daemons survives in 31
	// of 32 cases.
	maxSuccessors = 4
)

// Roster holds the known daemons and elects the reader of a data centre. The current reader
// stays elected unless a daemon of much larger weight is known (see takeoverWeightRatio). If
// there is no reader, the daemon with the largest weight is elected. A Roster is safe for
// concurrent use.
//
// Load pattern: hundreds of daemons that start, or lose their reader, at the same moment.
// They must agree on one reader with few messages and without calls to the store.
type Roster struct {
	self Peer
	// dataCentres are the data centres that may have daemons.
	dataCentres []string

	mu          sync.Mutex
	peers       map[string]*knownPeer  // by address
	unreachable map[string]unreachable // by address
	// received is the last succession of this data centre that another daemon sent.
	received Succession
	// isReader reports that this daemon is the reader of its data centre.
	isReader bool
	// maxDaemons is the largest number of daemons known since this process started, and
	// maxLocalDaemons the largest in this data centre. maxShareCount also includes an estimate
	// for data centres without any known daemon (see FleetSize).
	maxDaemons, maxShareCount, maxLocalDaemons int
}

// unreachable marks a life of a daemon that failed to answer.
type unreachable struct {
	boot  uint64
	until time.Time // the daemon is not called before
}

// knownPeer is another daemon, with the times of its last contact and of its last claim.
type knownPeer struct {
	peer                Peer
	firstSeen, lastSeen time.Time
	claimedAt           time.Time // zero for a daemon that has never been a reader
	daemons             int       // number in its data centre, from its claim
}

// NewRoster returns a roster that holds this daemon only. dataCentres are those that may
// have daemons.
func NewRoster(self Peer, dataCentres []string) *Roster {
	return &Roster{self: self, dataCentres: dataCentres, peers: map[string]*knownPeer{}, unreachable: map[string]unreachable{}}
}

// Self returns the description of this daemon.
func (r *Roster) Self() Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetCutOff records whether this daemon has lost its network path to the upstreams.
func (r *Roster) SetCutOff(cutOff bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.CutOff = cutOff
}

// RecordCall records that a daemon called this one.
func (r *Roster) RecordCall(now time.Time, p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreachable, p.Address)
	r.recordContact(now, p)
}

// recordContact updates the time of the last contact with a daemon and returns its entry, or
// nil for this daemon itself. After peerTTL without contact, the entry is replaced by a new
// one.
func (r *Roster) recordContact(now time.Time, p Peer) *knownPeer {
	if p.Address == "" || p.Address == r.self.Address {
		return nil
	}
	e := r.peers[p.Address]
	if e == nil || now.Sub(e.lastSeen) >= peerTTL {
		e = &knownPeer{firstSeen: now, lastSeen: now}
		r.peers[p.Address] = e
	}
	e.peer = p
	if now.After(e.lastSeen) {
		e.lastSeen = now
	}
	return e
}

// AddClaims adds the readers' claims that another daemon sent.
func (r *Roster) AddClaims(now time.Time, claims []claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range claims {
		if c.Age >= claimTTL {
			continue
		}
		at := now.Add(-c.Age)
		if e := r.peers[c.Peer.Address]; e != nil && at.Before(e.claimedAt) {
			continue
		}
		if e := r.recordContact(at, c.Peer); e != nil {
			e.claimedAt, e.daemons = at, c.Daemons
		}
	}
}

// SetSuccession stores the succession of this data centre that another daemon sent.
func (r *Roster) SetSuccession(s Succession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = s
	r.maxDaemons = max(r.maxDaemons, s.Daemons)
	r.maxShareCount = max(r.maxShareCount, s.ShareCount)
	r.maxLocalDaemons = max(r.maxLocalDaemons, s.LocalDaemons)
}

// BecomeReader makes this daemon the reader of its data centre until the roster elects
// another one.
func (r *Roster) BecomeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isReader = true
}

// IsReader reports whether this daemon is the reader of its data centre.
func (r *Roster) IsReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isReader
}

// MarkUnreachable records that a daemon failed to answer. The mark holds for this life of the
// daemon only.
//
// In a rolling restart a reader is back within a second. If the mark outlived the restart, the
// followers would read through other daemons for the rest of unreachableTTL, each of which
// would read the store for them, beside the reader.
func (r *Roster) MarkUnreachable(now time.Time, p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable[p.Address] = unreachable{boot: p.Boot, until: now.Add(unreachableTTL)}
	delete(r.peers, p.Address)
}

// MarkReachable records that a daemon answered, and so is reachable.
func (r *Roster) MarkReachable(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreachable, address)
}

// RecordAnswer records that a daemon answered a read request of this one.
//
// Suppose that the store refuses the calls of a reader, which then reads through one of its
// successors. That successor doesn't call the reader, so without RecordAnswer the reader
// would drop it from its succession after peerTTL. The reader would then ask the next
// successors, which the store may refuse as well, and a new configuration would arrive
// seconds late.
func (r *Roster) RecordAnswer(now time.Time, p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreachable, p.Address)
	r.recordContact(now, p)
}

// isUnreachable reports whether a daemon failed to answer within the last unreachableTTL.
func (r *Roster) isUnreachable(now time.Time, p Peer) bool {
	mark, ok := r.unreachable[p.Address]
	if ok && !now.Before(mark.until) {
		delete(r.unreachable, p.Address)
		return false
	}
	return ok && mark.boot == p.Boot
}

// Unreachable returns the addresses of the daemons that recently failed to answer.
func (r *Roster) Unreachable(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address, mark := range r.unreachable {
		if r.isUnreachable(now, Peer{Address: address, Boot: mark.boot}) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// Order returns the reader of this data centre and its successors, without unreachable
// daemons. If this daemon is the first, it becomes the reader.
func (r *Roster) Order(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReader {
		order := r.electOrder(now, r.self.DataCentre, nil)
		if order[0].Address == r.self.Address {
			return order
		}
		r.isReader, r.received.Order = false, order
	}
	order := slices.DeleteFunc(slices.Clone(r.received.Order), func(p Peer) bool { return r.isUnreachable(now, p) })
	if len(order) > 0 && order[0].Address == r.self.Address {
		r.isReader = true
	}
	return order
}

// OtherReaders returns the reachable readers of the other data centres.
func (r *Roster) OtherReaders(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.otherReaders(now)
}

// Readers returns the readers of all data centres that this daemon knows and can reach. It is in no
// particular order.
func (r *Roster) Readers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.otherReaders(now)
	switch order := r.received.Order; {
	case r.isReader:
		out = append(out, r.self)
	case len(order) > 0 && !r.isUnreachable(now, order[0]):
		out = append(out, order[0])
	}
	return out
}

// Lenders returns the daemons that may be asked for a loan of the fleet's shared limits: the
// reader and the successors of this data centre. In a small fleet, where a data centre has
// few daemons, it also returns the readers of the other data centres.
func (r *Roster) Lenders(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.received.Order
	if r.isReader {
		list = r.electOrder(now, r.self.DataCentre, nil)
	}
	out := slices.Clone(list)
	if r.countDaemons(now) < minFleet {
		out = append(out, r.otherReaders(now)...)
	}
	return slices.DeleteFunc(out, func(p Peer) bool { return p.Address == r.self.Address || r.isUnreachable(now, p) })
}

// otherReaders is OtherReaders for callers that hold the lock.
func (r *Roster) otherReaders(now time.Time) []Peer {
	out := slices.Clone(r.received.Others)
	for _, e := range r.peers {
		known := slices.ContainsFunc(out, func(p Peer) bool { return p.Address == e.peer.Address })
		if !known && e.hasClaim(now) {
			out = append(out, e.peer)
		}
	}
	out = slices.DeleteFunc(out, func(p Peer) bool {
		return p.DataCentre == r.self.DataCentre || r.isUnreachable(now, p)
	})
	slices.SortFunc(out, byWeight)
	return out
}

// Claims returns the claims of the known readers, including this daemon if it is a reader.
func (r *Roster) Claims(now time.Time) []claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []claim
	if r.isReader {
		out = append(out, claim{Peer: r.self, Daemons: r.countIn(now, r.self.DataCentre)})
	}
	for _, e := range r.peers {
		if e.hasClaim(now) {
			out = append(out, claim{Peer: e.peer, Daemons: e.daemons, Age: clock.Elapsed(e.claimedAt, now)})
		}
	}
	return out
}
