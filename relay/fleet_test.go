//go:build !race

// The race detector of go1.26 fails an internal check ("slot_locked") in a synctest bubble
// with the goroutines of thirty daemons. These tests therefore run without it, in a
// separate step of make test. Other tests cover the state shared between daemons with the
// race detector, over real connections.

package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
)

// fleetSizes are the numbers of daemons with which each load is run. A load is a scenario of
// events that affect the whole fleet.
var fleetSizes = []int{30, 100, 300}

const (
	upstreams = 40
	// startupTime is the longest time that a fleet needs to settle after a start.
	startupTime = 12 * time.Second
	// maxCallsPerSecond is the largest number of calls that the fleet may make to the store
	// in any later second, and maxCallsAtStart in its first second.
	maxCallsPerSecond = 100
	maxCallsAtStart   = 150
)

// runOnFleets runs a load on fleets of each size. When the load begins, all daemons have
// the configuration and the upstreams.
func runOnFleets(t *testing.T, load func(t *testing.T, w *testFleet)) {
	runOnFleetsWithin(t, testBound, load)
}

// runOnFleetsWithin is runOnFleets with another propagation bound.
func runOnFleetsWithin(t *testing.T, bound time.Duration, load func(t *testing.T, w *testFleet)) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestFleet(t, n)
				w.timing = TimingFor(bound)
				w.store.putConfig(1)
				for i := range upstreams {
					w.store.register(i)
				}
				w.startAll(w.daemons)
				time.Sleep(startupTime)
				if _, ok := w.slowestStart(); !ok {
					t.Error("a daemon is not ready")
				}
				load(t, w)
				for _, d := range w.daemons {
					if d.regressed {
						t.Errorf("%s applied an older version after a newer one", d.self.Instance)
					}
				}
				w.stopAll()
			})
		})
	}
}

// checkCalls checks the number of calls to the store since a time of the test.
func (w *testFleet) checkCalls(t *testing.T, from time.Duration, limit float64) {
	t.Helper()
	sum, maxPerSecond := w.store.countCalls(from, w.elapsed())
	t.Logf("%.0f calls in %v, at most %.0f in a second; by kind %v, reads by reason %v", sum, w.elapsed()-from, maxPerSecond, w.store.callsByKind(from), w.readsByReason(from))
	if sum > limit {
		t.Errorf("%.0f calls in %v, want at most %.0f: by kind %v, reads by reason %v", sum, w.elapsed()-from, limit, w.store.callsByKind(from), w.readsByReason(from))
	}
	if maxPerSecond > maxCallsPerSecond {
		t.Errorf("%.0f calls in one second, want at most %d", maxPerSecond, maxCallsPerSecond)
	}
}

// checkApplied checks that all running daemons have applied a change within a time limit.
func (w *testFleet) checkApplied(t *testing.T, change string, from time.Time, limit time.Duration) {
	t.Helper()
	late, missing := w.lastApplied(change, from, w.running())
	t.Logf("%s: applied by all daemons after %v", change, late)
	if missing > 0 || late > limit {
		t.Errorf("%s: %d daemons have not applied it, the last that has after %v, want %v", change, missing, late, limit)
	}
}

// markDraining marks upstream u0 as draining.
func (s *fakeStore) markDraining() time.Time {
	r := upstream(0)
	r.Draining, r.Sequence = true, r.Sequence+1
	return s.put(fleet.FeedUpstreams, fleet.Change{Put: &r})
}

// unregister removes an upstream's registration.
func (s *fakeStore) unregister(i int) {
	s.put(fleet.FeedUpstreams, fleet.Change{Gone: upstream(i).Name})
}

// Load: a fleet without any events. Guards against calls whose number grows with the number
// of daemons.
func TestIdleFleet(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		time.Sleep(30 * time.Second)
		w.checkCalls(t, from, 30*12) // 2.5 calls a second for each reader, and 0.1 for each renewal of its membership
	})
}

