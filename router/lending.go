package router

import (
	"context"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/relay"
)

const (
	// When there are maxBorrowStates borrowStates, those whose last refusal is at least
	// borrowStateTTL ago are evicted.
	borrowStateTTL  = time.Minute
	maxBorrowStates = 1024
)

// unitBorrower borrows units of rate limits (a unit is one request or one token) from other
// daemons for this daemon's accounts. It is safe for concurrent use.
type unitBorrower struct {
	ledger  *quota.Ledger
	lenders loanClient // nil if there is no relay connection to other daemons

	mu     sync.Mutex
	states map[quota.Account]*borrowState
}

// loanClient requests loans from other daemons. *relay.Loans implements it.
type loanClient interface {
	Borrow(ctx context.Context, ask relay.LoanRequest) relay.LoanResult
}

// borrowState is the state of borrowing for one account.
type borrowState struct {
	sem chan struct{} // semaphore of one, held while a loan is requested; guards the other fields
	// refusedAt is when the last loan was refused, answer is that refusal, and backoff
	// suppresses further loan requests for a while.
	refusedAt time.Time
	answer    relay.LoanResult
	backoff   quota.Backoff
}

// backingOff reports whether a recent refusal forbids requesting the loan req now.
func (st *borrowState) backingOff(now time.Time, req loanRequest) bool {
	return st.backoff.Active(now, req.units, req.call.Rank)
}

// newUnitBorrower returns a borrower for the accounts of a ledger.
func newUnitBorrower(l *quota.Ledger) *unitBorrower {
	return &unitBorrower{ledger: l, states: map[quota.Account]*borrowState{}}
}

// loanRequest describes the units that a caller's request needs from an account.
type loanRequest struct {
	account quota.Account
	terms   quota.Terms
	// units are spent on the request, reserve must stay in the account afterwards for more
	// urgent requests, and prefetch is borrowed in addition for requests expected soon.
	units, reserve, prefetch float64
	// maxBackoff bounds the backoff after a refused loan; with 0 the backoff is the shortest
	// that package quota allows.
	maxBackoff time.Duration
	// call holds the Rank and Limits of the call to the lenders; borrow fills in the rest.
	call relay.LoanRequest
}

// borrowAndSpend borrows the units that the account lacks from other daemons and spends the
// units of the request. Requests for one account borrow one at a time. If ok is false, answer
// is the refusal, if there was one.
func (l *unitBorrower) borrowAndSpend(ctx context.Context, req loanRequest) (ticket quota.Ticket, answer relay.LoanResult, ok bool) {
	if l.lenders == nil {
		return ticket, answer, false
	}
	st := l.state(req.account)
	select {
	case st.sem <- struct{}{}:
	case <-ctx.Done():
		return ticket, answer, false
	}
	defer func() { <-st.sem }()
	now := time.Now()
	if ticket, ok = l.ledger.Spend(now, req.account, req.terms, req.units, req.reserve); ok {
		return ticket, answer, true // a loan for another request left enough
	}
	if st.backingOff(now, req) {
		return ticket, st.answer, false
	}
	if answer = l.borrow(ctx, now, req); answer.Lent {
		ticket, ok = l.ledger.Spend(time.Now(), req.account, req.terms, req.units, req.reserve)
	}
	if !ok {
		l.recordRefusal(st, req, answer)
	}
	return ticket, answer, ok
}

// backingOff reports whether no loan should be requested now, because there is no relay
// connection, because other daemons refused such a loan recently, or because another loan
// for the account is being requested.
func (l *unitBorrower) backingOff(now time.Time, req loanRequest) bool {
	if l.lenders == nil {
		return true
	}
	st := l.state(req.account)
	select {
	case st.sem <- struct{}{}:
		defer func() { <-st.sem }()
		return st.backingOff(now, req)
	default:
		return true // a loan is being requested
	}
}

// prefetch borrows the units that the next request will need, unless a loan for the account
// is being requested already.
func (l *unitBorrower) prefetch(ctx context.Context, req loanRequest) {
	st := l.state(req.account)
	select {
	case st.sem <- struct{}{}:
	default:
		return
	}
	defer func() { <-st.sem }()
	now := time.Now()
	if st.backingOff(now, req) || l.ledger.Available(now, req.account, req.terms) >= req.units+req.reserve {
		return
	}
	if answer := l.borrow(ctx, now, req); !answer.Lent {
		l.recordRefusal(st, req, answer)
	}
}

// borrow requests a loan of the units that the account lacks. If no single daemon has enough
// but all of them together do, it requests partial loans.
func (l *unitBorrower) borrow(ctx context.Context, now time.Time, req loanRequest) relay.LoanResult {
	own := l.ledger.Available(now, req.account, req.terms)
	call := req.call
	call.Terms, call.Needs = req.terms, req.units+req.reserve-own
	call.Wants = call.Needs + req.prefetch
	call.SetAccount(req.account)
	answer := l.lenders.Borrow(ctx, call)
	if !answer.Lent && own+answer.Left >= req.units+req.reserve {
		call.PartialOK = true
		answer.Lent = l.lenders.Borrow(ctx, call).Lent
	}
	return answer
}

// recordRefusal starts a backoff after a refused loan. The caller holds st.sem.
func (l *unitBorrower) recordRefusal(st *borrowState, req loanRequest, answer relay.LoanResult) {
	st.refusedAt, st.answer = time.Now(), answer
	st.backoff.Start(st.refusedAt, req.units, req.call.Rank, answer.Wait, req.maxBackoff)
}

// state returns the borrowing state of an account and creates it if needed.
func (l *unitBorrower) state(account quota.Account) *borrowState {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.states[account]
	if st == nil {
		l.evictStale(time.Now())
		st = &borrowState{sem: make(chan struct{}, 1)}
		l.states[account] = st
	}
	return st
}

// evictStale removes old states, such as those of upstreams that are gone. The caller
// holds l.mu.
func (l *unitBorrower) evictStale(now time.Time) {
	if len(l.states) < maxBorrowStates {
		return
	}
	for account, st := range l.states {
		select {
		case st.sem <- struct{}{}:
			if now.Sub(st.refusedAt) >= borrowStateTTL {
				delete(l.states, account)
			}
			<-st.sem
		default: // a loan is being requested
		}
	}
}
