package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a budget that leaves a request without retries on a daemon without credit. Upstreams
// reject requests in bursts, so a request that is rejected twice must be allowed a third attempt.
func TestBucketAllowsItsSlackAtOnce(t *testing.T) {
	b := NewBucket(Limits{Ratio: 0.2, Slack: 2.4, Window: testWindow})
	for n := range 2 {
		if !b.Allow(t0, 1) {
			t.Errorf("only %d retries in a row allowed with a slack of 2.4", n)
		}
	}
	if b.Allow(t0, 1) {
		t.Error("a third retry was allowed at once")
	}
	if b.Allow(t0.Add(testWindow-time.Second), 1) {
		t.Error("a third retry was allowed within the window")
	}
	if !b.Allow(t0.Add(testWindow+time.Second), 1) {
		t.Error("no retry was allowed after the window")
	}
}

// Guards against a budget that does not add up credit and slack. Fractions of both make up one
// retry, and several retries are taken at once or not at all.
func TestBucketAddsUp(t *testing.T) {
	b := NewBucket(Limits{Ratio: 0.25, MaxCredit: 2, Slack: 0.5, Window: testWindow})
	b.OnFirstAttempt(t0)
	if b.Allow(t0, 1) {
		t.Error("a credit of 0.25 and a slack of 0.5 were accepted for one retry")
	}
	b.OnFirstAttempt(t0)
	if b.Allow(t0, 2) || !b.Allow(t0, 1) || b.Remaining(t0) != 0 {
		t.Errorf("a credit of 0.5 and a slack of 0.5 do not make exactly one retry; %g left", b.Remaining(t0))
	}
}

// Guards against a bucket that allows more than its limits in any span of the window's length: the
// maximum credit, the slack, and the credit for the first attempts of that span. Attempts come at random times.
func TestBucketHoldsItsBound(t *testing.T) {
	const ratio, maxCredit, slack = 0.2, 1.7, 3.4
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		b := NewBucket(Limits{Ratio: ratio, MaxCredit: maxCredit, Slack: slack, Window: testWindow})
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
			if n, most := countWithin(retries, from, until), ratio*float64(countWithin(firsts, from, until))+maxCredit+slack; float64(n) > most+roundingTolerance {
				t.Fatalf("seed %d: %d retries in a window that allows %.1f", seed, n, most)
			}
		}
	}
}

// Guards against retries that exceed the ratio to first attempts when every attempt fails. Upstreams
// would then get up to twice the load, and could not recover.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const slack, window = 1, 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0, 0.05, 0.2, 1}).Draw(t, "ratio")
		n := rapid.IntRange(1, 300).Draw(t, "attempts")
		gap := time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
		b, retries := NewBucket(Limits{Ratio: ratio, MaxCredit: 10, Slack: slack, Window: window}), 0
		for i := range n {
			now := t0.Add(time.Duration(i) * gap)
			b.OnFirstAttempt(now)
			if b.Allow(now, 1) {
				retries++
			}
		}
		windows := 1 + (time.Duration(n)*gap)/window
		if bound := ratio*float64(n) + slack*float64(windows); float64(retries) > bound+1e-6 {
			t.Fatalf("%d retries for %d first attempts with ratio %v", retries, n, ratio)
		}
	})
	b := NewBucket(Limits{Ratio: 0.2, MaxCredit: 10, Slack: slack, Window: window})
	if !b.Allow(t0, 1) || b.Allow(t0, 1) || !b.Allow(t0.Add(6*time.Second), 1) {
		t.Error("without first attempts, one retry must be allowed at once and another after the window of five seconds")
	}
}
