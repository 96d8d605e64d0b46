package router

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/ratelimit"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/upstream"
)

const (
	// prefetchWorkers is the number of goroutines that borrow units in advance, each one loan
	// at a time. maxQueuedPrefetches bounds the loans that wait for a free worker.
	prefetchWorkers     = 2
	maxQueuedPrefetches = 16
	// maxUpstreamBackoff bounds the backoff after a refused loan. The backoff would otherwise
	// last until a lender expects to have units again, which is too long when hundreds of
	// daemons compete for one request a second.
	maxUpstreamBackoff = time.Second
)

// upstreamLimits enforces the rate limits that upstreams announce in their answers, with the
// units (requests) that this daemon accrues and those that it borrows from other daemons. It
// implements request.UpstreamLimits, relay.Limits, upstream.RateLimitObserver and
// supervise.Service, and is safe for concurrent use.
type upstreamLimits struct {
	o        upstreamLimitOptions
	table    *ratelimit.Table
	limiter  *ratelimit.Limiter
	ledger   *quota.Ledger
	borrower *unitBorrower
	// prefetchQueue holds loans to be borrowed before a request needs them.
	prefetchQueue chan loanRequest
}

// upstreamLimitOptions holds the dependencies of upstreamLimits. All fields are required.
type upstreamLimitOptions struct {
	// Ledger accrues units of the limits, and Borrower adds borrowed units to it.
	Ledger   *quota.Ledger
	Borrower *unitBorrower
	// Lookup returns an upstream with its current Incarnation, which changes when the
	// upstream restarts, and its pool.
	Lookup func(name string) (u ratelimit.Upstream, pool string)
	// Share returns the fraction of each limit that this daemon may use.
	Share   func(now time.Time) float64
	Metrics *telemetry.Instruments
	Logger  log.Interface
}

// newUpstreamLimits returns an upstreamLimits that knows no limits yet.
func newUpstreamLimits(o upstreamLimitOptions) *upstreamLimits {
	table := ratelimit.NewTable()
	return &upstreamLimits{
		o: o, table: table, limiter: ratelimit.NewLimiter(table, o.Ledger), ledger: o.Ledger, borrower: o.Borrower,
		prefetchQueue: make(chan loanRequest, maxQueuedPrefetches),
	}
}

// newUpstreamLimits returns the upstream limits of an attached daemon.
func (a *Attached) newUpstreamLimits() *upstreamLimits {
	return newUpstreamLimits(upstreamLimitOptions{
		Ledger: a.teamLimits.ledger, Borrower: a.teamLimits.borrower, Lookup: a.registeredUpstream,
		Share: func(now time.Time) float64 {
			share, _ := a.teamLimits.share(now)
			return share
		},
		Metrics: a.metrics.Instruments, Logger: a.logger,
	})
}

// registeredUpstream returns an upstream and its pool according to the registrations in the
// store. An upstream that this daemon's view does not list is looked up too, because other
// daemons report its limit here and borrow units of it.
func (a *Attached) registeredUpstream(name string) (u ratelimit.Upstream, pool string) {
	u.Name = name
	v := a.watcher.View()
	if v == nil {
		return u, ""
	}
	if member, ok := v.Bundle.Bundle.Upstreams[name]; ok {
		u.Incarnation = member.Incarnation
		return u, member.Pool
	}
	if reg, ok := a.watcher.Registration(name); ok {
		u.Incarnation, pool = reg.Born, reg.Pool()
	}
	return u, pool
}

// Name implements supervise.Service.
func (l *upstreamLimits) Name() string { return "upstream limits" }

// Run implements supervise.Service. It runs the prefetch workers, and logs in each
// ratelimit.Window how many requests this daemon sent to each upstream with a limit.
//
// If an overloaded upstream gets too many requests, the log lines show which daemons did not
// know its limit, and which knew it and sent requests all the same.
func (l *upstreamLimits) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	for range prefetchWorkers {
		wg.Go(func() { l.runPrefetchWorker(ctx) })
	}
	for clock.Sleep(ctx, ratelimit.Window) {
		inForce := l.table.InForce(time.Now())
		l.o.Metrics.SetLimitedUpstreams(len(inForce))
		for _, h := range inForce {
			l.o.Logger.WithFields(log.Fields{"upstream": h.Upstream.Name, "limit": h.Limit, "sent_here": h.Sent}).Info("upstream rate limit in force")
		}
	}
	return nil
}

