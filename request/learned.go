package request

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/policy"
)

// answersByModel learns the lengths of each model's answers. It is safe for concurrent
// use.
type answersByModel struct {
	mu sync.Mutex
	by map[string]*estimate.Answers
}

func newAnswersByModel() *answersByModel {
	return &answersByModel{by: map[string]*estimate.Answers{}}
}

func (a *answersByModel) of(model string) *estimate.Answers {
	a.mu.Lock()
	defer a.mu.Unlock()
	got := a.by[model]
	if got == nil {
		got = &estimate.Answers{}
		a.by[model] = got
	}
	return got
}

// LearnAnswer takes an answer that another daemon has passed on, of which so many tokens
// were expected.
func (r *Runner) LearnAnswer(now time.Time, model string, tokens, expected int) {
	r.answers.of(model).Finished(now, tokens, expected)
}

// LearnPrefill takes a prefill that another daemon has passed on; lost says that it was
// given up at its bound.
func (r *Runner) LearnPrefill(now time.Time, model string, lost bool) {
	r.throttles.of(model).Ended(now, lost)
}

// throttlesByModel holds the throttle of each model's prefill engines. It is safe for
// concurrent use.
type throttlesByModel struct {
	mu sync.Mutex
	by map[string]*policy.Throttle
}

func newThrottlesByModel() *throttlesByModel {
	return &throttlesByModel{by: map[string]*policy.Throttle{}}
}

func (t *throttlesByModel) of(model string) *policy.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	got := t.by[model]
	if got == nil {
		got = &policy.Throttle{}
		t.by[model] = got
	}
	return got
}

// sizesByModel learns the mean request of each model from those that come, whether they
// are served or not: the means of those that are would leave out who is refused for his
// size. It is safe for concurrent use.
type sizesByModel struct {
	mu sync.Mutex
	by map[string]*sizes
}

type sizes struct{ prompt, likely estimate.Mean }

func newSizesByModel() *sizesByModel { return &sizesByModel{by: map[string]*sizes{}} }

// came takes a request whose prompt has, and whose answer is likely to have, so many
// tokens.
func (s *sizesByModel) came(now time.Time, model string, prompt, likely int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.by[model]
	if got == nil {
		got = &sizes{}
		s.by[model] = got
	}
	got.prompt.Add(now, float64(prompt))
	got.likely.Add(now, float64(likely))
}

// usual returns the mean request of a model.
func (s *sizesByModel) usual(now time.Time, model string) policy.Usual {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.by[model]
	if got == nil {
		return policy.Usual{}
	}
	prompt, known := got.prompt.Value(now)
	likely, _ := got.likely.Value(now)
	if !known {
		return policy.Usual{}
	}
	return policy.Usual{Prompt: prompt, Likely: likely}
}
