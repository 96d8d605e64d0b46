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
	// avoidTime is how long a reader that did not answer is left alone: a little
	// longer than one takes that is asked for the first time to read for itself.
	avoidTime = 2 * time.Second
)

// Picker decides which daemon reads the store for this one. It is not safe for
// concurrent use.
type Picker struct {
	self    Peer
	started time.Time
	list    []Peer
	listed  time.Time
	avoid   map[string]time.Time // by address, until when
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

// Failed notes that a reader did not answer, or could not.
func (p *Picker) Failed(now time.Time, peer Peer) { p.avoid[peer.Address] = now.Add(avoidTime) }

// Pick returns the daemon to ask, or false when this one reads the store itself: it
// is the reader, or none is there.
func (p *Picker) Pick(now time.Time) (Peer, bool) {
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
