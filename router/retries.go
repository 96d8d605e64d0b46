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

func retryBounds(s *settings.Attached) retry.Bounds {
	r := s.Retries
	return retry.Bounds{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, Daemons: r.Daemons, First: s.Orders.Bootstrap}
}

// census tells the retry budgets that the process runs and how many daemons there are. It
// is a supervise.Service.
type census struct {
	a     *Attached
	began time.Time
	// joined is the largest generation of the store's group that counts.
	joined atomic.Int64
}

// Name implements supervise.Service.
func (c *census) Name() string { return "census" }

// Run implements supervise.Service.
func (c *census) Run(ctx context.Context) error {
	const countEvery = 3 // ticks
	n := 0
	for tick := 0; clock.Sleep(ctx, retry.TickEvery); tick++ {
		now := time.Now()
		if tick%countEvery == 0 {
			n = c.daemons(now)
		}
		if c.a.budgets.Counted(now, n) {
			c.tell(now)
		}
	}
	return nil
}

// daemons returns how many daemons there are, 0 while that is not known. A daemon that has
// heard of nobody may be cut off, unless the settings say that it may be the only one.
func (c *census) daemons(now time.Time) int {
	if c.a.roster == nil {
		return int(c.joined.Load())
	}
	if n := c.a.roster.Sharing(now); n > 0 {
		return n
	}
	if c.a.settings.Load().Retries.Daemons == 1 {
		return 1
	}
	return 0
}

// joinTime is how long after its start a daemon takes the group's generation for the number
// of daemons: all start together. Later it counts restarts too.
const joinTime = 10 * time.Second

// noteJoin takes the generation of the store's group, which grows with each daemon that
// joins. It counts where daemons do not hear of each other.
func (c *census) noteJoin(generation uint64) {
	n := int64(generation)
	if n > c.joined.Load() && (time.Since(c.began) <= joinTime || c.joined.Load() == 0) {
		c.joined.Store(n)
	}
}

// tell logs and shows what the budgets rest on.
func (c *census) tell(now time.Time) {
	s := c.a.budgets.Share()
	c.a.metrics.RetryShare(s.Daemons, s.Part)
	c.a.logger.WithFields(log.Fields{
		"daemons": s.Daemons, "part": s.Part, "settled": s.Settled, "counted_ms": now.Sub(s.Counted).Milliseconds(),
	}).Info("retry budget")
}

// retryBudget returns the budget of a model or plain service.
func (a *Attached) retryBudget(target string) request.RetryBudget {
	own := a.budgets.Of(target)
	if a.borrower == nil {
		return own
	}
	return sharedBudget{own, target, a.borrower}
}

// lend gives up retries of this daemon for another one.
func (a *Attached) lend(target string, n int) bool {
	v := a.watcher.View()
	if v == nil || v.Config == nil {
		return false
	}
	if _, ok := v.Config.Services[target]; !ok {
		return false
	}
	return a.budgets.Of(target).Allow(time.Now(), n)
}

// sharedBudget asks other daemons where the own budget has nothing left.
type sharedBudget struct {
	*retry.Budget
	target   string
	borrower *relay.Borrower
}

// Allow implements request.RetryBudget.
func (b sharedBudget) Allow(now time.Time, n int) bool {
	return b.Budget.Allow(now, n) || b.borrower.Borrow(context.Background(), b.target, n)
}
