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

func beat(name, dataCentre string, inc, seq uint64) wire.Heartbeat {
	return wire.Heartbeat{Node: node(name, inc), DataCentre: dataCentre, Address: name + ":1", Seq: seq}
}

// tickTo ticks every half heartbeat, as the runner does.
func tickTo(tb *Table, from, to int) {
	for ms := from; ms <= to; ms += 125 {
		tb.Tick(at(ms))
	}
}

// Symptom: work of a live daemon is swept, or that of a dead one never is.
// Sequence: daemon b speaks, restarts, falls silent and speaks again; messages
// of its earlier life and gossip about it arrive late.
// Cause: liveness by name alone, or by anything but the daemon's own progress.
func TestLivenessFollowsIncarnationAndProgress(t *testing.T) {
	gossip := beat("c", "x", 1, 1)
	gossip.Known = []wire.Known{{Node: node("b", 2), DataCentre: "x"}}
	steps := []struct {
		name       string
		ms         int
		hear       []wire.Heartbeat
		old, later Liveness // of b's incarnations 1 and 2
	}{
		{"never heard of", 0, nil, Unknown, Unknown},
		{"first life speaks", 0, []wire.Heartbeat{beat("b", "x", 1, 9)}, Alive, Unknown},
		{"repeated heartbeat is no progress", 750, []wire.Heartbeat{beat("b", "x", 1, 9)}, Suspect, Unknown},
		{"second life speaks", 1000, []wire.Heartbeat{beat("b", "x", 2, 1)}, Dead, Alive},
		{"first life's last words", 1250, []wire.Heartbeat{beat("b", "x", 1, 10)}, Dead, Alive},
		{"three heartbeats missed", 1750, nil, Dead, Suspect},
		{"the fourth", 2125, nil, Dead, Suspect},
		{"the fifth", 2250, nil, Dead, Dead},
		{"gossip about it", 2500, []wire.Heartbeat{gossip}, Dead, Dead},
		{"it was only cut off", 2625, []wire.Heartbeat{beat("b", "x", 2, 2)}, Dead, Alive},
	}
	tb := NewTable(config("a", "x"), start)
	last := 0
	for _, s := range steps {
		tickTo(tb, last, s.ms)
		last = s.ms
		for _, hb := range s.hear {
			tb.Hear(at(s.ms), hb)
		}
		tb.Tick(at(s.ms))
		got := [2]Liveness{tb.View().Liveness(node("b", 1)), tb.View().Liveness(node("b", 2))}
		if want := [2]Liveness{s.old, s.later}; got != want {
			t.Errorf("%s: got %v, want %v", s.name, got, want)
		}
	}
	if n := tb.View().Deaths(); n != 2 {
		t.Errorf("%d deaths, want one by a later life and one by silence", n)
	}
}

