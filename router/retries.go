package router

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/settings"
)

func retryBounds(r settings.Retries) retry.Bounds {
	return retry.Bounds{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, Daemons: r.Daemons}
}

// setBudgets takes the bounds of the settings.
func (a *Attached) setBudgets() { a.budgets.Set(time.Now(), retryBounds(a.settings.Load().Retries)) }

// countTime is how long after its start a daemon counts the others: all start
// together, and later ones are few.
const countTime = 10 * time.Second

// countDaemons takes the group's generation, which grows with each daemon that joins
// and so is at least their number soon after the start. The shared slack of retries
// is divided by it; too high a count only makes this daemon's part smaller.
//
// What goes wrong with a fixed number: ten times as many daemons, each with the part
// of a tenth, send ten times the retries that upstreams are to be spared.
func (a *Attached) countDaemons(generation uint64) {
	if time.Since(a.started) <= countTime || !a.budgets.Known() {
		a.noteDaemons(int(generation))
	}
}

// noteDaemons takes a number of daemons, of which the largest counts.
func (a *Attached) noteDaemons(n int) {
	now := time.Now()
	if !a.budgets.Counted(now, n) {
		return
	}
	s := a.budgets.Share()
	a.metrics.RetryShare(int(s.Daemons), s.Part)
	a.logger.WithFields(log.Fields{
		"daemons": s.Daemons, "part": s.Part, "counted_ms": now.Sub(s.Since).Milliseconds(),
	}).Info("retry budget")
}

// census follows how many daemons the roster knows. In a large fleet few join the group.
// It is a supervise.Service.
type census struct{ a *Attached }

// Name implements supervise.Service.
func (c *census) Name() string { return "census" }

// Run implements supervise.Service.
func (c *census) Run(ctx context.Context) error {
	const every = 500 * time.Millisecond
	for clock.Sleep(ctx, every) {
		c.a.noteDaemons(c.a.roster.Daemons(time.Now()))
	}
	return nil
}