// runPrefetchWorker borrows the loans in prefetchQueue until ctx ends.
func (l *upstreamLimits) runPrefetchWorker(ctx context.Context) {
	for {
		select {
		case req := <-l.prefetchQueue:
			l.borrower.prefetch(ctx, req)
		case <-ctx.Done():
			return
		}
	}
}

// ObserveRateLimit records what the headers of an answer state about the rate limit of the
// upstream that sent it. It implements upstream.RateLimitObserver.
func (l *upstreamLimits) ObserveRateLimit(n upstream.RateLimitNotice) {
	if n.Invalid != "" {
		l.o.Logger.WithFields(log.Fields{"upstream": n.Upstream, "limit": truncate(n.Invalid)}).Warn("invalid rate limit from upstream: previous limit kept")
	}
	u, _ := l.o.Lookup(n.Upstream)
	switch {
	case n.HasLimit:
		l.applyReport(ratelimit.Observation{Upstream: u, HasLimit: true, Limit: n.Limit, At: n.Received})
	case n.Executed && n.Invalid == "":
		l.applyReport(ratelimit.Observation{Upstream: u, At: n.Sent})
	}
}

// truncate shortens text from another process for a log line.
func truncate(text string) string {
	const maxBytes = 40
	return text[:min(len(text), maxBytes)]
}

// applyReport records what an answer stated about the limit of its upstream, and logs a change
// of the limit. The answer was received by this daemon or reported by another one.
func (l *upstreamLimits) applyReport(report ratelimit.Observation) {
	now := time.Now()
	change, changed := l.table.Observe(now, report)
	if !changed {
		return
	}
	fields := l.o.Logger.WithFields(log.Fields{
		"upstream": change.Upstream.Name, "life": change.Upstream.Incarnation, "was": change.Old, "limit": change.New, "sent_here": change.Sent, "age_ms": now.Sub(report.At).Milliseconds(),
	})
	if change.New == ratelimit.NoLimit {
		fields.Info("upstream rate limit lifted")
		return
	}
	fields.Info("upstream rate limit changed")
}

// Changes returns the limits to send to other daemons: those that changed recently, or all. It
// implements relay.Limits.
func (l *upstreamLimits) Changes(all bool) []ratelimit.Record {
	return l.table.RecentChanges(time.Now(), all)
}

// Update applies limits that another daemon sent. It implements relay.Limits.
func (l *upstreamLimits) Update(list []ratelimit.Record) {
	for _, r := range list {
		if r.Valid() {
			l.applyReport(r.Observation(time.Now()))
		}
	}
}

// Exhausted returns the upstreams to which this daemon may not send a request now because it has
// no units of their limits left, and queues loans of such units. It implements
// request.UpstreamLimits.
func (l *upstreamLimits) Exhausted(now time.Time, s ratelimit.Request) (out []string) {
	demandRecorded := false
	for _, u := range l.table.Limited() {
		found, pool := l.o.Lookup(u.Name)
		if pool != s.Pool || found != u {
			continue
		}
		if !demandRecorded {
			l.limiter.RecordDemand(now, s)
			demandRecorded = true
		}
		if !l.limiter.Allows(now, u, s) {
			out = append(out, u.Name)
			l.queuePrefetch(now, u, s)
		}
	}
	if len(out) > 0 {
		l.o.Metrics.LimitDecisions(telemetry.LimitLeftOut, len(out))
	}
	return out
}

// queuePrefetch queues a loan of the units that the next request with the pool and rank of s
// needs for an upstream.
func (l *upstreamLimits) queuePrefetch(now time.Time, u ratelimit.Upstream, s ratelimit.Request) {
	req, ok := l.loanRequestFor(now, u, s)
	if !ok || l.borrower.backingOff(now, req) {
		return
	}
	select {
	case l.prefetchQueue <- req:
	default: // the queue is full; the next request tries again
	}
}

