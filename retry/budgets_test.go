package retry

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

const testWindow = 10 * time.Second

// life is one daemon's budgets on a clock of their own.
type life struct {
	*Budgets
	now     time.Time
	daemons int
}

func newLife(bounds Bounds, daemons int) *life {
	return &life{Budgets: NewBudgets(t0, bounds), now: t0, daemons: daemons}
}

// run lets time pass while the process runs.
func (l *life) run(d time.Duration) *life {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(TickEvery)
		l.Counted(l.now, l.daemons)
	}
	return l
}

// takes returns how many retries are allowed now.
func (l *life) takes(target string) int {
	n := 0
	for l.Of(target).Allow(l.now, 1) {
		n++
	}
	return n
}

func (l *life) earn(requests int) {
	for range requests {
		l.Of("a").OnFirstAttempt(l.now)
	}
}

func TestBudgetsKeepTargetsApart(t *testing.T) {
	bounds := Bounds{Slack: 4, Window: testWindow, Daemons: 1}
	l := newLife(bounds, 1).run(testWindow + time.Second)
	if a, b := l.takes("a"), l.takes("b"); a != 1 || b != 1 {
		t.Errorf("allowed %d and %d retries, want one each", a, b)
	}
	bounds.Slack = 6.4
	l.Set(l.now, bounds)
	if n := l.takes("a"); n != 2 {
		t.Errorf("%d retries with a slack of 3.04 of which one is spent, want 2", n)
	}
}

// Symptom: more repeats than allowed within ten seconds, after a kill.
// Sequence: a life spends its part of the slack and is killed; the next one begins.
// Cause: what was spent is forgotten with the life.
func TestLifeBeginsWithNothing(t *testing.T) {
	l := newLife(Bounds{Ratio: 0.2, Slack: 100, Window: testWindow, Daemons: 1}, 1)
	if n := l.run(time.Second).takes("a"); n != 0 {
		t.Errorf("%d retries are allowed at first", n)
	}
	l.earn(100)
	if n := l.takes("a"); n != 1 {
		t.Errorf("%d retries were saved up, want 1", n)
	}
	if n := l.run(testWindow).takes("a"); n == 0 {
		t.Error("the slack is not open after a window")
	}
}

// Load: callers come ten seconds after the first start of all daemons, and engines that take
// their roles reject some of the first prompts.
func TestSlackOpensEarlyAtTheFirstStart(t *testing.T) {
	l := newLife(Bounds{Slack: 100, Window: testWindow, Daemons: 1, First: true}, 10)
	if n := l.run(countRest - time.Second).takes("a"); n != 0 {
		t.Errorf("%d retries before the others are known", n)
	}
	if n := l.run(2 * time.Second).takes("a"); n != 4 {
		t.Errorf("%d retries, want half of a part of 9.5", n)
	}
}

// Symptom: the slack is spent many times over.
// Sequence: a daemon starts while it cannot hear of the others, for longer than a window.
// Cause: no count taken for a count of one.
func TestSlackWaitsForACount(t *testing.T) {
	l := newLife(Bounds{Slack: 100, Window: testWindow, Daemons: 1}, 0)
	if n := l.run(3 * testWindow).takes("a"); n != 0 {
		t.Errorf("%d retries of a slack that nobody knows how to divide", n)
	}
	l.daemons = 4
	if n := l.run(testWindow - time.Second).takes("a"); n != 0 {
		t.Errorf("%d retries before the count is a window old", n)
	}
	if n := l.run(2 * time.Second).takes("a"); n != 11 {
		t.Errorf("%d retries, want half of a part of 23.75", n)
	}
}

// The largest number counts, and a larger one makes the part smaller at once.
func TestPartFollowsTheLargestCount(t *testing.T) {
	l := newLife(Bounds{Ratio: 1, Slack: 100, Window: testWindow, Daemons: 5}, 10).run(testWindow + time.Second)
	l.earn(20)
	l.daemons = 50
	l.run(time.Second)
	if s := l.Share(); s.Daemons != 50 || s.Part != 1.9 {
		t.Errorf("share %+v", s)
	}
	if n := l.takes("a"); n != 1 {
		t.Errorf("%d retries stay saved up, want 1", n)
	}
	l.daemons = 3
	if s := l.run(time.Second).Share(); s.Daemons != 50 {
		t.Errorf("a smaller count was taken: %+v", s)
	}
}

// Symptom: a fleet sends more repeats than its callers' requests pay for.
// Sequence: a daemon is frozen for seconds; callers give up and ask others; it wakes and
// reads what waited in its sockets.
// Cause: requests counted when they are read.
func TestRequestsReadAfterAFreezeEarnNothing(t *testing.T) {
	l := newLife(Bounds{Ratio: 1, Window: testWindow, Daemons: 1}, 1).run(time.Second)
	l.now = l.now.Add(3 * time.Second)
	l.earn(10)
	if n := l.takes("a"); n != 0 {
		t.Errorf("requests earn %d retries before the first tick", n)
	}
	l.run(TickEvery)
	l.earn(10)
	if n := l.takes("a"); n != 0 {
		t.Errorf("requests earn %d retries right after it", n)
	}
	l.run(stallRest)
	l.earn(10)
	if n := l.takes("a"); n != 1 {
		t.Errorf("requests earn %d retries later, want 1", n)
	}
}

// Symptom: the slack is spent many times over.
// Sequence: all daemons are killed; one has heard of few others when it is frozen, for as
// long as its part takes to open.
// Cause: the time in which it stood still counted.
func TestPartDoesNotOpenInAFreeze(t *testing.T) {
	l := newLife(Bounds{Slack: 100, Window: testWindow, Daemons: 1}, 2).run(time.Second)
	l.now = l.now.Add(testWindow)
	if n := l.run(TickEvery).takes("a"); n != 0 {
		t.Errorf("%d retries right after the freeze", n)
	}
	l.daemons = 50
	if n := l.run(testWindow + time.Second).takes("a"); n != 0 {
		t.Errorf("%d retries of a part of 1.9, of which nothing is earned", n)
	}
	if s := l.Share(); !s.Settled || s.Daemons != 50 {
		t.Errorf("share %+v", s)
	}
}

// Symptom: a reload lets a daemon spend its slack twice.
// Sequence: the slack is spent; new settings change the length of the window.
// Cause: a window of another length began anew.
func TestNewWindowForgetsNothing(t *testing.T) {
	bounds := Bounds{Slack: 20, Window: testWindow, Daemons: 1}
	l := newLife(bounds, 1).run(testWindow + time.Second)
	if n := l.takes("a"); n != 9 {
		t.Fatalf("%d retries, want 9", n)
	}
	bounds.Window = testWindow / 2
	l.Set(l.now, bounds)
	if n := l.takes("a"); n != 0 {
		t.Errorf("%d retries are allowed again", n)
	}
	if n := l.run(testWindow/2 + time.Second).takes("a"); n != 9 {
		t.Errorf("%d retries after the new window, want 9", n)
	}
}