// Symptom: one daemon without a network to its peers frees everybody's memory.
// Sequence: a daemon hears four others, two of them far; then as many of them
// fall silent as the case says.
// Cause: silence of all taken for the death of all.
func TestIsolationIsToldFromDeaths(t *testing.T) {
	for _, c := range []struct {
		name       string
		others     []string
		silent     string
		then, last bool // when the first is dead, and after the memory of losses
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
						tb.Hear(at(ms), beat(n, n[1:], 1, uint64(1+ms)))
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

// Symptom: two processes under one name both believe to be the instance.
// Sequence: the platform starts a new life while the old one is only frozen;
// the old one thaws and hears of the new one, from itself or by gossip.
// Cause: nothing tells the old life that it is over.
func TestEarlierLifeHearsThatItIsOver(t *testing.T) {
	byGossip := beat("b", "x", 1, 1)
	byGossip.Known = []wire.Known{{Node: node("a", 2)}}
	for name, hb := range map[string]wire.Heartbeat{"directly": beat("a", "x", 2, 1), "by gossip": byGossip} {
		tb := NewTable(config("a", "x"), start)
		tb.Hear(start, hb)
		if got := tb.Tick(start); got[len(got)-1] != (Action{Superseded, node("a", 2)}) {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// Symptom: a thawed daemon dispatches on what it believed before the stop, or
// buries its peers for its own silence.
// Sequence: three peers speak; the process stops for 3 s; heartbeats sent
// during the stop wait in its sockets; a caller asks before the ticker ran.
// Cause: trusting the last view, or words that may be as old as the stop.
func TestThawWaitsForWordsSentAfterIt(t *testing.T) {
	thawed := func(t *testing.T) (*Table, Round) {
		tb := NewTable(config("a", "x"), start)
		for _, n := range []string{"b", "c", "d"} {
			tb.Hear(start, beat(n, "x", 1, 1))
		}
		tb.Tick(start)
		tb.Beat(start)
		now := at(3000)
		if !tb.View().Frozen(now) {
			t.Error("a caller before the ticker was let through")
		}
		tb.Hear(now, beat("b", "x", 1, 9)) // waited in the socket
		tb.Tick(now)
		if !tb.View().Frozen(now) {
			t.Error("buffered words ended the freeze")
		}
		for _, n := range []string{"b", "c", "d"} {
			if got := tb.View().Liveness(node(n, 1)); got != Alive {
				t.Errorf("%s is %v for our own silence", n, got)
			}
		}
		return tb, tb.Beat(now)
	}
	t.Run("a majority answers", func(t *testing.T) {
		tb, round := thawed(t)
		ask, _ := round.To("x", 0)
		if !ask.Ask {
			t.Fatal("the round asks for no echo")
		}
		for i, n := range []string{"b", "b", "c"} {
			hb := beat(n, "x", 1, uint64(20+i))
			hb.Echo = ask.Seq
			if !tb.View().Frozen(at(3010)) {
				t.Errorf("thawed by %d of 3 peers", i)
			}
			tb.Hear(at(3010), hb)
		}
		if tb.View().Frozen(at(3010)) {
			t.Error("still frozen after 2 of 3 peers answered")
		}
	})
	t.Run("old echoes do not count", func(t *testing.T) {
		tb, round := thawed(t)
		for _, n := range []string{"b", "c", "d"} {
			hb := beat(n, "x", 1, 20)
			hb.Echo = round.hb.Seq - 1
			tb.Hear(at(3010), hb)
		}
		if !tb.View().Frozen(at(3010)) {
			t.Error("thawed by answers to a heartbeat from before the stop")
		}
	})
	t.Run("nobody answers", func(t *testing.T) {
		tb, _ := thawed(t)
		tickTo(tb, 3125, 3875)
		if !tb.View().Frozen(at(3999)) {
			t.Error("thawed before the refresh period")
		}
		tb.Tick(at(4000))
		if tb.View().Frozen(at(4000)) {
			t.Error("frozen for good")
		}
	})
}

// Symptom: a thawed steward acts at once on what it saw before the stop.
// Sequence: a table runs, is stopped for 5 s, and is refreshed.
// Cause: nothing tells readers that their own memory is as old as the stop.
func TestSinceStartsAgainAfterAFreeze(t *testing.T) {
	tb := NewTable(config("a", "x"), start)
	tickTo(tb, 0, 9875)
	if got := tb.View().Since(); !got.Equal(start) {
		t.Errorf("since %v before the stop", got)
	}
	tickTo(tb, 15000, 18000)
	if got := tb.View().Since(); !got.Equal(at(15000)) || tb.View().Frozen(at(18000)) {
		t.Errorf("since %v after the stop", got)
	}
}

func TestStewardChoice(t *testing.T) {
	cases := []struct {
		name     string
		centre   string
		draining []string
		want     map[string]bool
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
				tb.Hear(start, beat(n, dc, 1, 1))
			}
			for _, n := range c.draining {
				if n == "a" {
					tb.SetDraining(true)
					continue
				}
				hb := beat(n, tb.entries[n].DataCentre, 1, 2)
				hb.Draining = true
				tb.Hear(start, hb)
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

// A death moves only the dead steward's upstreams.
func TestStewardDeathMovesOnlyItsUpstreams(t *testing.T) {
	tb := NewTable(config("a", "x"), start)
	for _, n := range []string{"b", "c", "d"} {
		tb.Hear(start, beat(n, "x", 1, 1))
	}
	tb.Tick(start)
	before := tb.View()
	for ms := 125; ms <= 1500; ms += 125 {
		tb.Hear(at(ms), beat("b", "x", 1, uint64(ms)))
		tb.Hear(at(ms), beat("c", "x", 1, uint64(ms)))
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
