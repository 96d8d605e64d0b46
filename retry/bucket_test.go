package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetriesStayWithinTheBudget
//
// Symptom: upstreams that fail are hit by twice the load, and stay down.
// Sequence: every first attempt fails and each is tried again.
// Cause: retries without a bound by the rate of first attempts.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0, 0.05, 0.2, 1}).Draw(t, "ratio")
		n := rapid.IntRange(1, 300).Draw(t, "attempts")
		gap := time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
		b, retries := NewBucket(ratio), 0
		for i := range n {
			now := t0.Add(time.Duration(i) * gap)
			b.OnFirstAttempt(now)
			if b.Allow(now, 1) {
				retries++
			}
		}
		bound := ratio*float64(n) + 1
		if ratio > 0 {
			bound += budgetPerSecond * (time.Duration(n) * gap).Seconds()
		}
		if float64(retries) > bound+1e-6 {
			t.Fatalf("%d retries for %d first attempts at %v", retries, n, ratio)
		}
	})
	b := NewBucket(0.2)
	if !b.Allow(t0, 1) || b.Allow(t0, 1) || !b.Allow(t0.Add(6*time.Second), 1) {
		t.Error("a quiet daemon may retry once at first and once in five seconds")
	}
}
