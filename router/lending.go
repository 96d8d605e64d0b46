package router

import (
	"context"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/relay"
)

const (
	// questionLife is how long a question is remembered, and mostQuestions from how many on
	// those that are older are looked for.
	questionLife  = time.Minute
	mostQuestions = 1024
)

// lending borrows for this daemon's accounts from others. It is safe for concurrent use.
type lending struct {
	ledger *quota.Ledger
	loans  loans // nil where daemons do not hear of each other

	mu sync.Mutex
	by map[quota.Account]*question
}

// loans asks other daemons to lend; *relay.Loans does.
type loans interface {
	Borrow(ctx context.Context, ask relay.LoanCall) relay.Answer
}

// question is what came of asking others for one account.
type question struct {
	asking chan struct{} // held by the one question that is on its way
	// refused is when all that were asked had too little, answer what they said, and rest
	// until when nobody is asked again.
	refused time.Time
	answer  relay.Answer
	rest    quota.Rest
}

// rests says whether asking others is of no use now.
func (q *question) rests(now time.Time, w wish) bool { return q.rest.Holds(now, w.units, w.call.Rank) }

func newLending(l *quota.Ledger) *lending {
	return &lending{ledger: l, by: map[quota.Account]*question{}}
}

// wish is what a request needs of an account that has too little here.
type wish struct {
	account quota.Account
	terms   quota.Terms
	// units are spent; reserve stays here, and ahead is wanted for what is likely to come.
	units, reserve, ahead float64
	// mostRest bounds for how long nobody is asked again where all have too little; the least
	// such time where it is 0.
	mostRest time.Duration
	// call has what is asked besides.
	call relay.LoanCall
}

// spend has other daemons lend what the account lacks, one question at a time, and spends it.
func (l *lending) spend(ctx context.Context, w wish) (ticket quota.Ticket, answer relay.Answer, ok bool) {
	if l.loans == nil {
		return ticket, answer, false
	}
	q := l.question(w.account)
	select {
	case q.asking <- struct{}{}:
	case <-ctx.Done():
		return ticket, answer, false
	}
	defer func() { <-q.asking }()
	now := time.Now()
	if ticket, ok = l.ledger.Spend(now, w.account, w.terms, w.units, w.reserve); ok {
		return ticket, answer, true // another request has borrowed enough
	}
	if q.rests(now, w) {
		return ticket, q.answer, false
	}
	if answer = l.ask(ctx, now, w); answer.Lent {
		ticket, ok = l.ledger.Spend(time.Now(), w.account, w.terms, w.units, w.reserve)
	}
	if !ok {
		l.refused(q, w, answer)
	}
	return ticket, answer, ok
}

// rests says whether asking others is of no use now.
func (l *lending) rests(now time.Time, w wish) bool {
	if l.loans == nil {
		return true
	}
	q := l.question(w.account)
	select {
	case q.asking <- struct{}{}:
		defer func() { <-q.asking }()
		return q.rests(now, w)
	default:
		return true // a question is on its way
	}
}

// ahead has other daemons lend what the next request needs, unless somebody asks already.
func (l *lending) ahead(ctx context.Context, w wish) {
	q := l.question(w.account)
	select {
	case q.asking <- struct{}{}:
	default:
		return
	}
	defer func() { <-q.asking }()
	now := time.Now()
	if q.rests(now, w) || l.ledger.Left(now, w.account, w.terms) >= w.units+w.reserve {
		return
	}
	if answer := l.ask(ctx, now, w); !answer.Lent {
		l.refused(q, w, answer)
	}
}

// ask asks others for what is lacking and, where nobody has it but all together do, for
// whatever there is.
func (l *lending) ask(ctx context.Context, now time.Time, w wish) relay.Answer {
	own := l.ledger.Left(now, w.account, w.terms)
	call := w.call
	call.Terms, call.Needs = w.terms, w.units+w.reserve-own
	call.Wants = call.Needs + w.ahead
	call.SetAccount(w.account)
	answer := l.loans.Borrow(ctx, call)
	if !answer.Lent && own+answer.Left >= w.units+w.reserve {
		call.Whatever = true
		answer.Lent = l.loans.Borrow(ctx, call).Lent
	}
	return answer
}

func (l *lending) refused(q *question, w wish, answer relay.Answer) {
	q.refused, q.answer = time.Now(), answer
	q.rest.Set(q.refused, w.units, w.call.Rank, answer.Wait, w.mostRest)
}

func (l *lending) question(account quota.Account) *question {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.by[account]
	if q == nil {
		l.sweep(time.Now())
		q = &question{asking: make(chan struct{}, 1)}
		l.by[account] = q
	}
	return q
}

// sweep forgets old questions, of upstreams that are gone; l.mu is held.
func (l *lending) sweep(now time.Time) {
	if len(l.by) < mostQuestions {
		return
	}
	for account, q := range l.by {
		select {
		case q.asking <- struct{}{}:
			if now.Sub(q.refused) >= questionLife {
				delete(l.by, account)
			}
			<-q.asking
		default: // a question is on its way
		}
	}
}
