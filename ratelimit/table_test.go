package ratelimit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	t0        = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	upstream1 = Upstream{Name: "i-1", Incarnation: 7}
)

// at returns the time ms milliseconds after t0, the start of each test.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that is cleared by a response written before it was set, or kept after
// the upstream has ended it.
func TestTableIgnoresOlderObservations(t *testing.T) {
	withLimit := func(limit float64, ms int) Observation {
		return Observation{Upstream: upstream1, HasLimit: true, Limit: limit, At: at(ms)}
	}
	withoutLimit := func(ms int) Observation { return Observation{Upstream: upstream1, At: at(ms)} }
	for name, c := range map[string]struct {
		words []Observation // in the order of arrival
		want  float64
	}{
		"nothing":                        {nil, NoLimit},
		"no limit":                       {[]Observation{withoutLimit(0)}, NoLimit},
		"a limit":                        {[]Observation{withLimit(5, 10)}, 5},
		"another limit":                  {[]Observation{withLimit(5, 10), withLimit(2, 20)}, 2},
		"an older limit":                 {[]Observation{withLimit(5, 20), withLimit(2, 10)}, 5},
		"sent before the limit came":     {[]Observation{withLimit(5, 10), withoutLimit(9)}, 5},
		"sent after it":                  {[]Observation{withLimit(5, 10), withoutLimit(11)}, NoLimit},
		"sent between two":               {[]Observation{withLimit(5, 10), withLimit(5, 30), withoutLimit(20)}, 5},
		"came late, written before":      {[]Observation{withLimit(5, 10), withoutLimit(30), withLimit(5, 20)}, NoLimit},
		"again":                          {[]Observation{withLimit(5, 10), withoutLimit(30), withLimit(4, 40)}, 4},
		"of nothing":                     {[]Observation{withLimit(0, 10)}, 0},
		"free twice, the older one last": {[]Observation{withLimit(5, 10), withoutLimit(30), withoutLimit(20)}, NoLimit},
	} {
		b := NewTable()
		for _, w := range c.words {
			b.Observe(at(100), w)
		}
		got, ok := b.Limit(upstream1)
		if !ok {
			got = NoLimit
		}
		if got != c.want {
			t.Errorf("%s: limit %g, want %g", name, got, c.want)
		}
	}
}

// Guards against a limit that also applies to the next incarnation of an upstream.
func TestTableSeparatesIncarnations(t *testing.T) {
	b := NewTable()
	b.Observe(at(0), Observation{Upstream: upstream1, HasLimit: true, Limit: 5, At: at(0)})
	if _, ok := b.Limit(Upstream{Name: upstream1.Name, Incarnation: 8}); ok {
		t.Error("the next incarnation has the limit of the previous one")
	}
}

func TestTableReportsChangesAndUsage(t *testing.T) {
	b := NewTable()
	b.RecordSent(at(0), upstream1)
	c, changed := b.Observe(at(0), Observation{Upstream: upstream1, HasLimit: true, Limit: 5, At: at(0)})
	if d := cmp.Diff(Change{Upstream: upstream1, Old: NoLimit, New: 5}, c); d != "" || !changed {
		t.Error(d)
	}
	if _, changed := b.Observe(at(20), Observation{Upstream: upstream1, HasLimit: true, Limit: 5, At: at(20)}); changed {
		t.Error("the same limit is reported as a change")
	}
	for ms := 0; ms < 5000; ms += 500 {
		b.RecordSent(at(ms), upstream1)
	}
	if d := cmp.Diff([]Usage{{upstream1, 5, 8}}, b.InForce(at(4900))); d != "" {
		t.Error(d)
	}
	b.Observe(at(6000), Observation{Upstream: upstream1, At: at(5900)})
	if got := b.InForce(at(6000)); got != nil {
		t.Errorf("%+v in force after the limit ended", got)
	}
}

func TestTableExpiresRecords(t *testing.T) {
	b := NewTable()
	b.Observe(at(0), Observation{Upstream: upstream1, HasLimit: true, Limit: 5, At: at(0)})
	other := Upstream{Name: "i-2"}
	b.Observe(t0.Add(limitTTL-time.Second), Observation{Upstream: other, HasLimit: true, Limit: 1, At: t0.Add(limitTTL - time.Second)})
	if len(b.InForce(t0)) != 2 {
		t.Error("evicted before its TTL")
	}
	b.Observe(t0.Add(limitTTL+sweepInterval), Observation{Upstream: other, HasLimit: true, Limit: 1, At: t0.Add(limitTTL)})
	if len(b.InForce(t0)) != 1 {
		t.Error("an upstream without updates was not evicted")
	}
}
