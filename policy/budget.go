package policy

import (
	"sync"
	"time"
)

const (
	// budgetBurst is the most retries that may be saved up. Assumed.
	budgetBurst = 10
	// budgetPerSecond lets a quiet daemon retry at all. Assumed.
	budgetPerSecond = 0.2
)

// RetryBudget bounds retries to a share of first attempts, so that failing
// upstreams are not hit by a multiple of the load that made them fail. It reads
// no clock and is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	burst  float64
	drip   float64
	ratio  float64
	tokens float64
	at     time.Time
}

// NewRetryBudget returns a budget that allows ratio retries, 0 to 1, for each
// first attempt, and a few to begin with. A ratio of 0 allows none ever.
func NewRetryBudget(ratio float64) *RetryBudget {
	b := &RetryBudget{burst: budgetBurst, drip: budgetPerSecond, tokens: min(1, ratio*budgetBurst)}
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio; call it when a new bundle is in force.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = max(0, ratio)
	if b.ratio == 0 {
		b.tokens = 0
	}
}

// OnFirstAttempt adds a first attempt's part to the budget.
func (b *RetryBudget) OnFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Allow takes one retry from the budget, or says that there is none left.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if b.ratio > 0 && !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.burst, b.tokens+b.drip*now.Sub(b.at).Seconds())
	}
	if now.After(b.at) {
		b.at = now
	}
}
