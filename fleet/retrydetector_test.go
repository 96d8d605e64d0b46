package fleet

import (
	"testing"
	"time"
)

// Guards against refusing half of a route's requests, while engines are idle, because their
// first token is expected to be late. This happened where callers choose their deadlines
// freely: every request with less than the longest deadline counted as a retry.
func TestFreelyChosenDeadlinesAreNotRetries(t *testing.T) {
	p := NewRetryDetector()
	detected := 0
	for i := range 400 {
		deadline := 11*time.Second + time.Duration(i*7919%3000)*time.Millisecond
		if p.RecordDeadline(at(i), "drafts", deadline) > 0 && i < 400 {
			detected++
		}
	}
	if detected > 0 {
		t.Errorf("%d of 400 requests were detected as retries", detected)
	}
}

func TestRetryDetector(t *testing.T) {
	p := NewRetryDetector()
	for range minRequests {
		p.RecordDeadline(at(0), "drafts", 13*time.Second)
		p.RecordDeadline(at(0), "look-ups", 500*time.Millisecond)
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, step := range []struct {
		at       int
		route    string
		deadline int
		want     int
	}{
		{0, "drafts", 13900, 0},        // the longest so far
		{10, "drafts", 14000, 0},       // the longest so far
		{20, "drafts", 13970, 0},       // within firstAttemptTolerance
		{30, "drafts", 13500, 500},     // a retry
		{40, "look-ups", 600, 0},       // another route
		{29000, "drafts", 13000, 1000}, // still the same window
		{31000, "drafts", 9000, 5000},  // compared with the previous window
		{62000, "drafts", 9000, 0},     // the windows with longer deadlines are over
	} {
		if got := p.RecordDeadline(at(step.at), step.route, ms(step.deadline)); got != ms(step.want) {
			t.Errorf("at %d ms, %s, deadline %d ms: waited %v, want %d ms", step.at, step.route, step.deadline, got, step.want)
		}
	}
}
