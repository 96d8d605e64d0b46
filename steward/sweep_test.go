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

// world is a steward's table, driven by hand, and its sweep.
type world struct {
	table *members.Table
	sweep *Sweep
	ms    int
	seq   uint64
	crowd bool // three more daemons, which speak as the owner does
}

// newWorld returns a steward that has run for age and knows the live daemon "owner".
func newWorld(age time.Duration) *world {
	w := &world{sweep: newSweep(SweepConfig{})}
	w.table = members.NewTable(members.Config{Node: wire.NodeID{Instance: "me", Incarnation: 1}, DataCentre: "x"}, start)
	w.run(int(age.Milliseconds()), true)
	return w
}

// run lets time pass; the owner's incarnation 2 heartbeats if it speaks.
func (w *world) run(ms int, speaks bool) {
	for end := w.ms + ms; w.ms < end; {
		w.ms += 125
		w.seq++
		for _, n := range []string{"owner", "b", "c", "d"} {
			if speaks && (n == "owner" || w.crowd) {
				w.table.Hear(at(w.ms), wire.Heartbeat{Node: wire.NodeID{Instance: n, Incarnation: 2}, DataCentre: "x", Seq: w.seq})
			}
		}
		w.table.Tick(at(w.ms))
	}
}

func (w *world) list(engine uint64, held ...engineapi.Held) []Reason {
	var out []Reason
	for _, c := range w.sweep.Listed(at(w.ms), "e", engineapi.HeldReply{Incarnation: engine, Held: held}, w.table.View()) {
		out = append(out, c.Reason)
	}
	return out
}

func work(owner string, incarnation uint64, kind engineapi.HeldKind) engineapi.Held {
	return engineapi.Held{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 1}, Kind: kind,
		Owner: engineapi.Owner{Instance: owner, Incarnation: incarnation}}
}

// Symptom: engine memory is held for good, or live work is cancelled.
// Sequence: for each owner, listings 250 ms apart, as often as stated.
// Cause: no grace, a grace that never ends, or "unknown" taken for "dead".
func TestSweepByOwner(t *testing.T) {
	stale := work("owner", 2, engineapi.HeldExport)
	stale.AgeMS = DefaultExportBound.Milliseconds()
	young := stale
	young.AgeMS--
	old := work("owner", 2, engineapi.HeldDecode)
	old.AgeMS = time.Hour.Milliseconds()
	cases := []struct {
		name   string
		age    time.Duration // of the steward
		speaks bool
		held   engineapi.Held
		first  int // listing that first cancels; 0 means never
		reason Reason
	}{
		{"live owner, long stream", time.Minute, true, old, 0, ""},
		{"owner's earlier life", time.Minute, true, work("owner", 1, engineapi.HeldDecode), 3, OwnerDead},
		{"owner's later life, not heard yet", time.Minute, true, work("owner", 3, engineapi.HeldReservation), 41, OwnerUnknown},
		{"silent owner", time.Minute, false, work("owner", 2, engineapi.HeldPrefill), 8, OwnerDead},
		{"never heard of, old steward", time.Minute, true, work("nobody", 1, engineapi.HeldDecode), 41, OwnerUnknown},
		{"never heard of, fresh steward", 0, true, work("nobody", 1, engineapi.HeldDecode), 41, OwnerUnknown},
		{"export that was not imported", time.Minute, true, stale, 1, ExportStale},
		{"export that still may be", time.Minute, true, young, 0, ""},
		{"the steward's own work", time.Minute, true, work("me", 1, engineapi.HeldDecode), 0, ""},
		{"the steward's earlier life's", time.Minute, true, work("me", 0, engineapi.HeldDecode), 3, OwnerDead},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.age)
			first := 0
			for n := 1; n <= 100; n++ {
				got := w.list(1, c.held)
				if len(got) > 0 && first == 0 {
					first = n
				}
				if first > 0 && !cmp.Equal(got, []Reason{c.reason}) {
					t.Fatalf("listing %d: %v; a cancel is repeated until the work is gone", n, got)
				}
				w.run(250, c.speaks)
			}
			if first != c.first {
				t.Errorf("first cancelled at listing %d, want %d", first, c.first)
			}
		})
	}
}

