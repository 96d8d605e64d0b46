package router

import (
	"time"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// observer passes what calls tell of upstreams to the board.
type observer struct {
	holder   *board.Holder
	inflight *board.Inflight
}

func (o observer) Report(now time.Time, upstream string, l engineapi.Load) {
	o.holder.Update(func(b *board.Board) { b.Report(now, upstream, l, 0) })
}

func (o observer) Prefilled(now time.Time, upstream string, p request.PrefillObservation) {
	o.holder.Update(func(b *board.Board) {
		b.Observed(now, upstream, board.Observation{
			PrefillTokens: p.PromptTokens - p.CachedTokens,
			AheadTokens:   p.AheadTokens,
			PrefillTime:   p.Took,
			Prefix:        p.Prefix,
			CachedTokens:  p.CachedTokens,
		})
	})
	o.inflight.MarkOpen(upstream)
}

func (o observer) Failed(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.Failed(now, upstream) })
}

func (o observer) Answered(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.Answered(now, upstream) })
}

func (o observer) Unanswered(now time.Time, upstream string, reached bool) {
	o.holder.Update(func(b *board.Board) { b.Unanswered(now, upstream, reached) })
}

func (o observer) Succeeded(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.Succeeded(now, upstream) })
}

func (o observer) Finished(now time.Time, f request.FinishObservation) {
	if f.PerToken > 0 {
		o.holder.Update(func(b *board.Board) { b.Paced(now, f.Upstream, f.PerToken) })
	}
}

func (o observer) PrefillLost(time.Time, string) {}

func (o observer) HandedOff(now time.Time, prefill, decode string, taken bool) {
	o.holder.Update(func(b *board.Board) { b.HandedOff(now, prefill, decode, taken) })
}

func (o observer) Full(_ time.Time, upstream string) { o.inflight.MarkFull(upstream) }

func (o observer) Shut(_ time.Time, upstream string) { o.inflight.MarkShut(upstream) }

func (o observer) Leaving(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.Leaving(now, upstream, board.FromUpstream) })
}

// requestMetrics counts what the request runner does.
type requestMetrics struct{ in *telemetry.Instruments }

// Ended is counted by the frontend, which sees refusals too.
func (m requestMetrics) Ended(bundle.Class, errkind.Kind, errkind.Run, time.Duration) {}

func (m requestMetrics) FirstToken(class bundle.Class, wait time.Duration) {
	m.in.FirstToken(class, wait)
}

func (m requestMetrics) NextToken(class bundle.Class, wait time.Duration) {
	m.in.BetweenTokens(class, wait)
}

func (m requestMetrics) Retried(bundle.Class) { m.in.Retry() }

func (m requestMetrics) Permitted(allowed bool) { m.in.RetryPermit(allowed) }

func (m requestMetrics) WastedPrefill(tokens int) { m.in.PrefillWasted(tokens) }

func (m requestMetrics) Dropped(request.Drops) {}

func (m requestMetrics) Decided(step string) { m.in.Step(step) }

func (m requestMetrics) Cancelled(_ int, _ time.Duration, acknowledged bool) {
	m.in.Cancel()
	if acknowledged {
		m.in.CancelAcked()
	}
}

// countedPolicies returns policies by name, whose decisions are counted.
func countedPolicies(m *telemetry.Metrics) func(name string) (policy.Policy, bool) {
	return func(name string) (policy.Policy, bool) {
		p, ok := policy.ByName(name)
		if !ok {
			return nil, false
		}
		return m.Policy(p), true
	}
}

// readings are taken when the metrics page is fetched.
func (r *Router) readings() telemetry.Readings {
	traffic, swept := r.peers.Stats(), r.steward.Stats()
	out := telemetry.Readings{
		PeersLive:    len(r.peers.View().Live()),
		InFlight:     r.frontend.InFlight(),
		BytesIn:      traffic.BytesIn,
		BytesOut:     traffic.BytesOut,
		FramesIn:     traffic.FramesIn,
		FramesOut:    traffic.FramesOut,
		Dropped:      traffic.Dropped,
		Sweeps:       swept.Sweeps,
		SweepCancels: swept.Cancels,
	}
	now := time.Now()
	r.holder.Update(func(b *board.Board) { out.ViewAge = oldestLoad(b.Upstreams(now)) })
	return out
}

// oldestLoad returns the age of the oldest load among the upstreams that take
// new work and of which a load is known.
func oldestLoad(statuses []board.Status) time.Duration {
	var oldest time.Duration
	for _, s := range statuses {
		if s.Leaving || s.Spec.State != bundle.StateServing || s.LoadSource == board.LoadUnknown {
			continue
		}
		oldest = max(oldest, s.LoadAge)
	}
	return oldest
}
