package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return t0.Add(d) }

// gone returns a batch that withdraws names, one record each.
func gone(next uint64, names ...string) fleet.Batch {
	b := fleet.Batch{Next: next}
	for _, n := range names {
		b.Changes = append(b.Changes, fleet.Change{Gone: n})
	}
	return b
}

// puts returns a state as a whole that holds names.
func puts(next uint64, names ...string) fleet.Batch {
	b := fleet.Batch{Next: next, Whole: true}
	for _, n := range names {
		b.Changes = append(b.Changes, fleet.Change{Put: &fleet.Registration{Name: n}})
	}
	return b
}

// names returns the names that a batch withdraws, and those that it holds with a sign.
func names(b fleet.Batch) []string {
	var out []string
	for _, c := range b.Changes {
		if c.Put != nil {
			out = append(out, "+"+c.Put.Name)
		} else {
			out = append(out, c.Gone)
		}
	}
	return out
}

func TestJournalLook(t *testing.T) {
	for name, tc := range map[string]struct {
		from  uint64
		whole bool
		want  []string
		next  uint64
		isAll bool
	}{
		"all that is kept":             {4, false, []string{"a", "b", "c"}, 7, false},
		"the last reading":             {6, false, []string{"c"}, 7, false},
		"from within a reading":        {5, false, []string{"a", "b", "c"}, 7, false},
		"nothing new":                  {7, false, nil, 7, false},
		"further than was read here":   {9, false, nil, 9, false},
		"before what is kept":          {3, false, []string{"+z"}, 7, true},
		"from the feed's first record": {0, false, []string{"+z"}, 7, true},
		"as a whole":                   {6, true, []string{"+z"}, 7, true},
	} {
		t.Run(name, func(t *testing.T) {
			j := NewJournal()
			j.Add(t0, fleet.FeedUpstreams, 0, puts(4, "a", "b", "c", "z"))
			j.Add(t0, fleet.FeedUpstreams, 4, gone(6, "a", "b"))
			j.Add(t0, fleet.FeedUpstreams, 6, gone(7, "c"))
			l := j.Look(t0, fleet.FeedUpstreams, tc.from, tc.whole)
			if !l.Known || l.Batch.Next != tc.next || l.Batch.Whole != tc.isAll {
				t.Errorf("%+v; want next %d, whole %t", l, tc.next, tc.isAll)
			}
			if d := cmp.Diff(tc.want, names(l.Batch)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestJournalIsBounded(t *testing.T) {
	j := NewJournal()
	j.Add(t0, fleet.FeedUpstreams, 0, puts(0))
	for i := range uint64(3 * keptReadings) {
		j.Add(t0, fleet.FeedUpstreams, i, gone(i+1, "r"))
	}
	if l := j.Look(t0, fleet.FeedUpstreams, 2*keptReadings-1, false); !l.Batch.Whole {
		t.Error("an older reading than the bound is kept")
	}
	if l := j.Look(t0, fleet.FeedUpstreams, 2*keptReadings, false); l.Batch.Whole || len(l.Batch.Changes) != keptReadings {
		t.Errorf("%d records kept, whole %t", len(l.Batch.Changes), l.Batch.Whole)
	}
}

// Symptom: followers never learn of an upstream, with a reader that is fresh.
// Sequence: the reader reads the records from 0 to 2, then those from 4 on.
// Cause: a state that is taken for whole although records are missing.
func TestJournalTellsOfNoGap(t *testing.T) {
	j := NewJournal()
	j.Add(t0, fleet.FeedUpstreams, 0, puts(2, "a"))
	j.Add(t0, fleet.FeedUpstreams, 4, gone(6, "b"))
	if l := j.Look(t0, fleet.FeedUpstreams, 2, false); l.Known {
		t.Errorf("%+v", l)
	}
	j.Add(t0, fleet.FeedUpstreams, 0, puts(7, "a"))
	if l := j.Look(t0, fleet.FeedUpstreams, 7, false); !l.Known {
		t.Error("nothing known after a whole reading")
	}
}

// Symptom: upstreams that live are dropped by the followers of a reader, not by the reader.
// Sequence: the store was away and leases ran out; the reader's first reading shows them
// gone, and knows that they may only have lapsed; a follower missed nothing itself, or
// asks for the state as a whole.
// Cause: the reader passed the records on without saying so.
func TestJournalPassesOnThatTheStoreWasAway(t *testing.T) {
	j := NewJournal()
	j.Add(t0, fleet.FeedUpstreams, 0, puts(0, "a", "b"))
	first := gone(1, "a")
	first.Away = true
	j.Add(t0, fleet.FeedUpstreams, 0, first)
	j.Add(t0, fleet.FeedUpstreams, 1, gone(2, "b"))
	for from, want := range map[uint64]bool{0: true, 1: false} {
		if l := j.Look(t0, fleet.FeedUpstreams, from, false); l.Batch.Away != want {
			t.Errorf("from %d: away %t", from, l.Batch.Away)
		}
	}
	for at, want := range map[time.Duration]bool{returnTime - 1: true, returnTime: false} {
		if l := j.Look(after(at), fleet.FeedUpstreams, 0, true); l.Batch.Away != want {
			t.Errorf("as a whole after %v: away %t", at, l.Batch.Away)
		}
	}
}

// The store's word on one feed shows that it is there for the other too, of which nothing
// may be known yet.
func TestJournalAge(t *testing.T) {
	j := NewJournal()
	if j.Look(t0, fleet.FeedConfig, 0, false).Known {
		t.Error("known before the first reading")
	}
	j.Add(t0, fleet.FeedConfig, 0, fleet.Batch{Next: 3, Whole: true})
	j.Add(after(time.Second), fleet.FeedConfig, 3, fleet.Batch{Next: 3}) // an answer without records counts too
	if l := j.Look(after(3*time.Second), fleet.FeedConfig, 3, false); l.Age != 2*time.Second {
		t.Errorf("age %v", l.Age)
	}
	j.Add(after(2*time.Second), fleet.FeedUpstreams, 0, puts(1, "a"))
	if l := j.Look(after(3*time.Second), fleet.FeedConfig, 3, false); l.Age != time.Second {
		t.Errorf("age %v after a word on the other feed", l.Age)
	}
	j.Away()
	if !j.Look(t0, fleet.FeedConfig, 3, false).Away {
		t.Error("does not tell that the store is away")
	}
}
