package relay

import (
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
// in which larger daemons are more frequent, without those that are cut off.
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
		return p.DataCentre != r.self.DataCentre || p.Address == address || p.CutOff || r.isUnreachable(now, p)
	})
	return weightedSample(list, maxCarriers)
}

// weightedSample returns a random sample of n daemons. A daemon of twice the weight is twice as
// likely to come first.
func weightedSample(list []Peer, n int) []Peer {
	keys := make(map[string]float64, len(list))
	for _, p := range list {
		keys[p.Address] = rand.ExpFloat64() / math.Max(1, float64(p.Weight))
	}
	slices.SortFunc(list, func(a, b Peer) int {
		if keys[a.Address] < keys[b.Address] {
			return -1
		}
		return 1
	})
	return list[:min(n, len(list))]
}

// CarrierFinder finds the daemons that may carry connections to upstreams for this one. Only a
// reader knows all daemons of its data centre, so the others ask theirs.
type CarrierFinder struct {
	Roster *Roster
	Dial   Dialer
	Logger log.Interface
	Now    func() time.Time
}

// Local returns the addresses of daemons of this data centre.
func (f *CarrierFinder) Local(ctx context.Context) []string {
	if !f.Roster.IsReader() {
		order := f.Roster.Order(f.Now())
		if peers, ok := f.ask(ctx, order); ok {
			return f.usable(peers)
		}
	}
	return f.usable(f.Roster.Carriers(f.Now(), f.Roster.Self().Address))
}

// Remote returns the addresses of daemons of the other data centres.
func (f *CarrierFinder) Remote(ctx context.Context) []string {
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
	asked := 0
	for _, p := range daemons {
		if p.Address == f.Roster.Self().Address || asked == maxCarrierCalls {
			continue
		}
		asked++
		var reply carriersResponse
		if err := c.call(ctx, p.Address, wire.TypeCarriers, carriersTimeout, &carriersRequest{Self: f.Roster.Self()}, &reply); err != nil {
			f.Logger.WithField("daemon", p.Address).WithError(err).Debug("carriers not named")
			continue
		}
		return reply.Peers, true
	}
	return nil, false
}

// usable returns the addresses of daemons other than this one.
func (f *CarrierFinder) usable(peers []Peer) []string {
	var out []string
	for _, p := range peers {
		if p.Address != f.Roster.Self().Address {
			out = append(out, p.Address)
		}
	}
	return out
}
