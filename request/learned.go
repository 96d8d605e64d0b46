package request

import (
	"sync"

	"github.com/corianderturn/corianderturn/estimate"
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
