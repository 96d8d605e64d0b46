package members

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/internal/wire"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func node(name string, inc uint64) wire.NodeID { return wire.NodeID{Instance: name, Incarnation: inc} }

func config(name, dataCentre string) Config {
	return Config{Node: node(name, 1), DataCentre: dataCentre, Address: name + ":1"}
}

// beat returns a heartbeat of the given incarnation with number seq.
func beat(name, dataCentre string, inc, seq uint64) wire.Heartbeat {
	return wire.Heartbeat{Node: node(name, inc), DataCentre: dataCentre, Address: name + ":1", Seq: seq}
}

// tickTo calls Tick every half heartbeat interval, as package peer does.
func tickTo(tb *Table, from, to int) {
	for ms := from; ms <= to; ms += 125 {
		tb.Tick(at(ms))
	}
}

// Symptom: a steward cancels the work of a live daemon, or never cancels that of a
// dead one.
// Sequence: daemon b sends heartbeats, restarts, falls silent and sends heartbeats
// again; heartbeats of its earlier incarnation, and another daemon's list that
// contains b, arrive late.
// Cause: liveness depends on the instance name alone, or on something other than
// the growth of the daemon's own sequence numbers.
func TestLivenessFollowsIncarnationAndProgress(t *testing.T) {
	listing := beat("c", "x", 1, 1)
	listing.Known = []wire.KnownDaemon{{Node: node("b", 2), DataCentre: "x"}}
	steps := []struct {
		name       string
		ms         int
		hear       []wire.Heartbeat
		old, later Liveness // of b's incarnations 1 and 2
	}{
		{"unknown daemon", 0, nil, Unknown, Unknown},
		{"heartbeat of the first incarnation", 0, []wire.Heartbeat{beat("b", "x", 1, 9)}, Alive, Unknown},
		{"repeated heartbeat", 750, []wire.Heartbeat{beat("b", "x", 1, 9)}, Suspect, Unknown},
		{"heartbeat of the second incarnation", 1000, []wire.Heartbeat{beat("b", "x", 2, 1)}, Dead, Alive},
		{"late heartbeat of the first incarnation", 1250, []wire.Heartbeat{beat("b", "x", 1, 10)}, Dead, Alive},
		{"three heartbeats missed", 1750, nil, Dead, Suspect},
		{"four heartbeats missed", 2125, nil, Dead, Suspect},
		{"five heartbeats missed", 2250, nil, Dead, Dead},
		{"listed by another daemon", 2500, []wire.Heartbeat{listing}, Dead, Dead},
		{"next heartbeat of the second incarnation", 2625, []wire.Heartbeat{beat("b", "x", 2, 2)}, Dead, Alive},
	}
	tb := NewTable(config("a", "x"), start)
	last := 0
	for _, s := range steps {
		tickTo(tb, last, s.ms)
		last = s.ms
		for _, hb := range s.hear {
			tb.HandleHeartbeat(at(s.ms), hb)
		}
		tb.Tick(at(s.ms))
		got := [2]Liveness{tb.View().Liveness(node("b", 1)), tb.View().Liveness(node("b", 2))}
		if want := [2]Liveness{s.old, s.later}; got != want {
			t.Errorf("%s: got %v, want %v", s.name, got, want)
		}
	}
	if n := tb.View().Deaths(); n != 2 {
		t.Errorf("%d deaths, want one by a later incarnation and one by silence", n)
	}
}

