// Package retry bounds how often requests are sent again: by one daemon, and by all daemons
// that share an allowance. Nothing here reads a clock or sends anything.
package retry

import (
	"sync"
	"time"
)

// Limits bound the retries of one bucket in any span of Window: to Depth, Slack, and Ratio
// for each first attempt of that span.
type Limits struct {
	// Ratio is the retries that each first attempt earns.
	Ratio float64
	// Depth is the most that may be saved up of what was earned.
	Depth float64
	// Slack is the retries in a window that need not be earned.
	Slack  float64
	Window time.Duration
}

// Bucket bounds retries to what first attempts earn and a slack, so that failing upstreams
// are not hit by a multiple of the load that made them fail. It is safe for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	limits Limits
	earned float64
	// spent is what was taken of the slack.
	spent window
}

// NewBucket returns a bucket that has earned and spent nothing.
func NewBucket(l Limits) *Bucket { return &Bucket{limits: l, spent: newWindow(l.Window)} }

// Set changes the limits. What is saved up beyond the depth is lost. Where the length of
// the window changes, what was spent of the slack counts as if it were spent now.
func (b *Bucket) Set(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		spent := b.spent.sum(now)
		b.spent = newWindow(l.Window)
		b.spent.add(now, spent)
	}
	b.limits = l
	b.earned = min(b.earned, l.Depth)
}

// OnFirstAttempt adds what a first attempt earns.
func (b *Bucket) OnFirstAttempt(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.limits.Depth, b.earned+b.limits.Ratio)
}

// roundOff is what sums of fractions may lack of a whole retry.
const roundOff = 1e-9

// Allow takes n retries, from what was earned first, or says that not so many are left.
func (b *Bucket) Allow(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	needs := float64(n)
	if b.held(now)+roundOff < needs {
		return false
	}
	earned := min(b.earned, needs)
	b.earned -= earned
	if rest := needs - earned; rest > 0 {
		b.spent.add(now, rest)
	}
	return true
}

// Held returns how many retries are left.
func (b *Bucket) Held(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held(now)
}

func (b *Bucket) held(now time.Time) float64 {
	return b.earned + max(0, b.limits.Slack-b.spent.sum(now))
}

// Buckets keeps one bucket for each target, a model or a plain service, so that the traffic
// of one pays for no retries of another. It is safe for concurrent use.
type Buckets struct {
	mu       sync.Mutex
	limits   Limits
	byTarget map[string]*Bucket
}

// NewBuckets returns buckets with the same limits each.
func NewBuckets(l Limits) *Buckets { return &Buckets{limits: l, byTarget: map[string]*Bucket{}} }

// Set changes the limits of all.
func (b *Buckets) Set(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	for _, bucket := range b.byTarget {
		bucket.Set(now, l)
	}
}

// Of returns the bucket of a target.
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
