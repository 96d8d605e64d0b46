package retry

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

const testWindow = 10 * time.Second

// testDaemon is a daemon's Budgets with a clock of its own.
type testDaemon struct {
	*Budgets
	now     time.Time
	daemons int
}

func newTestDaemon(bounds Bounds, daemons int) *testDaemon {
	return &testDaemon{Budgets: NewBudgets(t0, bounds), now: t0, daemons: daemons}
}

// run advances the clock by d, with a tick every TickInterval.
func (l *testDaemon) run(d time.Duration) *testDaemon {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(TickInterval)
		l.UpdateDaemons(l.now, l.daemons)
	}
	return l
}

// drain takes all retries that are allowed now, and returns their number.
func (l *testDaemon) drain(target string) int {
	n := 0
	for l.Of(target).Allow(l.now, 1) {
		n++
	}
	return n
}

func (l *testDaemon) firstAttempts(requests int) {
	for range requests {
		l.Of("a").OnFirstAttempt(l.now)
	}
}

func TestBudgetsKeepTargetsApart(t *testing.T) {
	bounds := Bounds{Slack: 4, Window: testWindow, MinDaemons: 1}
	l := newTestDaemon(bounds, 1).run(testWindow + time.Second)
	if a, b := l.drain("a"), l.drain("b"); a != 1 || b != 1 {
		t.Errorf("allowed %d and %d retries, want one each", a, b)
	}
	bounds.Slack = 6.4
	l.Set(l.now, bounds)
	if n := l.drain("a"); n != 2 {
		t.Errorf("%d retries with a slack of 3.04 of which one is spent, want 2", n)
	}
}

// Guards against a restart that lets a daemon spend its share of the slack twice within a window: a
// new process does not know what its predecessor spent.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	l := newTestDaemon(Bounds{Ratio: 0.2, Slack: 100, Window: testWindow, MinDaemons: 1}, 1)
	if n := l.run(time.Second).drain("a"); n != 0 {
		t.Errorf("%d retries allowed right after the start", n)
	}
	l.firstAttempts(100)
	if n := l.drain("a"); n != 1 {
		t.Errorf("%d retries accumulated, want 1", n)
	}
	if n := l.run(testWindow).drain("a"); n == 0 {
		t.Error("the slack is not available after a window")
	}
}

// Guards against a fleet without slack when callers arrive ten seconds after its first start, while
// engines that still take their roles reject some of the first prompts.
func TestSlackOpensEarlyAtTheFirstStart(t *testing.T) {
	l := newTestDaemon(Bounds{Slack: 100, Window: testWindow, MinDaemons: 1, FirstStart: true}, 10)
	if n := l.run(discoveryTime - time.Second).drain("a"); n != 0 {
		t.Errorf("%d retries before the other daemons can be known", n)
	}
	if n := l.run(2 * time.Second).drain("a"); n != 4 {
		t.Errorf("%d retries, want half of a share of 9.5", n)
	}
}

// Guards against daemons that each spend the whole slack. A daemon that starts while it cannot
// discover the others, for longer than a window, must not take an unknown count for a count of one.
func TestSlackWaitsForACount(t *testing.T) {
	l := newTestDaemon(Bounds{Slack: 100, Window: testWindow, MinDaemons: 1}, 0)
	if n := l.run(3 * testWindow).drain("a"); n != 0 {
		t.Errorf("%d retries although the number of daemons is unknown", n)
	}
	l.daemons = 4
	if n := l.run(testWindow - time.Second).drain("a"); n != 0 {
		t.Errorf("%d retries before the count is a window old", n)
	}
	if n := l.run(2 * time.Second).drain("a"); n != 11 {
		t.Errorf("%d retries, want half of a share of 23.75", n)
	}
}

// Guards against a share computed from too few daemons. The largest count is used, and a larger one
// makes the share smaller at once.
func TestShareFollowsLargestCount(t *testing.T) {
	l := newTestDaemon(Bounds{Ratio: 1, Slack: 100, Window: testWindow, MinDaemons: 5}, 10).run(testWindow + time.Second)
	l.firstAttempts(20)
	l.daemons = 50
	l.run(time.Second)
	if s := l.Share(); s.Daemons != 50 || s.Retries != 1.9 {
		t.Errorf("share %+v", s)
	}
	if n := l.drain("a"); n != 1 {
		t.Errorf("%d retries left after the share became smaller, want 1", n)
	}
	l.daemons = 3
	if s := l.run(time.Second).Share(); s.Daemons != 50 {
		t.Errorf("a smaller count was used: %+v", s)
	}
}

// Guards against credit for requests that waited in the sockets of a frozen daemon. Their callers may
// have given up and sent them to other daemons, where they earn credit too.
func TestRequestsReadAfterAFreezeEarnNothing(t *testing.T) {
	l := newTestDaemon(Bounds{Ratio: 1, Window: testWindow, MinDaemons: 1}, 1).run(time.Second)
	l.now = l.now.Add(3 * time.Second)
	l.firstAttempts(10)
	if n := l.drain("a"); n != 0 {
		t.Errorf("requests earn %d retries before the first tick after a freeze", n)
	}
	l.run(TickInterval)
	l.firstAttempts(10)
	if n := l.drain("a"); n != 0 {
		t.Errorf("requests earn %d retries right after the first tick", n)
	}
	l.run(stallDrainTime)
	l.firstAttempts(10)
	if n := l.drain("a"); n != 1 {
		t.Errorf("requests earn %d retries once the sockets are drained, want 1", n)
	}
}

// Guards against a share of the slack that becomes available too early. A daemon that has discovered
// few others freezes for as long as it must wait; the frozen time must not count, since its number
// of daemons is not updated then.
func TestShareDoesNotGrowWhileFrozen(t *testing.T) {
	l := newTestDaemon(Bounds{Slack: 100, Window: testWindow, MinDaemons: 1}, 2).run(time.Second)
	l.now = l.now.Add(testWindow)
	if n := l.run(TickInterval).drain("a"); n != 0 {
		t.Errorf("%d retries right after the freeze", n)
	}
	l.daemons = 50
	if n := l.run(testWindow + time.Second).drain("a"); n != 1 {
		t.Errorf("%d retries without credit from a share of 1.9, want 1", n)
	}
	if s := l.Share(); !s.Settled || s.Daemons != 50 {
		t.Errorf("share %+v", s)
	}
}

// Guards against a reload of the settings that lets a daemon spend its slack twice, because a window
// of another length starts empty.
func TestNewWindowForgetsNothing(t *testing.T) {
	bounds := Bounds{Slack: 20, Window: testWindow, MinDaemons: 1}
	l := newTestDaemon(bounds, 1).run(testWindow + time.Second)
	if n := l.drain("a"); n != 9 {
		t.Fatalf("%d retries, want 9", n)
	}
	bounds.Window = testWindow / 2
	l.Set(l.now, bounds)
	if n := l.drain("a"); n != 0 {
		t.Errorf("%d retries allowed after the slack was spent", n)
	}
	if n := l.run(testWindow/2 + time.Second).drain("a"); n != 9 {
		t.Errorf("%d retries after the new window, want 9", n)
	}
}
