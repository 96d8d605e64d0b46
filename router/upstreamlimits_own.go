package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/ratelimit"
)

// ownShare is this daemon's part of the rate limits that plain services name, at the project's
// own interface: an equal one of all daemons that were ever known to live at once. It accrues
// it, and is a supervise.Service.
//
// What goes wrong if parts follow who lives: a daemon that is cut off takes the others for dead
// and the whole limit for its own, as each side of the cut does.
type ownShare struct {
	r      *Router
	ledger *quota.Ledger

	mu   sync.Mutex
	most int
}

// Name implements supervise.Service.
func (s *ownShare) Name() string { return "upstream shares" }

// Run implements supervise.Service.
func (s *ownShare) Run(ctx context.Context) error {
	for clock.Sleep(ctx, quota.TickEvery) {
		now := time.Now()
		s.ledger.Tick(now, s.part(now), true)
	}
	return nil
}

// part returns the part, 0 while a daemon that has peers has heard of none.
func (s *ownShare) part(time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = max(s.most, len(s.r.peers.View().Live()))
	if s.most <= 1 && s.r.hasPeers() {
		return 0
	}
	return 1 / float64(max(1, s.most))
}

// hasPeers says whether settings or instance list name other daemons.
func (r *Router) hasPeers() bool {
	return slices.ContainsFunc(r.instances.peerSeeds(), func(address string) bool { return address != r.peersAddress })
}

func (r *Router) provisionLimits(Options) error {
	ledger := quota.NewLedger(time.Now(), false)
	r.share = &ownShare{r: r, ledger: ledger}
	r.upstreamLimits = newUpstreamLimits(limitOptions{
		Ledger: ledger, Lending: newLending(ledger), Registered: r.registered, Part: r.share.part,
		Metrics: r.metrics.Instruments, Logger: r.logger,
	})
	return nil
}

// registered returns an upstream as the bundle in force names it, and its pool.
func (r *Router) registered(name string) (u ratelimit.Upstream, pool string) {
	u.Name = name
	if v := r.watcher.Current(); v != nil {
		pool = v.Bundle.Upstreams[name].Pool
	}
	return u, pool
}
