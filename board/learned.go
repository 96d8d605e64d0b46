package board

import (
	"math"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
)

// learned is what the engines of one model have shown together. An engine of which
// little is known is taken to be like the others: one that is new, was restarted, or
// has just changed its role would otherwise be judged by nothing.
type learned struct {
	// step is the time between tokens, in nanoseconds, and prefill that to compute one
	// prompt token.
	step    estimate.Mean
	prefill estimate.Speed
	// toldStep and toldPrefill are the values with which the engines' replicas were last
	// built; 0 for one that was not known.
	toldStep, toldPrefill float64
}

// tellChange is the relative change of a learned value from which on all engines of the
// model are built anew. Each answer moves the mean a little; at 12,000 engines and 26
// answers a second, a daemon would do little else.
const tellChange = 0.05

// moved says whether a value is far from the one last told, or has become known or
// unknown, and notes it then.
func moved(told *float64, value float64, known bool) bool {
	if !known {
		value = 0
	}
	if math.Abs(value-*told) <= tellChange**told {
		return false
	}
	*told = value
	return true
}

// news says whether the engines of the model should be built anew.
func (l *learned) news(now time.Time) bool {
	step, stepKnown := l.step.Value(now)
	prefill, prefillKnown := l.prefill.Value(now)
	one := moved(&l.toldStep, step, stepKnown)
	other := moved(&l.toldPrefill, float64(prefill), prefillKnown)
	return one || other
}

// learnedByPool returns what is known of each pool's model; pools of the same model
// share it. What was known of a model goes on.
func learnedByPool(b *bundle.Bundle, before map[string]*learned) map[string]*learned {
	out := map[string]*learned{}
	for _, m := range b.Models {
		l := before[m.DecodePool]
		if l == nil {
			l = &learned{}
		}
		out[m.DecodePool] = l
		if m.PrefillPool != "" {
			out[m.PrefillPool] = l
		}
	}
	return out
}

// Paced takes the mean time between the tokens of an answer that an upstream has
// streamed.
func (b *Board) Paced(now time.Time, upstream string, perToken time.Duration) {
	e := b.entries[upstream]
	if e == nil || perToken <= 0 {
		return
	}
	e.pace.Add(now, float64(perToken))
	b.touch(e, false)
	b.learnModel(now, e, func(l *learned) { l.step.Add(now, float64(perToken)) })
}

// Shown takes what another daemon has seen of a model's engines: the time between tokens
// of an answer, and that to read one token of a prompt; 0 where it saw none.
func (b *Board) Shown(now time.Time, model string, perToken, readPerToken time.Duration) {
	if b.version == nil {
		return
	}
	l := b.learned[b.version.Bundle.Models[model].DecodePool]
	if l == nil {
		return
	}
	if perToken > 0 {
		l.step.Add(now, float64(perToken))
	}
	l.prefill.Add(now, readPerToken)
	if l.news(now) {
		b.touchAll(l)
	}
}

// learnModel changes what is known of an engine's model, and marks all of its engines when
// that is news.
func (b *Board) learnModel(now time.Time, e *entry, change func(l *learned)) {
	if e.learned == nil {
		return
	}
	change(e.learned)
	if !e.learned.news(now) {
		return
	}
	b.touchAll(e.learned)
}

// touchAll marks the engines of which something is learned together.
func (b *Board) touchAll(l *learned) {
	for _, e := range b.entries {
		if e.learned == l {
			b.touch(e, false)
		}
	}
}

// nextLapse returns when something lapses that the entry's replica rests on. Without it
// an estimate that is too high would keep away for good all that could correct it.
func (e *entry) nextLapse(now time.Time) time.Time {
	out := future(e.forgets(), now)
	out = earlier(out, future(e.pace.Lapses(), now))
	if e.learned != nil {
		out = earlier(out, future(e.learned.step.Lapses(), now))
		out = earlier(out, future(e.learned.prefill.Lapses(), now))
	}
	return out
}

// future returns t, or zero when it has passed.
func future(t, now time.Time) time.Time {
	if due(t, now) {
		return time.Time{}
	}
	return t
}

// oddPace is how many times slower or faster than its model's engines together an engine
// must be for its own pace to count. Answers take a few tenths more or less with the
// others in their batch; told apart by that, engines that happened to be idle draw all
// work to them.
const oddPace = 1.5

// stepNow returns the time between tokens: what the engine itself told, else what its
// model's engines have shown, or the engine alone where it is unlike them. seen is false
// for the bundle's expectation, by which nothing may be refused.
func (e *entry) stepNow(now time.Time) (step time.Duration, seen bool) {
	if e.step > 0 {
		return e.step, true
	}
	own, ownSeen := e.pace.Value(now)
	shared, seen := 0.0, false
	if e.learned != nil {
		shared, seen = e.learned.step.Value(now)
	}
	switch {
	case ownSeen && (!seen || own > shared*oddPace || own*oddPace < shared):
		return time.Duration(own), true
	case seen:
		return time.Duration(shared), true
	}
	return time.Duration(e.pool.StepMillis * float64(time.Millisecond)), false
}

// prefillNow returns the time to compute one prompt token, by the engine's own calls or
// else its model's; 0 while neither is known.
func (e *entry) prefillNow(now time.Time) time.Duration {
	if e.prefillPerToken > 0 || e.learned == nil {
		return e.prefillPerToken
	}
	v, ok := e.learned.prefill.Value(now)
	if !ok {
		return 0
	}
	return v
}