// Load: all daemons start within 0.3 s while upstreams register one by one. Guards against
// thousands of calls before the first request of a caller. They occur if each daemon reads
// the store itself until it has found a reader, and as long as that reader has no data.
func TestStart(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestFleet(t, n)
				w.store.putConfig(1)
				go func() {
					for i := range upstreams {
						w.store.register(i)
						time.Sleep(100 * time.Millisecond)
					}
				}()
				w.startAll(w.daemons)
				time.Sleep(14*time.Second - w.elapsed())
				if longest, ok := w.slowestStart(); !ok || longest > 2*time.Second {
					t.Errorf("ready: all %t, the last after %v", ok, longest)
				}
				if first, _ := w.store.countCalls(0, time.Second); first > maxCallsAtStart {
					t.Errorf("%.0f calls in the first second, want at most %d", first, maxCallsAtStart)
				}
				w.checkCalls(t, time.Second, 300)
				if got := len(w.readers()); got != dataCentres {
					t.Errorf("%d readers, want one of each data centre", got)
				}
				for _, d := range w.readers() {
					if d.self.Weight < 800 {
						t.Errorf("%s is a reader in spite of its small weight", d.self.Instance)
					}
				}
				w.stopAll()
			})
		})
	}
}

// Load: all daemons are killed at once and started again. Guards against a fleet of 300
// that needs tens of seconds to be ready because the store's rate limit refuses the calls
// that all daemons make at once.
func TestRestartOfAllDaemons(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		w.kill(w.daemons...)
		w.startAll(w.daemons)
		time.Sleep(10 * time.Second)
		if longest, ok := w.slowestStart(); !ok || longest > 2*time.Second {
			t.Errorf("ready: all %t, the last after %v", ok, longest)
		}
		sum, most := w.store.countCalls(from, w.elapsed())
		t.Logf("%.0f calls, at most %.0f in a second", sum, most)
		if sum > 300 || most > maxCallsAtStart {
			t.Errorf("%.0f calls, at most %.0f in a second", sum, most)
		}
	})
}

// Load: the daemons are stopped and started again one after the other.
func TestRollingRestart(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		for _, d := range w.daemons[:20] {
			d.kill()
			time.Sleep(500 * time.Millisecond)
			d.start()
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		if longest, ok := w.slowestStart(); !ok || longest > 3*time.Second {
			t.Errorf("ready: all %t, the last after %v", ok, longest)
		}
		w.checkCalls(t, from, 25*20)
	})
}

// Load: the store refuses every call for 16 s, or leaves every call without an answer. Once
// it is available again, it has a new version of the configuration and a draining upstream.
// Guards against 41,000 calls by 295 daemons to a store that is recovering, caused by daemons
// that each read each feed every 250 ms.
func TestOutage(t *testing.T) {
	for name, set := range map[string]func(s *fakeStore, away bool){
		"refuses": func(s *fakeStore, away bool) { s.down = away },
		"silent":  func(s *fakeStore, away bool) { s.unresponsive = away },
	} {
		t.Run(name, func(t *testing.T) {
			runOnFleets(t, func(t *testing.T, w *testFleet) {
				from := w.elapsed()
				w.store.update(func() { set(w.store, true) })
				time.Sleep(16 * time.Second)
				w.checkCalls(t, from, 16*50)
				publishedAt, drainedAt := w.store.putConfig(2), w.store.markDraining()
				w.store.update(func() { set(w.store, false) })
				time.Sleep(5 * time.Second)
				w.checkApplied(t, "version 2", publishedAt, 2*time.Second)
				w.checkApplied(t, "draining u0", drainedAt, 2*time.Second)
				w.checkCalls(t, from, 21*50)
			})
		})
	}
}

// Guards against running upstreams that get no requests after an outage. Registrations
// expire while the store is unavailable, and all but one are restored within 1.5 s of its
// return. Followers must not take the removals in the first batch that their reader reads
// after the outage for deliberate ones.
func TestExpiredLeasesAfterOutage(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		w.store.update(func() { w.store.down = true })
		time.Sleep(5 * time.Second)
		for i := range 5 {
			w.store.unregister(i)
		}
		w.store.update(func() { w.store.down = false })
		time.Sleep(1500 * time.Millisecond)
		for i := range 4 {
			w.store.register(i)
		}
		time.Sleep(5 * time.Second)
		for _, d := range w.running() {
			if _, ok := d.firstApplied["removed u0"]; ok {
				t.Fatalf("%s dropped a running upstream", d.self.Instance)
			}
			if _, ok := d.firstApplied["removed u4"]; !ok {
				t.Fatalf("%s keeps an upstream that is gone", d.self.Instance)
			}
		}
	})
}

