package relay

import (
	"time"
)

// Peer is a daemon that may read the store for others.
type Peer struct {
	Instance   string
	DataCentre string
	// Address is where its Server listens, host:port.
	Address string
}

const (
	// minReaders is how many daemons the store must deal its parts out to before one
	// reads for others. In a smaller fleet the calls saved are few, and each daemon
	// that reads for itself is one fault less that reaches the others. Assumed.
	minReaders = 10
	// earlyTime is how long after its start a daemon looks for readers again while there
	// are too few: when all start together the parts go from the first daemon that
	// joined to all, which takes two renewals of a membership or more.
	earlyTime = 20 * time.Second
	// listEvery is the least time between two looks, and relistEvery the time after
	// which one is taken although a reader is at hand. Assumed; each is a call.
	listEvery   = 5 * time.Second
	relistEvery = time.Minute
	// avoidTime is how long a reader that gave no answer is left alone, and lostRest how
	// long this daemon then reads for itself before it asks another. Assumed.
	avoidTime = 10 * time.Second
	lostRest  = 500 * time.Millisecond
	// unfitRest is the same after an answer that the reader cannot say: one that is
	// asked for the first time can with its next reading, for which it may have to wait
	// for as long as the store holds one. unfitTimes such answers in a row are taken for
	// a reader that is cut off from the store.
	unfitRest  = 2 * time.Second
	unfitTimes = 3
)

// Picker decides which daemon reads the store for this one. It is not safe for
// concurrent use.
//
// Load pattern: all daemons of a large fleet start, or lose their reader, at the same
// moment. Each then asks the store itself; one that went from reader to reader at once
// would ask it for each of them, and a fleet of 300 more often than the store takes.
type Picker struct {
	self    Peer
	started time.Time
	list    []Peer
	listed  time.Time
	avoid   map[string]time.Time // by address, until when
	rest    time.Time            // until when no reader is asked
	unfit   int                  // answers in a row that a reader cannot say
}

// NewPicker returns a picker that knows no reader.
func NewPicker(now time.Time, self Peer) *Picker {
	return &Picker{self: self, started: now, avoid: map[string]time.Time{}}
}

// Due says whether the readers should be looked up.
func (p *Picker) Due(now time.Time) bool {
	switch {
	case p.listed.IsZero(), now.Sub(p.listed) >= relistEvery:
		return true
	case len(p.list) < minReaders:
		return now.Sub(p.started) < earlyTime && now.Sub(p.listed) >= listEvery
	}
	_, found := p.first(now)
	return !found && now.Sub(p.listed) >= listEvery
}

// Listed takes the daemons that the store deals its parts out to, in its order, which
// all daemons see alike; nil when it could not be asked.
func (p *Picker) Listed(now time.Time, list []Peer) {
	p.listed = now
	if list != nil {
		p.list = distinct(list)
	}
}

func distinct(list []Peer) []Peer {
	seen := map[string]bool{}
	var out []Peer
	for _, peer := range list {
		if !seen[peer.Address] {
			seen[peer.Address] = true
			out = append(out, peer)
		}
	}
	return out
}

// Failed notes that a reader gave no answer.
func (p *Picker) Failed(now time.Time, peer Peer) {
	p.avoid[peer.Address], p.unfit = now.Add(avoidTime), 0
	p.rest = now.Add(lostRest)
}

// Unfit notes that a reader answered that it cannot say.
func (p *Picker) Unfit(now time.Time, peer Peer) {
	if p.unfit++; p.unfit >= unfitTimes {
		p.avoid[peer.Address], p.unfit = now.Add(avoidTime), 0
	}
	p.rest = now.Add(unfitRest)
}

// Answered notes that a reader served this daemon.
func (p *Picker) Answered() { p.unfit = 0 }

// Pick returns the daemon to ask, or false when this one reads the store itself: it
// is the reader, none is there, or one has just failed.
func (p *Picker) Pick(now time.Time) (Peer, bool) {
	if now.Before(p.rest) {
		return Peer{}, false
	}
	peer, ok := p.first(now)
	return peer, ok && peer.Address != p.self.Address
}

// first returns the first reader of the own data centre that is not avoided, or else
// of any. A cut between data centres is found like any other silence.
func (p *Picker) first(now time.Time) (Peer, bool) {
	if len(p.list) < minReaders {
		return Peer{}, false
	}
	for _, near := range []bool{true, false} {
		for _, peer := range p.list {
			if (peer.DataCentre == p.self.DataCentre) == near && !now.Before(p.avoid[peer.Address]) {
				return peer, true
			}
		}
	}
	return Peer{}, false
}
