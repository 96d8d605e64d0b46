//go:build !race

// See world_test.go for why these tests run without the race detector.

package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/fleet"
)

// storeCopy is the content of the store at one time.
type storeCopy struct {
	feeds      [2][]fleet.Change
	quarantine int
	members    []fakeGroupMember
	generation uint64
}

// copyNow returns a copy of the store.
func (s *fakeStore) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{quarantine: len(s.quarantineRecords), members: append([]fakeGroupMember(nil), s.members...), generation: s.generation}
	for f, list := range s.feeds {
		c.feeds[f] = list[:len(list):len(list)]
	}
	return c
}

// restore replaces the content of the store by a copy and appends to the configuration what is written
// again before any daemon calls. It must be called in update.
func (s *fakeStore) restore(c storeCopy, again ...fleet.Change) {
	s.feeds, s.quarantineRecords, s.members, s.generation = c.feeds, s.quarantineRecords[:c.quarantine:c.quarantine], c.members, c.generation
	s.feeds[fleet.FeedConfig] = append(s.feeds[fleet.FeedConfig], again...)
	s.epoch++
}

// restoreAfter restores the store after an outage.
func (w *testFleet) restoreAfter(outage time.Duration, c storeCopy, again ...fleet.Change) {
	w.store.update(func() { w.store.down = true })
	time.Sleep(outage)
	w.store.update(func() {
		w.store.down = false
		w.store.restore(c, again...)
	})
}

// config returns a change to a version of the configuration.
func config(version uint64) fleet.Change {
	return fleet.Change{Config: &fleet.Config{Version: version}}
}

// Guards against versions that daemons do not get after the store came back from a copy: followers
// that are told of nothing new because their offset is beyond their reader's, and readers to whom a
// version is at an offset that they have read before.
func TestStoreRestoredFromCopy(t *testing.T) {
	for name, again := range map[string][]fleet.Change{
		"offsets go back":          {config(9), config(10)},
		"offsets are as before":    {config(4), config(5), config(6), config(7), config(8), config(10)},
		"offsets are beyond those": {config(4), config(5), config(6), config(7), config(8), config(10), {}},
	} {
		t.Run(name, func(t *testing.T) {
			runOnFleets(t, func(t *testing.T, w *testFleet) {
				w.store.putConfig(3)
				backup := w.store.copyNow()
				for version := uint64(4); version < 10; version++ {
					w.store.putConfig(version)
					time.Sleep(500 * time.Millisecond)
				}
				from := w.elapsed()
				w.restoreAfter(2500*time.Millisecond, backup, again...)
				at := time.Now()
				for version := uint64(10); version < 14; version++ {
					time.Sleep(testBound)
					w.checkApplied(t, fmt.Sprintf("version %d", version), at, testBound)
					at = w.store.putConfig(version + 1)
				}
				w.checkCalls(t, from, 20*50)
			})
		})
	}
}

// partition cuts daemons off from the others and from the store, and returns the function that ends it.
func (w *testFleet) partition(isolated []*daemon, amongThem bool) (end func()) {
	cut := map[string]bool{}
	for _, d := range isolated {
		cut[d.self.Address] = true
		w.store.setUnreachable(d.self.Instance, true)
	}
	w.network.setPartition(func(a, b string) bool { return cut[a] != cut[b] || !amongThem && cut[a] })
	return func() {
		for _, d := range isolated {
			w.store.setUnreachable(d.self.Instance, false)
		}
		w.network.setPartition(nil)
	}
}