// interruptStore makes the store unavailable for a time, in which the registrations of five
// upstreams expire. All but the last of these are restored 1.5 s after the store's return.
func (w *testFleet) interruptStore(set func(s *fakeStore, away bool), length time.Duration) {
	w.store.update(func() { set(w.store, true) })
	time.Sleep(length)
	for i := range 5 {
		w.store.unregister(i)
	}
	w.store.update(func() { set(w.store, false) })
	time.Sleep(1500 * time.Millisecond)
	for i := range 4 {
		w.store.register(i)
	}
}

// setUnresponsive makes the store leave all calls without an answer, or serve them again.
func setUnresponsive(s *fakeStore, away bool) { s.unresponsive = away }

// checkExpired checks that no running daemon has dropped an upstream that was restored after
// interruptStore, and that none still has the upstream that was not.
func (w *testFleet) checkExpired(t *testing.T) {
	t.Helper()
	var dropped, kept []string
	for _, d := range w.running() {
		for i := range 4 {
			if _, ok := d.firstApplied["removed "+upstream(i).Name]; ok {
				dropped = append(dropped, d.self.Instance)
				break
			}
		}
		if _, ok := d.firstApplied["removed "+upstream(4).Name]; !ok {
			kept = append(kept, d.self.Instance)
		}
	}
	if len(dropped) > 0 {
		t.Errorf("%d daemons have dropped a running upstream: %v", len(dropped), dropped)
	}
	if len(kept) > 0 {
		t.Errorf("%d daemons keep an upstream that is gone: %v", len(kept), kept)
	}
}

// Guards against running upstreams that get no requests after the store was silent for about
// as long as one call waits there. A reader's call for one feed then fails before its call
// for the other is answered, and the successor that it asks reads the removals first.
func TestExpiredLeasesAfterShortSilence(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 1500 * time.Millisecond, 1800 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			runOnFleets(t, func(t *testing.T, w *testFleet) {
				w.interruptStore(setUnresponsive, length)
				time.Sleep(6 * time.Second)
				w.checkExpired(t)
			})
		})
	}
}

// Guards against the same after a silence in which no call fails, because the store answers
// the waiting calls when it is back. Such answers come later than the calls asked for.
func TestExpiredLeasesInLateAnswers(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		w.store.update(func() { w.store.answersLate = true })
		w.interruptStore(setUnresponsive, 1500*time.Millisecond)
		time.Sleep(6 * time.Second)
		w.checkExpired(t)
	})
}

// Guards against dropping running upstreams whose registrations expired in one outage when a
// second one begins before they have registered again.
func TestExpiredLeasesBetweenOutages(t *testing.T) {
	for name, set := range map[string]func(s *fakeStore, away bool){
		"refuses": func(s *fakeStore, away bool) { s.down = away },
		"silent":  setUnresponsive,
	} {
		t.Run(name, func(t *testing.T) {
			runOnFleets(t, func(t *testing.T, w *testFleet) {
				w.store.update(func() { set(w.store, true) })
				time.Sleep(4 * time.Second)
				for i := range 5 {
					w.store.unregister(i)
				}
				w.store.update(func() { set(w.store, false) })
				time.Sleep(800 * time.Millisecond)
				w.interruptStore(set, 5*time.Second)
				time.Sleep(6 * time.Second)
				w.checkExpired(t)
			})
		})
	}
}

// Guards against data centres that learn nothing for half a minute after an outage in which
// their readers were killed. The daemons that stand in for a reader must probe the store as
// often as a reader does.
func TestReadersLostDuringOutage(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		w.store.update(func() { w.store.down = true })
		time.Sleep(2500 * time.Millisecond)
		w.kill(w.readers()...)
		time.Sleep(2500 * time.Millisecond)
		publishedAt, drainedAt := w.store.putConfig(2), w.store.markDraining()
		w.store.update(func() { w.store.down = false })
		time.Sleep(3 * time.Second)
		w.checkApplied(t, "version 2", publishedAt, 2*time.Second)
		w.checkApplied(t, "draining u0", drainedAt, 2*time.Second)
		w.checkCalls(t, from, 8*50)
	})
}

// Load: the store refuses a third of the daemons, including the readers, and serves the
// others. Guards against followers of a refused reader that learn nothing or all call the
// store.
func TestStoreRefusesSomeDaemons(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		w.store.update(func() {
			for i, d := range w.daemons {
				w.store.refusedInstances[d.self.Instance] = i%3 == 0 || d.roster.IsReader()
			}
		})
		time.Sleep(time.Second)
		publishedAt, drainedAt := w.store.putConfig(2), w.store.markDraining()
		time.Sleep(8 * time.Second)
		w.checkApplied(t, "version 2", publishedAt, testBound)
		w.checkApplied(t, "draining u0", drainedAt, testBound)
		w.checkCalls(t, from, 9*45)
	})
}

