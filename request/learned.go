package request

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/policy"
)

// answersByModel holds estimates of the answer lengths of each model. It is safe for
// concurrent use.
type answersByModel struct {
	mu      sync.Mutex
	byModel map[string]*estimate.AnswerLengths
}

func newAnswersByModel() *answersByModel {
	return &answersByModel{byModel: map[string]*estimate.AnswerLengths{}}
}

func (a *answersByModel) forModel(model string) *estimate.AnswerLengths {
	a.mu.Lock()
	defer a.mu.Unlock()
	got := a.byModel[model]
	if got == nil {
		got = &estimate.AnswerLengths{}
		a.byModel[model] = got
	}
	return got
}

// RecordAnswer records an answer that another daemon reported. tokens is its length, and
// expected the length that its caller expected.
func (r *Runner) RecordAnswer(now time.Time, model string, tokens, expected int) {
	r.answers.forModel(model).Add(now, tokens, expected)
}

// RecordPrefill records the end of a prefill, of this daemon or of another one that reported
// it. lost is set if the prefill was given up at its timeout.
func (r *Runner) RecordPrefill(now time.Time, model string, lost bool) {
	r.throttles.forModel(model).RecordOutcome(now, lost)
}

// throttlesByModel holds the admission throttle for the prefill engines of each model. It is
// safe for concurrent use.
type throttlesByModel struct {
	mu      sync.Mutex
	byModel map[string]*policy.Throttle
}

func newThrottlesByModel() *throttlesByModel {
	return &throttlesByModel{byModel: map[string]*policy.Throttle{}}
}

func (t *throttlesByModel) forModel(model string) *policy.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	got := t.byModel[model]
	if got == nil {
		got = &policy.Throttle{}
		t.byModel[model] = got
	}
	return got
}

// sizesByModel holds the mean request size of each model. It averages all arriving requests,
// whether they are served or not: the mean of the served ones would leave out requests that
// are refused for their size. It is safe for concurrent use.
type sizesByModel struct {
	mu      sync.Mutex
	byModel map[string]*sizes
}

type sizes struct{ promptTokens, answerTokens estimate.Mean }

func newSizesByModel() *sizesByModel { return &sizesByModel{byModel: map[string]*sizes{}} }

// add records a request with the given numbers of prompt tokens and predicted answer tokens.
func (s *sizesByModel) add(now time.Time, model string, prompt, answer int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.byModel[model]
	if got == nil {
		got = &sizes{}
		s.byModel[model] = got
	}
	got.promptTokens.Add(now, float64(prompt))
	got.answerTokens.Add(now, float64(answer))
}

// mean returns the mean request size of a model; zero while nothing is known.
func (s *sizesByModel) mean(now time.Time, model string) policy.MeanRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.byModel[model]
	if got == nil {
		return policy.MeanRequest{}
	}
	prompt, known := got.promptTokens.Value(now)
	answer, _ := got.answerTokens.Value(now)
	if !known {
		return policy.MeanRequest{}
	}
	return policy.MeanRequest{PromptTokens: prompt, AnswerTokens: answer}
}
