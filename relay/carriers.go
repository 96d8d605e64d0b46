package relay

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// maxCarriers is the number of daemons that are named to one that looks for carriers. Several
	// daemons get different ones, so that their load spreads.
	maxCarriers = 8
	// carriersTimeout bounds a call that asks for carriers, and maxCarrierCalls the number of
	// daemons that are asked one after the other.
	carriersTimeout = 150 * time.Millisecond
	maxCarrierCalls = 3
)

// Carriers returns at most maxCarriers known daemons of this data centre that may carry
// connections to upstreams for the daemon at an address, this one included: a random sample,
// in which larger daemons are more frequent. Those that are cut off come after the others.
func (r *Roster) Carriers(now time.Time, address string) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []Peer{r.self}
	for _, e := range r.peers {
		list = append(list, e.peer)
	}
	for _, p := range r.received.Order {
		if r.peers[p.Address] == nil {
			list = append(list, p)
		}
	}
	list = slices.DeleteFunc(list, func(p Peer) bool {
		return p.DataCentre != r.self.DataCentre || p.Address == address || r.isUnreachable(now, p)
	})
	shuffleByWeight(list)
	slices.SortStableFunc(list, func(a, b Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return list[:min(maxCarriers, len(list))]
}

// rank is 1 for a daemon that is cut off and 0 for others.
func rank(p Peer) int {
	if p.CutOff {
		return 1
	}
	return 0
}

// shuffleByWeight shuffles daemons. One of twice the weight is twice as likely to come first.
func shuffleByWeight(list []Peer) {
	keys := make(map[string]float64, len(list))
	for _, p := range list {
		keys[p.Address] = rand.ExpFloat64() / math.Max(1, float64(p.Weight))
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(keys[a.Address], keys[b.Address]) })
}

// CarrierFinder finds the daemons that may carry connections to upstreams for this one. Only a
// reader knows all daemons of its data centre, so the others ask theirs.
type CarrierFinder struct {
	Roster *Roster
	Dial   Dialer
	Logger log.Interface
	Now    func() time.Time
}

// Local returns daemons of this data centre.
func (f *CarrierFinder) Local(ctx context.Context) []Peer {
	if !f.Roster.IsReader() {
		order := f.Roster.Order(f.Now())
		if peers, ok := f.ask(ctx, order); ok {
			return f.usable(peers)
		}
	}
	return f.usable(f.Roster.Carriers(f.Now(), f.Roster.Self().Address))
}

// Remote returns daemons of the other data centres.
func (f *CarrierFinder) Remote(ctx context.Context) []Peer {
	readers := f.Roster.OtherReaders(f.Now())
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	var out []Peer
	for _, reader := range readers[:min(maxCarrierCalls, len(readers))] {
		if peers, ok := f.ask(ctx, []Peer{reader}); ok {
			out = append(out, peers...)
		}
	}
	return f.usable(out)
}

// ask returns the carriers that the first daemon that answers names.
func (f *CarrierFinder) ask(ctx context.Context, daemons []Peer) (peers []Peer, ok bool) {
	c := &client{dial: f.Dial}
	defer c.close()
	self := f.Roster.Self().Address
	asked := 0
	for _, p := range daemons {
		if p.Address == self || asked == maxCarrierCalls {
			continue
		}
		asked++
		var reply carriersResponse
		if err := c.call(ctx, p.Address, wire.TypeCarriers, carriersTimeout, &carriersRequest{Address: self}, &reply); err != nil {
			f.Logger.WithField("daemon", p.Address).WithError(err).Debug("carriers not named")
			continue
		}
		return reply.Peers, true
	}
	return nil, false
}

// usable leaves out this daemon.
func (f *CarrierFinder) usable(peers []Peer) []Peer {
	self := f.Roster.Self().Address
	return slices.DeleteFunc(peers, func(p Peer) bool { return p.Address == self })
}
