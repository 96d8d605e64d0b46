package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/ratelimit"
)

const (
	// loanTimeout bounds all calls that are made for one loan.
	loanTimeout = 60 * time.Millisecond
	// loanBackoff is how long a daemon that failed to answer is not asked again.
	loanBackoff = time.Second
	// maxLoanIdle is how long an unused connection is reused. It is shorter than
	// idleTimeout, after which the lender closes the connection.
	maxLoanIdle = idleTimeout / 2
)

// LoanRequest asks a daemon to lend units of an account. An account is one rate limit, that
// of a team or of an upstream, and units are the amounts that it limits (see package quota).
type LoanRequest struct {
	// Team, or Upstream and Life, identify the account. Life is the incarnation of the
	// upstream (see quota.Account).
	Team     string `msgpack:"t"`
	Upstream string `msgpack:"u,omitempty"`
	Life     int64  `msgpack:"l,omitempty"`
	// Limits are the rate limits of the upstream known to the borrower. Rank is the rank of
	// the waiting request: requests of lower rank are served first.
	Limits []ratelimit.Record `msgpack:"r,omitempty"`
	Rank   int                `msgpack:"k,omitempty"`
	// Needs is the number of units for the waiting request; Wants also includes the demand
	// expected soon.
	Needs float64 `msgpack:"n"`
	Wants float64 `msgpack:"w"`
	// PartialOK reports that fewer units than Needs are useful too.
	PartialOK bool `msgpack:"p,omitempty"`
	// From is the borrower. HandedOver is the span of time for which the lender, not the
	// borrower, adds the borrower's units of the rate limits to its ledger (see
	// AccrualSender).
	From       Peer       `msgpack:"f"`
	HandedOver quota.Span `msgpack:"a"`
	// Terms are the rate of the account and the lifetime of its units. They are not sent,
	// because the lender knows the terms itself.
	Terms quota.Terms `msgpack:"-"`
}

// Account returns the account to lend from.
func (c *LoanRequest) Account() quota.Account {
	return quota.Account{Team: c.Team, Upstream: c.Upstream, Incarnation: c.Life}
}

// SetAccount sets the account to lend from.
func (c *LoanRequest) SetAccount(a quota.Account) {
	c.Team, c.Upstream, c.Life = a.Team, a.Upstream, a.Incarnation
}

// Loans borrows units of accounts from other daemons. It is safe for concurrent use.
//
// Load pattern: the requests of a team reach only a few of many daemons, each of which
// has a small share of the team's limit. One call borrows the units that the requests
// of half a second need.
type Loans struct {
	o LoansOptions

	mu    sync.Mutex
	conns map[string]*lenderConn // keyed by the lender's address
}

// LoansOptions configure Loans; all fields are required.
type LoansOptions struct {
	Roster *Roster
	Time   *AccrualSender
	Quota  *quota.Ledger
	Dial   Dialer
	Logger log.Interface
	Now    func() time.Time
}

// lenderConn is the connection to one lender. It carries one call at a time.
type lenderConn struct {
	inUse        chan struct{} // semaphore held during a call
	client       client
	backoffUntil time.Time // no calls before this time
	lastUsed     time.Time // start of the last call
}

// NewLoans returns Loans without connections.
func NewLoans(o LoansOptions) *Loans { return &Loans{o: o, conns: map[string]*lenderConn{}} }

// LoanResult is the result of a loan request to other daemons.
type LoanResult struct {
	// Lent reports that the needed units were lent. Left is the number of units of the
	// account that the asked lenders still have together.
	Lent bool
	Left float64
	// Wait is the shortest time after which the ledger of one of the lenders will have the
	// missing units; 0 if no lender answered.
	Wait time.Duration
}

// Borrow asks other daemons for a loan, one after the other, until the needed units are
// lent.
func (l *Loans) Borrow(ctx context.Context, ask LoanRequest) (out LoanResult) {
	// The calls to lenders go on if the client whose request waits for the units
	// disconnects, because cancelling a call would close the connection to the lender.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
	defer cancel()
	for _, peer := range l.o.Roster.LoanCandidates(l.o.Now(), l.o.Time.lastRecipient()) {
		loan, ok := l.borrowFrom(ctx, peer, ask)
		if !ok {
			continue
		}
		out.Left += loan.Remaining
		if loan.Units >= ask.Needs {
			out.Lent = true
			return out
		}
		if out.Wait == 0 || loan.Wait < out.Wait {
			out.Wait = loan.Wait
		}
		if ask.PartialOK {
			ask.Needs -= loan.Units
		}
	}
	return out
}

// borrowFrom borrows from one daemon; ok is false if the daemon did not answer or is not
// asked because of loanBackoff.
func (l *Loans) borrowFrom(ctx context.Context, peer Peer, call LoanRequest) (loan quota.Loan, ok bool) {
	conn := l.conn(peer.Address)
	select {
	case conn.inUse <- struct{}{}:
	case <-ctx.Done():
		return loan, false
	}
	defer func() { <-conn.inUse }()
	asked := l.o.Now()
	if asked.Before(conn.backoffUntil) {
		return loan, false
	}
	if asked.Sub(conn.lastUsed) >= maxLoanIdle {
		conn.client.close()
	}
	conn.lastUsed = asked
	call.From, call.HandedOver = l.o.Roster.Self(), l.o.Time.handOver(asked, peer)
	err := conn.client.call(ctx, peer.Address, wire.TypeLoan, loanTimeout, &call, &loan)
	fields := l.o.Logger.WithFields(log.Fields{
		"team": call.Team, "upstream": call.Upstream, "needs": call.Needs, "lender": peer.Instance, "lent": loan.Units, "age_ms": loan.Age.Milliseconds(), "left": loan.Remaining,
	})
	if err != nil {
		conn.backoffUntil = l.o.Now().Add(loanBackoff)
		fields.WithError(err).Info("units not borrowed")
		return loan, false
	}
	fields.Debug("units requested")
	l.o.Quota.AddLoan(l.o.Now(), call.Account(), call.Terms, asked, loan)
	return loan, true
}

// conn returns the connection entry of the lender at an address.
func (l *Loans) conn(address string) *lenderConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.conns[address]
	if found == nil {
		found = &lenderConn{inUse: make(chan struct{}, 1), client: client{dial: l.o.Dial}}
		l.conns[address] = found
	}
	return found
}
