package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/settings"
)

// retryBounds returns the bounds that the settings set for the retries of all daemons
// together.
func retryBounds(s *settings.Attached) retry.Bounds {
	r := s.Retries
	return retry.Bounds{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, MinDaemons: r.Daemons, FirstStart: s.Orders.Bootstrap}
}

// hedgeBounds returns the bounds of the second dispatches of slow calls of all daemons together. There is
// no slack, so that none is sent that requests have not earned; a daemon saves up at most one.
func hedgeBounds(s *settings.Attached) retry.Bounds {
	b := retryBounds(s)
	b.Ratio, b.Slack = s.Hedging.Share, 0
	return b
}

// hedgeBudgetOf returns the budget of second dispatches of a plain service, or nil if the settings allow
// none.
func (a *Attached) hedgeBudgetOf(service string) request.RetryBudget {
	if a.settings.Load().Hedging.Share == 0 {
		return nil
	}
	return a.hedges.Of(service)
}

// daemonCounter periodically passes the number of daemons to the retry budgets, which
// divide the fleet's allowance by it. It is a supervise.Service.
type daemonCounter struct {
	a         *Attached
	startedAt time.Time
	// joinedDaemons is the number of daemons as estimated from the generation of the
	// store's group (see noteGeneration); 0 while unknown.
	joinedDaemons atomic.Int64
}

// Name implements supervise.Service.
func (c *daemonCounter) Name() string { return "census" }

// Run implements supervise.Service.
func (c *daemonCounter) Run(ctx context.Context) error {
	const countEvery = 3 // ticks
	n := 0
	for tick := 0; clock.Sleep(ctx, retry.TickInterval); tick++ {
		now := time.Now()
		if tick%countEvery == 0 {
			n = c.count(now)
		}
		c.a.hedges.UpdateDaemons(now, n) // also detects stalls of the process
		if c.a.budgets.UpdateDaemons(now, n) {
			c.report(now)
		}
	}
	return nil
}

// count returns the number of daemons, 0 while it is unknown. A daemon that has not heard of
// any other may be partitioned, so it assumes that it is the only one only if the settings
// give 1 as the smallest number of daemons.
func (c *daemonCounter) count(now time.Time) int {
	if c.a.roster == nil {
		return int(c.joinedDaemons.Load())
	}
	if n := c.a.roster.ShareCount(now); n > 0 {
		return n
	}
	if c.a.settings.Load().Retries.Daemons == 1 {
		return 1
	}
	return 0
}

// joinPeriod is how long after its start a daemon updates its count of daemons from the
// generation of the store's group. The daemons of a fleet start together, so the generation
// is then their number; later it grows with each restart and exceeds their number.
const joinPeriod = 10 * time.Second

// noteGeneration records the generation of the store's group, which grows by one with each
// daemon that joins. Without a relay address, the generation is the only estimate of the
// number of daemons.
func (c *daemonCounter) noteGeneration(generation uint64) {
	n := int64(generation)
	if n > c.joinedDaemons.Load() && (time.Since(c.startedAt) <= joinPeriod || c.joinedDaemons.Load() == 0) {
		c.joinedDaemons.Store(n)
	}
}

// report logs this daemon's share of the retry budget and sets the metrics of the share.
func (c *daemonCounter) report(now time.Time) {
	s := c.a.budgets.Share()
	c.a.metrics.SetRetryShare(s.Daemons, s.Retries)
	c.a.logger.WithFields(log.Fields{
		"daemons": s.Daemons, "part": s.Retries, "settled": s.Settled, "counted_ms": now.Sub(s.FirstCounted).Milliseconds(),
	}).Info("retry budget")
}

// retryBudgetOf returns the retry budget of a model or plain service. With a relay address,
// the budget borrows from other daemons when it is empty.
func (a *Attached) retryBudgetOf(target string) request.RetryBudget {
	own := a.budgets.Of(target)
	if a.retryBorrower == nil {
		return own
	}
	return borrowingBudget{own, target, a.retryBorrower}
}

// lendRetries takes n retries from this daemon's budget for another daemon. It returns
// false if the target is unknown or the budget has fewer.
func (a *Attached) lendRetries(target string, n int) bool {
	v := a.watcher.View()
	if v == nil || v.Config == nil {
		return false
	}
	if _, ok := v.Config.Services[target]; !ok {
		return false
	}
	return a.budgets.Of(target).Allow(time.Now(), n)
}

// borrowingBudget is a retry budget that borrows from other daemons when it has too little.
type borrowingBudget struct {
	*retry.Budget
	target   string
	borrower *relay.Borrower
}

// Allow implements request.RetryBudget.
func (b borrowingBudget) Allow(now time.Time, n int) bool {
	return b.Budget.Allow(now, n) || b.borrower.Borrow(context.Background(), b.target, n)
}
