package board

import (
	"math"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
)

// modelEstimates holds the estimates shared by all engines of one model. They are used
// for an engine that has too few samples of its own because it is new, has restarted or
// has just changed its role.
type modelEstimates struct {
	// step is the time between output tokens, in nanoseconds, and prefill the time to
	// compute one prompt token.
	step    estimate.Mean
	prefill estimate.Speed
	// builtStep and builtPrefill are the estimates with which the engines' replicas
	// were last rebuilt, in nanoseconds; 0 for an unknown one.
	builtStep, builtPrefill float64
}

// rebuildThreshold is the relative change of an estimate at which the replicas of all
// engines of the model are rebuilt. Every answer changes the mean a little; at 12,000
// engines and 26 answers a second, rebuilding for each would take most of a daemon's
// time.
const rebuildThreshold = 0.05

// significantChange reports whether value differs from built by more than
// rebuildThreshold, or has become known or unknown. If so, it stores value in built.
func significantChange(built *float64, value float64, known bool) bool {
	if !known {
		value = 0
	}
	if math.Abs(value-*built) <= rebuildThreshold**built {
		return false
	}
	*built = value
	return true
}

// outdated reports whether an estimate has changed so much that the replicas of the
// model must be rebuilt.
func (l *modelEstimates) outdated(now time.Time) bool {
	step, stepKnown := l.step.Value(now)
	prefill, prefillKnown := l.prefill.Value(now)
	one := significantChange(&l.builtStep, step, stepKnown)
	other := significantChange(&l.builtPrefill, float64(prefill), prefillKnown)
	return one || other
}

// estimatesByPool returns the estimates of each pool's model. Pools of the same model
// share them. Estimates of models that existed before are kept.
func estimatesByPool(b *bundle.Bundle, previous map[string]*modelEstimates) map[string]*modelEstimates {
	out := map[string]*modelEstimates{}
	for _, m := range b.Models {
		l := previous[m.DecodePool]
		if l == nil {
			l = &modelEstimates{}
		}
		out[m.DecodePool] = l
		if m.PrefillPool != "" {
			out[m.PrefillPool] = l
		}
	}
	return out
}

// RecordTokenInterval records the mean time between the output tokens of an answer that an upstream
// has streamed.
func (b *Board) RecordTokenInterval(now time.Time, upstream string, perToken time.Duration) {
	e := b.entries[upstream]
	if e == nil || perToken <= 0 {
		return
	}
	e.tokenInterval.Add(now, float64(perToken))
	b.markChanged(e, false)
	b.updateEstimates(now, e, func(l *modelEstimates) { l.step.Add(now, float64(perToken)) })
}

// AddRemoteSample records a sample that another daemon measured on an engine of a model: the mean
// time between output tokens, and the prefill time per prompt token. Either is 0 if it
// was not measured.
func (b *Board) AddRemoteSample(now time.Time, model string, perToken, prefillPerToken time.Duration) {
	if b.version == nil {
		return
	}
	l := b.estimates[b.version.Bundle.Models[model].DecodePool]
	if l == nil {
		return
	}
	if perToken > 0 {
		l.step.Add(now, float64(perToken))
	}
	l.prefill.Add(now, prefillPerToken)
	if l.outdated(now) {
		b.markModelChanged(l)
	}
}

// updateEstimates calls update with the estimates of the engine's model. If they have
// changed significantly, all engines of the model are marked as changed.
func (b *Board) updateEstimates(now time.Time, e *entry, update func(l *modelEstimates)) {
	if e.estimates == nil {
		return
	}
	update(e.estimates)
	if !e.estimates.outdated(now) {
		return
	}
	b.markModelChanged(e.estimates)
}

// markModelChanged marks all engines that share the estimates l as changed.
func (b *Board) markModelChanged(l *modelEstimates) {
	for _, e := range b.entries {
		if e.estimates == l {
			b.markChanged(e, false)
		}
	}
}

// nextExpiry returns the next time at which an estimate used in the entry's replica
// expires. The replica must be rebuilt then: an estimate that is too high would
// otherwise keep away the requests that could correct it.
func (e *entry) nextExpiry(now time.Time) time.Time {
	out := futureOrZero(e.prefillExpiry(), now)
	out = earlier(out, futureOrZero(e.tokenInterval.ExpiresAt(), now))
	if e.estimates != nil {
		out = earlier(out, futureOrZero(e.estimates.step.ExpiresAt(), now))
		out = earlier(out, futureOrZero(e.estimates.prefill.ExpiresAt(), now))
	}
	return out
}

// futureOrZero returns t, or zero if t has passed.
func futureOrZero(t, now time.Time) time.Time {
	if due(t, now) {
		return time.Time{}
	}
	return t
}

// outlierFactor is how many times slower or faster than the model's estimate an engine
// must be for its own estimate to be used. Smaller differences come from the number of
// other requests in the same batch; if they counted, engines that happened to be idle
// would attract all requests.
const outlierFactor = 1.5

// stepEstimate returns the time between output tokens. It uses the first of these that
// is known: the time that the engine reported; the engine's own estimate, if it is an
// outlier or the model has none; the model's estimate; the value configured for the
// pool. measured is false for the configured value, which must not be a reason to
// refuse a request.
func (e *entry) stepEstimate(now time.Time) (step time.Duration, measured bool) {
	if e.step > 0 {
		return e.step, true
	}
	own, ownMeasured := e.tokenInterval.Value(now)
	shared, measured := 0.0, false
	if e.estimates != nil {
		shared, measured = e.estimates.step.Value(now)
	}
	switch {
	case ownMeasured && (!measured || own > shared*outlierFactor || own*outlierFactor < shared):
		return time.Duration(own), true
	case measured:
		return time.Duration(shared), true
	}
	return time.Duration(e.pool.StepMillis * float64(time.Millisecond)), false
}

// prefillEstimate returns the time to compute one prompt token, estimated from the
// engine's own calls or else from those of all engines of its model; 0 if neither is
// known.
func (e *entry) prefillEstimate(now time.Time) time.Duration {
	if e.prefillPerToken > 0 || e.estimates == nil {
		return e.prefillPerToken
	}
	v, ok := e.estimates.prefill.Value(now)
	if !ok {
		return 0
	}
	return v
}
