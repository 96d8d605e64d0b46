package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// exchangeInterval is the interval at which a reader sends its claim to the other
	// readers. A claim is thus repeated three times before it would expire (see claimTTL).
	// Eight readers make 56 such calls a second.
	exchangeInterval = time.Second
	// firstExchangeDelay is the delay before the first exchange. It is short so that the
	// seeds have exchanged their claims before other daemons ask them for a reader.
	firstExchangeDelay = 200 * time.Millisecond
	// In a large fleet, a daemon that is not a reader calls its reader in round
	// announceFirstRound and then every announceEveryRounds rounds, where a round takes
	// exchangeInterval. The first call comes before the daemon relies on the number of
	// daemons in the fleet.
	announceEveryRounds = 10
	announceFirstRound  = 4
	// exchangeTimeout bounds one call of an exchange.
	exchangeTimeout = 250 * time.Millisecond
)

// Exchange sends the claims of readers to the readers of all data centres and to the seeds.
// It is a supervise.Service.
//
// Without this exchange, a seed could direct a starting daemon to a reader that no longer
// runs, and two daemons could both stay readers of one data centre, each with its own
// followers.
type Exchange struct {
	o       ExchangeOptions
	clients map[string]*client
}

// ExchangeOptions configure an Exchange; all fields but Limits and Time are required.
type ExchangeOptions struct {
	// Self describes this daemon. Seeds are the addresses that daemons ask for their
	// reader.
	Self    Peer
	Seeds   []string
	Roster  *Roster
	Samples *Samples
	// Limits supplies the upstreams' rate limits that each call sends, and receives those in
	// its response. With nil, none are sent or stored.
	Limits Limits
	// Time supplies the span of time for which the reader, not this daemon, adds this daemon's
	// units to its ledger (see AccrualSender); with nil none is sent.
	Time   *AccrualSender
	Dial   Dialer
	Logger log.Interface
	Now    func() time.Time
}

// NewExchange returns an exchange that has called no daemon yet.
func NewExchange(o ExchangeOptions) *Exchange {
	if o.Limits == nil {
		o.Limits = noLimits{}
	}
	return &Exchange{o: o, clients: map[string]*client{}}
}

// Name implements supervise.Service.
func (e *Exchange) Name() string { return "exchange" }

// Run implements supervise.Service.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.closeAllExcept(nil)
	pause := firstExchangeDelay
	for n := 0; clock.Sleep(ctx, pause); n++ {
		pause = exchangeInterval
		order := e.o.Roster.Order(e.o.Now())
		switch {
		case e.o.Roster.IsReader():
			e.exchangeWithPartners(ctx)
		case len(order) > 0 && (e.o.Roster.IsSmall(e.o.Now()) || n%announceEveryRounds == announceFirstRound):
			e.announceToReader(ctx, order)
		default:
			e.closeAllExcept(nil)
		}
	}
	return nil
}

// announceToReader calls the reader of this daemon, or the first successor that answers,
// and stores the succession in the response. A daemon that does not answer within
// exchangeTimeout may only be slow, so it isn't marked as unreachable; only failed reads do
// that.
//
// The call is needed by daemons that read the store themselves and so make no other calls to
// the reader: all daemons of a small fleet, and those that have had followers recently.
// Without the call, such a daemon and the reader would not count each other, and each would
// divide the fleet's limits by too few daemons.
func (e *Exchange) announceToReader(ctx context.Context, order []Peer) {
	for _, peer := range order {
		if peer.Address == e.o.Self.Address {
			continue
		}
		reply, err := e.call(ctx, peer.Address, discoverRequest{Self: e.o.Roster.Self(), HandedOver: e.o.Time.handOver(e.o.Now(), peer)})
		if err == nil {
			e.o.Time.recordStamp(e.o.Now(), peer.Address, reply.Stamp)
			e.closeAllExcept(map[string]bool{peer.Address: true})
			e.o.Roster.SetSuccession(reply.Succession)
			return
		}
	}
}

// exchangeWithPartners calls the seeds and the other readers once, and sends them the known
// claims and the samples of this data centre.
func (e *Exchange) exchangeWithPartners(ctx context.Context) {
	partners := e.partners()
	e.closeAllExcept(partners)
	samples := toWireSamples(e.o.Samples.TakeForOtherReaders())
	if e.o.Roster.IsSmall(e.o.Now()) {
		// A daemon of a small fleet handles enough completions itself. Samples from other
		// daemons would also lack what a daemon knows only of its own requests, such as
		// which prompts were queued.
		samples = nil
	}
	for address := range partners {
		_, _ = e.call(ctx, address, discoverRequest{Self: e.o.Roster.Self(), Claims: e.o.Roster.Claims(e.o.Now()), Samples: samples}) // the next round calls again after an error
	}
}

// call sends a request to the daemon at an address and stores the claims and limits of the
// response.
func (e *Exchange) call(ctx context.Context, address string, m discoverRequest) (discoverResponse, error) {
	c := e.clients[address]
	if c == nil {
		c = &client{dial: e.o.Dial}
		e.clients[address] = c
	}
	now := e.o.Now()
	m.Limits = e.o.Limits.Changes(e.o.Roster.IsSmall(now))
	reply, err := c.discover(ctx, address, m, exchangeTimeout)
	if err != nil {
		e.o.Logger.WithField("daemon", address).WithError(err).Debug("exchange unanswered")
		return reply, err
	}
	e.o.Roster.MarkReachable(address)
	e.o.Roster.AddClaims(now, reply.Claims)
	e.o.Limits.Update(reply.Limits)
	return reply, nil
}

// partners returns the addresses of the seeds and of all known readers except this daemon.
func (e *Exchange) partners() map[string]bool {
	out := map[string]bool{}
	for _, address := range e.o.Seeds {
		out[address] = true
	}
	for _, c := range e.o.Roster.Claims(e.o.Now()) {
		out[c.Peer.Address] = true
	}
	delete(out, e.o.Self.Address)
	return out
}

// closeAllExcept closes the connections to all daemons but those at the given addresses.
func (e *Exchange) closeAllExcept(partners map[string]bool) {
	for address, c := range e.clients {
		if !partners[address] {
			c.close()
			delete(e.clients, address)
		}
	}
}
