package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns the time d after t0.
func after(d time.Duration) time.Time { return t0.Add(d) }

// removals returns a batch with one record for each name, which removes its registration.
func removals(next uint64, names ...string) fleet.Batch {
	b := fleet.Batch{Next: next}
	for _, n := range names {
		b.Changes = append(b.Changes, fleet.Change{Gone: n})
	}
	return b
}

// snapshotOf returns a snapshot with a registration for each name.
func snapshotOf(next uint64, names ...string) fleet.Batch {
	b := fleet.Batch{Next: next, Whole: true}
	for _, n := range names {
		b.Changes = append(b.Changes, fleet.Change{Put: &fleet.Registration{Name: n}})
	}
	return b
}

// recordNames returns the names in a batch, registrations with the prefix "+" and removals
// without it.
func recordNames(b fleet.Batch) []string {
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

// In the names of the cases, a reading is a batch added by one call of Add, and what is kept
// are the cached batches. isAll is set if Get must return a snapshot.
func TestFeedCacheGet(t *testing.T) {
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
			c := NewFeedCache()
			c.Add(t0, fleet.FeedUpstreams, 0, snapshotOf(4, "a", "b", "c", "z"))
			c.Add(t0, fleet.FeedUpstreams, 4, removals(6, "a", "b"))
			c.Add(t0, fleet.FeedUpstreams, 6, removals(7, "c"))
			l := c.Get(t0, fleet.FeedUpstreams, tc.from, tc.whole)
			if !l.Known || l.Batch.Next != tc.next || l.Batch.Whole != tc.isAll {
				t.Errorf("%+v; want next %d, whole %t", l, tc.next, tc.isAll)
			}
			if d := cmp.Diff(tc.want, recordNames(l.Batch)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestFeedCacheIsBounded(t *testing.T) {
	c := NewFeedCache()
	c.Add(t0, fleet.FeedUpstreams, 0, snapshotOf(0))
	for i := range uint64(3 * maxCachedBatches) {
		c.Add(t0, fleet.FeedUpstreams, i, removals(i+1, "r"))
	}
	if l := c.Get(t0, fleet.FeedUpstreams, 2*maxCachedBatches-1, false); !l.Batch.Whole {
		t.Error("more than maxCachedBatches batches are kept")
	}
	if l := c.Get(t0, fleet.FeedUpstreams, 2*maxCachedBatches, false); l.Batch.Whole || len(l.Batch.Changes) != maxCachedBatches {
		t.Errorf("%d records kept, whole %t", len(l.Batch.Changes), l.Batch.Whole)
	}
}

// Guards against followers of a healthy reader that never learn of an upstream. The reader
// skips records 2 and 3; its state is then incomplete and must not be served as a snapshot.
func TestFeedCacheOmitsIncompleteSnapshot(t *testing.T) {
	c := NewFeedCache()
	c.Add(t0, fleet.FeedUpstreams, 0, snapshotOf(2, "a"))
	c.Add(t0, fleet.FeedUpstreams, 4, removals(6, "b"))
	if l := c.Get(t0, fleet.FeedUpstreams, 2, false); l.Known {
		t.Errorf("%+v", l)
	}
	c.Add(t0, fleet.FeedUpstreams, 0, snapshotOf(7, "a"))
	if l := c.Get(t0, fleet.FeedUpstreams, 7, false); !l.Known {
		t.Error("unknown after a snapshot")
	}
}

// Guards against a reader whose work for each follower grows with the upstreams, and against
// snapshots that lack the last change.
func TestSnapshotIsListedOnce(t *testing.T) {
	allocations := func(upstreams int) float64 {
		names := make([]string, upstreams)
		for i := range names {
			names[i] = fmt.Sprint("u", i)
		}
		c := NewFeedCache()
		c.Add(t0, fleet.FeedUpstreams, 0, snapshotOf(5, names...))
		c.Get(t0, fleet.FeedUpstreams, 0, true)
		c.Add(t0, fleet.FeedUpstreams, 5, removals(6, "u0"))
		if got := len(c.Get(t0, fleet.FeedUpstreams, 0, true).Batch.Changes); got != upstreams-1 {
			t.Errorf("%d records, want %d", got, upstreams-1)
		}
		return testing.AllocsPerRun(10, func() { c.Get(t0, fleet.FeedUpstreams, 0, true) })
	}
	if small, large := allocations(100), allocations(10000); small > 0 || large > 0 {
		t.Errorf("%v and %v allocations for a snapshot of 100 and 10,000 upstreams", small, large)
	}
}

// Guards against running upstreams that are dropped by followers only. Registrations expire
// while the store is unavailable, and the reader's first batch after the outage contains the
// removals. Followers must receive the Away mark with it, and with a snapshot for the
// length of recoveryWindow.
func TestFeedCacheKeepsAwayMark(t *testing.T) {
	c := NewFeedCache()
	c.Add(t0, fleet.FeedUpstreams, 0, snapshotOf(0, "a", "b"))
	first := removals(1, "a")
	first.Away = true
	c.Add(t0, fleet.FeedUpstreams, 0, first)
	c.Add(t0, fleet.FeedUpstreams, 1, removals(2, "b"))
	for from, want := range map[uint64]bool{0: true, 1: false} {
		if l := c.Get(t0, fleet.FeedUpstreams, from, false); l.Batch.Away != want {
			t.Errorf("from %d: away %t", from, l.Batch.Away)
		}
	}
	for at, want := range map[time.Duration]bool{recoveryWindow - 1: true, recoveryWindow: false} {
		if l := c.Get(after(at), fleet.FeedUpstreams, 0, true); l.Batch.Away != want {
			t.Errorf("snapshot after %v: away %t", at, l.Batch.Away)
		}
	}
}

// The age depends on the last contact with the store by either feed. A feed that was never
// read is unknown.
func TestFeedCacheAge(t *testing.T) {
	c := NewFeedCache()
	if c.Get(t0, fleet.FeedConfig, 0, false).Known {
		t.Error("known before the first read")
	}
	c.Add(t0, fleet.FeedConfig, 0, fleet.Batch{Next: 3, Whole: true})
	c.Add(after(time.Second), fleet.FeedConfig, 3, fleet.Batch{Next: 3}) // an empty batch also counts as contact
	if l := c.Get(after(3*time.Second), fleet.FeedConfig, 3, false); l.Age != 2*time.Second {
		t.Errorf("age %v", l.Age)
	}
	c.Add(after(2*time.Second), fleet.FeedUpstreams, 0, snapshotOf(1, "a"))
	if l := c.Get(after(3*time.Second), fleet.FeedConfig, 3, false); l.Age != time.Second {
		t.Errorf("age %v after a read of the other feed", l.Age)
	}
	c.MarkStoreDown(t0)
	if !c.Get(t0, fleet.FeedConfig, 3, false).StoreDown {
		t.Error("does not report that the store is unavailable")
	}
}
