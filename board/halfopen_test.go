package board

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
)

// newServiceBoard returns a board with upstreams a to d of service s in the daemon's own data centre,
// of which c and d have another software version if mixed is set.
func newServiceBoard(cfg Config, mixed bool) *Board {
	cfg.DataCentre = "dc0"
	b := New(cfg)
	v := version(1, "abcd", func(ups map[string]bundle.Upstream) {
		for name, up := range ups {
			up.DataCentre, up.Version = "dc0", "v1"
			if mixed && name >= "c" {
				up.Version = "v2"
			}
			ups[name] = up
		}
	})
	v.Bundle.Services = map[string]bundle.Service{"s": {Pool: "d"}}
	b.SetVersion(t0, v)
	return b
}

// pick returns the upstream that a call of the service gets, or the kind of its refusal.
func pick(b *Board, at time.Duration, exclude ...string) string {
	return pickBeside(NewInflight(), b, at, exclude...)
}

// pickBeside is pick with requests in flight.
func pickBeside(in policy.Inflight, b *Board, at time.Duration, exclude ...string) string {
	p, _ := policy.ByName(policy.NameReserve)
	q := policy.Query{Now: after(at), DataCentre: "dc0", Attempt: 1, Exclude: exclude}
	plan, err := p.PickService(b.Snapshot(after(at)), in, "s", q, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return string(err.Kind)
	}
	return plan.Replica.Name
}

// Guards against requests that are refused, during a silence of all upstreams and after it, because
// the silence has ejected all of them.
func TestSilenceOfAllLeavesSomebodyToTry(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		cfg  Config
		fail func(b *Board, name string)
	}{
		{"unanswered", Config{EjectUnanswered: true}, func(b *Board, name string) { b.RecordUnanswered(after(0), name, false) }},
		{"failures", Config{}, func(b *Board, name string) {
			for range 3 {
				b.RecordFailure(after(0), name)
			}
		}},
	} {
		b := newServiceBoard(tc.cfg, false)
		for _, name := range []string{"a", "b", "c", "d"} {
			tc.fail(b, name)
		}
		if got := pick(b, 100*ms, "a", "b"); got != "c" && got != "d" {
			t.Errorf("%s: during the silence: %s", tc.name, got)
		}
		if got := listedNames(b, after(100*ms)); got != "" {
			t.Errorf("%s: listed %q during the silence, want nobody", tc.name, got)
		}
		b.RecordAnswered(after(200*ms), "c")
		if got := listedNames(b, after(200*ms)); got != "abcd" {
			t.Errorf("%s: listed %q after an answer, want all", tc.name, got)
		}
	}
}

// Guards against requests to an upstream whose process is gone, because all others of its pool are
// gone as well.
func TestNobodyTriesUpstreamsThatRefuseConnections(t *testing.T) {
	b := newServiceBoard(Config{EjectUnanswered: true}, false)
	for _, name := range []string{"a", "b", "c", "d"} {
		b.RecordUnanswered(after(0), name, name != "c")
	}
	if got := pick(b, time.Millisecond); got != "c" {
		t.Errorf("picked %s, want the one that may be silent", got)
	}
	b.RecordUnanswered(after(2*time.Millisecond), "c", true)
	if got := pick(b, 3*time.Millisecond); got != string(errkind.NoUpstream) {
		t.Errorf("picked %s, want nobody", got)
	}
	b.RecordUnanswered(after(4*time.Millisecond), "d", false)
	if got := pick(b, 5*time.Millisecond); got != "d" {
		t.Errorf("picked %s, want the one whose host no longer refuses", got)
	}
}

// Guards against a trial that is refused because of requests that began before the ejection, which may
// wait for the silent upstream.
func TestRequestsBeforeTheEjectionAreNoTrials(t *testing.T) {
	clock := &manualClock{after(-time.Second)}
	in := NewInflightClock(clock.clock)
	b := newServiceBoard(Config{EjectUnanswered: true}, false)
	begin := func() {
		for _, name := range []string{"a", "b", "c", "d"} {
			for range 8 {
				in.Begin(name, 0)
			}
		}
	}
	begin()
	for _, name := range []string{"a", "b", "c", "d"} {
		b.RecordUnanswered(after(0), name, false)
	}
	if got := pickBeside(in, b, time.Millisecond); len(got) != 1 {
		t.Errorf("picked %s, want an upstream", got)
	}
	clock.now = after(time.Millisecond)
	begin()
	if got := pickBeside(in, b, 2*time.Millisecond); got != string(errkind.NoUpstream) {
		t.Errorf("picked %s, want nobody", got)
	}
}

// Guards against an upstream that is ejected anew by a call that began on trial, during its ejection.
func TestUnansweredTrialsDoNotEject(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name        string
		unanswered  time.Duration // of a, whose ejection ends after 500 ms
		hostReached bool
		want        string
	}{
		{"began on trial", 649 * ms, false, "abcd"},
		{"began after the ejection", 650 * ms, false, "bcd"},
		{"refused by its host", 600 * ms, true, "bcd"},
	} {
		b := newServiceBoard(Config{EjectUnanswered: true}, false)
		for _, name := range []string{"a", "b", "c", "d"} {
			b.RecordUnanswered(after(0), name, false)
		}
		b.RecordUnanswered(after(tc.unanswered), "a", tc.hostReached)
		if got := listedNames(b, after(700*ms)); got != tc.want {
			t.Errorf("%s: listed %q, want %q", tc.name, got, tc.want)
		}
	}
}

