package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns the time d after t0.
func after(d time.Duration) time.Time { return t0.Add(d) }

// pos returns a position at an offset of a store that tells no epoch.
func pos(offset uint64) logpos.Position { return logpos.Position{Offset: offset} }

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
			c.Add(t0, fleet.FeedUpstreams, pos(0), snapshotOf(4, "a", "b", "c", "z"))
			c.Add(t0, fleet.FeedUpstreams, pos(4), removals(6, "a", "b"))
			c.Add(t0, fleet.FeedUpstreams, pos(6), removals(7, "c"))
			l := c.Get(t0, fleet.FeedUpstreams, pos(tc.from), tc.whole)
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
	c.Add(t0, fleet.FeedUpstreams, pos(0), snapshotOf(0))
	for i := range uint64(3 * maxCachedBatches) {
		c.Add(t0, fleet.FeedUpstreams, pos(i), removals(i+1, "r"))
	}
	if l := c.Get(t0, fleet.FeedUpstreams, pos(2*maxCachedBatches-1), false); !l.Batch.Whole {
		t.Error("more than maxCachedBatches batches are kept")
	}
	if l := c.Get(t0, fleet.FeedUpstreams, pos(2*maxCachedBatches), false); l.Batch.Whole || len(l.Batch.Changes) != maxCachedBatches {
		t.Errorf("%d records kept, whole %t", len(l.Batch.Changes), l.Batch.Whole)
	}
}

