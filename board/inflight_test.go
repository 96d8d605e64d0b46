package board

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/policy"
)

// manual is a clock that a test moves.
type manual struct{ now time.Time }

func (m *manual) clock() time.Time { return m.now }

// TestWorkIsCountedOnce
//
// Symptom: an engine with free slots gets nothing, or a full one is asked again.
// Sequence: this daemon starts work on an upstream, then hears a load that shows
// that work, then starts more.
// Cause: counting all own work on top of every load, or none of it.
func TestWorkIsCountedOnce(t *testing.T) {
	clock := &manual{now: after(time.Second)}
	f := NewInflightClock(clock.clock)
	first := f.Begin("a", 100)
	clock.now = after(3 * time.Second)
	second := f.Begin("a", 20)
	type counts struct{ Requests, Tokens int }
	see := func(since time.Time) counts {
		r, p := f.Upstream("a", since)
		return counts{r, p}
	}
	got := []counts{see(time.Time{}), see(after(time.Second)), see(after(3 * time.Second))}
	first()
	got = append(got, see(time.Time{}))
	third := f.Begin("a", 7) // takes the place of the first
	second()
	got = append(got, see(time.Time{}))
	third()
	got = append(got, see(time.Time{}))
	want := []counts{{2, 120}, {1, 20}, {0, 0}, {1, 20}, {1, 7}, {0, 0}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// TestLinkBookingsLeaveGaps
//
// Symptom: urgent requests are refused although the link is idle.
// Sequence: a draft books the link for the end of a long prefill queue; an urgent
// request, ahead of that queue, asks for the link now.
// Cause: a link known only by the end of its last booking.
func TestLinkBookingsLeaveGaps(t *testing.T) {
	clock := &manual{now: t0}
	f := NewInflightClock(clock.clock)
	const ms = time.Millisecond
	free := func(from, d time.Duration) time.Duration { return f.LinkFree("a", after(from), d).Sub(t0) }
	got := []time.Duration{free(0, 300*ms)}
	f.Book("a", after(2000*ms), 300*ms)
	f.Book("a", after(2000*ms), 200*ms) // queues up
	f.Book("a", after(2000*ms), 0)
	got = append(got, free(0, 300*ms), free(1800*ms, 200*ms), free(1800*ms, 201*ms), free(2400*ms, ms))
	f.Book("a", after(100*ms), 100*ms) // takes the gap
	got = append(got, free(0, 300*ms), free(0, 100*ms))
	clock.now = after(2400 * ms)
	f.Book("a", after(2600*ms), 100*ms) // drops what has ended
	got = append(got, free(2400*ms, 200*ms))
	if n := len(f.works["a"].link.spans); n != 2 {
		t.Errorf("%d bookings are kept", n)
	}
	for range 2 * maxSpans {
		f.Book("a", after(9000*ms), 10*ms)
	}
	got = append(got, free(9000*ms, ms))
	want := []time.Duration{0, 0, 1800 * ms, 2500 * ms, 2500 * ms, 200 * ms, 0, 2700 * ms, 9000*ms + 2*maxSpans*10*ms}
	if d := cmp.Diff(want, got); d != "" || len(f.works["a"].link.spans) > maxSpans {
		t.Error(d)
	}
}

func TestTeamsAndConcurrentWork(t *testing.T) {
	f := NewInflight()
	keep := []func(){f.BeginTeam("x"), f.BeginTeam("x"), f.BeginTeam("y")}
	var wg conc.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				work, team := f.Begin("a", 10), f.BeginTeam("z")
				f.AddPausable("a", 1)
				f.Upstream("a", t0)
				f.AddPausable("a", -1)
				team()
				work()
			}
		})
	}
	wg.Wait()
	team, total, teams := f.Team("x")
	requests, tokens := f.Upstream("a", time.Time{})
	got := []int{team, total, teams, requests, tokens, f.Pausable("a"), f.Pausable("b")}
	if d := cmp.Diff([]int{2, 3, 2, 0, 0, 0, 0}, got); d != "" {
		t.Error(d)
	}
	keep[2]()
	if _, total, teams := f.Team("y"); total != 2 || teams != 1 {
		t.Errorf("%d requests of %d teams", total, teams)
	}
}

