package router

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/settings"
)

func quotaBounds(s *settings.Attached) quota.Bounds {
	return quota.Bounds{Window: s.Quota.Window, Excess: s.Quota.Excess, Slack: s.Quota.Slack}
}

const (
	// aheadTime is for how long a daemon borrows beyond the request that waits.
	aheadTime = 500 * time.Millisecond
	// leastReturn is the least time after which a refused caller is told to come back.
	leastReturn = 200 * time.Millisecond
	// refusedRest is how long no other daemon is asked for a team of which all have too little.
	refusedRest = 100 * time.Millisecond
)

// limits holds the teams' limits, with what this daemon has accrued and what others lend. It
// implements platform.Quota and supervise.Service, and is safe for concurrent use.
type limits struct {
	a      *Attached
	ledger *quota.Ledger
	loans  *relay.Loans // nil where daemons do not hear of each other

	mu    sync.Mutex
	teams map[string]*teamLoans
}

// teamLoans is what is known of the loans for one team.
type teamLoans struct {
	asking chan struct{} // held by the one question that is on its way
	// refused is when all that were asked had less than needed units, and answer what they
	// said.
	refused time.Time
	needed  float64
	answer  relay.Answer
}

func newLimits(a *Attached) *limits {
	s := a.settings.Load()
	return &limits{a: a, ledger: quota.NewLedger(time.Now(), quotaBounds(s), s.Orders.Bootstrap), teams: map[string]*teamLoans{}}
}

// Name implements supervise.Service.
func (l *limits) Name() string { return "quota" }

// Run implements supervise.Service.
func (l *limits) Run(ctx context.Context) error {
	for clock.Sleep(ctx, quota.TickEvery) {
		part, keeps := l.part(time.Now())
		l.ledger.Tick(time.Now(), part, keeps)
	}
	return nil
}

// part returns this daemon's part of what all accrue, and whether it hands its time to nobody.
func (l *limits) part(now time.Time) (part float64, keeps bool) {
	least := l.a.settings.Load().Retries.Daemons
	if l.a.roster == nil {
		if n := int(l.a.census.joined.Load()); n > 0 {
			return 1 / float64(max(n, least)), true
		}
		return 0, true
	}
	if part = l.a.roster.Part(now); part == 0 && least == 1 {
		part = 1
	}
	return part, l.a.roster.Leads()
}

// Admit implements platform.Quota.
func (l *limits) Admit(ctx context.Context, team fleet.Team, id string, units float64) (giveBack func(), err *errkind.Error) {
	if team.Limit.Rate <= 0 || units <= 0 {
		return func() {}, nil
	}
	now := time.Now()
	l.ledger.Asked(now, team.Name, units)
	ticket, ok := l.ledger.Spend(now, team.Name, team.Limit, units)
	answer := relay.Answer{}
	if !ok && l.loans != nil {
		ticket, answer, ok = l.borrow(ctx, team, units)
	}
	if !ok {
		return nil, l.refuse(team, id, units, answer)
	}
	l.a.metrics.TeamAdmitted(team.Name, units)
	return func() { l.ledger.Return(time.Now(), ticket) }, nil
}

// borrow has other daemons lend what this one lacks, one question for a team at a time.
func (l *limits) borrow(ctx context.Context, team fleet.Team, units float64) (ticket quota.Ticket, answer relay.Answer, ok bool) {
	t := l.loansOf(team.Name)
	select {
	case t.asking <- struct{}{}:
	case <-ctx.Done():
		return ticket, answer, false
	}
	defer func() { <-t.asking }()
	now := time.Now()
	if ticket, ok = l.ledger.Spend(now, team.Name, team.Limit, units); ok {
		return ticket, answer, true // another request has borrowed enough
	}
	if now.Sub(t.refused) < refusedRest && units >= t.needed {
		return ticket, t.answer, false
	}
	own := l.ledger.Left(now, team.Name, team.Limit)
	ask := relay.LoanCall{Team: team.Name, Needs: units - own, Wants: units - own + l.ledger.Demand(now, team.Name)*aheadTime.Seconds()}
	answer = l.loans.Borrow(ctx, ask)
	if !answer.Lent && own+answer.Left >= units {
		ask.Whatever = true
		answer.Lent = l.loans.Borrow(ctx, ask).Lent
	}
	if answer.Lent {
		ticket, ok = l.ledger.Spend(time.Now(), team.Name, team.Limit, units)
	}
	if !ok {
		t.refused, t.needed, t.answer = time.Now(), units, answer
	}
	return ticket, answer, ok
}

func (l *limits) loansOf(team string) *teamLoans {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[team]
	if t == nil {
		t = &teamLoans{asking: make(chan struct{}, 1)}
		l.teams[team] = t
	}
	return t
}

// refuse tells when all daemons will have accrued what is missing.
func (l *limits) refuse(team fleet.Team, id string, units float64, answer relay.Answer) *errkind.Error {
	now := time.Now()
	own := l.ledger.Left(now, team.Name, team.Limit)
	wait := l.ledger.Wait(now, team.Name, team.Limit, units-own-answer.Left)
	if answer.Wait > 0 {
		wait = answer.Wait // those that were asked know of more callers than this daemon
	}
	wait = max(wait, leastReturn)
	l.a.metrics.TeamRefused(team.Name, units)
	l.a.logger.WithFields(log.Fields{
		"request": id, "team": team.Name, "units": units, "limit": team.Limit.Rate, "asked_here": l.ledger.Demand(now, team.Name),
		"left_here": own, "left_known": answer.Left, "retry_after_ms": wait.Milliseconds(),
	}).Info("limit of the team reached")
	return errkind.New(errkind.QuotaExceeded, "").WithRetryAfter(wait)
}

// lend gives up units to another daemon.
func (l *limits) lend(call relay.LoanCall) quota.Loan {
	v := l.a.watcher.View()
	if v == nil || v.Teams == nil {
		return quota.Loan{}
	}
	team, ok := v.Teams.Team(call.Team)
	if !ok || team.Limit.Rate <= 0 || !(call.Needs > 0) {
		return quota.Loan{}
	}
	return l.ledger.Lend(time.Now(), call.Team, team.Limit, call.Needs, call.Wants, call.Whatever)
}
