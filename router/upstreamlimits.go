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
	// aheadWorkers borrow beforehand, one question at a time each, and mostAhead bounds the
	// questions that wait for them.
	aheadWorkers = 2
	mostAhead    = 16
	// mostLimitRest bounds for how long no loan is asked for after all daemons had too little,
	// which say when there will be more. Hundreds may ask for one request a second.
	mostLimitRest = time.Second
)

// upstreamLimits holds the rate limits that upstreams name, with what this daemon has accrued
// and what others lend. It implements request.UpstreamLimits, relay.Limits, upstream.Notices
// and supervise.Service, and is safe for concurrent use.
type upstreamLimits struct {
	o       limitOptions
	book    *ratelimit.Book
	gate    *ratelimit.Gate
	ledger  *quota.Ledger
	lending *lending
	// wanted are the loans that are to be had before a request needs them.
	wanted chan wish
}

// limitOptions wire upstreamLimits; all are required.
type limitOptions struct {
	// Ledger accrues the limits, and Lending borrows for it.
	Ledger  *quota.Ledger
	Lending *lending
	// Registered returns an upstream as it is known, and its pool.
	Registered func(name string) (u ratelimit.Upstream, pool string)
	// Part is this daemon's part of what all daemons may send.
	Part    func(now time.Time) float64
	Metrics *telemetry.Instruments
	Logger  log.Interface
}

func newUpstreamLimits(o limitOptions) *upstreamLimits {
	book := ratelimit.NewBook()
	return &upstreamLimits{
		o: o, book: book, gate: ratelimit.NewGate(book, o.Ledger), ledger: o.Ledger, lending: o.Lending,
		wanted: make(chan wish, mostAhead),
	}
}

// newUpstreamLimits returns the limits of a daemon on the users' platform.
func (a *Attached) newUpstreamLimits() *upstreamLimits {
	return newUpstreamLimits(limitOptions{
		Ledger: a.limits.ledger, Lending: a.limits.lending, Registered: a.registered,
		Part: func(now time.Time) float64 {
			part, _ := a.limits.part(now)
			return part
		},
		Metrics: a.metrics.Instruments, Logger: a.logger,
	})
}

// registered returns an upstream as it is registered, and its pool.
func (a *Attached) registered(name string) (u ratelimit.Upstream, pool string) {
	u.Name = name
	if v := a.watcher.View(); v != nil && v.Bundle != nil {
		member := v.Bundle.Bundle.Upstreams[name]
		u.Life, pool = member.Life, member.Pool
	}
	return u, pool
}

// Name implements supervise.Service.
func (l *upstreamLimits) Name() string { return "upstream limits" }

// Run implements supervise.Service. It borrows beforehand, and tells what is sent to upstreams
// with a limit.
//
// What goes wrong without the lines: an upstream in need gets too much, and nobody can tell
// which daemons did not know of its limit, and which knew and sent all the same.
func (l *upstreamLimits) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	for range aheadWorkers {
		wg.Go(func() { l.borrowAhead(ctx) })
	}
	for clock.Sleep(ctx, ratelimit.Window) {
		inForce := l.book.InForce(time.Now())
		l.o.Metrics.UpstreamLimits(len(inForce))
		for _, h := range inForce {
			l.o.Logger.WithFields(log.Fields{"upstream": h.Upstream.Name, "limit": h.Limit, "sent_here": h.Sent}).Info("upstream has a limit")
		}
	}
	return nil
}

func (l *upstreamLimits) borrowAhead(ctx context.Context) {
	for {
		select {
		case w := <-l.wanted:
			l.lending.ahead(ctx, w)
		case <-ctx.Done():
			return
		}
	}
}

// Noticed implements upstream.Notices.
func (l *upstreamLimits) Noticed(n upstream.Notice) {
	if n.Unreadable != "" {
		l.o.Logger.WithFields(log.Fields{"upstream": n.Upstream, "limit": shorten(n.Unreadable)}).Warn("limit of an upstream not readable: the one before stays")
	}
	u, _ := l.o.Registered(n.Upstream)
	switch {
	case n.Named:
		l.hear(ratelimit.Word{Upstream: u, Named: true, Limit: n.Limit, At: n.Came})
	case n.Ran && n.Unreadable == "":
		l.hear(ratelimit.Word{Upstream: u, At: n.Sent})
	}
}

// shorten bounds what another process wrote, for a log line.
func shorten(text string) string {
	const most = 40 // bytes
	return text[:min(len(text), most)]
}

// hear takes a word and logs what it changes.
func (l *upstreamLimits) hear(w ratelimit.Word) {
	now := time.Now()
	c, changed := l.book.Hear(now, w)
	if !changed {
		return
	}
	fields := l.o.Logger.WithFields(log.Fields{
		"upstream": c.Upstream.Name, "life": c.Upstream.Life, "was": c.Was, "limit": c.Is, "sent_here": c.Sent, "age_ms": now.Sub(w.At).Milliseconds(),
	})
	if c.Is == ratelimit.None {
		fields.Info("upstream names no limit any more")
		return
	}
	fields.Info("upstream names a limit")
}

