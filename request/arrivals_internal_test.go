package request

import "testing"

// TestPermitsCoverArrivalsForAllPromptOutcomes tries every sequence of four attempts and
// checks that the permits taken always cover the arrivals after the first one. It guards
// against not counting prompts whose delivery is unknown when a decode call without a prompt
// follows.
func TestPermitsCoverArrivalsForAllPromptOutcomes(t *testing.T) {
	const attempts = 4
	var try func(a arrivals, left, prompts, decodes int, read bool, history string)
	try = func(a arrivals, left, prompts, decodes int, read bool, history string) {
		arrived := prompts + decodes
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
		try(skip, left-1, prompts, decodes+1, read, history+" run")
		for _, outcome := range []string{"accepted", "rejected", "unknown"} {
			next, history := a, history+" prompt-"+outcome
			next.permits += next.permitsNeeded(true)
			next.sent(StepPrefill)
			switch outcome {
			case "accepted":
				next.accepted(StepPrefill)
				next.sent(StepDecode)
				try(next, left-1, prompts+1, decodes+1, true, history+" run")
			case "rejected":
				next.rejected(StepPrefill)
				try(next, left-1, prompts+1, decodes, read, history)
			case "unknown":
				next.uncertain(StepPrefill)
				try(next, left-1, prompts+1, decodes, read, history)
			}
		}
	}
	try(arrivals{}, attempts, 0, 0, false, "")
}