// Guards against followers of a healthy reader that never learn of an upstream. The reader
// skips records 2 and 3; its state is then incomplete and must not be served as a snapshot.
func TestFeedCacheOmitsIncompleteSnapshot(t *testing.T) {
	c := NewFeedCache()
	c.Add(t0, fleet.FeedUpstreams, pos(0), snapshotOf(2, "a"))
	c.Add(t0, fleet.FeedUpstreams, pos(4), removals(6, "b"))
	if l := c.Get(t0, fleet.FeedUpstreams, pos(2), false); l.Known {
		t.Errorf("%+v", l)
	}
	c.Add(t0, fleet.FeedUpstreams, pos(0), snapshotOf(7, "a"))
	if l := c.Get(t0, fleet.FeedUpstreams, pos(7), false); !l.Known {
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
		c.Add(t0, fleet.FeedUpstreams, pos(0), snapshotOf(5, names...))
		c.Get(t0, fleet.FeedUpstreams, pos(0), true)
		c.Add(t0, fleet.FeedUpstreams, pos(5), removals(6, "u0"))
		if got := len(c.Get(t0, fleet.FeedUpstreams, pos(0), true).Batch.Changes); got != upstreams-1 {
			t.Errorf("%d records, want %d", got, upstreams-1)
		}
		return testing.AllocsPerRun(10, func() { c.Get(t0, fleet.FeedUpstreams, pos(0), true) })
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
	c.Add(t0, fleet.FeedUpstreams, pos(0), snapshotOf(0, "a", "b"))
	first := removals(1, "a")
	first.Away = true
	c.Add(t0, fleet.FeedUpstreams, pos(0), first)
	c.Add(t0, fleet.FeedUpstreams, pos(1), removals(2, "b"))
	for from, want := range map[uint64]bool{0: true, 1: false} {
		if l := c.Get(t0, fleet.FeedUpstreams, pos(from), false); l.Batch.Away != want {
			t.Errorf("from %d: away %t", from, l.Batch.Away)
		}
	}
	for at, want := range map[time.Duration]bool{recoveryWindow - 1: true, recoveryWindow: false} {
		if l := c.Get(after(at), fleet.FeedUpstreams, pos(0), true); l.Batch.Away != want {
			t.Errorf("snapshot after %v: away %t", at, l.Batch.Away)
		}
	}
}

// The age depends on the last contact with the store by either feed. A feed that was never
// read is unknown.
func TestFeedCacheAge(t *testing.T) {
	c := NewFeedCache()
	if c.Get(t0, fleet.FeedConfig, pos(0), false).Known {
		t.Error("known before the first read")
	}
	c.Add(t0, fleet.FeedConfig, pos(0), fleet.Batch{Next: 3, Whole: true})
	c.Add(after(time.Second), fleet.FeedConfig, pos(3), fleet.Batch{Next: 3}) // an empty batch also counts as contact
	if l := c.Get(after(3*time.Second), fleet.FeedConfig, pos(3), false); l.Age != 2*time.Second {
		t.Errorf("age %v", l.Age)
	}
	c.Add(after(2*time.Second), fleet.FeedUpstreams, pos(0), snapshotOf(1, "a"))
	if l := c.Get(after(3*time.Second), fleet.FeedConfig, pos(3), false); l.Age != time.Second {
		t.Errorf("age %v after a read of the other feed", l.Age)
	}
	c.MarkStoreDown(t0)
	if !c.Get(t0, fleet.FeedConfig, pos(3), false).StoreDown {
		t.Error("does not report that the store is unavailable")
	}
}

// inEpoch returns a batch as of an epoch of the store.
func inEpoch(e logpos.Epoch, b fleet.Batch) fleet.Batch {
	b.Epoch = e
	return b
}

// Guards against a follower that is told of nothing new, or of the wrong records, because its offset
// and its reader's are of two epochs of the store.
func TestFeedCacheAcrossEpochs(t *testing.T) {
	c := NewFeedCache()
	c.AddFromStore(t0, fleet.FeedUpstreams, pos(0), inEpoch(1, snapshotOf(7, "a", "b", "z")))
	c.AddFromStore(t0, fleet.FeedUpstreams, logpos.Position{Epoch: 1, Offset: 7}, inEpoch(1, removals(9, "a")))
	c.AddFromStore(t0, fleet.FeedUpstreams, logpos.Position{}, inEpoch(2, snapshotOf(4, "a", "z")))
	c.Add(t0, fleet.FeedUpstreams, logpos.Position{Epoch: 1, Offset: 9}, inEpoch(1, removals(10, "z"))) // came late
	c.AddFromStore(t0, fleet.FeedUpstreams, logpos.Position{Epoch: 2, Offset: 4}, inEpoch(2, removals(5, "z")))
	for name, tc := range map[string]struct {
		from  logpos.Position
		want  []string
		isAll bool
	}{
		"at the end of the earlier epoch":   {logpos.Position{Epoch: 1, Offset: 9}, []string{"+a", "b", "z"}, false},
		"before that":                       {logpos.Position{Epoch: 1, Offset: 7}, []string{"a", "+a", "b", "z"}, false},
		"beyond it, with records lost here": {logpos.Position{Epoch: 1, Offset: 10}, []string{"+a"}, true},
		"within the later epoch":            {logpos.Position{Epoch: 2, Offset: 4}, []string{"z"}, false},
		"before what is kept of it":         {logpos.Position{Epoch: 2, Offset: 3}, []string{"+a"}, true},
		"at its end":                        {logpos.Position{Epoch: 2, Offset: 5}, nil, false},
	} {
		got := c.Get(t0, fleet.FeedUpstreams, tc.from, false).Batch
		if diff := cmp.Diff(tc.want, recordNames(got)); diff != "" || got.Whole != tc.isAll || got.End() != (logpos.Position{Epoch: 2, Offset: 5}) {
			t.Errorf("%s: %+v %s", name, got, diff)
		}
		if want := tc.from.Epoch == 1 || tc.isAll; got.Away != want {
			t.Errorf("%s: away %t", name, got.Away)
		}
	}
}

// Guards against an older version of the configuration that daemons get from the copy from which the
// store was restored.
func TestFeedCacheKeepsNewestConfiguration(t *testing.T) {
	c := NewFeedCache()
	version := func(v uint64) []fleet.Change { return []fleet.Change{{Config: &fleet.Config{Version: v}}} }
	c.AddFromStore(t0, fleet.FeedConfig, pos(0), fleet.Batch{Epoch: 1, Next: 7, Whole: true, Changes: version(9)})
	c.AddFromStore(t0, fleet.FeedConfig, pos(0), fleet.Batch{Epoch: 2, Next: 3, Whole: true, Changes: version(5)})
	if got := c.Get(t0, fleet.FeedConfig, pos(0), true).Batch.Changes; len(got) != 1 || got[0].Config.Version != 9 {
		t.Errorf("snapshot %+v", got)
	}
	if got := c.Get(t0, fleet.FeedConfig, logpos.Position{Epoch: 1, Offset: 7}, false).Batch; len(got.Changes) != 0 || got.End() != (logpos.Position{Epoch: 2, Offset: 3}) {
		t.Errorf("changes %+v", got)
	}
}
