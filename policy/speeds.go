package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// Default engine speeds, used until they are learned, and the constants of the predictions.
// The requirements of the deployments give only orders of magnitude.
const (
	// DefaultPrefillPerToken is the default prefill time per prompt token. With it, 2,000 prompt
	// tokens take as long as 8 steps of DefaultStep, in which a full batch of 20 generates 160
	// tokens. By the requirements, a prefill costs as much as generating many tens of tokens. It
	// is low on purpose: if it were too high, admission would refuse every request that could
	// show the real speed.
	DefaultPrefillPerToken = 100 * time.Microsecond
	// DefaultStep is the default time between tokens of an engine with a single request.
	DefaultStep = 25 * time.Millisecond
	// stepGrowth is the relative increase of the time between tokens with each further request
	// in the batch, as a share of its value for an empty batch.
	stepGrowth = 0.03
	// PrefillResultLifetime bounds how long a prefill result may wait for the link. Engines
	// keep a result for less than a second.
	PrefillResultLifetime = 500 * time.Millisecond
	// callOverhead is the network time of the calls between daemon and engines before the first
	// token: four one-way trips of about a millisecond each in the target deployments.
	callOverhead = 4 * time.Millisecond
	// expectedAnswerShare is the expected length of an answer as a share of MaxTokens.
	expectedAnswerShare = 0.5
	// defaultAnswerTokens is the expected length of an answer when the request sets no limit: 4.1
	// million tokens a second over 9,700 requests a second, the load that the system is designed
	// for.
	defaultAnswerTokens = 423
	// runningPromptTokens is the assumed size of the prompt that an engine is prefilling. An
	// urgent request waits for this prompt, although its priority puts it ahead of the queue.
	// urgentQueueShare is the share of the queue that an urgent request waits for as well,
	// because some of the queued prompts are urgent too.
	runningPromptTokens = 2000
	urgentQueueShare    = 0.1
	// remotePenalty is the cost factor of a replica in another data centre.
	remotePenalty = 1.1
	// A team may have fairShareSlack times its fair share plus fairShareNoise times the square
	// root of the share in flight. The second term allows for random variation of about one
	// square root, which is large relative to the few requests that one daemon has in flight.
	fairShareSlack = 1.25
	fairShareNoise = 2
	// admissionMarginSpan is the largest deviation of the admission margin (see admissionMargin)
	// from 1.
	admissionMarginSpan = 0.2
)

// predictStep predicts the time between tokens of r with n requests in its batch, by scaling
// the step that it last reported with Active requests.
func predictStep(r *Replica, n int) time.Duration {
	empty := float64(DefaultStep)
	if r.Step > 0 {
		empty = float64(r.Step) / (1 + stepGrowth*float64(r.Active))
	}
	return time.Duration(empty * (1 + stepGrowth*float64(n)))
}

// promptTokensAhead returns how many of the prompt tokens waiting at an engine are prefilled
// before a request of the given class.
func promptTokensAhead(waiting int, class bundle.Class) int {
	if class != bundle.Urgent || waiting <= runningPromptTokens {
		return waiting
	}
	return runningPromptTokens + int(urgentQueueShare*float64(waiting-runningPromptTokens))
}

// prefillPerToken returns the learned prefill time per token, or the default.
func prefillPerToken(r *Replica) time.Duration {
	if r.PrefillPerToken > 0 {
		return r.PrefillPerToken
	}
	return DefaultPrefillPerToken
}

// transferTime returns the time to transfer the given bytes at the rate of the slower link.
func transferTime(from, to *Replica, bytes int64) time.Duration {
	rate := slowerRate(from.LinkBytesPerSecond, to.LinkBytesPerSecond)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// slowerRate returns the lower of two rates, where 0 means unlimited.
func slowerRate(a, b int64) int64 {
	if a <= 0 {
		return b
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}

// expectedAnswerTokens returns the expected length of the answer in tokens. While it has not
// been learned, this is a guess that only affects retry delays and refuses no request.
func (d *decision) expectedAnswerTokens() float64 {
	switch {
	case d.query.AnswerTokens > 0:
		return float64(d.query.AnswerTokens)
	case d.query.MaxTokens <= 0:
		return defaultAnswerTokens
	}
	return max(1, expectedAnswerShare*float64(d.query.MaxTokens))
}
