package request

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/policy"
)

// perModel holds one value of type T for each model, which is its zero value at first. It is safe
// for concurrent use.
type perModel[T any] struct {
	mu      sync.Mutex
	byModel map[string]*T
}

// forModel returns the value of a model.
func (p *perModel[T]) forModel(model string) *T {
	p.mu.Lock()
	defer p.mu.Unlock()
	got := p.byModel[model]
	if got == nil {
		if p.byModel == nil {
			p.byModel = map[string]*T{}
		}
		got = new(T)
		p.byModel[model] = got
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

// maxReplyDelay bounds how much longer than usual a reply to a reservation is awaited. Engines that
// are lost cost each request that asks them this much more.
const maxReplyDelay = 350 * time.Millisecond

// RecordReservationReply records how long an engine took to reply to a reservation, also to one
// that was given up before.
func (r *Runner) RecordReservationReply(now time.Time, took time.Duration) {
	r.reservationReplies.Add(now, took)
}

// replyDelay returns how much longer than Limits.Reserve a reply to a reservation is awaited.
//
// Without it, an instance that is short of processor time gives reservations up that sound engines
// have answered, ejects these engines, and refuses its callers when none is left.
func (r *Runner) replyDelay(now time.Time) time.Duration {
	return min(max(r.reservationReplies.Timeout(now)-r.o.Limits.Reserve, 0), maxReplyDelay)
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
