//go:build !race

// The race detector of go1.26 fails a check of its own ("slot_locked") in a test bubble with
// the goroutines of thirty daemons, so that these tests run without it; make test runs them
// by themselves. What daemons share is tested with the detector over real connections.

package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
)

// fleetSizes are the fleets that each load is played with.
var fleetSizes = []int{30, 100, 300}

const (
	upstreams = 40
	// startTime is how long a fleet needs at most to settle after a start.
	startTime = 12 * time.Second
	// burstCalls is how many calls the fleet may make in any second after its first, and
	// startCalls in its first.
	burstCalls = 100
	startCalls = 150
)

// play runs a load on fleets of each size, of which all daemons know the configuration
// and the upstreams.
func play(t *testing.T, load func(t *testing.T, w *world)) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, n)
				w.store.configure(1)
				for i := range upstreams {
					w.store.register(i)
				}
				w.startAll(w.daemons)
				time.Sleep(startTime)
				if _, ok := w.slowest(); !ok {
					t.Error("a daemon is not ready")
				}
				load(t, w)
				for _, d := range w.daemons {
					if d.back {
						t.Errorf("%s went back to an older version", d.self.Instance)
					}
				}
				w.end()
			})
		})
	}
}

// calls checks the calls from a time of the test to now.
func (w *world) calls(t *testing.T, from time.Duration, most float64) {
	t.Helper()
	sum, second := w.store.calls(from, w.at())
	t.Logf("%.0f calls in %v, at most %.0f in a second", sum, w.at()-from, second)
	if sum > most {
		t.Errorf("%.0f calls in %v, want at most %.0f", sum, w.at()-from, most)
	}
	if second > burstCalls {
		t.Errorf("%.0f calls in one second, want at most %d", second, burstCalls)
	}
}

// within checks that all daemons that live have learned something in time.
func (w *world) within(t *testing.T, what string, from time.Time, bound time.Duration) {
	t.Helper()
	late, missing := w.late(what, from, w.living())
	t.Logf("%s: known to all %v after", what, late)
	if missing > 0 || late > bound {
		t.Errorf("%s: %d daemons do not know, the last that does %v after, want %v", what, missing, late, bound)
	}
}

// leave marks upstream u0 as leaving.
func (s *modelStore) leave() time.Time {
	r := upstream(0)
	r.Draining = true
	return s.put(fleet.FeedUpstreams, fleet.Change{Put: &r})
}

// forget drops an upstream's registration.
func (s *modelStore) forget(i int) time.Time {
	return s.put(fleet.FeedUpstreams, fleet.Change{Gone: upstream(i).Name})
}

// Load: a fleet of which nothing happens.
// Symptom: calls that grow with the daemons.
func TestCalm(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		time.Sleep(30 * time.Second)
		w.calls(t, from, 30*12) // two and a half a second for each reader, a tenth for each renewal
	})
}

// Load: all daemons start within 0.3 s while upstreams register one by one.
// Symptom: thousands of calls before the first caller came.
// Cause: each daemon reads each record for itself until it has found a reader, and the
// reader it finds has no word yet.
func TestStart(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, n)
				w.store.configure(1)
				go func() {
					for i := range upstreams {
						w.store.register(i)
						time.Sleep(100 * time.Millisecond)
					}
				}()
				w.startAll(w.daemons)
				time.Sleep(14*time.Second - w.at())
				if longest, ok := w.slowest(); !ok || longest > 2*time.Second {
					t.Errorf("ready: all %t, the last after %v", ok, longest)
				}
				if first, _ := w.store.calls(0, time.Second); first > startCalls {
					t.Errorf("%.0f calls in the first second, want at most %d", first, startCalls)
				}
				w.calls(t, time.Second, 300)
				if got := len(w.readers()); got != dataCentres {
					t.Errorf("%d readers, want one of each data centre", got)
				}
				for _, d := range w.readers() {
					if d.self.Weight < 800 {
						t.Errorf("%s reads, which is a small daemon", d.self.Instance)
					}
				}
				w.end()
			})
		})
	}
}

