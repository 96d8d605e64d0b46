package request

import "testing"

// TestRetriesCoverArrivalsWhateverComesOfPrompts tries every sequence of four attempts and
// checks that the permits taken always cover the arrivals after the first one. It guards
// against uncounted prompts whose delivery is unknown, followed by a decode call without a
// prompt.
func TestRetriesCoverArrivalsWhateverComesOfPrompts(t *testing.T) {
	const attempts = 4
	var play func(a arrivals, left, prompts, runs int, read bool, history string)
	play = func(a arrivals, left, prompts, runs int, read bool, history string) {
		arrived := prompts + runs
		if read {
			arrived-- // the first prompt that an engine accepts is free
		}
		if a.permits < arrived-1 {
			t.Errorf("%d permits taken for %d arrivals:%s", a.permits, arrived, history)
		}
		if left == 0 {
			return
		}
		skip := a
		skip.permits += skip.permitsNeeded(false)
		skip.sent(StepDecode)
		play(skip, left-1, prompts, runs+1, read, history+" run")
		for _, outcome := range []string{"accepted", "rejected", "unknown"} {
			next, history := a, history+" prompt-"+outcome
			next.permits += next.permitsNeeded(true)
			next.sent(StepPrefill)
			switch outcome {
			case "accepted":
				next.accepted(StepPrefill)
				next.sent(StepDecode)
				play(next, left-1, prompts+1, runs+1, true, history+" run")
			case "rejected":
				next.rejected(StepPrefill)
				play(next, left-1, prompts+1, runs, read, history)
			case "unknown":
				next.uncertain(StepPrefill)
				play(next, left-1, prompts+1, runs, read, history)
			}
		}
	}
	play(arrivals{}, attempts, 0, 0, false, "")
}
