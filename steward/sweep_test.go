package steward

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// sweepHarness combines a Sweep with a membership table of daemon "me", whose clock
// and heartbeats the test controls. ms is the current time in milliseconds after
// start.
type sweepHarness struct {
	table      *members.Table
	sweep      *Sweep
	ms         int
	seq        uint64
	otherPeers bool // daemons b, c and d send heartbeats whenever the owner does
}

// newSweepHarness returns a harness after the time age, during which the daemon "owner"
// sent heartbeats.
func newSweepHarness(age time.Duration) *sweepHarness {
	w := &sweepHarness{sweep: newSweep(SweepConfig{})}
	w.table = members.NewTable(members.Config{Node: wire.NodeID{Instance: "me", Incarnation: 1}, DataCentre: "x"}, start)
	w.advance(int(age.Milliseconds()), true)
	return w
}

// advance moves the time forward by ms. If ownerAlive is set, the owner's incarnation 2
// sends heartbeats.
func (w *sweepHarness) advance(ms int, ownerAlive bool) {
	for end := w.ms + ms; w.ms < end; {
		w.ms += 125
		w.seq++
		for _, n := range []string{"owner", "b", "c", "d"} {
			if ownerAlive && (n == "owner" || w.otherPeers) {
				w.table.HandleHeartbeat(at(w.ms), wire.Heartbeat{Node: wire.NodeID{Instance: n, Incarnation: 2}, DataCentre: "x", Seq: w.seq})
			}
		}
		w.table.Tick(at(w.ms))
	}
}

// list passes a listing by the given incarnation of engine e to the Sweep and returns
// the reasons of the cancels.
func (w *sweepHarness) list(incarnation uint64, held ...engineapi.Held) []Reason {
	var reasons []Reason
	for _, c := range w.sweep.ProcessListing(at(w.ms), "e", engineapi.HeldReply{Incarnation: incarnation, Held: held}, w.table.View()) {
		reasons = append(reasons, c.Reason)
	}
	return reasons
}

// heldWork returns memory of the given kind held for the first attempt of request r.
func heldWork(owner string, incarnation uint64, kind engineapi.HeldKind) engineapi.Held {
	return engineapi.Held{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 1}, Kind: kind,
		Owner: engineapi.Owner{Instance: owner, Incarnation: incarnation}}
}

// Symptom: memory of dead owners is never released, or live work is cancelled.
// Sequence: 100 listings, 250 ms apart, that contain one piece of work.
// Cause: no grace period, one that never ends, or an unknown owner treated like a
// dead one.
func TestSweepByOwner(t *testing.T) {
	stale := heldWork("owner", 2, engineapi.HeldExport)
	stale.AgeMS = DefaultMaxExportAge.Milliseconds()
	young := stale
	young.AgeMS--
	old := heldWork("owner", 2, engineapi.HeldDecode)
	old.AgeMS = time.Hour.Milliseconds()
	cases := []struct {
		name   string
		age    time.Duration // of the steward
		speaks bool
		held   engineapi.Held
		first  int // number of the first listing that leads to a cancel; 0 means none
		reason Reason
	}{
		{"live owner, long stream", time.Minute, true, old, 0, ""},
		{"owner's earlier life", time.Minute, true, heldWork("owner", 1, engineapi.HeldDecode), 3, OwnerDead},
		{"owner's later life, not heard yet", time.Minute, true, heldWork("owner", 3, engineapi.HeldReservation), 41, OwnerUnknown},
		{"silent owner", time.Minute, false, heldWork("owner", 2, engineapi.HeldPrefill), 8, OwnerDead},
		{"never heard of, old steward", time.Minute, true, heldWork("nobody", 1, engineapi.HeldDecode), 41, OwnerUnknown},
		{"never heard of, fresh steward", 0, true, heldWork("nobody", 1, engineapi.HeldDecode), 41, OwnerUnknown},
		{"export that was not imported", time.Minute, true, stale, 1, ExportStale},
		{"export that still may be", time.Minute, true, young, 0, ""},
		{"the steward's own work", time.Minute, true, heldWork("me", 1, engineapi.HeldDecode), 0, ""},
		{"the steward's earlier life's", time.Minute, true, heldWork("me", 0, engineapi.HeldDecode), 3, OwnerDead},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSweepHarness(c.age)
			first := 0
			for n := 1; n <= 100; n++ {
				got := w.list(1, c.held)
				if len(got) > 0 && first == 0 {
					first = n
				}
				if first > 0 && !cmp.Equal(got, []Reason{c.reason}) {
					t.Fatalf("listing %d: %v; the cancel must be repeated while the work is listed", n, got)
				}
				w.advance(250, c.speaks)
			}
			if first != c.first {
				t.Errorf("first cancelled at listing %d, want %d", first, c.first)
			}
		})
	}
}

