package estimate

import (
	"sync"
	"time"
)

// AnswerLengths estimates the length of answers from those already finished. It records
// the ratio of each answer's length to its expected length: the caller's own estimate
// or, without one, its limit on the number of tokens. The zero value has no samples. It
// is safe for concurrent use.
//
// It is meant for answers of up to thousands of tokens. The median of the callers'
// estimates is assumed to be right, while a single one may be too high or too low by a
// factor of two.
type AnswerLengths struct {
	mu     sync.Mutex
	ratios distribution
}

// Add records the actual and the expected length of a complete answer, in tokens.
func (a *AnswerLengths) Add(now time.Time, tokens, expected int) {
	if tokens <= 0 || expected <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratios.add(now, float64(tokens)/float64(expected))
}

// Samples returns the number of answers seen, and the time of the last one.
func (a *AnswerLengths) Samples() (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ratios.samples, a.ratios.at
}

// Quantile returns the length, in tokens, that a share q (0 to 1) of the answers with
// the given expected length does not exceed. It returns false while there are too few
// samples.
func (a *AnswerLengths) Quantile(q float64, expected int) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ratios.samples < minDistributionSamples || expected <= 0 {
		return 0, false
	}
	return max(1, int(a.ratios.quantile(q)*float64(expected))), true
}

// Mean returns the mean length, in tokens, of answers with the given expected length.
// It returns false while there are too few samples.
func (a *AnswerLengths) Mean(expected int) (float64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ratios.samples < minDistributionSamples || expected <= 0 {
		return 0, false
	}
	return a.ratios.mean() * float64(expected), true
}