// Symptom: a daemon that cannot reach its peers cancels the work of all of them.
// Sequence: a daemon receives heartbeats from up to four others, two of them in
// another data centre; then those listed in silent stop.
// Cause: the silence of most daemons is treated as the death of each.
func TestIsolationIsToldFromDeaths(t *testing.T) {
	for _, c := range []struct {
		name       string
		others     []string
		silent     string
		then, last bool // Isolated after DeadAfter (1250 ms), and after IsolationWindow has passed
	}{
		{"one of four dies", []string{"bx", "cx", "dy", "ey"}, "bx", false, false},
		{"all are silent", []string{"bx", "cx", "dy", "ey"}, "bx cx dy ey", true, false},
		{"three are silent", []string{"bx", "cx", "dy", "ey"}, "cx dy ey", true, false},
		{"the other data centre is silent", []string{"bx", "cx", "dy", "ey"}, "dy ey", false, false},
		{"one of two dies", []string{"bx", "cx"}, "bx", false, false},
		{"the only other", []string{"bx"}, "bx", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tb := NewTable(config("a", "x"), start)
			for ms := 0; ms <= 40000; ms += 125 {
				for _, n := range c.others {
					if ms == 0 || !strings.Contains(c.silent, n) {
						tb.HandleHeartbeat(at(ms), beat(n, n[1:], 1, uint64(1+ms)))
					}
				}
				tb.Tick(at(ms))
				if got := tb.View().Isolated(); ms == 1250 && got != c.then || ms == 40000 && got != c.last {
					t.Errorf("isolated is %v after %d ms", got, ms)
				}
			}
		})
	}
}

