package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/fleet"
)

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

// names returns the names that a batch withdraws.
func names(b fleet.Batch) []string {
	var out []string
	for _, c := range b.Changes {
		out = append(out, c.Gone)
	}
	return out
}

func TestJournalSince(t *testing.T) {
	for name, tc := range map[string]struct {
		from uint64
		want []string
		next uint64
		ok   bool
	}{
		"all that is kept":             {4, []string{"a", "b", "c"}, 7, true},
		"the last reading":             {6, []string{"c"}, 7, true},
		"from within a reading":        {5, []string{"a", "b", "c"}, 7, true},
		"nothing new":                  {7, nil, 7, true},
		"further than was read here":   {9, nil, 9, true},
		"before what is kept":          {3, nil, 0, false},
		"from the feed's first record": {0, nil, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := NewJournal()
			j.Add(t0, fleet.FeedUpstreams, 0, gone(2, "x", "y")) // followed by a gap
			j.Add(t0, fleet.FeedUpstreams, 4, gone(6, "a", "b"))
			j.Add(t0, fleet.FeedUpstreams, 6, gone(7, "c"))
			b, _, ok := j.Since(fleet.FeedUpstreams, tc.from)
			if ok != tc.ok || b.Next != tc.next {
				t.Errorf("next %d, %t; want %d, %t", b.Next, ok, tc.next, tc.ok)
			}
			if d := cmp.Diff(tc.want, names(b)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestJournalIsBounded(t *testing.T) {
	j := NewJournal()
	for i := range uint64(3 * keptReadings) {
		j.Add(t0, fleet.FeedConfig, i, gone(i+1, "r"))
	}
	if _, _, ok := j.Since(fleet.FeedConfig, 2*keptReadings-1); ok {
		t.Error("an older reading than the bound is kept")
	}
	if b, _, ok := j.Since(fleet.FeedConfig, 2*keptReadings); !ok || len(b.Changes) != keptReadings {
		t.Errorf("%d records kept, %t", len(b.Changes), ok)
	}
}

// Symptom: upstreams that live are dropped by the followers of a reader, not by the reader.
// Sequence: the store was away and leases ran out; the reader's first reading shows them
// gone, and knows that they may only have lapsed; a follower missed nothing itself.
// Cause: the reader passed the records on without saying so.
func TestJournalPassesOnThatTheStoreWasAway(t *testing.T) {
	j := NewJournal()
	first := gone(1, "a")
	first.Away = true
	j.Add(t0, fleet.FeedUpstreams, 0, first)
	j.Add(t0, fleet.FeedUpstreams, 1, gone(2, "b"))
	if b, _, _ := j.Since(fleet.FeedUpstreams, 0); !b.Away {
		t.Error("the first reading after an outage looks like any other")
	}
	if b, _, _ := j.Since(fleet.FeedUpstreams, 1); b.Away {
		t.Error("a later one looks like the first")
	}
}

func TestJournalAge(t *testing.T) {
	j := NewJournal()
	if _, ok := j.Age(t0, fleet.FeedConfig); ok {
		t.Error("an age before the first reading")
	}
	j.Add(t0, fleet.FeedConfig, 3, fleet.Batch{Next: 3}) // an answer without records counts too
	if age, ok := j.Age(after(2*time.Second), fleet.FeedConfig); !ok || age != 2*time.Second {
		t.Errorf("age %v, %t", age, ok)
	}
	if _, ok := j.Age(t0, fleet.FeedUpstreams); ok {
		t.Error("one feed's word counts for the other")
	}
}