// Guards against a configuration that arrives three seconds late in a data centre whose
// reader the store refuses. For nine seconds the store serves only one daemon of each data
// centre, while new versions are published. The successor that the reader reads through must
// stay in the reader's succession.
func TestRefusedForLong(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		w.store.update(func() {
			for i, d := range w.daemons {
				w.store.refusedInstances[d.self.Instance] = i/dataCentres != 1
			}
		})
		for version := uint64(2); version < 11; version++ {
			at := w.store.putConfig(version)
			time.Sleep(time.Second)
			if version > 4 { // by then followers have found the daemons that the store serves
				w.checkApplied(t, fmt.Sprintf("version %d", version), at, 500*time.Millisecond)
			}
		}
		w.checkCalls(t, from, 9*60)
	})
}

// Load: every reader is killed just before a new configuration and the draining of an
// upstream. Guards against requests that are still sent to the draining upstream, and
// against a call to the store by each of 300 daemons.
func TestReadersLost(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		w.kill(w.readers()...)
		publishedAt, drainedAt := w.store.putConfig(2), w.store.markDraining()
		time.Sleep(8 * time.Second)
		w.checkApplied(t, "version 2", publishedAt, testBound)
		w.checkApplied(t, "draining u0", drainedAt, testBound)
		w.checkCalls(t, from, 8*25)
	})
}

// Load: the readers freeze for 6 s with their connections open. Guards against followers
// that wait for them.
func TestReadersFrozen(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		frozen := map[string]bool{}
		for _, d := range w.readers() {
			frozen[d.self.Address] = true
			w.store.setUnreachable(d.self.Instance, true)
		}
		w.network.setPartition(func(a, b string) bool { return frozen[a] || frozen[b] })
		publishedAt, drainedAt := w.store.putConfig(2), w.store.markDraining()
		time.Sleep(6 * time.Second)
		for _, d := range w.daemons {
			w.store.setUnreachable(d.self.Instance, false)
		}
		w.network.setPartition(nil)
		var others []*daemon
		for _, d := range w.daemons {
			if !frozen[d.self.Address] {
				others = append(others, d)
			}
		}
		for what, at := range map[string]time.Time{"version 2": publishedAt, "draining u0": drainedAt} {
			if late, missing := w.lastApplied(what, at, others); missing > 0 || late > testBound {
				t.Errorf("%s: %d daemons have not applied it, the last that has after %v", what, missing, late)
			}
		}
		time.Sleep(12 * time.Second)
		w.checkApplied(t, "version 2", publishedAt, 10*time.Second)
		w.checkCalls(t, from, 18*30)
		if got := len(w.readers()); got != dataCentres {
			t.Errorf("%d readers after the freeze", got)
		}
	})
}

// Load: a data centre is partitioned from the others and from the store for 6 s. Guards
// against daemons that each call the unreachable store, and against changes that arrive
// late there after the partition.
func TestDataCentrePartition(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		cut := map[string]bool{}
		for _, d := range w.daemons {
			if d.self.DataCentre == "dc1" {
				cut[d.self.Address] = true
				w.store.setUnreachable(d.self.Instance, true)
			}
		}
		w.network.setPartition(func(a, b string) bool { return cut[a] != cut[b] })
		time.Sleep(6 * time.Second)
		for _, d := range w.running() {
			if d.self.DataCentre == "dc1" && d.watch.View() == nil {
				t.Errorf("%s serves nothing", d.self.Instance)
			}
		}
		for _, d := range w.daemons {
			w.store.setUnreachable(d.self.Instance, false)
		}
		w.network.setPartition(nil)
		version := w.store.putConfig(2)
		time.Sleep(8 * time.Second)
		w.checkApplied(t, "version 2", version, testBound)
		w.checkCalls(t, from, 14*25)
		if got := len(w.readers()); got != dataCentres {
			t.Errorf("%d readers after the partition", got)
		}
	})
}

// Load: the store trims records that the daemons have yet to read. Guards against daemons
// that each read a snapshot from the store.
func TestTrimmedHistory(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		drainedAt := w.store.markDraining()
		w.store.update(func() { // before any reader has read the last record
			for f := range w.store.feeds {
				w.store.firstOffset[f] = uint64(len(w.store.feeds[f]))
			}
		})
		time.Sleep(5 * time.Second)
		w.checkApplied(t, "draining u0", drainedAt, testBound)
		w.checkCalls(t, from, 5*20)
	})
}

