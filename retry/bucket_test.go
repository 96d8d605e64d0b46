package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Load: engines refuse in bursts; the daemon has sent nothing else for a while. A request
// that meets two of them may be tried a third time.
func TestBucketAllowsItsSlackAtOnce(t *testing.T) {
	b := NewBucket(Limits{Ratio: 0.2, Slack: 2.4, Window: testWindow})
	for n := range 2 {
		if !b.Allow(t0, 1) {
			t.Errorf("a slack of 2.4 allows only %d retries in a row", n)
		}
	}
	if b.Allow(t0, 1) {
		t.Error("a third one is")
	}
	if b.Allow(t0.Add(testWindow-time.Second), 1) {
		t.Error("a third one is within the window")
	}
	if !b.Allow(t0.Add(testWindow+time.Second), 1) {
		t.Error("none is after the window")
	}
}

// What was earned and what need not be make up one retry together, and several are taken
// at once or not at all.
func TestBucketAddsUp(t *testing.T) {
	b := NewBucket(Limits{Ratio: 0.25, Depth: 2, Slack: 0.5, Window: testWindow})
	b.OnFirstAttempt(t0)
	if b.Allow(t0, 1) {
		t.Error("a quarter and a half were taken for one")
	}
	b.OnFirstAttempt(t0)
	if b.Allow(t0, 2) || !b.Allow(t0, 1) || b.Held(t0) != 0 {
		t.Errorf("two halves are not one; %g held", b.Held(t0))
	}
}

// What must hold in every span of the window's length, however attempts come: the depth,
// the slack, and what the first attempts of this very span earn.
func TestBucketHoldsItsBound(t *testing.T) {
	const ratio, depth, slack = 0.2, 1.7, 3.4
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		b := NewBucket(Limits{Ratio: ratio, Depth: depth, Slack: slack, Window: testWindow})
		var firsts, retries []time.Time
		for now := t0; now.Before(t0.Add(time.Minute)); {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			if rng.IntN(20) == 0 {
				now = now.Add(time.Duration(rng.IntN(15)) * time.Second)
			}
			b.OnFirstAttempt(now)
			firsts = append(firsts, now)
			for range rng.IntN(4) {
				if b.Allow(now, 1) {
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			until := from.Add(testWindow)
			if n, most := countWithin(retries, from, until), ratio*float64(countWithin(firsts, from, until))+depth+slack; float64(n) > most+roundOff {
				t.Fatalf("seed %d: %d retries in a window that allows %.1f", seed, n, most)
			}
		}
	}
}

// TestRetriesStayWithinTheBudget
//
// Symptom: upstreams that fail are hit by twice the load, and stay down.
// Sequence: every first attempt fails and each is tried again.
// Cause: retries without a bound by the rate of first attempts.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const slack, window = 1, 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0, 0.05, 0.2, 1}).Draw(t, "ratio")
		n := rapid.IntRange(1, 300).Draw(t, "attempts")
		gap := time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
		b, retries := NewBucket(Limits{Ratio: ratio, Depth: 10, Slack: slack, Window: window}), 0
		for i := range n {
			now := t0.Add(time.Duration(i) * gap)
			b.OnFirstAttempt(now)
			if b.Allow(now, 1) {
				retries++
			}
		}
		windows := 1 + (time.Duration(n)*gap)/window
		if bound := ratio*float64(n) + slack*float64(windows); float64(retries) > bound+1e-6 {
			t.Fatalf("%d retries for %d first attempts at %v", retries, n, ratio)
		}
	})
	b := NewBucket(Limits{Ratio: 0.2, Depth: 10, Slack: slack, Window: window})
	if !b.Allow(t0, 1) || b.Allow(t0, 1) || !b.Allow(t0.Add(6*time.Second), 1) {
		t.Error("a quiet daemon may retry once at first and once in five seconds")
	}
}
