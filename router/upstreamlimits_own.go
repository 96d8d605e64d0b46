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

// equalShare accrues a Router's share of the rate limits that plain services announce. The
// share is 1/n, where n is the largest number of daemons that this daemon has ever seen live
// at the same time. equalShare is a supervise.Service.
//
// The share does not grow when daemons die: in a network partition each side considers the
// other one dead, and both together would use up to twice the limit.
type equalShare struct {
	r      *Router
	ledger *quota.Ledger

	mu      sync.Mutex
	maxLive int // largest number of daemons known to be live so far
}

// Name implements supervise.Service.
func (s *equalShare) Name() string { return "upstream shares" }

// Run implements supervise.Service.
func (s *equalShare) Run(ctx context.Context) error {
	for clock.Sleep(ctx, quota.TickInterval) {
		now := time.Now()
		s.ledger.Tick(now, s.share(now), true)
	}
	return nil
}

// share returns the fraction of each limit that this daemon may use. It is 0 while the daemon
// should have peers but has not heard of any.
func (s *equalShare) share(time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxLive = max(s.maxLive, len(s.r.peers.View().Live()))
	if s.maxLive <= 1 && s.r.hasPeers() {
		return 0
	}
	return 1 / float64(max(1, s.maxLive))
}

// hasPeers reports whether the settings or the instance list contain other daemons.
func (r *Router) hasPeers() bool {
	return slices.ContainsFunc(r.instances.peerSeeds(), func(address string) bool { return address != r.peersAddress })
}

// provisionLimits creates the subsystems that enforce the rate limits of upstreams.
func (r *Router) provisionLimits(Options) error {
	ledger := quota.NewLedger(time.Now(), false)
	r.upstreamShare = &equalShare{r: r, ledger: ledger}
	r.upstreamLimits = newUpstreamLimits(upstreamLimitOptions{
		Ledger: ledger, Borrower: newUnitBorrower(ledger), Lookup: r.registeredUpstream, Share: r.upstreamShare.share,
		Metrics: r.metrics.Instruments, Logger: r.logger,
	})
	return nil
}

// registeredUpstream returns an upstream and its pool according to the bundle in force.
func (r *Router) registeredUpstream(name string) (u ratelimit.Upstream, pool string) {
	u.Name = name
	if v := r.watcher.Current(); v != nil {
		pool = v.Bundle.Upstreams[name].Pool
	}
	return u, pool
}