// Load: a configuration with many routes every 0.33 s. Guards against daemons that each
// read every version from the store.
func TestFrequentConfigurations(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		var last time.Time
		for version := uint64(2); version < 12; version++ {
			routes := make([]fleet.Route, 1400)
			for i := range routes {
				routes[i] = fleet.Route{Name: fmt.Sprintf("r%d", i), Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i), Targets: []fleet.Target{{Service: "s", Weight: 1}}}
			}
			last = w.store.put(fleet.FeedConfig, fleet.Change{Config: &fleet.Config{Version: version, Routes: routes}})
			time.Sleep(330 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		w.checkApplied(t, "version 11", last, testBound)
		w.checkCalls(t, from, 8*30)
	})
}

// Guards against a daemon that serves nothing when it is started while the store is
// unavailable. It must get its snapshot from another daemon.
func TestStartDuringOutage(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		w.store.update(func() { w.store.down = true })
		time.Sleep(300 * time.Millisecond) // the readers' data is still fresh
		d := w.daemons[len(w.daemons)-1]
		d.kill()
		d.start()
		time.Sleep(time.Second)
		if d.watch.View() == nil || d.watch.View().Config == nil {
			t.Error("the daemon has no view")
		}
	})
}

// Guards against a daemon that waits for a reader forever. All other daemons, including its
// reader, are killed; it must read the store itself.
func TestLastDaemonReadsStore(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		last := w.daemons[len(w.daemons)-1]
		w.kill(w.daemons[:len(w.daemons)-1]...)
		drainedAt := w.store.markDraining()
		time.Sleep(5 * time.Second)
		if late, missing := w.lastApplied("draining u0", drainedAt, []*daemon{last}); missing > 0 || late > testBound {
			t.Errorf("applied after %v, missing %d", late, missing)
		}
	})
}

// Load: a fleet of seven daemons, which is below minFleet. Each daemon reads the store
// itself, so that the fault of one does not affect the others.
func TestSmallFleetReadsDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet(t, 7)
		w.store.putConfig(1)
		w.store.register(0)
		w.startAll(w.daemons)
		time.Sleep(startupTime)
		for _, d := range w.daemons {
			if !d.feeds.ReadsStore() {
				t.Errorf("%s reads through another daemon", d.self.Instance)
			}
		}
		w.stopAll()
	})
}

// Load: each daemon sees one completion every two seconds, as in a fleet of hundreds. From
// its own completions alone, the daemon that assigns roles to engines would not learn their
// cost within a day, and no daemon would learn the length of answers within a minute.
func TestSamplesReachAllDaemons(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		const seconds = 12
		for range seconds {
			for i, d := range w.daemons {
				if i%2 == int(w.elapsed()/time.Second)%2 {
					d.samples.AddOwn(time.Now(), estimate.Sample{Model: "m", PromptTokens: 3000, AnswerTokens: 700, Held: time.Second})
				}
			}
			time.Sleep(time.Second)
		}
		all := len(w.daemons) / 2 * seconds
		for _, d := range w.daemons {
			d.mu.Lock()
			got := len(d.received)
			d.mu.Unlock()
			switch {
			case d.roster.IsReader() && got < all/2:
				t.Errorf("reader %s has received %d of %d samples", d.self.Instance, got, all)
			case got < 24:
				t.Errorf("%s has received %d samples", d.self.Instance, got)
			case got > all:
				t.Errorf("%s has received %d samples of %d", d.self.Instance, got, all)
			}
		}
		w.checkCalls(t, from, seconds*14)
	})
}

// Guards against a restarted daemon that has no estimates for a minute. It must be sent the
// recent samples of the fleet at once instead of one by one.
func TestNewDaemonGetsOthersSamples(t *testing.T) {
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		for range 5 {
			for _, d := range w.daemons {
				d.samples.AddOwn(time.Now(), estimate.Sample{Model: "m", AnswerTokens: 700})
			}
			time.Sleep(time.Second)
		}
		d := w.daemons[len(w.daemons)-1]
		d.kill()
		d.received = nil
		d.start()
		time.Sleep(2 * time.Second)
		if got := len(d.received); got < maxSamplesAtStart {
			t.Errorf("received %d samples", got)
		}
	})
}
