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
	b := NewRetryBudgetWith(ratio, budgetBurst, budgetPerSecond)
	b.tokens = min(1, ratio*budgetBurst)
	return b
}

// NewRetryBudgetWith returns a budget that is full: burst retries, of which
// perSecond come back without any first attempt.
func NewRetryBudgetWith(ratio, burst, perSecond float64) *RetryBudget {
	b := &RetryBudget{burst: burst, drip: perSecond, tokens: burst}
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

func (b *RetryBudget) setBounds(ratio, burst, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst, b.drip = ratio, burst, perSecond
	b.tokens = min(b.tokens, burst)
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

// RetryBudgets keeps one budget for each target, a model or a plain service, so
// that the traffic of one pays for no retries of another. It is safe for
// concurrent use.
type RetryBudgets struct {
	ratio, slack float64
	window       time.Duration

	mu       sync.Mutex
	byTarget map[string]*RetryBudget
}

// NewRetryBudgets returns budgets that allow, in each window, ratio retries for
// each first attempt and slack retries besides. The slack is this daemon's part.
func NewRetryBudgets(ratio, slack float64, window time.Duration) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, slack: slack, window: window, byTarget: map[string]*RetryBudget{}}
}

// Set changes the bounds of all budgets; what they hold stays within the new ones.
func (b *RetryBudgets) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack, b.window = ratio, slack, window
	for _, budget := range b.byTarget {
		budget.setBounds(ratio, b.burst(), b.drip())
	}
}

// burst and drip are the two halves of the slack.
func (b *RetryBudgets) burst() float64 { return max(b.slack/2, 1) }
func (b *RetryBudgets) drip() float64  { return b.slack / 2 / b.window.Seconds() }

// Of returns the budget of a target. A window sees at most a full burst and what
// drips back in it, each of which is half of the slack.
func (b *RetryBudgets) Of(target string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byTarget[target]
	if budget == nil {
		budget = NewRetryBudgetWith(b.ratio, b.burst(), b.drip())
		b.byTarget[target] = budget
	}
	return budget
}