// Load: all daemons are killed at once and start again.
// Symptom: a fleet of 300 is back after tens of seconds.
// Cause: the store refuses the calls over its rate, which all daemons make at once.
func TestRestartOfAll(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		w.kill(w.daemons...)
		w.startAll(w.daemons)
		time.Sleep(10 * time.Second)
		if longest, ok := w.slowest(); !ok || longest > 2*time.Second {
			t.Errorf("ready: all %t, the last after %v", ok, longest)
		}
		sum, most := w.store.calls(from, w.at())
		t.Logf("%.0f calls, at most %.0f in a second", sum, most)
		if sum > 300 || most > startCalls {
			t.Errorf("%.0f calls, at most %.0f in a second", sum, most)
		}
	})
}

// Load: one daemon after the other is stopped and started again.
func TestRollingRestart(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		for _, d := range w.daemons[:20] {
			d.kill()
			time.Sleep(500 * time.Millisecond)
			d.start()
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		if longest, ok := w.slowest(); !ok || longest > 3*time.Second {
			t.Errorf("ready: all %t, the last after %v", ok, longest)
		}
		w.calls(t, from, 25*20)
	})
}

// Load: the store refuses every call for 16 s, or leaves every call without an answer,
// and comes back with a new version, a registration that lapsed and one that is back.
// Symptom: 41,000 calls of 295 daemons to a store that was weakest then.
// Cause: each daemon asked for each feed every 250 ms.
func TestOutage(t *testing.T) {
	for name, set := range map[string]func(s *modelStore, away bool){
		"refuses": func(s *modelStore, away bool) { s.down = away },
		"silent":  func(s *modelStore, away bool) { s.silent = away },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				from := w.at()
				w.store.update(func() { set(w.store, true) })
				time.Sleep(16 * time.Second)
				w.calls(t, from, 16*50)
				version, left := w.store.configure(2), w.store.leave()
				w.store.update(func() { set(w.store, false) })
				time.Sleep(5 * time.Second)
				w.within(t, "version 2", version, 2*time.Second)
				w.within(t, "leaves u0", left, 2*time.Second)
				w.calls(t, from, 21*50)
			})
		})
	}
}

// Symptom: upstreams that live get no work after an outage.
// Sequence: registrations lapse while the store is away; it comes back; they are back
// within 1.5 s.
// Cause: a follower that takes what its reader read after the outage for withdrawals.
func TestLapsesOfAnOutageAreToldApart(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.store.update(func() { w.store.down = true })
		time.Sleep(5 * time.Second)
		for i := range 5 {
			w.store.forget(i)
		}
		w.store.update(func() { w.store.down = false })
		time.Sleep(1500 * time.Millisecond)
		for i := range 4 {
			w.store.register(i)
		}
		time.Sleep(5 * time.Second)
		for _, d := range w.living() {
			if _, ok := d.learned["gone u0"]; ok {
				t.Fatalf("%s dropped an upstream that lives", d.self.Instance)
			}
			if _, ok := d.learned["gone u4"]; !ok {
				t.Fatalf("%s keeps an upstream that is gone", d.self.Instance)
			}
		}
	})
}

// Load: the store turns a third of the daemons away, readers among them, and serves the
// others.
// Symptom: followers of a reader that is refused learn nothing, or all ask the store.
func TestSomeAreRefused(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		w.store.update(func() {
			for i, d := range w.daemons {
				w.store.refused[d.self.Instance] = i%3 == 0 || d.roster.Leads()
			}
		})
		time.Sleep(time.Second)
		version, left := w.store.configure(2), w.store.leave()
		time.Sleep(8 * time.Second)
		w.within(t, "version 2", version, testBound)
		w.within(t, "leaves u0", left, testBound)
		w.calls(t, from, 9*45)
	})
}

