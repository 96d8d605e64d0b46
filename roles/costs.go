// Package roles moves engines between prefill and decode so that both pools are equally
// busy. CostEstimator estimates the costs of completions and Planner computes orders, both without
// I/O. Lease determines whether this daemon may send orders, and Runner connects them to
// the network.
//
// Prompts cost prefill engines time and answers cost decode engines memory, in a mix that
// shifts within minutes, while the number of engines is fixed. If the engines are split in
// the ratio of the two costs, both pools reach their limit at the same load. This is the
// approach of Splitwise and of planners such as Dynamo's; here the ratio is estimated from
// live traffic instead of profiled.
package roles

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
)

// Sample is one finished completion.
type Sample struct {
	// Prompt and Answer are its numbers of prompt and answer tokens. DecodeTime is how long
	// it occupied its decode engine.
	Prompt, Answer int
	DecodeTime     time.Duration
}

const (
	// The costs of a completion that are assumed until enough samples are known. They are
	// typical of requests of class draft: a prompt of 3,000 tokens, prefilled in 90 ms, and an
	// answer of 700 tokens, decoded in 3.5 s. They determine the roles of the engines
	// before the first clients connect; no request is refused because of them.
	defaultPromptTokens = 3000
	defaultAnswerTokens = 700
	defaultDecodeTime   = 3500 * time.Millisecond
	defaultPrefillTime  = 90 * time.Millisecond
	// minCompletions and minPrefills are the numbers of completions and prefills needed
	// for an estimate of the costs, because a wrong order makes an engine unavailable for
	// seconds. One of ninety daemons, which sees one request in ninety, had an estimate
	// from twelve samples, all from one burst in which every prompt had waited in a queue.
	// It overestimated the cost of prefill by a factor of two and moved four decode engines
	// to prefill under load, so that 117 prompts were prefilled for decode engines that were
	// no longer available.
	minCompletions = 48
	minPrefills    = 48
)

// CostEstimator estimates how much of a prefill engine and of a decode engine one completion of a
// service takes. It is safe for concurrent use.
type CostEstimator struct {
	mu              sync.Mutex
	promptTokens    estimate.Mean
	answerTokens    estimate.Mean
	decodeSeconds   estimate.Mean
	prefillPerToken estimate.Speed // prefill time per prompt token
}

// NewCostEstimator returns an estimator without samples.
func NewCostEstimator() *CostEstimator { return &CostEstimator{} }

// AddCompletion adds a finished completion to the estimates.
func (w *CostEstimator) AddCompletion(now time.Time, s Sample) {
	if s.Prompt <= 0 || s.DecodeTime <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promptTokens.Add(now, float64(s.Prompt))
	w.answerTokens.Add(now, float64(s.Answer))
	w.decodeSeconds.Add(now, s.DecodeTime.Seconds())
}

// AddPrefill adds the time of a prefill of the given number of tokens that had no prompt
// ahead of it. A prefill may still have waited in a queue, or have found the prompt in the
// engine's cache. estimate.Speed uses a low quantile, so that neither distorts the
// estimate.
func (w *CostEstimator) AddPrefill(now time.Time, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prefillPerToken.Add(now, took/time.Duration(tokens))
}

// Capacity describes the capacity of one engine: its slots, and its KV cache in tokens. Zero
// means no limit.
type Capacity struct {
	Slots, MemoryTokens int
}

// PrefillShare returns the share of the engines, 0 to 1, that should prefill. A completion
// costs prefill the time to prefill its prompt. It costs decode the time that it occupies
// its engine, times the fraction of the engine that it takes (of the slots or the memory,
// whichever is larger). learned means that the costs are estimated from samples, not
// assumed.
func (w *CostEstimator) PrefillShare(now time.Time, e Capacity) (share float64, learned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	prompt, promptKnown := w.promptTokens.Value(now)
	perToken, prefillKnown := w.prefillPerToken.Value(now)
	completions, _ := w.promptTokens.Samples()
	prefills, _ := w.prefillPerToken.Samples()
	if !promptKnown || !prefillKnown || completions < minCompletions || prefills < minPrefills {
		return e.prefillShare(defaultPrefillTime.Seconds(), defaultDecodeTime.Seconds(), defaultPromptTokens, defaultAnswerTokens), false
	}
	answer, _ := w.answerTokens.Value(now)
	held, _ := w.decodeSeconds.Value(now)
	return e.prefillShare(prompt*perToken.Seconds(), held, prompt, answer), true
}

// prefillShare returns the share of the engines that should prefill if a completion with
// the given numbers of tokens takes prefillSeconds on a prefill engine and decodeSeconds on
// a decode engine. On average, a completion in decode holds its prompt and half its answer
// in memory.
func (e Capacity) prefillShare(prefillSeconds, decodeSeconds, promptTokens, answerTokens float64) float64 {
	decodeCost := decodeSeconds * e.loadFraction(promptTokens+answerTokens/2)
	prefillSeconds *= prefillHeadroom
	return prefillSeconds / (prefillSeconds + decodeCost)
}

// prefillHeadroom is the ratio of the prefill capacity to the mean load. A decode engine
// runs every completion that fits into its memory at once, whereas prompts queue one after
// the other and must meet a latency target of one second. On a day with bursts, 128
// engines served 5,736 streams: with a headroom of 1.0, 22 engines were prefilling and
// 1,298 streams missed the target; with 1.4, 29 engines were prefilling and 398 streams
// missed it. With 1.8 there were too few decode engines.
const prefillHeadroom = 1.3

// loadFraction returns the fraction of an engine's slots or of its memory, whichever is
// larger, that a completion takes which holds the given mean number of tokens in memory.
func (e Capacity) loadFraction(tokens float64) float64 {
	fraction := 0.0
	if e.Slots > 0 {
		fraction = 1 / float64(e.Slots)
	}
	if e.MemoryTokens > 0 {
		fraction = max(fraction, tokens/float64(e.MemoryTokens))
	}
	return fraction
}
