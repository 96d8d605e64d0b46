package reach

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against logs that do not tell a failed path from a failed upstream, or repeat a line for
// each failed connection.
func TestPathTransitions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := NewPaths()
	p.RecordDial(at(0), "b", NoFailure)
	p.RecordHeard(at(100), "a")
	for _, tc := range []struct {
		ms      int
		address string
		failure Failure
		want    Transition
	}{
		{200, "a", NoFailure, Transition{Known: 2, SinceReceived: 100 * time.Millisecond}},
		{300, "a", Refused, Transition{Lost: true, Failing: 1, Known: 2, SinceReceived: 200 * time.Millisecond}},
		{400, "a", TimedOut, Transition{Failing: 1, Known: 2, SinceReceived: 300 * time.Millisecond}},
		{500, "b", Refused, Transition{Lost: true, Failing: 2, Known: 2, SinceReceived: neverReceived}},
		{900, "a", NoFailure, Transition{Regained: true, Failing: 1, Known: 2, SinceReceived: 800 * time.Millisecond, LostFor: 600 * time.Millisecond}},
	} {
		if diff := cmp.Diff(tc.want, p.RecordDial(at(tc.ms), tc.address, tc.failure)); diff != "" {
			t.Errorf("%s after %d ms: %s", tc.address, tc.ms, diff)
		}
	}
	if failing, known := countAfter(p, at(900).Add(pathTTL)); failing != 0 || known != 0 {
		t.Errorf("unused paths are remembered: %d of %d fail", failing, known)
	}
}

// countAfter returns the counts of Paths at a later time.
func countAfter(p *Paths, now time.Time) (failing, known int) {
	t := p.RecordDial(now, "other", NoFailure)
	return t.Failing, t.Known - 1
}

// Guards against requests that wait for a timeout each while the path is lost, against a burst of
// probes, and against detours that go on after the path works again.
func TestRouteOfLostPath(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := NewPaths()
	check := func(ms int, address string, want Route) {
		t.Helper()
		if got := p.Route(at(ms), address); got != want {
			t.Errorf("%s after %d ms: %+v, want %+v", address, ms, got, want)
		}
	}
	for _, address := range []string{"a", "b"} {
		p.RecordDial(at(0), address, NoFailure)
		check(10, address, Route{})
		p.RecordDial(at(100), address, TimedOut)
		check(110, address, Route{Detour: true, Probe: true})
		for ms := 120; ms < 600; ms += 20 {
			check(ms, address, Route{Detour: true})
		}
		check(610, address, Route{Detour: true, Probe: true})
	}
	p.RecordDial(at(620), "a", NoFailure)
	check(630, "a", Route{})
	check(630, "b", Route{Detour: true, Probe: true})
}

// Guards against requests on connections that have lost their path without an error, and against
// probes of an upstream that answers.
func TestRouteOfSilentUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	p := NewPaths()
	p.RecordSent(start, "a")
	if got := p.Route(start.Add(silenceLimit-1), "a"); got != (Route{}) {
		t.Errorf("before the limit: %+v", got)
	}
	if got := p.Route(start.Add(silenceLimit), "a"); got != (Route{Probe: true}) {
		t.Errorf("after the limit: %+v", got)
	}
	p.RecordHeard(start.Add(silenceLimit+1), "a")
	p.RecordSent(start.Add(silenceLimit+2), "a")
	if got := p.Route(start.Add(2*silenceLimit), "a"); got != (Route{}) {
		t.Errorf("after bytes arrived: %+v", got)
	}
}

// Guards against one upstream that is down and makes its daemons look cut off, and against daemons
// that are cut off and whose word about upstreams is believed.
func TestCutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPaths()
	for _, address := range []string{"a", "b", "c", "d"} {
		p.RecordDial(now, address, NoFailure)
	}
	p.RecordDial(now, "a", Refused)
	if p.CutOff(now) {
		t.Error("one of four paths fails: cut off")
	}
	if got := p.Suspects(now, 9); len(got) != 3 {
		t.Errorf("suspects %v", got)
	}
	if got := p.Suspects(now, 9); len(got) != 0 {
		t.Errorf("suspects again: %v", got)
	}
	for _, address := range []string{"b", "c"} {
		p.RecordDial(now, address, TimedOut)
	}
	if !p.CutOff(now) {
		t.Error("three of four paths fail: not cut off")
	}
	for _, address := range []string{"a", "b", "c"} {
		p.RecordDial(now, address, NoFailure)
	}
	if p.CutOff(now) {
		t.Error("all paths work: cut off")
	}
}

// Guards against a daemon that takes itself for cut off, and so confirms to no other daemon that an
// upstream has crashed, since it does not reach the addresses of upstreams that are gone.
func TestGoneUpstreamsAreNoSignOfACut(t *testing.T) {
	p, now := NewPaths(), time.Unix(1000, 0)
	for _, address := range []string{"a", "b", "c"} {
		p.RecordDial(now, address, NoFailure)
		p.RecordHeard(now, address)
	}
	for _, address := range []string{"gone", "crashed", "gone too"} {
		p.RecordDial(now, address, Refused)
	}
	if !p.CutOff(now) {
		t.Error("as many paths fail as work, and the daemon is not cut off")
	}
	p.ForgetGone(func() map[string]bool { return map[string]bool{"a": true, "b": true, "c": true, "crashed": true} })
	if p.CutOff(now) {
		t.Error("addresses of upstreams that are gone count")
	}
	if p.Failure("crashed") != Refused {
		t.Error("the path to a registered upstream is forgotten")
	}
}

// Guards against requests that wait for the timeout of each upstream in turn, after several have
// shown that this daemon has lost its path.
func TestRouteWhileCutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPaths()
	for _, address := range []string{"a", "b", "c"} {
		p.RecordDial(now, address, TimedOut)
	}
	p.RecordDial(now, "works", NoFailure)
	if got := p.Route(now, "unused"); got != (Route{Detour: true, Probe: true}) {
		t.Errorf("a path of which nothing is known: %+v", got)
	}
	if got := p.Route(now, "works"); got != (Route{}) {
		t.Errorf("a path that works: %+v", got)
	}
	if got := p.Route(now.Add(recently), "works"); got != (Route{Detour: true, Probe: true}) {
		t.Errorf("a path that worked a while ago: %+v", got)
	}
}

// BenchmarkRecordHeard is the cost that each read from an upstream adds.
func BenchmarkRecordHeard(b *testing.B) {
	now := time.Unix(1000, 0)
	p := NewPaths()
	for b.Loop() {
		p.RecordHeard(now, "10.1.64.26:8684")
	}
}
