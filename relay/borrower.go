package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// borrowTime bounds a question to all lenders: a few times the way within a data
	// centre, and short beside the time that a caller gives a look-up.
	borrowTime = 30 * time.Millisecond
	// lendersAsked is how many daemons are asked at most.
	lendersAsked = 3
	// refusedTime is how long a daemon that had nothing to give is left alone.
	refusedTime = time.Second
)

// permitCall asks a daemon to give up retries to a target.
type permitCall struct {
	Target string `msgpack:"t"`
	Needs  int    `msgpack:"n"`
}

// permitReply answers it. What was given is spent at the daemon that gave it.
type permitReply struct {
	Given bool `msgpack:"g"`
}

// Borrower asks other daemons for retries when this one has none left. It is safe for
// concurrent use.
//
// Load pattern: some requests in a hundred are rejected, now more at one daemon and now at
// another. What each may send by itself is two retries in a large fleet, and none in the
// first seconds of a life, while the fleet as a whole may send hundreds. One that asks
// takes from a bucket that is bounded like its own, so that the sum stays what it was; an
// answer that is lost is a retry lost.
type Borrower struct {
	o BorrowerOptions
	// asking is held by the one question that is on its way. Others are told no at once:
	// a request that is given up is not kept waiting.
	asking  sync.Mutex
	refused map[refusal]time.Time
	known   map[string]*client
}

// BorrowerOptions wire a Borrower; all are required.
type BorrowerOptions struct {
	Roster *Roster
	Dial   Dialer
	Random *rand.Rand
	Logger log.Interface
	Now    func() time.Time
}

// refusal is who had nothing to give to which target.
type refusal struct{ address, target string }

// NewBorrower returns a borrower that has asked nobody.
func NewBorrower(o BorrowerOptions) *Borrower {
	return &Borrower{o: o, refused: map[refusal]time.Time{}, known: map[string]*client{}}
}

// Borrow returns whether another daemon gave up n retries to a target.
func (b *Borrower) Borrow(ctx context.Context, target string, n int) bool {
	if !b.asking.TryLock() {
		return false
	}
	defer b.asking.Unlock()
	began := b.o.Now()
	ctx, cancel := context.WithTimeout(ctx, borrowTime)
	defer cancel()
	lenders := b.lenders(began, target)
	for _, peer := range lenders[:min(len(lenders), lendersAsked)] {
		if b.ask(ctx, peer, permitCall{Target: target, Needs: n}) {
			// A process that stood still meanwhile would send it in a later window.
			return clock.Elapsed(began, b.o.Now()) < 2*borrowTime
		}
	}
	return false
}

// lenders returns who may have something to give, in a random order.
func (b *Borrower) lenders(now time.Time, target string) []Peer {
	var out []Peer
	for _, peer := range b.o.Roster.Lenders(now) {
		if until := b.refused[refusal{peer.Address, target}]; !now.Before(until) {
			out = append(out, peer)
		}
	}
	b.o.Random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (b *Borrower) ask(ctx context.Context, peer Peer, call permitCall) bool {
	c := b.known[peer.Address]
	if c == nil {
		c = &client{dial: b.o.Dial}
		b.known[peer.Address] = c
	}
	var reply permitReply
	err := c.call(ctx, peer.Address, wire.TypePermit, borrowTime, &call, &reply)
	if err != nil {
		delete(b.known, peer.Address)
	}
	line := b.o.Logger.WithFields(log.Fields{"target": call.Target, "needs": call.Needs, "lender": peer.Instance})
	switch {
	case err != nil:
		line.WithError(err).Debug("retry not borrowed")
	case reply.Given:
		line.Info("retry borrowed")
		return true
	}
	b.refused[refusal{peer.Address, call.Target}] = b.o.Now().Add(refusedTime)
	return false
}