// Symptom: two processes with the same instance name both continue to act for it.
// Sequence: the platform starts a new incarnation while the old one is only frozen;
// the old one resumes and learns of the new one, from its heartbeat or from another
// daemon's list.
// Cause: the old incarnation is not notified that it was replaced.
func TestEarlierIncarnationIsNotified(t *testing.T) {
	listing := beat("b", "x", 1, 1)
	listing.Known = []wire.KnownDaemon{{Node: node("a", 2)}}
	for name, hb := range map[string]wire.Heartbeat{"directly": beat("a", "x", 2, 1), "by another daemon's list": listing} {
		tb := NewTable(config("a", "x"), start)
		tb.HandleHeartbeat(start, hb)
		if got := tb.Tick(start); got[len(got)-1] != (Change{Superseded, node("a", 2)}) {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// Symptom: after a freeze a daemon dispatches requests by an outdated view, or
// declares its peers dead because it received nothing while it was frozen.
// Sequence: three peers send heartbeats; the process is frozen for 3 s; heartbeats
// sent meanwhile wait in its sockets; a caller reads the view before the next tick.
// Cause: the process relies on the last view, or on heartbeats that may have been
// sent before or during the freeze.
func TestThawWaitsForLaterHeartbeats(t *testing.T) {
	freezeAndTick := func(t *testing.T) (*Table, Round) {
		tb := NewTable(config("a", "x"), start)
		for _, n := range []string{"b", "c", "d"} {
			tb.HandleHeartbeat(start, beat(n, "x", 1, 1))
		}
		tb.Tick(start)
		tb.NextRound(start)
		now := at(3000)
		if !tb.View().Frozen(now) {
			t.Error("Frozen is false before the first tick after the freeze")
		}
		tb.HandleHeartbeat(now, beat("b", "x", 1, 9)) // waited in the socket
		tb.Tick(now)
		if !tb.View().Frozen(now) {
			t.Error("a buffered heartbeat ended the freeze")
		}
		for _, n := range []string{"b", "c", "d"} {
			if got := tb.View().Liveness(node(n, 1)); got != Alive {
				t.Errorf("%s is %v after the freeze, want alive", n, got)
			}
		}
		return tb, tb.NextRound(now)
	}
	t.Run("a majority answers", func(t *testing.T) {
		tb, round := freezeAndTick(t)
		ask, _ := round.HeartbeatFor("x", 0)
		if !ask.RequestEcho {
			t.Fatal("the heartbeat after the freeze does not ask for an echo")
		}
		for i, n := range []string{"b", "b", "c"} {
			hb := beat(n, "x", 1, uint64(20+i))
			hb.Echo = ask.Seq
			if !tb.View().Frozen(at(3010)) {
				t.Errorf("the freeze ended before a majority replied, at heartbeat %d", i)
			}
			tb.HandleHeartbeat(at(3010), hb)
		}
		if tb.View().Frozen(at(3010)) {
			t.Error("still frozen after 2 of 3 peers answered")
		}
	})
	t.Run("old echoes do not count", func(t *testing.T) {
		tb, round := freezeAndTick(t)
		for _, n := range []string{"b", "c", "d"} {
			hb := beat(n, "x", 1, 20)
			hb.Echo = round.hb.Seq - 1
			tb.HandleHeartbeat(at(3010), hb)
		}
		if !tb.View().Frozen(at(3010)) {
			t.Error("echoes of a heartbeat sent before the freeze ended it")
		}
	})
	t.Run("nobody answers", func(t *testing.T) {
		tb, _ := freezeAndTick(t)
		tickTo(tb, 3125, 3875)
		if !tb.View().Frozen(at(3999)) {
			t.Error("the freeze ended before RefreshAfter without any reply")
		}
		tb.Tick(at(4000))
		if tb.View().Frozen(at(4000)) {
			t.Error("still frozen after RefreshAfter")
		}
	})
}

// Symptom: right after a freeze a steward acts on observations made before it.
// Sequence: a table runs, is frozen for 5 s, and the freeze ends.
// Cause: View.ValidSince does not change, so that callers keep outdated observations.
func TestSinceStartsAgainAfterAFreeze(t *testing.T) {
	tb := NewTable(config("a", "x"), start)
	tickTo(tb, 0, 9875)
	if got := tb.View().ValidSince(); !got.Equal(start) {
		t.Errorf("since %v before the freeze", got)
	}
	tickTo(tb, 15000, 18000)
	if got := tb.View().ValidSince(); !got.Equal(at(15000)) || tb.View().Frozen(at(18000)) {
		t.Errorf("since %v after the freeze", got)
	}
}

func TestStewardChoice(t *testing.T) {
	cases := []struct {
		name     string
		centre   string
		draining []string
		want     map[string]bool // instances that are the steward of at least one of 200 upstreams
	}{
		{"live daemons of the data centre", "x", nil, map[string]bool{"a": true, "b": true, "c": true}},
		{"not the draining one", "x", []string{"b"}, map[string]bool{"a": true, "c": true}},
		{"anybody for an empty data centre", "z", nil, map[string]bool{"a": true, "b": true, "c": true, "d": true}},
		{"a draining one if need be", "x", []string{"a", "b", "c", "d"}, map[string]bool{"a": true, "b": true, "c": true, "d": true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := NewTable(config("a", "x"), start)
			for n, dc := range map[string]string{"b": "x", "c": "x", "d": "y"} {
				tb.HandleHeartbeat(start, beat(n, dc, 1, 1))
			}
			for _, n := range c.draining {
				if n == "a" {
					tb.SetDraining(true)
					continue
				}
				hb := beat(n, tb.entries[n].DataCentre, 1, 2)
				hb.Draining = true
				tb.HandleHeartbeat(start, hb)
			}
			tb.Tick(start)
			got := map[string]bool{}
			for i := range 200 {
				got[tb.View().Steward(string(rune('A'+i)), c.centre).Instance] = true
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// The death of a daemon reassigns only the upstreams it was the steward of.
func TestStewardDeathMovesOnlyItsUpstreams(t *testing.T) {
	tb := NewTable(config("a", "x"), start)
	for _, n := range []string{"b", "c", "d"} {
		tb.HandleHeartbeat(start, beat(n, "x", 1, 1))
	}
	tb.Tick(start)
	before := tb.View()
	for ms := 125; ms <= 1500; ms += 125 {
		tb.HandleHeartbeat(at(ms), beat("b", "x", 1, uint64(ms)))
		tb.HandleHeartbeat(at(ms), beat("c", "x", 1, uint64(ms)))
		tb.Tick(at(ms))
	}
	for i := range 200 {
		name := string(rune('A' + i))
		was, is := before.Steward(name, "x"), tb.View().Steward(name, "x")
		if is.Instance == "d" || was.Instance != "d" && was != is {
			t.Errorf("%s moved from %v to %v", name, was, is)
		}
	}
}
