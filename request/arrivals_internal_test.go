package request

import "testing"

// TestPermitsCoverArrivalsForAllPromptOutcomes tries every sequence of four attempts and
// checks that the permits taken always cover the arrivals after the first one. It guards
// against not counting prompts whose delivery is unknown when a decode call without a prompt
// follows.
func TestPermitsCoverArrivalsForAllPromptOutcomes(t *testing.T) {
	const attempts = 4
	var try func(a arrivals, attemptsLeft, prompts, decodes int, promptAccepted bool, history string)
	try = func(a arrivals, attemptsLeft, prompts, decodes int, promptAccepted bool, history string) {
		arrived := prompts + decodes
		if promptAccepted {
			arrived-- // the first prompt that an engine accepts is free
		}
		if a.permitsTaken < arrived-1 {
			t.Errorf("%d permits taken for %d arrivals:%s", a.permitsTaken, arrived, history)
		}
		if attemptsLeft == 0 {
			return
		}
		withoutPrompt := a
		withoutPrompt.permitsTaken += withoutPrompt.permitsNeeded(false)
		withoutPrompt.sent(StepDecode)
		try(withoutPrompt, attemptsLeft-1, prompts, decodes+1, promptAccepted, history+" run")
		for _, outcome := range []string{"accepted", "rejected", "unknown"} {
			withPrompt, history := a, history+" prompt-"+outcome
			withPrompt.permitsTaken += withPrompt.permitsNeeded(true)
			withPrompt.sent(StepPrefill)
			switch outcome {
			case "accepted":
				withPrompt.accepted(StepPrefill)
				withPrompt.sent(StepDecode)
				try(withPrompt, attemptsLeft-1, prompts+1, decodes+1, true, history+" run")
			case "rejected":
				withPrompt.rejected(StepPrefill)
				try(withPrompt, attemptsLeft-1, prompts+1, decodes, promptAccepted, history)
			case "unknown":
				withPrompt.uncertain(StepPrefill)
				try(withPrompt, attemptsLeft-1, prompts+1, decodes, promptAccepted, history)
			}
		}
	}
	try(arrivals{}, attempts, 0, 0, false, "")
}