// Guards against daemons that stay in an earlier epoch, or follow one that does, since a second
// restoration or another fault came over the first one.
func TestRestoreBesideOtherFaults(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for name, disturb := range map[string]func(w *testFleet, restore func()){
		"no outage": func(_ *testFleet, restore func()) { restore() },
		"two in a row": func(w *testFleet, restore func()) {
			restore()
			time.Sleep(pause)
			w.store.update(func() { w.store.down = true })
			time.Sleep(pause)
			w.store.update(func() { w.store.down = false })
			restore()
		},
		"two at once": func(_ *testFleet, restore func()) {
			restore()
			restore()
		},
		"a data centre is cut off": func(w *testFleet, restore func()) {
			var isolated []*daemon
			for _, d := range w.daemons {
				if d.self.DataCentre == "dc1" {
					isolated = append(isolated, d)
				}
			}
			end := w.partition(isolated, true)
			time.Sleep(pause)
			restore()
			time.Sleep(pause)
			end()
		},
		"the readers freeze": func(w *testFleet, restore func()) {
			end := w.partition(w.readers(), false)
			time.Sleep(pause)
			restore()
			time.Sleep(pause)
			end()
		},
		"the store refuses the readers": func(w *testFleet, restore func()) {
			w.store.update(func() {
				for _, d := range w.readers() {
					w.store.refusedInstances[d.self.Instance] = true
				}
			})
			time.Sleep(pause)
			restore()
			time.Sleep(pause)
			w.store.update(func() { clear(w.store.refusedInstances) })
		},
		"all daemons are killed": func(w *testFleet, restore func()) {
			w.store.update(func() { w.store.down = true })
			w.kill(w.daemons...)
			w.startAll(w.daemons)
			time.Sleep(pause)
			w.store.update(func() { w.store.down = false })
			restore()
			time.Sleep(startupTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnFleets(t, func(t *testing.T, w *testFleet) {
				backup := w.store.copyNow()
				for version := uint64(2); version < 7; version++ {
					w.store.putConfig(version)
				}
				time.Sleep(2 * time.Second)
				disturb(w, func() { w.store.update(func() { w.store.restore(backup, config(6), config(7)) }) })
				at := w.store.putConfig(8)
				for version := uint64(8); version < 12; version++ {
					time.Sleep(testBound)
					w.checkApplied(t, fmt.Sprintf("version %d", version), at, testBound)
					at = w.store.putConfig(version + 1)
				}
				at = w.store.markDraining()
				time.Sleep(testBound)
				w.checkApplied(t, "draining u0", at, testBound)
			})
		})
	}
}

// Guards against an upstream that drains after the store came back from a copy and still gets
// requests, since followers wait for records beyond those that say so.
func TestDrainAfterRestore(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		backup := w.store.copyNow()
		for i := range 8 {
			w.store.register(upstreams + i)
		}
		time.Sleep(2 * time.Second)
		w.restoreAfter(2*time.Second, backup)
		time.Sleep(4 * time.Second) // the store is stable again
		at := w.store.markDraining()
		time.Sleep(testBound)
		w.checkApplied(t, "draining u0", at, testBound)
	})
}

// Guards against an upstream that says that it drains right after the store came back from a copy, at
// an offset that the readers have read before, and gets requests.
func TestDrainAtReusedOffset(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		backup := w.store.copyNow()
		for i := range 3 {
			w.store.register(upstreams + i)
		}
		time.Sleep(2 * time.Second)
		at := time.Now()
		w.store.update(func() {
			w.store.restore(backup)
			draining := upstream(0)
			draining.Draining, draining.Sequence = true, 2
			again := []fleet.Change{{Put: &draining}}
			for i := range 3 {
				r := upstream(upstreams + i)
				again = append(again, fleet.Change{Put: &r})
			}
			w.store.feeds[fleet.FeedUpstreams] = append(w.store.feeds[fleet.FeedUpstreams], again...)
		})
		time.Sleep(testBound)
		w.checkApplied(t, "draining u0", at, testBound)
	})
}

// Guards against requests to upstreams that are in the copy from which the store was restored as if they
// had not left, or did not drain.
func TestUpstreamsThatLeftBeforeRestore(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		backup := w.store.copyNow()
		w.store.markDraining()
		w.store.unregister(1)
		time.Sleep(2 * time.Second)
		w.restoreAfter(time.Second, backup)
		for range 10 { // until the leases of the copy expire
			time.Sleep(300 * time.Millisecond)
			for _, d := range w.running() {
				upstreams := d.watch.View().Bundle.Bundle.Upstreams
				if _, ok := upstreams["u1"]; ok || upstreams["u0"].State == bundle.StateServing {
					t.Fatalf("%s sends requests to an upstream that has left", d.self.Instance)
				}
			}
		}
	})
}

// Guards against requests that crash upstreams again because the record that says so was lost with the
// store, and against a record that each of hundreds of daemons writes again.
func TestQuarantineAcrossRestore(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		backup := w.store.copyNow()
		for _, name := range []string{"u1", "u2", "u3"} {
			w.store.recordEnd(name)
		}
		time.Sleep(quarantineBound)
		from := w.elapsed()
		w.restoreAfter(time.Second, backup)
		time.Sleep(testBound)
		w.store.mu.Lock()
		written := map[string]int{}
		for _, r := range w.store.quarantineRecords {
			written[r.Upstream]++
		}
		w.store.mu.Unlock()
		if diff := cmp.Diff(map[string]int{"u1": 1, "u2": 1, "u3": 1}, written); diff != "" {
			t.Error(diff)
		}
		w.checkCalls(t, from, 400)
		w.kill(w.daemons...)
		w.startAll(w.daemons)
		time.Sleep(testBound)
		if n := w.countNotRefusing(); n > 0 {
			t.Errorf("%d daemons do not refuse the request", n)
		}
	})
}
