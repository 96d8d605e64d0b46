package ratelimit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	t0  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one = Upstream{Name: "i-1", Life: 7}
)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that is lifted by an answer which was written before it, or kept
// although the upstream takes everything again.
func TestBookTellsOldWordsFromNewOnes(t *testing.T) {
	named := func(limit float64, ms int) Word {
		return Word{Upstream: one, Named: true, Limit: limit, At: at(ms)}
	}
	free := func(ms int) Word { return Word{Upstream: one, At: at(ms)} }
	for name, c := range map[string]struct {
		words []Word
		want  float64
	}{
		"nothing":                        {nil, None},
		"no limit":                       {[]Word{free(0)}, None},
		"a limit":                        {[]Word{named(5, 10)}, 5},
		"another limit":                  {[]Word{named(5, 10), named(2, 20)}, 2},
		"an older limit":                 {[]Word{named(5, 20), named(2, 10)}, 5},
		"sent before the limit came":     {[]Word{named(5, 10), free(9)}, 5},
		"sent after it":                  {[]Word{named(5, 10), free(11)}, None},
		"sent between two":               {[]Word{named(5, 10), named(5, 30), free(20)}, 5},
		"came late, written before":      {[]Word{named(5, 10), free(30), named(5, 20)}, None},
		"again":                          {[]Word{named(5, 10), free(30), named(4, 40)}, 4},
		"of nothing":                     {[]Word{named(0, 10)}, 0},
		"free twice, the older one last": {[]Word{named(5, 10), free(30), free(20)}, None},
	} {
		b := NewBook()
		for _, w := range c.words {
			b.Hear(at(100), w)
		}
		got, ok := b.Limit(one)
		if !ok {
			got = None
		}
		if got != c.want {
			t.Errorf("%s: %g, want %g", name, got, c.want)
		}
	}
}

// Guards against a limit that sticks to the next life at the same name.
func TestBookKeepsLivesApart(t *testing.T) {
	b := NewBook()
	b.Hear(at(0), Word{Upstream: one, Named: true, Limit: 5, At: at(0)})
	if _, ok := b.Limit(Upstream{Name: one.Name, Life: 8}); ok {
		t.Error("the next life has the limit of the one before")
	}
}

func TestBookTellsWhatChangedAndWhatWasSent(t *testing.T) {
	b := NewBook()
	b.Sent(at(0), one)
	c, changed := b.Hear(at(0), Word{Upstream: one, Named: true, Limit: 5, At: at(0)})
	if d := cmp.Diff(Change{Upstream: one, Was: None, Is: 5}, c); d != "" || !changed {
		t.Error(d)
	}
	if _, changed := b.Hear(at(20), Word{Upstream: one, Named: true, Limit: 5, At: at(20)}); changed {
		t.Error("the same limit is no change")
	}
	for ms := 0; ms < 5000; ms += 500 {
		b.Sent(at(ms), one)
	}
	if d := cmp.Diff([]Held{{one, 5, 8}}, b.InForce(at(4900))); d != "" {
		t.Error(d)
	}
	b.Hear(at(6000), Word{Upstream: one, At: at(5900)})
	if got := b.InForce(at(6000)); got != nil {
		t.Errorf("%+v", got)
	}
}

func TestBookForgets(t *testing.T) {
	b := NewBook()
	b.Hear(at(0), Word{Upstream: one, Named: true, Limit: 5, At: at(0)})
	other := Upstream{Name: "i-2"}
	b.Hear(t0.Add(limitLife-time.Second), Word{Upstream: other, Named: true, Limit: 1, At: t0.Add(limitLife - time.Second)})
	if len(b.InForce(t0)) != 2 {
		t.Error("forgot too early")
	}
	b.Hear(t0.Add(limitLife+sweepEvery), Word{Upstream: other, Named: true, Limit: 1, At: t0.Add(limitLife)})
	if len(b.InForce(t0)) != 1 {
		t.Error("an upstream that is gone is kept")
	}
}
