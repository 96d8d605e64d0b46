package request

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream"
)

// TestRunStateAfterEachCall checks the run state after one call of each step with each
// delivery. It guards against reporting "not run" for a request that ran: its caller would then
// submit it a second time.
func TestRunStateAfterEachCall(t *testing.T) {
	const n, u, r = errkind.NotRun, errkind.Unknown, errkind.Ran
	for _, tc := range []struct {
		step                            Step
		inFlight                        errkind.RunState
		notSent, refused, maybe, answer errkind.RunState
	}{
		{StepReserve, n, n, n, n, n}, // carries only ids and a size
		{StepPrefill, u, n, n, u, u},
		{StepDecode, u, n, n, u, u}, // becomes ran with the first token
		{StepResume, n, n, n, n, n}, // only reads the output of a running attempt
		{StepCall, u, n, n, u, r},
	} {
		for d, want := range map[upstream.Delivery]errkind.RunState{
			upstream.NotSent: tc.notSent, upstream.Refused: tc.refused,
			upstream.Maybe: tc.maybe, upstream.Done: tc.answer,
		} {
			var s runState
			s.begin(tc.step)
			if got := s.level().asRunState(); got != tc.inFlight {
				t.Errorf("%s in flight: %s, want %s", tc.step, got, tc.inFlight)
			}
			s.settle(tc.step, d)
			if got := s.level().asRunState(); got != want {
				t.Errorf("%s %s: %s, want %s", tc.step, d, got, want)
			}
		}
	}
}

// TestRunStateNeverDecreases checks that a later call never lowers the run state that earlier
// calls established.
func TestRunStateNeverDecreases(t *testing.T) {
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
			} else { // an unknown outcome must not be hidden by the next call
				floor = floor.join(levelOf(step, upstream.Maybe))
			}
			if s.level() != floor {
				t.Fatalf("level %v, want %v", s.level(), floor)
			}
		}
	})
}
