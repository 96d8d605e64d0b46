package availability

import (
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

func newTable() *Table { return NewTable(rand.New(rand.NewPCG(1, 2))) }

// Guards against statements that are withdrawn by anything but their end or a restart of the upstream.
func TestWhatEndsAStatement(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name  string
		then  func(b *Table)
		asked int64 // the incarnation that is asked about
		at    time.Duration
		want  bool // the upstream takes work
	}{
		{"nothing", func(*Table) {}, 7, 2 * s, false},
		{"an answer without a statement", func(b *Table) { b.Observe(Statement{Upstream: "u", Incarnation: 7, At: after(s)}) }, 7, 2 * s, false},
		{"a shorter rest", func(b *Table) { b.Observe(Statement{Upstream: "u", Incarnation: 7, Rest: s, At: after(s)}) }, 7, 3 * s, false},
		{"a registration that is gone", func(*Table) {}, 0, 2 * s, false},
		{"an older registration", func(*Table) {}, 6, 2 * s, false},
		{"a restart", func(*Table) {}, 8, s, true},
		{"its end", func(*Table) {}, 7, 6 * s, true},
		{"its end is not earlier", func(*Table) {}, 7, 4*s - 1, false},
		{"a later rest", func(b *Table) { b.Observe(Statement{Upstream: "u", Incarnation: 7, Rest: 4 * s, At: after(3 * s)}) }, 7, 6 * s, false},
		{"forgotten", func(b *Table) { b.Forget("u") }, 7, s, true},
	} {
		b := newTable()
		b.Observe(Statement{Upstream: "u", Incarnation: 7, Rest: 4 * s, At: t0})
		tc.then(b)
		if got := b.State("u", tc.asked).TakesWork(after(tc.at)); got != tc.want {
			t.Errorf("%s: takes work %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against an upstream that left and started again under its name, and gets no requests because
// its incarnation was unknown when it said that it leaves.
func TestLeavingEndsWithAnIncarnationThatWasUnknown(t *testing.T) {
	b := newTable()
	b.Observe(Statement{Upstream: "u", Leaving: true, At: t0})
	for _, tc := range []struct {
		incarnation int64
		want        bool
	}{{0, false}, {3, false}, {0, false}, {4, true}} {
		if got := b.State("u", tc.incarnation).TakesWork(after(time.Hour)); got != tc.want {
			t.Errorf("incarnation %d: takes work %v, want %v", tc.incarnation, got, tc.want)
		}
	}
}

// Guards against calls that reach an upstream in a rest beyond the two that it allows, and against
// calls for ongoing work that a leaving upstream does not get.
func TestCallsThatAreAllowed(t *testing.T) {
	b := newTable()
	allowed := func(at time.Duration, use Use) bool {
		_, ok := b.Allow(after(at), "u", 0, use)
		return ok
	}
	if !allowed(0, NewWork) {
		t.Error("new work not allowed without a statement")
	}
	for rest := range 2 {
		from := time.Duration(rest) * 10 * time.Second
		b.Observe(Statement{Upstream: "u", Rest: 3 * time.Second, At: after(from)})
		if allowed(from+time.Second, NewWork) || allowed(from+time.Second, Cleanup) {
			t.Error("new work or cleanup allowed in a rest")
		}
		n := 0
		for range 5 {
			b.Observe(Statement{Upstream: "u", Rest: 3 * time.Second, At: after(from + time.Millisecond)}) // prolongs the rest
			if allowed(from+time.Second, OngoingWork) {
				n++
			}
		}
		if n != MaxCallsInRest {
			t.Errorf("%d calls for ongoing work in a rest", n)
		}
		if !allowed(from+5*time.Second, NewWork) {
			t.Error("new work not allowed after the rest")
		}
	}
	b.Observe(Statement{Upstream: "u", Leaving: true, At: after(time.Minute)})
	if allowed(time.Hour, NewWork) || !allowed(time.Hour, OngoingWork) || !allowed(time.Hour, Cleanup) {
		t.Error("a leaving upstream gets new work, or nothing at all")
	}
}

// Guards against daemons that were told together and return together, and against rests that never end.
func TestEndsOfRestsAreSpread(t *testing.T) {
	ends := map[time.Time]bool{}
	for seed := range uint64(20) {
		b := NewTable(rand.New(rand.NewPCG(seed, 0)))
		end := b.Observe(Statement{Upstream: "u", Rest: 3 * time.Second, At: t0}).State.RestEnd
		if end.Before(after(3*time.Second)) || end.After(after(4*time.Second)) {
			t.Errorf("rest of 3 s ends after %v", end.Sub(t0))
		}
		ends[end] = true
	}
	if len(ends) < 15 {
		t.Errorf("%d ends of 20 rests", len(ends))
	}
	end := newTable().Observe(Statement{Upstream: "u", Rest: 1<<63 - 1, At: t0}).State.RestEnd
	if end.Before(after(MaxRest)) || end.After(after(MaxRest+maxDelay)) {
		t.Errorf("a huge rest ends after %v", end.Sub(t0))
	}
}

// Guards against a table that grows with every upstream that ever left.
func TestOldStatementsAreEvicted(t *testing.T) {
	b := newTable()
	b.Observe(Statement{Upstream: "old", Leaving: true, At: t0})
	b.Observe(Statement{Upstream: "new", Leaving: true, At: after(retention - time.Hour)})
	b.Observe(Statement{Upstream: "last", Leaving: true, At: after(retention + time.Hour)})
	if len(b.entries) != 2 || b.State("old", 0).Leaving || !b.State("new", 0).Leaving {
		t.Errorf("%d entries", len(b.entries))
	}
}
