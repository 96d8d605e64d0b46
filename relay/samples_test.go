package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/estimate"
)

func sampleOf(size int) estimate.Sample { return estimate.Sample{Model: "m", AnswerTokens: size} }

func sizes(list []estimate.Sample) []int {
	var out []int
	for _, s := range list {
		out = append(out, s.AnswerTokens)
	}
	return out
}

func wantSizes(t *testing.T, what string, got []estimate.Sample, want ...int) {
	t.Helper()
	if d := cmp.Diff(want, sizes(got)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

func TestSamplesGoOnceToEach(t *testing.T) {
	s := NewSamples(t0)
	s.Saw(t0, sampleOf(1))
	s.FromFollower(t0, "f", []estimate.Sample{sampleOf(2)})
	s.FromReader(t0, []estimate.Sample{sampleOf(3)})
	wantSizes(t, "to the reader", s.Take(), 1)
	wantSizes(t, "to the reader again", s.Take())
	wantSizes(t, "to other readers", s.TakeAcross(), 1, 2)
	wantSizes(t, "to other readers again", s.TakeAcross())
	got, seen := s.Since(t0, "f", 0)
	wantSizes(t, "to the follower that saw one itself", got, 1, 3)
	got, _ = s.Since(t0, "f", seen)
	wantSizes(t, "again", got)
	s.FromReader(t0, []estimate.Sample{sampleOf(4)})
	got, _ = s.Since(t0, "f", seen)
	wantSizes(t, "one more", got, 4)
}

// A follower whose reader changed has seen numbers of another daemon: it is told as a new
// one.
func TestSamplesOfAnotherReader(t *testing.T) {
	a, b := NewSamples(t0), NewSamples(after(time.Second))
	for i := range 2 * firstSamples {
		b.Saw(t0, sampleOf(i))
	}
	_, seen := a.Since(t0, "f", 0)
	if got, _ := b.Since(t0, "f", seen); len(got) != firstSamples {
		t.Errorf("told of %d", len(got))
	}
}

func TestSamplesAreBounded(t *testing.T) {
	s := NewSamples(t0)
	for i := range 3 * keptSamples {
		s.Saw(t0, sampleOf(i))
	}
	if n := len(s.kept); n != keptSamples {
		t.Errorf("%d kept", n)
	}
	wantSizes(t, "to the reader", s.Take(), 764, 765, 766, 767)
	if n := len(s.TakeAcross()); n != exchangeSamples {
		t.Errorf("%d to other readers", n)
	}
	if got, _ := s.Since(after(sampleLife), "f", 0); len(got) != 0 {
		t.Errorf("%d old ones", len(got))
	}
}

func TestSamplesPassWhole(t *testing.T) {
	want := []estimate.Sample{{
		Model: "m", PromptTokens: 3000, ExpectedTokens: 500, AnswerTokens: 700,
		Held: 3500 * time.Millisecond, PerToken: 5 * time.Millisecond, ReadPerToken: 30 * time.Microsecond, ReadLost: true,
	}}
	if d := cmp.Diff(want, unpackSamples(packSamples(want))); d != "" {
		t.Error(d)
	}
}
