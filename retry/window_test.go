package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

// Load: engines refuse in bursts; the daemon has sent nothing else for a while. A
// request that meets two of them may be tried a third time.
func TestWindowAllowsItsSlackAtOnce(t *testing.T) {
	b := NewWindow(0.2, 2.4, 10*time.Second)
	b.OnFirstAttempt(t0)
	for n := range 2 {
		if !b.Allow(t0, 1) {
			t.Errorf("a slack of 2.4 allows only %d retries in a row", n)
		}
	}
	if b.Allow(t0, 1) {
		t.Error("a third one is")
	}
	if b.Allow(t0.Add(9*time.Second), 1) {
		t.Error("a third one is within the window")
	}
	if !b.Allow(t0.Add(11*time.Second), 1) {
		t.Error("none is after the window")
	}
}

// What must hold in every span of the window's length, however attempts come.
func TestWindowHoldsItsBound(t *testing.T) {
	const ratio, slack, window = 0.2, 5.4, 10 * time.Second
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		b := NewWindow(ratio, slack, window)
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
			until := from.Add(window)
			if n, most := within(retries, from, until), ratio*float64(within(firsts, from.Add(-window), until))+slack; float64(n) > most {
				t.Fatalf("seed %d: %d retries in a window that allows %.1f", seed, n, most)
			}
			if n, most := within(retries, from.Add(-window), from.Add(1)), ratio*float64(within(firsts, from.Add(-window), from.Add(1)))+slack; float64(n) > most+1e-9 {
				t.Fatalf("seed %d: %d retries in the window up to a retry, %.1f allowed", seed, n, most)
			}
		}
	}
}

// within counts the times from one up to another.
func within(list []time.Time, from, until time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}
