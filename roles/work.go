// Package roles moves engines between prefill and decode so that both pools are
// equally busy. Work and Planner decide without I/O; Lease says whether this daemon
// is the one that may give orders; Runner wires them to the network.
//
// Load pattern: prompts and answers of which one kind costs prefill engines time and
// the other costs decode engines memory, in a mix that shifts over minutes, on a
// fixed number of engines. Splitting the engines in the ratio of the two costs lets
// both pools reach their limit at the same load (the argument of Splitwise and of
// planners such as Dynamo's; the ratio is learned here, not profiled).
package roles

import (
	"sync"
	"time"
)

// Sample is one finished completion.
type Sample struct {
	// Prompt and Answer are its tokens, and Held how long its decode engine worked on it.
	Prompt, Answer int
	Held           time.Duration
}

const (
	// sampleWeight is the part of a new sample in the learned means; the last fifty
	// or so count. Assumed.
	sampleWeight = 0.02
	// The completion that is assumed before samples teach better: the users' drafts
	// read about 3,000 tokens and make about 700 in 3.5 s.
	firstPrompt = 3000
	firstAnswer = 700
	firstHeld   = 3500 * time.Millisecond
	// outlier is how many times more or less than the mean one prefill may count.
	outlier = 1.5
	// firstPerToken is the prefill time of one token until it is learned. Assumed:
	// that of a 70B model on a pair of the users' accelerators.
	firstPerToken = 30 * time.Microsecond
)

// Work learns what one completion costs each pool. It is safe for concurrent use.
type Work struct {
	mu       sync.Mutex
	prompt   float64
	answer   float64
	held     float64 // seconds
	perToken float64 // seconds of prefill
}

// NewWork returns costs of the assumed completion.
func NewWork() *Work {
	return &Work{prompt: firstPrompt, answer: firstAnswer, held: firstHeld.Seconds(), perToken: firstPerToken.Seconds()}
}

// Finished takes a completion.
func (w *Work) Finished(s Sample) {
	if s.Prompt <= 0 || s.Held <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	mix(&w.prompt, float64(s.Prompt))
	mix(&w.answer, float64(s.Answer))
	mix(&w.held, s.Held.Seconds())
}

// Prefilled takes a prefill of so many tokens with none ahead of it.
func (w *Work) Prefilled(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// One that waited in a queue, or found the prompt kept from an earlier try, tells
	// little of the engine's speed. Bounded, a few of them move the mean by little;
	// taken as they came, one kept prompt made prefill look ten times cheaper, and the
	// planner took all but one engine from it.
	got := took.Seconds() / float64(tokens)
	mix(&w.perToken, min(max(got, w.perToken/outlier), w.perToken*outlier))
}

func mix(mean *float64, v float64) { *mean += sampleWeight * (v - *mean) }

// Engine is what bounds one engine.
type Engine struct {
	Slots, MemoryTokens int
}

// PrefillShare returns the share of engines, 0 to 1, that should prefill: one
// completion takes perToken x prompt of a prefill engine, and of a decode engine the
// time that it is held, times the larger part of its memory or its slots.
func (w *Work) PrefillShare(e Engine) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	prefill := w.prompt * w.perToken
	part := 0.0
	if e.Slots > 0 {
		part = 1 / float64(e.Slots)
	}
	if e.MemoryTokens > 0 {
		part = max(part, (w.prompt+w.answer/2)/float64(e.MemoryTokens))
	}
	decode := w.held * part
	if prefill+decode <= 0 {
		return 0
	}
	return prefill / (prefill + decode)
}