// Guards against an ejection that ends too early: of an upstream that answers some of its calls, of one
// that is ejected for its answers, or of one that has been lost for long.
func TestAnswersEndOnlyEjectionsOfOneSilence(t *testing.T) {
	const ms = time.Millisecond
	unanswered := func(b *Board, at time.Duration, names string) {
		for _, name := range names {
			b.RecordUnanswered(after(at), string(name), false)
		}
	}
	for _, tc := range []struct {
		name  string
		mixed bool
		do    func(b *Board)
		want  string // who takes requests at 3.95 s
	}{
		{"all silent, a call succeeds", false, func(b *Board) {
			unanswered(b, 3500*ms, "abcd")
			b.RecordSuccess(after(3900*ms), "b")
		}, "abcd"},
		{"all silent, a prefill ends", false, func(b *Board) {
			unanswered(b, 3500*ms, "abcd")
			b.RecordPrefill(after(3900*ms), "b", PrefillResult{})
		}, "abcd"},
		{"all silent, a load is reported", false, func(b *Board) {
			unanswered(b, 3500*ms, "abcd")
			b.ApplyReport(after(3900*ms), "b", load(1, 1, 0), 0)
		}, "abcd"},
		{"a load that was reported before the silence", false, func(b *Board) {
			unanswered(b, 3500*ms, "abcd")
			b.ApplyReport(after(3900*ms), "b", load(1, 1, 0), 500*ms)
		}, ""},
		{"one answers some calls", false, func(b *Board) {
			unanswered(b, 3500*ms, "a")
			b.RecordAnswered(after(3600*ms), "a")
			b.ApplyReport(after(3700*ms), "a", load(1, 1, 0), 0)
		}, "bcd"},
		{"one is left beside those that answer some calls", false, func(b *Board) {
			unanswered(b, 3500*ms, "abc")
			b.RecordSuccess(after(3600*ms), "a")
		}, "d"},
		{"all of a version", true, func(b *Board) {
			unanswered(b, 3500*ms, "ab")
			b.RecordAnswered(after(3600*ms), "a")
		}, "abcd"},
		{"all of a version and one of another", true, func(b *Board) {
			unanswered(b, 3500*ms, "abc")
			b.RecordAnswered(after(3600*ms), "a")
		}, "abd"},
		{"one whose host refuses connections", false, func(b *Board) {
			b.RecordUnanswered(after(3500*ms), "a", true)
			unanswered(b, 3500*ms, "bcd")
			b.RecordAnswered(after(3600*ms), "b")
		}, "bcd"},
		{"one whose host refused connections before", false, func(b *Board) {
			b.RecordUnanswered(after(3500*ms), "a", true)
			unanswered(b, 3500*ms, "bcd")
			b.RecordAnswered(after(3600*ms), "a")
		}, "abcd"},
		{"a host refuses connections", false, func(b *Board) {
			unanswered(b, 3500*ms, "abcd")
			b.RecordUnanswered(after(3600*ms), "b", true)
		}, ""},
		{"the last one is leaving", false, func(b *Board) {
			b.MarkLeaving(after(3500*ms), "d", FromUpstream)
			unanswered(b, 3500*ms, "abc")
			b.RecordAnswered(after(3600*ms), "a")
		}, "abc"},
		{"one that fails its handoffs", false, func(b *Board) {
			b.RecordHandoff(after(3500*ms), "c", "a", false)
			b.RecordHandoff(after(3500*ms), "d", "a", false)
			unanswered(b, 3500*ms, "bcd")
			b.RecordAnswered(after(3600*ms), "a")
			b.RecordAnswered(after(3700*ms), "b")
		}, "bcd"},
		{"one lost long before", false, func(b *Board) {
			unanswered(b, -4000*ms, "a") // ejected for 0.5 s
			unanswered(b, -3300*ms, "a") // 1 s
			unanswered(b, -2100*ms, "a") // 2 s
			unanswered(b, 100*ms, "a")   // 4 s
			unanswered(b, 3150*ms, "bcd")
			b.RecordAnswered(after(3200*ms), "b")
		}, "bcd"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newServiceBoard(Config{EjectUnanswered: true}, tc.mixed)
			tc.do(b)
			if got := listedNames(b, after(3950*ms)); got != tc.want {
				t.Errorf("listed %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against requests to a data centre that is still unreachable when another one answers again,
// and against engines of one that answers again which get no requests.
func TestAnswerEndsEjectionsOfReachableDataCentres(t *testing.T) {
	for _, tc := range []struct {
		name, far, unanswered string
		want                  string
	}{
		{"another data centre is still unreachable", "cd", "abcd", "ab"},
		{"all of a data centre, two of which were called", "abcd", "ab", "abcd"},
	} {
		b := New(Config{EjectUnanswered: true, DataCentre: "near"})
		b.SetVersion(t0, version(1, "abcd", func(ups map[string]bundle.Upstream) {
			for name, up := range ups {
				up.DataCentre = "near"
				if strings.Contains(tc.far, name) {
					up.DataCentre = "far"
				}
				ups[name] = up
			}
		}))
		for _, name := range tc.unanswered {
			b.RecordUnanswered(after(0), string(name), false)
		}
		if got := listedNames(b, after(50*time.Millisecond)); got != "" {
			t.Errorf("%s: listed %q during the silence", tc.name, got)
		}
		b.RecordAnswered(after(100*time.Millisecond), "a")
		if got := listedNames(b, after(100*time.Millisecond)); got != tc.want {
			t.Errorf("%s: listed %q, want %q", tc.name, got, tc.want)
		}
	}
}
