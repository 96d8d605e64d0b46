package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
)

// engineSpec holds the actual speeds and sizes of random engines, which daemons are not told.
type engineSpec struct {
	step     time.Duration
	perToken time.Duration // prefill time
	memory   int
	slots    int
	// lengthBias is the ratio of the callers' estimate to the actual length of an answer.
	lengthBias float64
}

// logUniform returns a random number from low to high with a uniformly distributed logarithm.
func logUniform(rng *rand.Rand, low, high float64) float64 {
	return low * math.Exp(rng.Float64()*math.Log(high/low))
}

// randomEngineSpec returns random engines. The times between tokens vary by a factor of 300,
// prefill speeds by 20, memory by 50 and slots by 32.
func randomEngineSpec(rng *rand.Rand) engineSpec {
	return engineSpec{
		step:       time.Duration(logUniform(rng, 0.2, 60) * float64(time.Millisecond)),
		perToken:   time.Duration(float64(time.Millisecond) / logUniform(rng, 5, 100)),
		memory:     int(logUniform(rng, 10_000, 500_000)),
		slots:      int(logUniform(rng, 4, 128.9)),
		lengthBias: logUniform(rng, 0.1, 10),
	}
}

// randomRequest is a random request with the actual length of its answer, in tokens.
type randomRequest struct{ prompt, answer int }

// randomFeasibleRequest returns a random request that idle engines can serve in at most half of
// its time limits: the target for the first token and the deadline.
func (e engineSpec) randomFeasibleRequest(rng *rand.Rand, first, deadline time.Duration) randomRequest {
	const fraction = 0.5 // of each time limit
	prompt := min(float64(e.memory)/4, fraction*float64(first-callOverhead-e.step)/float64(e.perToken))
	answer := min(float64(e.memory)/4, fraction*float64(deadline-first)/float64(e.step))
	return randomRequest{prompt: max(1, int(prompt*rng.Float64())), answer: max(1, int(answer*rng.Float64()))}
}

// checkLearned checks the estimates learned from sixty requests: times within a factor of 1.05,
// the length of answers within two bins of its histogram.
func checkLearned(t *testing.T, seed uint64, e engineSpec, step, prefill *estimate.Mean, answers *estimate.AnswerLengths) {
	t.Helper()
	checkNear := func(name string, got, want, within float64) {
		if got < want/within || got > want*within {
			t.Errorf("seed %d: learned %s is %g, actual %g", seed, name, got, want)
		}
	}
	s, _ := step.Value(t0)
	p, _ := prefill.Value(t0)
	checkNear("step", s, float64(e.step), 1.05)
	checkNear("prefill", p, float64(e.perToken), 1.05)
	const callerEstimate = 1 << 20
	mean, ok := answers.Mean(callerEstimate)
	if !ok {
		t.Errorf("seed %d: no answer length learned from sixty answers", seed)
	}
	checkNear("answers", mean, callerEstimate/e.lengthBias, math.Exp2(2.0/4))
}

// TestIdleEnginesOfAnyKindAreNeverRefused guards against refusing every request of a class for
// good although engines are idle. If engines are twenty times as fast, or answers ten times as
// long, as a default assumes, a refusal based on the default is wrong, and since refused
// requests yield no measurements, the default is never corrected.
func TestIdleEnginesOfAnyKindAreNeverRefused(t *testing.T) {
	const first, deadline = 2 * time.Second, 14 * time.Second
	for seed := range uint64(500) {
		rng := seededRand(seed)
		e := randomEngineSpec(rng)
		f := newFleet(4)
		f.bundle.Classes[bundle.Draft] = bundle.ClassTarget{FirstTokenMillis: first.Milliseconds()}
		f.updatePool("d", func(r *Replica) {
			*r = Replica{Name: r.Name, DataCentre: r.DataCentre, Pool: r.Pool, Slots: e.slots, MemoryTokens: e.memory, Weight: 1}
		})
		f.updatePool("p", func(r *Replica) {
			*r = Replica{Name: r.Name, DataCentre: r.DataCentre, Pool: r.Pool, Slots: e.slots, Weight: 1}
		})
		var step, prefill estimate.Mean
		var answers estimate.AnswerLengths
		for n := range 60 {
			r := e.randomFeasibleRequest(rng, first, deadline)
			expected := max(1, int(float64(r.answer)*e.lengthBias))
			q := query(bundle.Draft)
			q.PromptTokens, q.MaxTokens, q.MemoryTokens = r.prompt, 10*expected, r.prompt
			q.AnswerTokens, q.Deadline, q.MayWait = 0, q.Now.Add(deadline), true
			if mean, ok := answers.Mean(expected); ok {
				q.AnswerTokens = int(mean)
			}
			if v, ok := step.Value(t0); ok {
				f.updatePool("d", func(r *Replica) { r.Step, r.StepMeasured = time.Duration(v), true })
			}
			if v, ok := prefill.Value(t0); ok {
				f.updatePool("p", func(r *Replica) { r.PrefillPerToken = time.Duration(v) })
			}
			if _, err := f.plan(NameReserve, q, seed); err != nil {
				t.Fatalf("seed %d, request %d: %+v on %+v: %v", seed, n, r, e, err)
			}
			step.Add(t0, float64(e.step))
			prefill.Add(t0, float64(e.perToken))
			answers.Add(t0, r.answer, expected)
		}
		checkLearned(t, seed, e, &step, &prefill, &answers)
	}
}