// Symptom: a version is three seconds late in a data centre whose reader the store refuses.
// Sequence: the store refuses every reader and the two after its first successor for nine
// seconds; versions come all the while.
// Cause: a successor that serves the reader is not heard, and is left for the next ones.
func TestRefusedForLong(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		w.store.update(func() {
			for i, d := range w.daemons {
				w.store.refused[d.self.Instance] = i/dataCentres != 1
			}
		})
		for version := uint64(2); version < 11; version++ {
			at := w.store.configure(version)
			time.Sleep(time.Second)
			if version > 4 { // those that are served are found by then
				w.within(t, fmt.Sprintf("version %d", version), at, 500*time.Millisecond)
			}
		}
		w.calls(t, from, 9*60)
	})
}

// Load: every reader is killed, just before a version and a withdrawal.
// Symptom: a withdrawn upstream gets new work; or 300 daemons ask the store.
func TestReadersLost(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		w.kill(w.readers()...)
		version, left := w.store.configure(2), w.store.leave()
		time.Sleep(8 * time.Second)
		w.within(t, "version 2", version, testBound)
		w.within(t, "leaves u0", left, testBound)
		w.calls(t, from, 8*25)
	})
}

// Load: the readers stand still, with open connections, for 6 s.
// Symptom: their followers wait for them.
func TestReadersFrozen(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		frozen := map[string]bool{}
		for _, d := range w.readers() {
			frozen[d.self.Address] = true
			w.store.setDead(d.self.Instance, true)
		}
		w.network.setCut(func(a, b string) bool { return frozen[a] || frozen[b] })
		version, left := w.store.configure(2), w.store.leave()
		time.Sleep(6 * time.Second)
		for _, d := range w.daemons {
			w.store.setDead(d.self.Instance, false)
		}
		w.network.setCut(nil)
		var others []*daemon
		for _, d := range w.daemons {
			if !frozen[d.self.Address] {
				others = append(others, d)
			}
		}
		for what, at := range map[string]time.Time{"version 2": version, "leaves u0": left} {
			if late, missing := w.late(what, at, others); missing > 0 || late > testBound {
				t.Errorf("%s: %d do not know, the last %v after", what, missing, late)
			}
		}
		time.Sleep(12 * time.Second)
		w.within(t, "version 2", version, 10*time.Second)
		w.calls(t, from, 18*30)
		if got := len(w.readers()); got != dataCentres {
			t.Errorf("%d readers after the thaw", got)
		}
	})
}

// Load: a data centre is cut off from the others and from the store for 6 s, and comes
// back.
// Symptom: each of its daemons asks a store that it cannot reach; after the cut versions
// are late there.
func TestDataCentreCutOff(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		cut := map[string]bool{}
		for _, d := range w.daemons {
			if d.self.DataCentre == "dc1" {
				cut[d.self.Address] = true
				w.store.setDead(d.self.Instance, true)
			}
		}
		w.network.setCut(func(a, b string) bool { return cut[a] != cut[b] })
		time.Sleep(6 * time.Second)
		for _, d := range w.living() {
			if d.self.DataCentre == "dc1" && d.watch.View() == nil {
				t.Errorf("%s serves nothing", d.self.Instance)
			}
		}
		for _, d := range w.daemons {
			w.store.setDead(d.self.Instance, false)
		}
		w.network.setCut(nil)
		version := w.store.configure(2)
		time.Sleep(8 * time.Second)
		w.within(t, "version 2", version, testBound)
		w.calls(t, from, 14*25)
		if got := len(w.readers()); got != dataCentres {
			t.Errorf("%d readers after the cut", got)
		}
	})
}

// Load: the store drops its history while all daemons follow it.
// Symptom: each daemon reads the whole state from the store.
func TestHistoryForgotten(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		left := w.store.leave()
		w.store.update(func() { // before any reader has asked for the last record
			for f := range w.store.feeds {
				w.store.first[f] = uint64(len(w.store.feeds[f]))
			}
		})
		time.Sleep(5 * time.Second)
		w.within(t, "leaves u0", left, testBound)
		w.calls(t, from, 5*20)
	})
}

