package estimate

import (
	"testing"
	"time"
)

// TestRoundTripFollowsABusyInstance guards against replies that are given up because they take
// longer than usual on an instance that is short of processor time, against a single slow reply
// that lengthens the timeout for good, and against old samples that count.
func TestRoundTripFollowsABusyInstance(t *testing.T) {
	const quick, slow, bound = 4 * time.Millisecond, 120 * time.Millisecond, 150 * time.Millisecond
	var r RoundTrip
	now := time.Unix(1000, 0)
	add := func(n int, took time.Duration) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			r.Add(now, took)
		}
	}
	if got := r.Timeout(now); got != 0 {
		t.Errorf("without samples: %s", got)
	}
	add(50, quick)
	add(1, slow)
	add(10, quick)
	if got := r.Timeout(now); got > bound {
		t.Errorf("after one slow reply: %s, over %s", got, bound)
	}
	for range 10 {
		add(1, slow)
		add(1, 2*slow)
	}
	if got := r.Timeout(now); got < 2*slow {
		t.Errorf("while replies take up to %s: %s", 2*slow, got)
	}
	if got := r.Timeout(now.Add(roundTripTTL)); got != 0 {
		t.Errorf("with old samples: %s", got)
	}
}