// loanRequestFor returns the loan that one request to an upstream needs. ok is false if the
// upstream has no limit.
func (l *upstreamLimits) loanRequestFor(now time.Time, u ratelimit.Upstream, s ratelimit.Request) (req loanRequest, ok bool) {
	lack, ok := l.limiter.LoanRequest(now, u, s)
	if !ok {
		return req, false
	}
	req = loanRequest{account: u.Account(), terms: lack.Terms, units: 1, reserve: lack.Reserve, prefetch: lack.Ahead, maxBackoff: maxUpstreamBackoff}
	req.call.Rank = s.Rank
	if r, ok := l.table.Record(now, u); ok {
		req.call.Limits = []ratelimit.Record{r}
	}
	return req, true
}

// Take spends one unit of this daemon on a request to an upstream; ok is false if the daemon has
// none left. refund is nil if the upstream has no limit. It implements request.UpstreamLimits.
func (l *upstreamLimits) Take(now time.Time, name string, s ratelimit.Request) (refund func(), ok bool) {
	if len(l.table.Limited()) == 0 {
		return nil, true
	}
	u, _ := l.o.Lookup(name)
	ticket, limited, ok := l.limiter.Acquire(now, u, s)
	if !limited || !ok {
		return nil, ok
	}
	l.o.Metrics.LimitDecisions(telemetry.LimitSent, 1)
	return l.refundFunc(ticket), true
}

// refundFunc returns a function that puts the units of t back. It is called if the request was
// not sent.
func (l *upstreamLimits) refundFunc(t quota.Ticket) func() {
	return func() { l.ledger.Refund(time.Now(), t) }
}

// Borrow is like Take, but borrows from other daemons if this one holds too little. It
// implements request.UpstreamLimits.
func (l *upstreamLimits) Borrow(ctx context.Context, name string, s ratelimit.Request) (refund func(), ok bool) {
	if refund, ok = l.Take(time.Now(), name, s); ok {
		return refund, true
	}
	u, _ := l.o.Lookup(name)
	req, limited := l.loanRequestFor(time.Now(), u, s)
	if !limited {
		return nil, true
	}
	ticket, _, ok := l.borrower.borrowAndSpend(ctx, req)
	if !ok {
		return nil, false
	}
	l.table.RecordSent(time.Now(), u)
	l.o.Metrics.LimitDecisions(telemetry.LimitBorrowed, 1)
	return l.refundFunc(ticket), true
}

// RetryAfter logs a request that is refused because of the limits of upstreams, and returns the
// time after which its caller may retry. It implements request.UpstreamLimits.
func (l *upstreamLimits) RetryAfter(now time.Time, request string, s ratelimit.Request, names []string) time.Duration {
	upstreams := make([]ratelimit.Upstream, 0, len(names))
	for _, name := range names {
		u, _ := l.o.Lookup(name)
		upstreams = append(upstreams, u)
	}
	share := l.o.Share(now)
	wait := l.limiter.RetryAfter(now, s, upstreams, share)
	l.o.Metrics.LimitDecisions(telemetry.LimitRefused, 1)
	l.o.Logger.WithFields(log.Fields{
		"request": request, "upstreams": names, "rank": s.Rank, "part": share, "retry_after_ms": wait.Milliseconds(),
	}).Info("upstream rate limits reached")
	return wait
}

// lend takes units of an upstream's limit from this daemon's account for a loan to another
// daemon.
func (l *upstreamLimits) lend(call relay.LoanRequest) quota.Loan {
	u := ratelimit.Upstream{Name: call.Upstream, Incarnation: call.Life}
	_, pool := l.o.Lookup(u.Name)
	return l.limiter.Lend(time.Now(), u, ratelimit.Request{Pool: pool, Rank: call.Rank}, call.Needs, call.Wants, call.PartialOK)
}

// lendUnits lends another daemon units of an upstream's limit or of a team's.
func (a *Attached) lendUnits(call relay.LoanRequest) quota.Loan {
	if call.Upstream != "" {
		return a.upstreamLimits.lend(call)
	}
	return a.teamLimits.lend(call)
}