// Symptom: a live request is cancelled although its owner was only paused.
// Sequence: a listing shows an orphan, the event of the test case follows, and after
// more than the grace period a listing shows the orphan again.
// Cause: an orphan stays recorded after the reason for it has ended.
func TestSweepStartsTheGraceAgain(t *testing.T) {
	held := heldWork("owner", 2, engineapi.HeldDecode)
	for name, between := range map[string]func(*sweepHarness){
		"the owner spoke between": func(w *sweepHarness) {
			w.advance(250, true)
			w.list(1, held)
			w.advance(1500, false)
		},
		"the work was gone between": func(w *sweepHarness) { w.list(1); w.advance(500, false) },
		"the engine restarted":      func(w *sweepHarness) { w.advance(500, false) },
		"another steward had it":    func(w *sweepHarness) { w.advance(500, false); w.sweep.Forget("e") },
		"the steward was stopped and refreshed unseen": func(w *sweepHarness) {
			w.ms += 5000
			w.advance(2500, false)
		},
		"the steward itself was stopped": func(w *sweepHarness) {
			w.ms += 5000
			w.list(1, held) // before the next tick
			w.advance(1250, false)
			w.advance(1500, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSweepHarness(time.Minute)
			w.advance(1500, false)
			if got := w.list(1, held); got != nil {
				t.Fatalf("cancelled by the first listing: %v", got)
			}
			between(w)
			engine := uint64(1)
			if name == "the engine restarted" {
				engine = 2
			}
			if got := w.list(engine, held); got != nil {
				t.Errorf("cancelled without a new grace period: %v", got)
			}
			w.advance(500, false)
			if got := w.list(engine, held); len(got) != 1 {
				t.Errorf("not cancelled after the new grace period: %v", got)
			}
		})
	}
}

// Symptom: a steward that lost the connection to its peers, but not to the engines,
// cancels the work of all daemons.
// Sequence: the steward receives heartbeats of four daemons, then none; it lists an
// engine that holds work of one of them and of that one's earlier incarnation.
// Cause: the silence of all daemons is treated as the death of all.
func TestIsolatedStewardWaits(t *testing.T) {
	w := newSweepHarness(0)
	w.otherPeers = true
	w.advance(60000, true)
	w.advance(1500, false)
	held := []engineapi.Held{heldWork("owner", 2, engineapi.HeldDecode), heldWork("owner", 1, engineapi.HeldPrefill)}
	for ms := 0; ms <= 31000; ms += 1000 {
		want := 1
		switch {
		case ms == 0:
			want = 0
		case time.Duration(1500+ms)*time.Millisecond >= members.DefaultIsolationWindow: // since the last heartbeat
			want = 2
		}
		if got := w.list(1, held...); len(got) != want {
			t.Fatalf("%v after %d ms", got, ms)
		}
		w.advance(1000, false)
	}
}

// The grace period of an unknown owner is long; the engine is not listed repeatedly
// during it.
func TestSweepSaysWhenToListAgain(t *testing.T) {
	w := newSweepHarness(time.Minute)
	w.list(1)
	if _, ok := w.sweep.NextListing(at(w.ms), "e"); ok {
		t.Error("a listing is due without orphans")
	}
	w.list(1, heldWork("nobody", 1, engineapi.HeldDecode))
	next := func(want time.Duration) {
		t.Helper()
		if got, ok := w.sweep.NextListing(at(w.ms), "e"); !ok || got.Sub(at(w.ms)) != want {
			t.Errorf("next listing in %v (%v), want %v", got.Sub(at(w.ms)), ok, want)
		}
	}
	next(members.DefaultUnknownAfter)
	w.list(1, heldWork("nobody", 1, engineapi.HeldDecode), heldWork("owner", 1, engineapi.HeldPrefill))
	next(DefaultGrace)
	w.advance(20000, true)
	w.list(1, heldWork("nobody", 1, engineapi.HeldDecode))
	next(DefaultGrace)
}

// A frozen steward cancels nothing, even if its view from before the freeze contains
// dead owners.
func TestSweepWaitsForARefreshedView(t *testing.T) {
	w := newSweepHarness(time.Minute)
	held := heldWork("owner", 1, engineapi.HeldDecode)
	w.list(1, held)
	w.ms += 3000
	if got := w.list(1, held); got != nil {
		t.Errorf("cancelled before the first tick after a freeze: %v", got)
	}
	w.table.Tick(at(w.ms))
	w.ms += 500
	if got := w.list(1, held); got != nil {
		t.Errorf("cancelled before the freeze ended: %v", got)
	}
}
