package estimate

import "time"

// Sample is what one completion, or one prefill alone, has shown. Daemons that each see
// few of them pass them on to each other. Fields that are 0 were not seen.
type Sample struct {
	Model string
	// PromptTokens, ExpectedTokens and AnswerTokens are the length of a prompt, the length
	// of its answer that was expected, and its true one.
	PromptTokens, ExpectedTokens, AnswerTokens int
	// Held is how long a decode engine worked on it.
	Held time.Duration
	// PerToken is the mean time between two tokens of the answer, and ReadPerToken the
	// time in which a prefill engine read one token of the prompt.
	PerToken, ReadPerToken time.Duration
	// ReadLost says that a prefill was given up at its bound.
	ReadLost bool
}
