package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// exchangeEvery is how often a reader tells the others of itself: three times within
	// the life of a claim. Eight readers make 56 such calls a second.
	exchangeEvery = time.Second
	// exchangeTime bounds one such call.
	exchangeTime = 250 * time.Millisecond
)

// Exchange tells the readers of the data centres, and the daemons at which others look
// for a reader, of each other. It is a supervise.Service.
//
// What goes wrong without it: a daemon that starts is sent to a reader that is gone, and
// two daemons read for one data centre for good, each with followers of its own.
type Exchange struct {
	self   Peer
	seeds  []string
	roster *Roster
	dial   Dialer
	logger log.Interface
	now    func() time.Time
	known  map[string]*client
}

// NewExchange returns an exchange with the readers in the roster and the seeds.
func NewExchange(self Peer, seeds []string, roster *Roster, dial Dialer, logger log.Interface, now func() time.Time) *Exchange {
	return &Exchange{self: self, seeds: seeds, roster: roster, dial: dial, logger: logger, now: now, known: map[string]*client{}}
}

// Name implements supervise.Service.
func (e *Exchange) Name() string { return "exchange" }

// Run implements supervise.Service.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.forget(nil)
	for clock.Sleep(ctx, exchangeEvery) {
		if e.roster.Order(e.now()); e.roster.Leads() {
			e.round(ctx)
		} else {
			e.forget(nil)
		}
	}
	return nil
}

// round calls every partner once.
func (e *Exchange) round(ctx context.Context) {
	partners := e.partners()
	e.forget(partners)
	for address := range partners {
		c := e.known[address]
		if c == nil {
			c = &client{dial: e.dial}
			e.known[address] = c
		}
		now := e.now()
		reply, err := c.meet(ctx, address, meetCall{Self: e.self, Claims: e.roster.Claims(now)}, exchangeTime)
		if err != nil {
			e.logger.WithField("daemon", address).WithError(err).Debug("no exchange")
			continue
		}
		e.roster.Answered(address)
		e.roster.Claimed(now, reply.Claims)
	}
}

// partners returns the addresses to call.
func (e *Exchange) partners() map[string]bool {
	out := map[string]bool{}
	for _, address := range e.seeds {
		out[address] = true
	}
	for _, c := range e.roster.Claims(e.now()) {
		out[c.Peer.Address] = true
	}
	delete(out, e.self.Address)
	return out
}

// forget closes the connections to daemons that are no partners any more.
func (e *Exchange) forget(partners map[string]bool) {
	for address, c := range e.known {
		if !partners[address] {
			c.close()
			delete(e.known, address)
		}
	}
}
