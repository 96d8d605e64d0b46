package request

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream"
)

// Symptom: a caller is told "not run" of a request that ran, repeats it, and
// two nominations are filed.
// Sequence: one call at each step with each delivery.
// Cause: the run state read from the wrong step or delivery.
func TestLattice(t *testing.T) {
	const n, u, r = errkind.NotRun, errkind.Unknown, errkind.Ran
	for _, tc := range []struct {
		step                            Step
		inFlight                        errkind.Run
		notSent, refused, maybe, answer errkind.Run
	}{
		{StepReserve, n, n, n, n, n}, // ids and a size: nothing to run
		{StepPrefill, u, n, n, u, u},
		{StepDecode, u, n, n, u, u}, // ran comes with the first token
		{StepResume, n, n, n, n, n}, // reads what runs
		{StepCall, u, n, n, u, r},
	} {
		for d, want := range map[upstream.Delivery]errkind.Run{
			upstream.NotSent: tc.notSent, upstream.Refused: tc.refused,
			upstream.Maybe: tc.maybe, upstream.Done: tc.answer,
		} {
			var s runState
			s.begin(tc.step)
			if got := s.level().run(); got != tc.inFlight {
				t.Errorf("%s in flight: %s, want %s", tc.step, got, tc.inFlight)
			}
			s.settle(tc.step, d)
			if got := s.level().run(); got != want {
				t.Errorf("%s %s: %s, want %s", tc.step, d, got, want)
			}
		}
	}
}

// TestLatticeJoin checks that no later attempt lowers what an earlier settled.
func TestLatticeJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s runState
		floor := notRun
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			step := rapid.SampledFrom([]Step{StepReserve, StepPrefill, StepDecode, StepResume, StepCall}).Draw(t, "step")
			d := rapid.SampledFrom([]upstream.Delivery{upstream.Maybe, upstream.NotSent, upstream.Refused, upstream.Done}).Draw(t, "delivery")
			s.begin(step)
			if rapid.Bool().Draw(t, "settled") {
				s.settle(step, d)
				floor = floor.join(levelOf(step, d))
			} else { // its outcome never came: the next call must not hide it
				floor = floor.join(levelOf(step, upstream.Maybe))
			}
			if s.level() != floor {
				t.Fatalf("level %v, want %v", s.level(), floor)
			}
		}
	})
}