func TestBeginAllocatesNothingInSteadyState(t *testing.T) {
	f := NewInflight()
	f.Begin("a", 1)()
	f.BeginTeam("x")()
	if n := testing.AllocsPerRun(100, func() {
		work, team := f.Begin("a", 1), f.BeginTeam("x")
		f.Upstream("a", t0)
		team()
		work()
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// TestNextDecisionSeesOwnWork
//
// Symptom: a burst that reaches one daemon lands on one upstream.
// Sequence: several requests are decided between two load reports.
// Cause: decisions on the last report alone.
func TestNextDecisionSeesOwnWork(t *testing.T) {
	v := version(1, "abc", nil)
	v.Bundle.Services = map[string]bundle.Service{"s": {Pool: "d"}}
	b := New(Config{})
	b.SetVersion(t0, v)
	s, f, rng := b.Snapshot(t0), NewInflight(), rand.New(rand.NewPCG(1, 1))
	p, _ := policy.ByName(policy.NameReserve)
	got := map[string]int{}
	for range 60 {
		plan, err := p.PickService(s, f, "s", policy.Query{Now: t0, DataCentre: "dc0"}, rng)
		if err != nil {
			t.Fatal(err)
		}
		f.Begin(plan.Replica.Name, 0)
		got[plan.Replica.Name]++
	}
	if d := cmp.Diff(map[string]int{"a": 20, "b": 20, "c": 20}, got); d != "" {
		t.Error(d)
	}
}

func TestHolderBuildsWhenItMust(t *testing.T) {
	clock := &manual{now: t0}
	h := NewHolderClock(newBoard("ab"), clock.clock)
	last := h.Snapshot()
	seq := uint64(0)
	report := func() { seq++; h.Update(func(b *Board) { b.Report(clock.now, "a", load(1, seq, 1), 0) }) }
	steps := []struct {
		name string
		pass time.Duration
		do   func()
		want bool
	}{
		{"nothing happened", 10 * time.Millisecond, func() {}, false},
		{"a load after a while", 0, report, true},
		{"a load just after a build", time.Millisecond, report, false},
		{"that load a little later", 5 * time.Millisecond, func() {}, true},
		{"an event that changes nothing", 10 * time.Millisecond, func() { h.Update(func(b *Board) { b.Succeeded(clock.now, "a") }) }, false},
		{"a notice just after a build", 0, func() { h.Update(func(b *Board) { b.Leaving(clock.now, "b", FromUpstream) }) }, true},
		{"an ejection just after a build", 0, func() {
			h.Update(func(b *Board) {
				for range 3 {
					b.Failed(clock.now, "a")
				}
			})
		}, true},
		{"the ejection goes on", 499 * time.Millisecond, func() {}, false},
		{"the ejection ends", time.Millisecond, func() {}, true},
		{"the weight grows", weightStep, func() {}, true},
	}
	for _, s := range steps {
		clock.now = clock.now.Add(s.pass)
		s.do()
		got := h.Snapshot()
		if (got != last) != s.want {
			t.Errorf("%s: built is %v", s.name, got != last)
		}
		last = got
	}
	if find(last, "b") != nil || find(last, "a") == nil {
		t.Error("offers what is leaving, or not what is back")
	}
}

// TestSnapshotsDoNotChange keeps a snapshot while the board goes on.
func TestSnapshotsDoNotChange(t *testing.T) {
	b := newBoard("ab")
	b.Report(t0, "a", load(1, 1, 3), 0)
	s := b.Snapshot(t0)
	b.Report(after(time.Second), "a", load(1, 2, 9), 0)
	b.Leaving(after(time.Second), "b", FromUpstream)
	b.Snapshot(after(time.Second))
	b.SetVersion(after(time.Second), version(2, "a", nil))
	b.Snapshot(after(time.Second))
	if find(s, "a").Active != 3 || find(s, "b") == nil || s.Number != 1 {
		t.Errorf("version %d, a %+v", s.Number, find(s, "a"))
	}
}

func TestMarkFull(t *testing.T) {
	now := t0
	f := NewInflightClock(func() time.Time { return now })
	if f.Full("a", now) {
		t.Error("full before anything was refused")
	}
	f.MarkFull("a")
	if !f.Full("a", now.Add(fullTime-1)) || f.Full("b", now) {
		t.Error("not full right after a refusal, or another one is")
	}
	if f.Full("a", now.Add(fullTime)) {
		t.Error("full for ever")
	}
}

// Symptom: one in seven requests of a large fleet ends refused in its first seconds,
// beside idle prefill engines.
// Sequence: engines are ordered from prefill to decode; for six seconds they refuse
// prompts while their registrations say prefill; each daemon sends them prompt after
// prompt and spends its retries on them.
// Cause: a refused prompt taught nothing.
func TestMarkShut(t *testing.T) {
	now := t0
	f := NewInflightClock(func() time.Time { return now })
	sent := 0
	for ; now.Before(after(6 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if !f.Full("turning", now) {
			sent++
			f.MarkShut("turning")
			f.MarkShut("turning") // sent together with the first
		}
	}
	if sent > 8 {
		t.Errorf("%d prompts sent in vain", sent)
	}
	now = now.Add(shutMax)
	f.MarkOpen("turning")
	f.MarkShut("turning")
	if !f.Full("turning", now) || f.Full("turning", now.Add(shutMin)) {
		t.Error("one refusal after a prompt was taken does not count as the first")
	}
}
