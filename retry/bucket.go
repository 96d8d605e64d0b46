// Package retry bounds how often requests are sent again: by one daemon, and by all daemons
// that share an allowance. Nothing here reads a clock or sends anything.
package retry

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

// Bucket bounds retries to a share of first attempts, so that failing
// upstreams are not hit by a multiple of the load that made them fail. It reads
// no clock and is safe for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	burst  float64
	drip   float64
	ratio  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a bucket that allows ratio retries, 0 to 1, for each
// first attempt, and a few to begin with. A ratio of 0 allows none ever.
func NewBucket(ratio float64) *Bucket {
	b := &Bucket{burst: budgetBurst, drip: budgetPerSecond, tokens: min(1, ratio*budgetBurst)}
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio; call it when a new bundle is in force.
func (b *Bucket) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = max(0, ratio)
	if b.ratio == 0 {
		b.tokens = 0
	}
}

// OnFirstAttempt adds a first attempt's part to the budget.
func (b *Bucket) OnFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Allow takes n retries from the budget, or says that not so many are left.
func (b *Bucket) Allow(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// Held returns how many retries are left.
func (b *Bucket) Held(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens
}

func (b *Bucket) refill(now time.Time) {
	if b.ratio > 0 && !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.burst, b.tokens+b.drip*now.Sub(b.at).Seconds())
	}
	if now.After(b.at) {
		b.at = now
	}
}
