package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func meanOf(samples ...float64) *Mean {
	m := &Mean{}
	for i, v := range samples {
		m.Add(at(i), v)
	}
	return m
}

func repeat(v float64, n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = v
	}
	return out
}

func TestMean(t *testing.T) {
	for _, c := range []struct {
		name    string
		samples []float64
		known   bool
		low     float64
		high    float64
	}{
		{"no samples", nil, false, 0, 0},
		{"too few samples", []float64{5, 5}, false, 0, 10},
		{"samples that are not positive are ignored", []float64{5, 0, -1, 5}, false, 0, 10},
		{"equal weight of the first samples", []float64{4, 5, 6}, true, 5, 5},
		{"a single outlier has little effect", append(repeat(5, 20), 5000), true, 5, 5.2},
		{"outliers on both sides are not a shift", append(repeat(5, 20), 50, 0.5, 50, 0.5, 50, 0.5), true, 4, 6},
		{"a change is followed", append(repeat(5, 50), repeat(50, 5)...), true, 50, 50},
		{"a change down is followed", append(repeat(50, 50), repeat(5, 5)...), true, 5, 5},
		{"a small change is followed", append(repeat(5, 50), repeat(6, 60)...), true, 5.9, 6.1},
	} {
		got, known := meanOf(c.samples...).Value(at(100))
		if known != c.known || got < c.low || got > c.high {
			t.Errorf("%s: mean %v, known %v; want %v to %v, known %v", c.name, got, known, c.low, c.high, c.known)
		}
	}
}

// Guards against an estimate that never expires. If engines are slow for a while, every
// request may be refused as too late; then no further sample arrives, and without an
// expiry the pool would refuse all requests even after the engines have recovered.
func TestMeanExpires(t *testing.T) {
	m := meanOf(repeat(5, 10)...)
	if _, known := m.Value(m.ExpiresAt().Add(-time.Millisecond)); !known {
		t.Error("the estimate expires early")
	}
	if _, known := m.Value(m.ExpiresAt()); known {
		t.Error("the estimate does not expire")
	}
	m.Add(m.ExpiresAt(), 50)
	if n, _ := m.Samples(); n != 1 {
		t.Errorf("%d samples after the expiry, want 1", n)
	}
}

// newAnswers returns AnswerLengths with n answers whose lengths have a log-normal
// distribution: the median is ratio times the expected 1000 tokens, and spread is the
// standard deviation of the logarithm.
func newAnswers(n int, ratio, spread float64) *AnswerLengths {
	rng := rand.New(rand.NewPCG(1, 2))
	a := &AnswerLengths{}
	for range n {
		a.Add(t0, int(1000*ratio*math.Exp(spread*rng.NormFloat64())), 1000)
	}
	return a
}

func TestAnswerLengthsAreKnownAfterMinimumSamples(t *testing.T) {
	if _, ok := newAnswers(minDistributionSamples-1, 1, 0).Mean(1000); ok {
		t.Error("mean is known with too few samples")
	}
	for _, ratio := range []float64{0.1, 0.5, 1, 3, 10} {
		a := newAnswers(100, ratio, 0.5)
		median, ok := a.Quantile(0.5, 1000)
		if want := 1000 * ratio; !ok || float64(median) < want/1.3 || float64(median) > want*1.3 {
			t.Errorf("median of answers that are %v times as long as expected: %d", ratio, median)
		}
		mean, _ := a.Mean(1000)
		if want := 1000 * ratio * math.Exp(0.125); mean < want/1.25 || mean > want*1.25 {
			t.Errorf("mean of answers that are %v times as long as expected: %v, want about %v", ratio, mean, want)
		}
	}
}

// Checks that the estimate follows a new mix of requests whose answers are four times
// as long as before.
func TestAnswerLengthsFollowANewMix(t *testing.T) {
	a := newAnswers(1000, 1, 0.3)
	for range 300 {
		a.Add(t0, 4000, 1000)
	}
	if median, _ := a.Quantile(0.5, 1000); median < 3000 {
		t.Errorf("median %d after 300 answers of 4000 tokens, want at least 3000", median)
	}
}

// Checks that the estimated speed of an engine does not include the time in its queue.
// It simulates a burst in which three of four calls wait for others, and a few take
// almost no time because their result is already cached.
func TestSpeedIsThatOfTheEngineNotOfItsQueue(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := &Speed{}
	const trueTime = 20 * time.Microsecond
	for i := range 200 {
		call := trueTime
		switch {
		case i%20 == 0:
			call = time.Microsecond / 10
		case i%4 != 0:
			call = time.Duration(float64(trueTime) * (1 + 5*rng.Float64()))
		}
		s.Add(at(i), call)
	}
	got, ok := s.Value(at(200))
	if !ok || got < trueTime*9/10 || got > trueTime*13/10 {
		t.Errorf("estimated %v, known %v; true time %v", got, ok, trueTime)
	}
	if _, ok := s.Value(s.ExpiresAt()); ok {
		t.Error("the estimate does not expire")
	}
}
