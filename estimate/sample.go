package estimate

import "time"

// Sample holds the measurements of one completion, or of one prefill call alone.
// Daemons exchange samples because each of them sees only few. A field that was not
// measured is 0.
type Sample struct {
	Model string
	// PromptTokens is the length of the prompt, ExpectedTokens the expected length of
	// the answer and AnswerTokens its actual length.
	PromptTokens, ExpectedTokens, AnswerTokens int
	// Held is how long a decode engine was occupied by the request.
	Held time.Duration
	// PerToken is the mean time between two tokens of the answer, PrefillPerToken the
	// prefill time per prompt token.
	PerToken, PrefillPerToken time.Duration
	// PrefillTimedOut says that a prefill was abandoned because it exceeded its time limit.
	PrefillTimedOut bool
}
