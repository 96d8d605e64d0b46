package estimate

import (
	"sync"
	"time"
)

// Answers learns how long answers are, as the distribution of their length over what
// was expected of them when they were asked for: the caller's own estimate, or its
// bound where it stated none. The zero value knows nothing. It is safe for concurrent
// use.
//
// Load pattern: answers of thousands of tokens whose callers' estimates are right in
// the middle and off by a factor of two either way.
type Answers struct {
	mu     sync.Mutex
	ratios distribution
}

// Finished takes a whole answer of so many tokens of which expected were expected.
func (a *Answers) Finished(now time.Time, tokens, expected int) {
	if tokens <= 0 || expected <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratios.add(now, float64(tokens)/float64(expected))
}

// Samples returns how many answers were seen, and the time of the last one.
func (a *Answers) Samples() (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ratios.samples, a.ratios.at
}

// Quantile returns the length that a share q, 0 to 1, of the answers stays under of
// which as many tokens were expected; false while the distribution is not known.
func (a *Answers) Quantile(q float64, expected int) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ratios.samples < fewestDrawn || expected <= 0 {
		return 0, false
	}
	return max(1, int(a.ratios.quantile(q)*float64(expected))), true
}

// Mean returns the mean length of answers of which as many tokens were expected; false
// while the distribution is not known.
func (a *Answers) Mean(expected int) (float64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ratios.samples < fewestDrawn || expected <= 0 {
		return 0, false
	}
	return a.ratios.mean() * float64(expected), true
}
