package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/estimate"
)

func newSample(size int) estimate.Sample { return estimate.Sample{Model: "m", AnswerTokens: size} }

func sizes(list []estimate.Sample) []int {
	var out []int
	for _, s := range list {
		out = append(out, s.AnswerTokens)
	}
	return out
}

// wantSizes checks the answer lengths in a list of samples.
func wantSizes(t *testing.T, what string, got []estimate.Sample, want ...int) {
	t.Helper()
	if d := cmp.Diff(want, sizes(got)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

func TestSamplesAreSentOnce(t *testing.T) {
	s := NewSamples(t0)
	s.AddOwn(t0, newSample(1))
	s.AddFromFollower(t0, "f", []estimate.Sample{newSample(2)})
	s.AddFromReader(t0, []estimate.Sample{newSample(3)})
	wantSizes(t, "to the reader", s.TakeForReader(), 1)
	wantSizes(t, "to the reader again", s.TakeForReader())
	wantSizes(t, "to other readers", s.TakeForOtherReaders(), 1, 2)
	wantSizes(t, "to other readers again", s.TakeForOtherReaders())
	got, seen := s.Since(t0, "f", 0)
	wantSizes(t, "to the follower that sent sample 2", got, 1, 3)
	got, _ = s.Since(t0, "f", seen)
	wantSizes(t, "no new samples", got)
	s.AddFromReader(t0, []estimate.Sample{newSample(4)})
	got, _ = s.Since(t0, "f", seen)
	wantSizes(t, "one new sample", got, 4)
}

// A follower with a sequence number of another reader is treated as a new one.
func TestSamplesOfAnotherReader(t *testing.T) {
	a, b := NewSamples(t0), NewSamples(after(time.Second))
	for i := range 2 * maxSamplesAtStart {
		b.AddOwn(t0, newSample(i))
	}
	_, seen := a.Since(t0, "f", 0)
	if got, _ := b.Since(t0, "f", seen); len(got) != maxSamplesAtStart {
		t.Errorf("received %d samples", len(got))
	}
}

func TestSamplesAreBounded(t *testing.T) {
	s := NewSamples(t0)
	for i := range 3 * maxKeptSamples {
		s.AddOwn(t0, newSample(i))
	}
	if n := len(s.kept); n != maxKeptSamples {
		t.Errorf("%d samples kept", n)
	}
	wantSizes(t, "to the reader", s.TakeForReader(), 764, 765, 766, 767)
	if n := len(s.TakeForOtherReaders()); n != maxSamplesPerExchange {
		t.Errorf("%d samples to other readers", n)
	}
	if got, _ := s.Since(after(sampleTTL), "f", 0); len(got) != 0 {
		t.Errorf("%d expired samples", len(got))
	}
}

func TestSampleWireRoundTrip(t *testing.T) {
	want := []estimate.Sample{{
		Model: "m", PromptTokens: 3000, ExpectedTokens: 500, AnswerTokens: 700,
		Held: 3500 * time.Millisecond, PerToken: 5 * time.Millisecond, PrefillPerToken: 30 * time.Microsecond, PrefillTimedOut: true,
	}}
	if d := cmp.Diff(want, fromWireSamples(toWireSamples(want))); d != "" {
		t.Error(d)
	}
}
