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
	// borrowTimeout bounds the calls to all lenders together. It allows for a few round
	// trips within a data centre and is short compared with the time that a caller allows
	// for a look-up.
	borrowTimeout = 30 * time.Millisecond
	// maxLenders is the largest number of daemons that one call of Borrow asks.
	maxLenders = 3
	// refusalBackoff is how long a daemon that lent nothing is not asked again for the same
	// target.
	refusalBackoff = time.Second
)

// borrowRequest asks a daemon to lend retries for a target.
type borrowRequest struct {
	Target string `msgpack:"t"`
	Needs  int    `msgpack:"n"`
}

// borrowResponse answers a borrowRequest. The lender has already deducted the retries from
// its own budget.
type borrowResponse struct {
	Lent bool `msgpack:"g"`
}

// Borrower asks other daemons to lend retries when the retry budget of this one is
// exhausted. It is safe for concurrent use.
//
// Load pattern: upstreams reject a few percent of the requests, and the rejections affect one
// daemon after the other. In a large fleet the budget of one daemon is two retries, and zero
// during its first seconds, while the budget of the whole fleet is hundreds. Lent retries are
// deducted from the lender's token bucket, which has the same capacity as the borrower's, so
// that the number of retries of the whole fleet is unchanged. If the answer is lost, the
// retries are lost too.
type Borrower struct {
	o BorrowerOptions
	// inFlight is locked during a call to the lenders. Concurrent callers are refused at
	// once, so that a request about to fail is not delayed further.
	inFlight     sync.Mutex
	refusedUntil map[refusalKey]time.Time
	clients      map[string]*client
}

// BorrowerOptions configure a Borrower; all fields are required.
type BorrowerOptions struct {
	Roster *Roster
	Dial   Dialer
	Random *rand.Rand
	Logger log.Interface
	Now    func() time.Time
}

// refusalKey identifies a lender that refused to lend and the target it was asked for.
type refusalKey struct{ address, target string }

// NewBorrower returns a borrower that has not contacted any lender yet.
func NewBorrower(o BorrowerOptions) *Borrower {
	return &Borrower{o: o, refusedUntil: map[refusalKey]time.Time{}, clients: map[string]*client{}}
}

// Borrow reports whether another daemon lent n retries for a target.
func (b *Borrower) Borrow(ctx context.Context, target string, n int) bool {
	if !b.inFlight.TryLock() {
		return false
	}
	defer b.inFlight.Unlock()
	began := b.o.Now()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	lenders := b.lenders(began, target)
	for _, peer := range lenders[:min(len(lenders), maxLenders)] {
		if b.borrowFrom(ctx, peer, borrowRequest{Target: target, Needs: n}) {
			// If this process was paused during the call, the lent retries are not used.
			// They were deducted from an earlier window of the lender's budget than the one
			// in which they would now be sent.
			return clock.Elapsed(began, b.o.Now()) < 2*borrowTimeout
		}
	}
	return false
}

// lenders returns, in random order, the daemons that have not recently refused to lend for
// the target.
func (b *Borrower) lenders(now time.Time, target string) []Peer {
	var out []Peer
	for _, peer := range b.o.Roster.Lenders(now) {
		if until := b.refusedUntil[refusalKey{peer.Address, target}]; !now.Before(until) {
			out = append(out, peer)
		}
	}
	b.o.Random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// borrowFrom asks one lender and records a refusal.
func (b *Borrower) borrowFrom(ctx context.Context, peer Peer, call borrowRequest) bool {
	c := b.clients[peer.Address]
	if c == nil {
		c = &client{dial: b.o.Dial}
		b.clients[peer.Address] = c
	}
	var reply borrowResponse
	err := c.call(ctx, peer.Address, wire.TypePermit, borrowTimeout, &call, &reply)
	if err != nil {
		delete(b.clients, peer.Address)
	}
	logger := b.o.Logger.WithFields(log.Fields{"target": call.Target, "needs": call.Needs, "lender": peer.Instance})
	switch {
	case err != nil:
		logger.WithError(err).Debug("retry not borrowed")
	case reply.Lent:
		logger.Info("retry borrowed")
		return true
	}
	b.refusedUntil[refusalKey{peer.Address, call.Target}] = b.o.Now().Add(refusalBackoff)
	return false
}