// News implements relay.Limits.
func (l *upstreamLimits) News(all bool) []ratelimit.Record { return l.book.News(time.Now(), all) }

// Told implements relay.Limits.
func (l *upstreamLimits) Told(list []ratelimit.Record) {
	for _, r := range list {
		if r.Valid() {
			l.hear(r.Word(time.Now()))
		}
	}
}

// Spent implements request.UpstreamLimits.
func (l *upstreamLimits) Spent(now time.Time, s ratelimit.Seeker) (out []string) {
	asked := false
	for _, u := range l.book.Limited() {
		found, pool := l.o.Registered(u.Name)
		if pool != s.Pool || found != u {
			continue
		}
		if !asked {
			l.gate.Asked(now, s)
			asked = true
		}
		if !l.gate.May(now, u, s) {
			out = append(out, u.Name)
			l.want(now, u, s)
		}
	}
	if len(out) > 0 {
		l.o.Metrics.UpstreamLimit(telemetry.LimitLeftOut, len(out))
	}
	return out
}

// want has a loan borrowed for the next request.
func (l *upstreamLimits) want(now time.Time, u ratelimit.Upstream, s ratelimit.Seeker) {
	w, ok := l.wish(now, u, s)
	if !ok || l.lending.rests(now, w) {
		return
	}
	select {
	case l.wanted <- w:
	default: // the workers are behind; the next request asks again
	}
}

// wish returns what one request to an upstream needs; ok is false where that has no limit.
func (l *upstreamLimits) wish(now time.Time, u ratelimit.Upstream, s ratelimit.Seeker) (w wish, ok bool) {
	lack, ok := l.gate.Lack(now, u, s)
	if !ok {
		return w, false
	}
	w = wish{account: u.Account(), terms: lack.Terms, units: 1, reserve: lack.Reserve, ahead: lack.Ahead, mostRest: mostLimitRest}
	w.call.Rank = s.Rank
	if r, ok := l.book.Record(now, u); ok {
		w.call.Limits = []ratelimit.Record{r}
	}
	return w, true
}

// Take implements request.UpstreamLimits.
func (l *upstreamLimits) Take(now time.Time, name string, s ratelimit.Seeker) (giveBack func(), ok bool) {
	if len(l.book.Limited()) == 0 {
		return nil, true
	}
	u, _ := l.o.Registered(name)
	ticket, limited, ok := l.gate.Take(now, u, s)
	if !limited || !ok {
		return nil, ok
	}
	l.o.Metrics.UpstreamLimit(telemetry.LimitSent, 1)
	return l.giveBack(ticket), true
}

func (l *upstreamLimits) giveBack(t quota.Ticket) func() {
	return func() { l.ledger.Return(time.Now(), t) }
}

// Borrow implements request.UpstreamLimits.
func (l *upstreamLimits) Borrow(ctx context.Context, name string, s ratelimit.Seeker) (giveBack func(), ok bool) {
	if giveBack, ok = l.Take(time.Now(), name, s); ok {
		return giveBack, true
	}
	u, _ := l.o.Registered(name)
	w, limited := l.wish(time.Now(), u, s)
	if !limited {
		return nil, true
	}
	ticket, _, ok := l.lending.spend(ctx, w)
	if !ok {
		return nil, false
	}
	l.book.Sent(time.Now(), u)
	l.o.Metrics.UpstreamLimit(telemetry.LimitLent, 1)
	return l.giveBack(ticket), true
}

// Refuse implements request.UpstreamLimits.
func (l *upstreamLimits) Refuse(now time.Time, request string, s ratelimit.Seeker, names []string) time.Duration {
	upstreams := make([]ratelimit.Upstream, 0, len(names))
	for _, name := range names {
		u, _ := l.o.Registered(name)
		upstreams = append(upstreams, u)
	}
	part := l.o.Part(now)
	wait := l.gate.Wait(now, s, upstreams, part)
	l.o.Metrics.UpstreamLimit(telemetry.LimitRefused, 1)
	l.o.Logger.WithFields(log.Fields{
		"request": request, "upstreams": names, "rank": s.Rank, "part": part, "retry_after_ms": wait.Milliseconds(),
	}).Info("limits of upstreams reached")
	return wait
}

// lend gives up requests to an upstream that another daemon asks for.
func (l *upstreamLimits) lend(call relay.LoanCall) quota.Loan {
	u := ratelimit.Upstream{Name: call.Upstream, Life: call.Life}
	_, pool := l.o.Registered(u.Name)
	return l.gate.Lend(time.Now(), u, ratelimit.Seeker{Pool: pool, Rank: call.Rank}, call.Needs, call.Wants, call.Whatever)
}

// lendUnits gives up what another daemon asks for.
func (a *Attached) lendUnits(call relay.LoanCall) quota.Loan {
	if call.Upstream != "" {
		return a.upstreamLimits.lend(call)
	}
	return a.limits.lend(call)
}
