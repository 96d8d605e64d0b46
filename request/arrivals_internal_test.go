package request

import "testing"

// Guards against arrivals that no retry was taken for: prompts of which nobody knows whether an
// engine accepted them, before a run that has none.
func TestRetriesCoverArrivalsWhateverComesOfPrompts(t *testing.T) {
	const attempts = 4
	var play func(a arrivals, left, prompts, runs int, read bool, told string)
	play = func(a arrivals, left, prompts, runs int, read bool, told string) {
		arrived := prompts + runs
		if read {
			arrived-- // the first prompt that an engine accepts
		}
		if a.paid < arrived-1 {
			t.Errorf("%d retries were taken for %d arrivals:%s", a.paid, arrived, told)
		}
		if left == 0 {
			return
		}
		skip := a
		skip.paid += skip.needs(false)
		skip.sent(StepDecode)
		play(skip, left-1, prompts, runs+1, read, told+" run")
		for _, outcome := range []string{"accepted", "rejected", "unknown"} {
			next, told := a, told+" prompt-"+outcome
			next.paid += next.needs(true)
			next.sent(StepPrefill)
			switch outcome {
			case "accepted":
				next.accepted(StepPrefill)
				next.sent(StepDecode)
				play(next, left-1, prompts+1, runs+1, true, told+" run")
			case "rejected":
				next.rejected(StepPrefill)
				play(next, left-1, prompts+1, runs, read, told)
			case "unknown":
				next.unknown(StepPrefill)
				play(next, left-1, prompts+1, runs, read, told)
			}
		}
	}
	play(arrivals{}, attempts, 0, 0, false, "")
}
