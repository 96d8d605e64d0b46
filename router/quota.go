package router

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/settings"
)

// quotaBounds returns the accuracy with which the settings require team limits to be
// enforced.
func quotaBounds(s *settings.Attached) quota.Bounds {
	return quota.Bounds{Window: s.Quota.Window, Excess: s.Quota.Excess, Slack: s.Quota.Slack}
}

const (
	// A daemon that borrows units for a request also borrows the units that it expects its
	// callers to use within prefetchHorizon.
	prefetchHorizon = 500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After that a refused caller gets.
	minRetryAfter = 200 * time.Millisecond
)

// teamLimits enforces the teams' rate limits. Each request costs units of its team's limit,
// which this daemon accrues over time or borrows from other daemons. It implements
// platform.Quota and supervise.Service, and is safe for concurrent use.
type teamLimits struct {
	a        *Attached
	ledger   *quota.Ledger
	borrower *unitBorrower
}

// newTeamLimits returns the team limits of a daemon that starts now.
func newTeamLimits(a *Attached) *teamLimits {
	l := quota.NewLedger(time.Now(), a.settings.Load().Orders.Bootstrap)
	return &teamLimits{a: a, ledger: l, borrower: newUnitBorrower(l)}
}

// terms returns the rate at which a team's limit accrues and how long units are valid.
func (l *teamLimits) terms(limit quota.Limit) quota.Terms {
	return quotaBounds(l.a.settings.Load()).Terms(limit)
}

// Name implements supervise.Service.
func (l *teamLimits) Name() string { return "quota" }

// Run implements supervise.Service.
func (l *teamLimits) Run(ctx context.Context) error {
	for clock.Sleep(ctx, quota.TickInterval) {
		share, accruesLocally := l.share(time.Now())
		l.ledger.Tick(time.Now(), share, accruesLocally)
	}
	return nil
}

// share returns this daemon's fraction of each limit, 0 while it is unknown. Units accrue as
// time passes (see package quota). accruesLocally reports whether this daemon accrues the
// units of its share itself; otherwise the daemon that reads the store for its data centre
// accrues them on its behalf.
func (l *teamLimits) share(now time.Time) (share float64, accruesLocally bool) {
	minDaemons := l.a.settings.Load().Retries.Daemons
	if l.a.roster == nil {
		if n := int(l.a.daemonCounter.joinedDaemons.Load()); n > 0 {
			return 1 / float64(max(n, minDaemons)), true
		}
		return 0, true
	}
	if share = l.a.roster.Share(now); share == 0 && minDaemons == 1 {
		share = 1
	}
	return share, l.a.roster.IsReader()
}

// Admit spends units of a team's limit on a request, or refuses the request. refund returns
// the units to the account; it is for requests that did not run. It implements platform.Quota.
func (l *teamLimits) Admit(ctx context.Context, team fleet.Team, id string, units float64) (refund func(), err *errkind.Error) {
	if team.Limit.Rate <= 0 || units <= 0 {
		return func() {}, nil
	}
	now := time.Now()
	account, terms := quota.Account{Team: team.Name}, l.terms(team.Limit)
	l.ledger.RecordDemand(now, account, terms, units)
	ticket, ok := l.ledger.Spend(now, account, terms, units, 0)
	answer := relay.LoanResult{}
	if !ok {
		prefetch := l.ledger.Demand(now, account) * prefetchHorizon.Seconds()
		ticket, answer, ok = l.borrower.borrowAndSpend(ctx, loanRequest{account: account, terms: terms, units: units, prefetch: prefetch})
	}
	if !ok {
		return nil, l.refuse(team, id, units, answer)
	}
	l.a.metrics.TeamAdmitted(team.Name, units)
	return func() { l.ledger.Refund(time.Now(), ticket) }, nil
}

// refuse returns the error for a request over its team's limit. Its Retry-After is the
// time in which the daemons together accrue the units that are missing.
func (l *teamLimits) refuse(team fleet.Team, id string, units float64, answer relay.LoanResult) *errkind.Error {
	now := time.Now()
	account, terms := quota.Account{Team: team.Name}, l.terms(team.Limit)
	own := l.ledger.Available(now, account, terms)
	wait := l.ledger.RetryAfter(now, account, terms, units-own-answer.Left)
	if answer.Wait > 0 {
		wait = answer.Wait // the lenders also know the demand at other daemons
	}
	wait = max(wait, minRetryAfter)
	l.a.metrics.TeamRefused(team.Name, units)
	l.a.logger.WithFields(log.Fields{
		"request": id, "team": team.Name, "units": units, "limit": team.Limit.Rate, "asked_here": l.ledger.Demand(now, account),
		"left_here": own, "left_known": answer.Left, "retry_after_ms": wait.Milliseconds(),
	}).Info("limit of the team reached")
	return errkind.New(errkind.QuotaExceeded, "").WithRetryAfter(wait)
}

// lend takes units of a team from this daemon's account for a loan to another daemon.
func (l *teamLimits) lend(call relay.LoanRequest) quota.Loan {
	v := l.a.watcher.View()
	if v == nil || v.Teams == nil {
		return quota.Loan{}
	}
	team, ok := v.Teams.Team(call.Team)
	if !ok || team.Limit.Rate <= 0 || !(call.Needs > 0) {
		return quota.Loan{}
	}
	return l.ledger.Lend(time.Now(), call.Account(), l.terms(team.Limit), call.Needs, call.Wants, 0, call.PartialOK)
}
