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
	// loanTime bounds the questions for one loan.
	loanTime = 60 * time.Millisecond
	// loanRest is how long a daemon that gave no answer is left alone.
	loanRest = time.Second
	// lineIdle is how long a connection is kept without a call: shorter than the lender
	// keeps it.
	lineIdle = quietTime / 2
)

// LoanCall asks a daemon to lend units of an account.
type LoanCall struct {
	// Team, or Upstream and Life, name the account; see quota.Account.
	Team     string `msgpack:"t"`
	Upstream string `msgpack:"u,omitempty"`
	Life     int64  `msgpack:"l,omitempty"`
	// Limits are what the caller knows of the upstream's limit, and Rank which requests go
	// before the one that waits: those of a lower rank.
	Limits []ratelimit.Record `msgpack:"r,omitempty"`
	Rank   int                `msgpack:"k,omitempty"`
	// Needs is for a request that waits, and Wants with what is likely to come.
	Needs float64 `msgpack:"n"`
	Wants float64 `msgpack:"w"`
	// Whatever says that less than Needs is of use too.
	Whatever bool `msgpack:"p,omitempty"`
	// From is the daemon that asks, and Accrued time that it hands over.
	From    Peer       `msgpack:"f"`
	Accrued quota.Span `msgpack:"a"`
	// Terms are those of the account at the caller.
	Terms quota.Terms `msgpack:"-"`
}

// Account returns the account that is asked for.
func (c *LoanCall) Account() quota.Account {
	return quota.Account{Team: c.Team, Upstream: c.Upstream, Life: c.Life}
}

// SetAccount makes it the one that is asked for.
func (c *LoanCall) SetAccount(a quota.Account) {
	c.Team, c.Upstream, c.Life = a.Team, a.Upstream, a.Life
}

// Loans borrows units of accounts from other daemons. It is safe for concurrent use.
//
// Load pattern: a team's requests come to few of many daemons, each of which accrues a small
// part of the team's limit. One call brings what the callers of half a second need.
type Loans struct {
	o LoansOptions

	mu    sync.Mutex
	lines map[string]*line // by address
}

// LoansOptions wire Loans; all are required.
type LoansOptions struct {
	Roster *Roster
	Time   *TimeKeeper
	Quota  *quota.Ledger
	Dial   Dialer
	Logger log.Interface
	Now    func() time.Time
}

// line is the connection to one lender, of which one call at a time is made.
type line struct {
	busy   chan struct{} // held by the caller
	client client
	rests  time.Time // until when it is left alone
	used   time.Time // when it was asked last
}

// NewLoans returns loans of nobody.
func NewLoans(o LoansOptions) *Loans { return &Loans{o: o, lines: map[string]*line{}} }

// Answer is what came of asking other daemons.
type Answer struct {
	// Lent says that what was needed was lent, and Left is what all that were asked have left.
	Lent bool
	Left float64
	// Wait is the shortest time after which one of them will have what was lacking; 0 where
	// none gave an answer.
	Wait time.Duration
}

// Borrow asks other daemons, until one has lent what is needed.
func (l *Loans) Borrow(ctx context.Context, ask LoanCall) (out Answer) {
	// The caller whose request it is may leave; the connection is not to end with it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTime)
	defer cancel()
	for _, peer := range l.o.Roster.Keepers(l.o.Now(), l.o.Time.holder()) {
		loan, ok := l.ask(ctx, peer, ask)
		if !ok {
			continue
		}
		out.Left += loan.Left
		if loan.Units >= ask.Needs {
			out.Lent = true
			return out
		}
		if out.Wait == 0 || loan.Wait < out.Wait {
			out.Wait = loan.Wait
		}
		if ask.Whatever {
			ask.Needs -= loan.Units
		}
	}
	return out
}

// ask borrows from one daemon.
func (l *Loans) ask(ctx context.Context, peer Peer, call LoanCall) (loan quota.Loan, ok bool) {
	line := l.line(peer.Address)
	select {
	case line.busy <- struct{}{}:
	case <-ctx.Done():
		return loan, false
	}
	defer func() { <-line.busy }()
	asked := l.o.Now()
	if asked.Before(line.rests) {
		return loan, false
	}
	if asked.Sub(line.used) >= lineIdle {
		line.client.close()
	}
	line.used = asked
	call.From, call.Accrued = l.o.Roster.Self(), l.o.Time.handOver(asked, peer)
	err := line.client.call(ctx, peer.Address, wire.TypeLoan, loanTime, &call, &loan)
	fields := l.o.Logger.WithFields(log.Fields{
		"team": call.Team, "upstream": call.Upstream, "needs": call.Needs, "lender": peer.Instance, "lent": loan.Units, "age_ms": loan.Age.Milliseconds(), "left": loan.Left,
	})
	if err != nil {
		line.rests = l.o.Now().Add(loanRest)
		fields.WithError(err).Info("units not borrowed")
		return loan, false
	}
	fields.Debug("units asked for")
	l.o.Quota.Borrowed(l.o.Now(), call.Account(), call.Terms, asked, loan)
	return loan, true
}

func (l *Loans) line(address string) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.lines[address]
	if found == nil {
		found = &line{busy: make(chan struct{}, 1), client: client{dial: l.o.Dial}}
		l.lines[address] = found
	}
	return found
}
