package fleet

import (
	"sync"
	"time"
)

const (
	// deadlineWindow is the length of one window. The longest deadline of a route is
	// taken over the current window and the previous one.
	deadlineWindow = 30 * time.Second
	// firstAttemptTolerance is how much shorter than the longest deadline the deadline
	// of a first attempt may be: callers start their deadline before they connect.
	firstAttemptTolerance = 40 * time.Millisecond
	// minFirstAttemptShare is a precondition for detecting retries: at least this share
	// of a route's requests must have the longest deadline. Where callers choose their
	// deadlines freely, the share is lower, and a shorter deadline does not indicate a
	// retry. When requests of such routes counted as retries, half of them were refused
	// because their first token was expected to be late.
	minFirstAttemptShare = 0.35
	// minSampleWeight is the smallest weight of a new request in the moving average
	// deadlineStats.firstAttemptShare.
	minSampleWeight = 0.02
	// minRequests is the number of requests that a route must have had before retries
	// are detected. The share of first attempts is overestimated until then: each of the
	// first requests is likely to have the longest deadline so far, even where callers
	// choose deadlines freely.
	minRequests = 12
)

// RetryDetector detects by its deadline whether a request is a retry, that is, whether its
// caller repeats it after a refusal. It assumes that all callers of a route state the same
// deadline with a first attempt, and the remaining time with a retry. RetryDetector reads
// no clock and is safe for concurrent use.
type RetryDetector struct {
	mu      sync.Mutex
	byRoute map[string]*deadlineStats
}

// deadlineStats holds the deadline statistics of one route.
type deadlineStats struct {
	// longest is the longest deadline of the current window, which began at windowStart,
	// and previousLongest that of the window before.
	longest, previousLongest time.Duration
	windowStart              time.Time
	// firstAttemptShare is a moving average: the share of requests whose deadline is
	// within firstAttemptTolerance of the longest.
	firstAttemptShare float64
	requests          int
}

// NewRetryDetector returns a detector without statistics.
func NewRetryDetector() *RetryDetector { return &RetryDetector{byRoute: map[string]*deadlineStats{}} }

// RecordDeadline records the deadline of a request and returns how long its caller has already
// waited since its first attempt; 0 for a first attempt.
func (p *RetryDetector) RecordDeadline(now time.Time, route string, deadline time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.byRoute[route]
	if stats == nil {
		stats = &deadlineStats{windowStart: now}
		p.byRoute[route] = stats
	}
	if now.Sub(stats.windowStart) >= deadlineWindow {
		stats.previousLongest, stats.longest, stats.windowStart = stats.longest, 0, now
	}
	stats.longest = max(stats.longest, deadline)
	waited := max(stats.longest, stats.previousLongest) - deadline
	firstAttempt := 0.0
	if waited <= firstAttemptTolerance {
		firstAttempt = 1
	}
	stats.requests++
	stats.firstAttemptShare += max(minSampleWeight, 1/float64(stats.requests)) * (firstAttempt - stats.firstAttemptShare)
	if firstAttempt == 1 || stats.requests < minRequests || stats.firstAttemptShare < minFirstAttemptShare {
		return 0
	}
	return waited
}