// Load: a configuration of many routes each second.
// Symptom: each daemon reads each version from the store.
func TestConfigurationsInSuccession(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
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
		w.within(t, "version 11", last, testBound)
		w.calls(t, from, 8*30)
	})
}

// Symptom: a daemon that starts while the store is away serves nothing.
// Sequence: the store goes away; a daemon is started again.
// Cause: a whole state that only the store could give.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.store.update(func() { w.store.down = true })
		time.Sleep(300 * time.Millisecond) // the readers' words are still fresh
		d := w.daemons[len(w.daemons)-1]
		d.kill()
		d.start()
		time.Sleep(time.Second)
		if d.watch.View() == nil || d.watch.View().Config == nil {
			t.Error("the daemon has no view")
		}
	})
}

// Symptom: the one daemon that reaches the store learns nothing.
// Sequence: all others, among them those it follows, are killed.
// Cause: a daemon that waits for a reader for good.
func TestTheLastDaemonReadsItself(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		last := w.daemons[len(w.daemons)-1]
		w.kill(w.daemons[:len(w.daemons)-1]...)
		left := w.store.leave()
		time.Sleep(5 * time.Second)
		if late, missing := w.late("leaves u0", left, []*daemon{last}); missing > 0 || late > testBound {
			t.Errorf("known after %v, missing %d", late, missing)
		}
	})
}

// Load: a fleet of seven, as all of the oldest deployments are. Each daemon reads for
// itself, so that no fault of one reaches the others.
func TestSmallFleetReadsDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 7)
		w.store.configure(1)
		w.store.register(0)
		w.startAll(w.daemons)
		time.Sleep(startTime)
		for _, d := range w.daemons {
			if !d.feeds.Reads() {
				t.Errorf("%s follows another daemon", d.self.Instance)
			}
		}
		w.end()
	})
}

// Load: each daemon sees one completion every two seconds, as in a fleet of hundreds.
// Symptom: the daemon that orders engines learns nothing of what completions cost before
// a day is over, and no daemon the length of answers within a minute.
// Cause: each learns from its own alone.
func TestAllLearnFromTheFleet(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		from := w.at()
		const seconds = 12
		for range seconds {
			for i, d := range w.daemons {
				if i%2 == int(w.at()/time.Second)%2 {
					d.samples.Saw(time.Now(), estimate.Sample{Model: "m", PromptTokens: 3000, AnswerTokens: 700, Held: time.Second})
				}
			}
			time.Sleep(time.Second)
		}
		all := len(w.daemons) / 2 * seconds
		for _, d := range w.daemons {
			d.mu.Lock()
			got := len(d.shown)
			d.mu.Unlock()
			switch {
			case d.roster.Leads() && got < all/2:
				t.Errorf("%s reads and has learned of %d of %d", d.self.Instance, got, all)
			case got < 24:
				t.Errorf("%s has learned of %d", d.self.Instance, got)
			case got > all:
				t.Errorf("%s has learned of %d of %d", d.self.Instance, got, all)
			}
		}
		w.calls(t, from, seconds*14)
	})
}

// Symptom: a daemon that starts judges engines by nothing for a minute.
// Sequence: the fleet has seen hundreds of completions; a daemon is started again.
// Cause: what others know reaches it one by one.
func TestANewDaemonIsToldWhatOthersSaw(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		for range 5 {
			for _, d := range w.daemons {
				d.samples.Saw(time.Now(), estimate.Sample{Model: "m", AnswerTokens: 700})
			}
			time.Sleep(time.Second)
		}
		d := w.daemons[len(w.daemons)-1]
		d.kill()
		d.shown = nil
		d.start()
		time.Sleep(2 * time.Second)
		if got := len(d.shown); got < firstSamples {
			t.Errorf("told of %d", got)
		}
	})
}