// Symptom: a live request is cut off though its owner only paused.
// Sequence: the orphan is seen, then what the case says, then seen again after
// more than the grace.
// Cause: the memory of orphans outlives the reason for it.
func TestSweepStartsTheGraceAgain(t *testing.T) {
	held := work("owner", 2, engineapi.HeldDecode)
	for name, between := range map[string]func(*world){
		"the owner spoke between": func(w *world) {
			w.run(250, true)
			w.list(1, held)
			w.run(1500, false)
		},
		"the work was gone between": func(w *world) { w.list(1); w.run(500, false) },
		"the engine restarted":      func(w *world) { w.run(500, false) },
		"another steward had it":    func(w *world) { w.run(500, false); w.sweep.Forget("e") },
		"the steward was stopped and refreshed unseen": func(w *world) {
			w.ms += 5000
			w.run(2500, false)
		},
		"the steward itself was stopped": func(w *world) {
			w.ms += 5000
			w.list(1, held) // asked before the ticker ran
			w.run(1250, false)
			w.run(1500, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(time.Minute)
			w.run(1500, false)
			if got := w.list(1, held); got != nil {
				t.Fatalf("cancelled at first sight: %v", got)
			}
			between(w)
			engine := uint64(1)
			if name == "the engine restarted" {
				engine = 2
			}
			if got := w.list(engine, held); got != nil {
				t.Errorf("cancelled without a new grace: %v", got)
			}
			w.run(500, false)
			if got := w.list(engine, held); len(got) != 1 {
				t.Errorf("never cancelled: %v", got)
			}
		})
	}
}

// Symptom: one daemon that lost its peers but not the engines cancels everybody's work.
// Sequence: the steward hears four daemons, then nobody; it lists an engine that
// holds work of one of them, and work of that one's earlier life.
// Cause: silence of all taken for the death of all.
func TestIsolatedStewardWaits(t *testing.T) {
	w := newWorld(0)
	w.crowd = true
	w.run(60000, true)
	w.run(1500, false)
	held := []engineapi.Held{work("owner", 2, engineapi.HeldDecode), work("owner", 1, engineapi.HeldPrefill)}
	for ms := 0; ms <= 31000; ms += 1000 {
		want := 1
		switch {
		case ms == 0:
			want = 0
		case time.Duration(1500+ms)*time.Millisecond >= members.DefaultLossMemory: // since the last word
			want = 2
		}
		if got := w.list(1, held...); len(got) != want {
			t.Fatalf("%v after %d ms", got, ms)
		}
		w.run(1000, false)
	}
}

// Unknown owners wait long; the engine is not listed all that time.
func TestSweepSaysWhenToListAgain(t *testing.T) {
	w := newWorld(time.Minute)
	w.list(1)
	if _, ok := w.sweep.Next(at(w.ms), "e"); ok {
		t.Error("listed again for nothing")
	}
	w.list(1, work("nobody", 1, engineapi.HeldDecode))
	next := func(want time.Duration) {
		t.Helper()
		if got, ok := w.sweep.Next(at(w.ms), "e"); !ok || got.Sub(at(w.ms)) != want {
			t.Errorf("again in %v (%v), want %v", got.Sub(at(w.ms)), ok, want)
		}
	}
	next(members.DefaultUnknownAfter)
	w.list(1, work("nobody", 1, engineapi.HeldDecode), work("owner", 1, engineapi.HeldPrefill))
	next(DefaultGrace)
	w.run(20000, true)
	w.list(1, work("nobody", 1, engineapi.HeldDecode))
	next(DefaultGrace)
}

// A frozen steward cancels nothing, whatever it believed before.
func TestSweepWaitsForARefreshedView(t *testing.T) {
	w := newWorld(time.Minute)
	held := work("owner", 1, engineapi.HeldDecode)
	w.list(1, held)
	w.ms += 3000
	if got := w.list(1, held); got != nil {
		t.Errorf("before the ticker ran: %v", got)
	}
	w.table.Tick(at(w.ms))
	w.ms += 500
	if got := w.list(1, held); got != nil {
		t.Errorf("before peers answered: %v", got)
	}
}
