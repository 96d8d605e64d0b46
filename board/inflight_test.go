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

// manualClock is a clock that is set by the test.
type manualClock struct{ now time.Time }

func (m *manualClock) clock() time.Time { return m.now }

// TestRequestIsCountedOnce guards against counting a request both in Inflight and in
// the upstream's load report, or in neither. If requests were counted twice, an engine
// with free slots would get none; if they were not counted, a full engine would get
// more. The daemon starts one request before the time of a load report and one after
// it.
func TestRequestIsCountedOnce(t *testing.T) {
	clock := &manualClock{now: after(time.Second)}
	f := NewInflightClock(clock.clock)
	first := f.Begin("a", 100)
	clock.now = after(3 * time.Second)
	second := f.Begin("a", 20)
	type counts struct{ Requests, Tokens int }
	count := func(since time.Time) counts {
		r, p := f.Upstream("a", since)
		return counts{r, p}
	}
	got := []counts{count(time.Time{}), count(after(time.Second)), count(after(3 * time.Second))}
	first()
	got = append(got, count(time.Time{}))
	third := f.Begin("a", 7) // reuses the work of the first
	second()
	got = append(got, count(time.Time{}))
	third()
	got = append(got, count(time.Time{}))
	want := []counts{{2, 120}, {1, 20}, {0, 0}, {1, 20}, {1, 7}, {0, 0}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// TestLinkBookingsLeaveGaps guards against urgent requests being refused while the KV
// link is idle. A draft books the link for the end of a long prefill queue, and an
// urgent request ahead of that queue needs the link now. If only the end of the last
// booking were stored, the link would look busy until then.
func TestLinkBookingsLeaveGaps(t *testing.T) {
	clock := &manualClock{now: t0}
	f := NewInflightClock(clock.clock)
	const ms = time.Millisecond
	free := func(from, d time.Duration) time.Duration { return f.LinkFree("a", after(from), d).Sub(t0) }
	got := []time.Duration{free(0, 300*ms)}
	f.Book("a", after(2000*ms), 300*ms)
	f.Book("a", after(2000*ms), 200*ms) // goes behind the first booking
	f.Book("a", after(2000*ms), 0)
	got = append(got, free(0, 300*ms), free(1800*ms, 200*ms), free(1800*ms, 201*ms), free(2400*ms, ms))
	f.Book("a", after(100*ms), 100*ms) // fits into the gap
	got = append(got, free(0, 300*ms), free(0, 100*ms))
	clock.now = after(2400 * ms)
	f.Book("a", after(2600*ms), 100*ms) // drops the bookings that have ended
	got = append(got, free(2400*ms, 200*ms))
	if n := len(f.works["a"].link.bookings); n != 2 {
		t.Errorf("%d bookings kept, want 2", n)
	}
	for range 2 * maxBookings {
		f.Book("a", after(9000*ms), 10*ms)
	}
	got = append(got, free(9000*ms, ms))
	want := []time.Duration{0, 0, 1800 * ms, 2500 * ms, 2500 * ms, 200 * ms, 0, 2700 * ms, 9000*ms + 2*maxBookings*10*ms}
	if d := cmp.Diff(want, got); d != "" || len(f.works["a"].link.bookings) > maxBookings {
		t.Error(d)
	}
}

func TestTeamsAndConcurrentWork(t *testing.T) {
	f := NewInflight()
	dones := []func(){f.BeginTeam("x"), f.BeginTeam("x"), f.BeginTeam("y")}
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
	dones[2]()
	if _, total, teams := f.Team("y"); total != 2 || teams != 1 {
		t.Errorf("%d requests of %d teams, want 2 of 1", total, teams)
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

// TestNextDecisionCountsOwnRequests guards against a burst on one daemon being sent to
// a single upstream. Several requests are placed between two load reports; each
// decision must include the requests placed before it.
func TestNextDecisionCountsOwnRequests(t *testing.T) {
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

func TestHolderBuildsOnlyWhenNeeded(t *testing.T) {
	clock := &manualClock{now: t0}
	h := NewHolderClock(newBoard("ab"), clock.clock)
	last := h.Snapshot()
	seq := uint64(0)
	report := func() { seq++; h.Update(func(b *Board) { b.ApplyReport(clock.now, "a", load(1, seq, 1), 0) }) }
	steps := []struct {
		name string
		pass time.Duration
		do   func()
		want bool
	}{
		{"no event", 10 * time.Millisecond, func() {}, false},
		{"a load later than buildInterval after a build", 0, report, true},
		{"a load just after a build", time.Millisecond, report, false},
		{"buildInterval after that build", 5 * time.Millisecond, func() {}, true},
		{"an event that changes nothing", 10 * time.Millisecond, func() { h.Update(func(b *Board) { b.RecordSuccess(clock.now, "a") }) }, false},
		{"a notice just after a build", 0, func() { h.Update(func(b *Board) { b.MarkLeaving(clock.now, "b", FromUpstream) }) }, true},
		{"an ejection just after a build", 0, func() {
			h.Update(func(b *Board) {
				for range 3 {
					b.RecordFailure(clock.now, "a")
				}
			})
		}, true},
		{"during the ejection", 499 * time.Millisecond, func() {}, false},
		{"the ejection ends", time.Millisecond, func() {}, true},
		{"the weight grows", weightInterval, func() {}, true},
	}
	for _, s := range steps {
		clock.now = clock.now.Add(s.pass)
		s.do()
		got := h.Snapshot()
		if (got != last) != s.want {
			t.Errorf("%s: new snapshot: %v", s.name, got != last)
		}
		last = got
	}
	if findReplica(last, "b") != nil || findReplica(last, "a") == nil {
		t.Error("snapshot lists the leaving upstream b, or not the returned upstream a")
	}
}

// TestSnapshotsDoNotChange checks that later changes of the board do not modify an
// existing snapshot.
func TestSnapshotsDoNotChange(t *testing.T) {
	b := newBoard("ab")
	b.ApplyReport(t0, "a", load(1, 1, 3), 0)
	s := b.Snapshot(t0)
	b.ApplyReport(after(time.Second), "a", load(1, 2, 9), 0)
	b.MarkLeaving(after(time.Second), "b", FromUpstream)
	b.Snapshot(after(time.Second))
	b.SetVersion(after(time.Second), version(2, "a", nil))
	b.Snapshot(after(time.Second))
	if findReplica(s, "a").Active != 3 || findReplica(s, "b") == nil || s.Number != 1 {
		t.Errorf("version %d, a %+v", s.Number, findReplica(s, "a"))
	}
}

func TestMarkFull(t *testing.T) {
	now := t0
	f := NewInflightClock(func() time.Time { return now })
	if f.Full("a", now) {
		t.Error("full before any refusal")
	}
	f.MarkFull("a")
	if !f.Full("a", now.Add(fullBackoff-1)) || f.Full("b", now) {
		t.Error("not full during the backoff, or another upstream is full")
	}
	if f.Full("a", now.Add(fullBackoff)) {
		t.Error("still full after the backoff")
	}
}

// Guards against repeated prompts to prefill engines that refuse them. Engines that
// change their role from prefill to decode refuse prompts for six seconds while they
// are still registered for prefill. Without a backoff, daemons spent their retries on
// them, and one in seven requests of a large fleet failed in its first seconds although
// other prefill engines were idle.
func TestPromptBackoff(t *testing.T) {
	now := t0
	f := NewInflightClock(func() time.Time { return now })
	sent := 0
	for ; now.Before(after(6 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if !f.Full("turning", now) {
			sent++
			f.MarkPromptRefused("turning")
			f.MarkPromptRefused("turning") // sent at the same time, must not count again
		}
	}
	if sent > 8 {
		t.Errorf("%d refused prompts sent in 6 s, want at most 8", sent)
	}
	now = now.Add(maxPromptBackoff)
	f.MarkPromptAccepted("turning")
	f.MarkPromptRefused("turning")
	if !f.Full("turning", now) || f.Full("turning", now.Add(minPromptBackoff)) {
		t.Error("the backoff after an accepted prompt does not start at the minimum")
	}
}
