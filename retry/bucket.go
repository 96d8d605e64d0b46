// Package retry limits how many requests are retried, by one daemon and by all daemons that share
// a retry budget. It reads no clock and performs no I/O.
package retry

import (
	"sync"
	"time"
)

// Limits are the parameters of a Bucket. In any span of Window it allows at most MaxCredit + Slack
// retries, plus Ratio retries for each first attempt of that span.
type Limits struct {
	// Ratio is the credit, in retries, that each first attempt earns.
	Ratio float64
	// MaxCredit is the maximum credit that can be accumulated.
	MaxCredit float64
	// Slack is the number of retries per window that need no credit.
	Slack  float64
	Window time.Duration
}

// Bucket is a retry budget: it allows the retries for which first attempts have earned credit and,
// in each window, a fixed number (the slack) that needs no credit. So retries cannot multiply the load on upstreams that fail because of
// overload. It is safe for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	limits Limits
	credit float64
	// slackSpent counts the retries of the current window that were taken from the slack.
	slackSpent slidingWindow
}

// NewBucket returns a bucket without credit whose slack is unspent.
func NewBucket(l Limits) *Bucket { return &Bucket{limits: l, slackSpent: newSlidingWindow(l.Window)} }

// Set changes the limits. Credit above the new MaxCredit is lost. If the length of the window changes,
// the slack spent in the old window counts as spent now.
func (b *Bucket) Set(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		spent := b.slackSpent.sum(now)
		b.slackSpent = newSlidingWindow(l.Window)
		b.slackSpent.add(now, spent)
	}
	b.limits = l
	b.credit = min(b.credit, l.MaxCredit)
}

// OnFirstAttempt adds the credit for a first attempt.
func (b *Bucket) OnFirstAttempt(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.limits.MaxCredit, b.credit+b.limits.Ratio)
}

// roundingTolerance absorbs the rounding error of adding up fractions of a retry.
const roundingTolerance = 1e-9

// Allow takes n retries, from the credit first and then from the slack, and returns true. If fewer
// are left it takes none and returns false.
func (b *Bucket) Allow(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := float64(n)
	if b.remaining(now)+roundingTolerance < wanted {
		return false
	}
	fromCredit := min(b.credit, wanted)
	b.credit -= fromCredit
	if fromSlack := wanted - fromCredit; fromSlack > 0 {
		b.slackSpent.add(now, fromSlack)
	}
	return true
}

// Remaining returns the number of retries left.
func (b *Bucket) Remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now)
}

func (b *Bucket) remaining(now time.Time) float64 {
	return b.credit + max(0, b.limits.Slack-b.slackSpent.sum(now))
}

// Buckets holds a bucket per target, which is a model or a plain service, so that the traffic of one
// target earns no retries for another. It is safe for concurrent use.
type Buckets struct {
	mu       sync.Mutex
	limits   Limits
	byTarget map[string]*Bucket
}

// NewBuckets returns buckets that all have the given limits.
func NewBuckets(l Limits) *Buckets { return &Buckets{limits: l, byTarget: map[string]*Bucket{}} }

// Set changes the limits of all buckets.
func (b *Buckets) Set(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	for _, bucket := range b.byTarget {
		bucket.Set(now, l)
	}
}

// Of returns the bucket of a target, and creates it if needed.
func (b *Buckets) Of(target string) *Bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.byTarget[target]
	if bucket == nil {
		bucket = NewBucket(b.limits)
		b.byTarget[target] = bucket
	}
	return bucket
}
