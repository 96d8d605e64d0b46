package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
)

// engines are the true figures of a drawn deployment, none of which a daemon is told.
type engines struct {
	step     time.Duration
	perToken time.Duration // of prefill
	memory   int
	slots    int
	// hint is how many times too long callers take their answers to be.
	hint float64
}

// between draws from low to high, evenly over the logarithm.
func between(rng *rand.Rand, low, high float64) float64 {
	return low * math.Exp(rng.Float64()*math.Log(high/low))
}

func drawEngines(rng *rand.Rand) engines {
	return engines{
		step:     time.Duration(between(rng, 0.2, 60) * float64(time.Millisecond)),
		perToken: time.Duration(float64(time.Millisecond) / between(rng, 5, 100)),
		memory:   int(between(rng, 10_000, 500_000)),
		slots:    int(between(rng, 4, 128.9)),
		hint:     between(rng, 0.1, 10),
	}
}

// request is one drawn request with its true answer.
type drawnRequest struct{ prompt, answer int }

// fits draws requests that idle engines serve well within their target and deadline.
func (e engines) fits(rng *rand.Rand, first, deadline time.Duration) drawnRequest {
	const part = 0.5 // of each bound
	prompt := min(float64(e.memory)/4, part*float64(first-callOverhead-e.step)/float64(e.perToken))
	answer := min(float64(e.memory)/4, part*float64(deadline-first)/float64(e.step))
	return drawnRequest{prompt: max(1, int(prompt*rng.Float64())), answer: max(1, int(answer*rng.Float64()))}
}

// checkLearned checks what sixty requests have taught, within a twentieth for times and,
// for answers, within the width of two bins of their distribution.
func checkLearned(t *testing.T, seed uint64, e engines, step, prefill *estimate.Mean, answers *estimate.Answers) {
	t.Helper()
	near := func(name string, got, want, within float64) {
		if got < want/within || got > want*within {
			t.Errorf("seed %d: learned %s %g, true %g", seed, name, got, want)
		}
	}
	s, _ := step.Value(t0)
	p, _ := prefill.Value(t0)
	near("step", s, float64(e.step), 1.05)
	near("prefill", p, float64(e.perToken), 1.05)
	const asked = 1 << 20
	mean, ok := answers.Mean(asked)
	if !ok {
		t.Errorf("seed %d: sixty answers teach nothing", seed)
	}
	near("answers", mean, asked/e.hint, math.Exp2(2.0/4))
}

// Symptom: engines are idle and every request of a class is refused, for good.
// Sequence: engines are twenty times as fast as any before, and answers ten times as
// long; the first request is refused as too late, and so is each after it.
// Cause: a figure that was assumed took part in the refusal, and what is refused teaches
// nothing.
func TestIdleEnginesOfAnyKindAreNeverRefused(t *testing.T) {
	const first, deadline = 2 * time.Second, 14 * time.Second
	for seed := range uint64(500) {
		rng := seeded(seed)
		e := drawEngines(rng)
		f := newFleet(4)
		f.bundle.Classes[bundle.Draft] = bundle.ClassTarget{FirstTokenMillis: first.Milliseconds()}
		f.each("d", func(r *Replica) {
			*r = Replica{Name: r.Name, DataCentre: r.DataCentre, Pool: r.Pool, Slots: e.slots, MemoryTokens: e.memory, Weight: 1}
		})
		f.each("p", func(r *Replica) {
			*r = Replica{Name: r.Name, DataCentre: r.DataCentre, Pool: r.Pool, Slots: e.slots, Weight: 1}
		})
		var step, prefill estimate.Mean
		var answers estimate.Answers
		for n := range 60 {
			r := e.fits(rng, first, deadline)
			expected := max(1, int(float64(r.answer)*e.hint))
			q := query(bundle.Draft)
			q.PromptTokens, q.MaxTokens, q.HoldTokens = r.prompt, 10*expected, r.prompt
			q.AnswerTokens, q.Deadline, q.MayWait = 0, q.Now.Add(deadline), true
			if mean, ok := answers.Mean(expected); ok {
				q.AnswerTokens = int(mean)
			}
			if v, ok := step.Value(t0); ok {
				f.each("d", func(r *Replica) { r.Step, r.StepSeen = time.Duration(v), true })
			}
			if v, ok := prefill.Value(t0); ok {
				f.each("p", func(r *Replica) { r.PrefillPerToken = time.Duration(v) })
			}
			if _, err := f.plan(NameReserve, q, seed); err != nil {
				t.Fatalf("seed %d, request %d: %+v on %+v: %v", seed, n, r, e, err)
			}
			step.Add(t0, float64(e.step))
			prefill.Add(t0, float64(e.perToken))
			answers.Finished(t0, r.answer, expected)
		}
		checkLearned(t, seed, e, &step, &prefill, &answers)
	}
}
