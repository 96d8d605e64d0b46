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

// observer updates the board (the state of upstreams) from the results of calls. It
// implements request.Observer.
type observer struct {
	holder   *board.Holder
	inflight *board.Inflight
}

func (o observer) Report(now time.Time, upstream string, l engineapi.Load) {
	o.holder.Update(func(b *board.Board) { b.ApplyReport(now, upstream, l, 0) })
}

func (o observer) Prefilled(now time.Time, upstream string, p request.PrefillObservation) {
	o.holder.Update(func(b *board.Board) {
		b.RecordPrefill(now, upstream, board.PrefillResult{
			PrefillTokens: p.PromptTokens - p.CachedTokens,
			TokensAhead:   p.AheadTokens,
			PrefillTime:   p.Took,
			Prefix:        p.Prefix,
			CachedTokens:  p.CachedTokens,
		})
	})
	o.inflight.MarkPromptAccepted(upstream)
}

func (o observer) Failed(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.RecordFailure(now, upstream) })
}

func (o observer) Answered(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.RecordAnswered(now, upstream) })
}

// Unanswered records that an upstream did not answer in time. reached is true if its host
// refused the connection, which shows that the network path works.
func (o observer) Unanswered(now time.Time, upstream string, reached bool) {
	o.holder.Update(func(b *board.Board) { b.RecordUnanswered(now, upstream, reached) })
}

func (o observer) Succeeded(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.RecordSuccess(now, upstream) })
}

func (o observer) Finished(now time.Time, f request.FinishObservation) {
	if f.PerToken > 0 {
		o.holder.Update(func(b *board.Board) { b.RecordTokenInterval(now, f.Upstream, f.PerToken) })
	}
}

// PrefillTimedOut does nothing: only attached daemons use timed-out prefills in estimates.
func (o observer) PrefillTimedOut(time.Time, string) {}

// HandedOff records whether a decode engine accepted the result of a prefill engine.
func (o observer) HandedOff(now time.Time, prefill, decode string, taken bool) {
	o.holder.Update(func(b *board.Board) { b.RecordHandoff(now, prefill, decode, taken) })
}

// Full records that an upstream refused a reservation because it was full.
func (o observer) Full(_ time.Time, upstream string) { o.inflight.MarkFull(upstream) }

// PromptRefused records that a prefill engine refused a prompt.
func (o observer) PromptRefused(_ time.Time, upstream string) { o.inflight.MarkPromptRefused(upstream) }

func (o observer) Leaving(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.MarkLeaving(now, upstream, board.FromUpstream) })
}

// requestMetrics records the metrics of the request runner.
type requestMetrics struct{ instruments *telemetry.Instruments }

// Ended does nothing: the frontend counts ended requests, since it also sees those that
// are refused before they reach the runner.
func (m requestMetrics) Ended(bundle.Class, errkind.Kind, errkind.RunState, time.Duration) {}

func (m requestMetrics) FirstToken(class bundle.Class, wait time.Duration) {
	m.instruments.FirstToken(class, wait)
}

func (m requestMetrics) NextToken(class bundle.Class, wait time.Duration) {
	m.instruments.BetweenTokens(class, wait)
}

func (m requestMetrics) Retried(bundle.Class) { m.instruments.Retry() }

func (m requestMetrics) Permitted(allowed bool) { m.instruments.RetryPermit(allowed) }

func (m requestMetrics) Hedged(result, reason string) { m.instruments.Hedge(result, reason) }

func (m requestMetrics) WastedPrefill(tokens int) { m.instruments.PrefillWasted(tokens) }

func (m requestMetrics) CallsWaiting(n int) { m.instruments.SetCallsWaiting(n) }

func (m requestMetrics) CallRefusedEarly(kind errkind.Kind) { m.instruments.CallRefusedEarly(kind) }

func (m requestMetrics) CallPredicted(predicted, took time.Duration) {
	m.instruments.CallPredicted(predicted, took)
}

// Dropped does nothing: there is no metric of stream chunks that are dropped.
func (m requestMetrics) Dropped(request.Drops) {}

func (m requestMetrics) SendFailed(delivery, proof string) { m.instruments.SendFailed(delivery, proof) }

func (m requestMetrics) Decided(step string) { m.instruments.Step(step) }

func (m requestMetrics) Cancelled(_ int, _ time.Duration, acknowledged bool) {
	m.instruments.Cancel()
	if acknowledged {
		m.instruments.CancelAcked()
	}
}

// measuredPolicies returns a function that looks up a policy by name. The policies that it
// returns record their decisions in m.
func measuredPolicies(m *telemetry.Metrics) func(name string) (policy.Policy, bool) {
	return func(name string) (policy.Policy, bool) {
		p, ok := policy.ByName(name)
		if !ok {
			return nil, false
		}
		return m.Policy(p), true
	}
}

// gaugeReadings returns the values of the gauges that are computed when the metrics page
// is fetched.
func (r *Router) gaugeReadings() telemetry.ScrapeValues {
	traffic, swept := r.peers.Stats(), r.steward.Stats()
	out := telemetry.ScrapeValues{
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
	r.holder.Update(func(b *board.Board) { out.ViewAge = oldestLoad(b.Statuses(now)) })
	return out
}

// oldestLoad returns the age of the oldest load report among the upstreams that accept
// new requests and have reported a load.
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
