package quota

import (
	"math"
	"testing"
	"time"
)

var (
	t0     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	bounds = Bounds{Window: 8 * time.Second, Excess: 0.1, Slack: 1000}
	limit  = Limit{Rate: 1000, Burst: 1000}
	terms  = bounds.Terms(limit)
)

func team(name string) Account { return Account{Team: name} }

// at returns a moment of a test, in milliseconds.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// running returns a ledger that has all of the rate to itself and has accrued for a while.
func running(ms int) *Ledger {
	l := NewLedger(t0, true)
	tick(l, 0, ms)
	return l
}

func tick(l *Ledger, from, to int) {
	for ms := from; ms <= to; ms += int(TickEvery / time.Millisecond) {
		l.Tick(at(ms), 1, true)
	}
}

func near(a, b, within float64) bool { return math.Abs(a-b) <= within }

// Guards against a limit that is held too tightly, or not at all.
func TestTermsAreWhatTheBoundsAllow(t *testing.T) {
	for _, l := range []Limit{limit, {Rate: 1, Burst: 0}, {Rate: 218052, Burst: 218052}} {
		got := bounds.Terms(l)
		allowed := (8*l.Rate+l.Burst)*1.1 + 1000
		if !near(got.Rate*(8+got.Life.Seconds()), allowed, 1e-6*allowed) || got.Life <= 0 {
			t.Errorf("%+v: %+v", l, got)
		}
	}
}

// Guards against what was accrued and is spent long after, in a window that has its own.
func TestAccrualsEndWithTheirLife(t *testing.T) {
	l := running(30_000)
	rate, life := terms.Rate, terms.Life
	if got := l.Left(at(30_000), team("a"), terms); !near(got, rate*life.Seconds(), rate*0.2) {
		t.Errorf("%v left of %v a second that live %v", got, rate, life)
	}
	if _, ok := l.Spend(at(30_000), team("a"), terms, rate*life.Seconds()*1.1, 0); ok {
		t.Error("more spent than lives")
	}
	if _, ok := l.Spend(at(30_000), team("a"), terms, rate, 0); !ok {
		t.Error("less refused than lives")
	}
	if got := l.Left(at(30_000), team("b"), terms); !near(got, rate*life.Seconds(), rate*0.2) {
		t.Errorf("one team spends what another has: %v", got)
	}
}

// Guards against callers who are charged for requests that did not run, and against what
// is given back to another life.
func TestReturn(t *testing.T) {
	l := running(10_000)
	before := l.Left(at(10_000), team("a"), terms)
	ticket, ok := l.Spend(at(10_000), team("a"), terms, 1500, 0)
	if !ok || !near(l.Left(at(10_000), team("a"), terms), before-1500, 1e-6) {
		t.Fatal(ok)
	}
	l.Return(at(10_000), ticket)
	if got := l.Left(at(10_000), team("a"), terms); !near(got, before, 1e-6) {
		t.Errorf("%v left of %v", got, before)
	}
	ticket, _ = l.Spend(at(10_000), team("a"), terms, 1500, 0)
	l.Tick(at(20_000), 1, true) // it has stood still
	l.Return(at(20_000), ticket)
	if got := l.Left(at(20_000), team("a"), terms); got != 0 {
		t.Errorf("%v left after a standstill", got)
	}
}

// Guards against time that counts at both ends of a handover, or younger than it is.
func TestHandOver(t *testing.T) {
	reader, follower := NewLedger(t0, true), NewLedger(at(300), true)
	for ms := 0; ms <= 4000; ms += 100 {
		reader.Tick(at(ms), 0.5, true)
		if ms >= 300 {
			follower.Tick(at(ms), 0.5, false)
		}
		if ms >= 1000 && ms%500 == 0 {
			stamp := reader.Stamp(at(900))
			reader.Take(at(ms+5), follower.HandOver(at(ms), stamp, at(903), 2), 0.5)
		}
	}
	rate, life := terms.Rate, terms.Life
	if got := follower.Left(at(4000), team("a"), terms); got != 0 {
		t.Errorf("the follower keeps %v of what it handed over", got)
	}
	if got := reader.Left(at(4000), team("a"), terms); !near(got, rate*life.Seconds(), 0.2*rate) {
		t.Errorf("the reader has %v of %v", got, rate*life.Seconds())
	}
	stale := follower.HandOver(at(4100), Stamp{Life: 99}, at(903), 2)
	before := reader.Left(at(4100), team("a"), terms)
	reader.Take(at(4100), stale, 0.5)
	if got := reader.Left(at(4100), team("a"), terms); got != before {
		t.Error("time by the clock of another life is taken")
	}
}

// Guards against units that exist twice, and against a loan that outlives what it was made of.
func TestLoan(t *testing.T) {
	lender, borrower := running(10_000), NewLedger(t0, false)
	borrower.Tick(at(10_000), 0, false)
	before := lender.Left(at(10_000), team("a"), terms)
	loan := lender.Lend(at(10_000), team("a"), terms, 500, 700, 0, false)
	if loan.Units < 500 || loan.Units > 700 || !near(loan.Left+loan.Units, before, 1e-6) {
		t.Fatalf("%+v of %v", loan, before)
	}
	borrower.Borrowed(at(10_010), team("a"), terms, at(9_990), loan)
	if got := borrower.Left(at(10_010), team("a"), terms); !near(got, loan.Units, 1e-6) {
		t.Errorf("%v borrowed of %v", got, loan.Units)
	}
	if got := borrower.Left(at(9_990).Add(terms.Life), team("a"), terms); got != 0 {
		t.Errorf("%v of the loan outlive it", got)
	}
	if got := lender.Lend(at(10_000), team("b"), terms, 500, math.NaN(), 0, false); got.Units != 500 {
		t.Errorf("%+v where what is wanted is no number", got)
	}
	refused := lender.Lend(at(10_000), team("a"), terms, before, before, 0, false)
	if refused.Units != 0 || refused.Wait <= 0 {
		t.Errorf("%+v for more than there is", refused)
	}
	if some := lender.Lend(at(10_000), team("a"), terms, before, before, 0, true); !near(some.Units, loan.Left, 1e-6) {
		t.Errorf("%+v where whatever there is helps", some)
	}
}

// Guards against callers who are all told to come back at the same moment.
func TestWaitGrowsWithThoseThatWait(t *testing.T) {
	l := running(10_000)
	first := l.Wait(at(10_000), team("a"), terms, 500)
	second := l.Wait(at(10_000), team("a"), terms, 500)
	if second < first*3/2 {
		t.Errorf("%v, then %v", first, second)
	}
	if later := l.Wait(at(10_000).Add(second), team("a"), terms, 500); !near(later.Seconds(), first.Seconds(), 1e-3) {
		t.Errorf("%v after they had their turn, %v at first", later, first)
	}
}

// Guards against what was accrued before a machine was suspended: the steady clock does not
// count that time.
func TestNothingOutlivesAStandstill(t *testing.T) {
	l := running(10_000)
	if got := l.Left(at(12_000), team("a"), terms); got != 0 {
		t.Errorf("%v left", got)
	}
	tick(l, 12_000, 12_900)
	if got := l.Left(at(12_900), team("a"), terms); got != 0 {
		t.Errorf("%v accrued before it knows others again", got)
	}
	tick(l, 13_000, 14_000)
	if got := l.Left(at(14_000), team("a"), terms); got == 0 {
		t.Error("nothing accrued afterwards")
	}
}

// Guards against what a limit of before still allows after it was lowered.
func TestLoweredLimit(t *testing.T) {
	l := running(10_000)
	low := Limit{Rate: 10, Burst: 10}
	if got, want := l.Left(at(10_000), team("a"), bounds.Terms(low)), bounds.Terms(low).Rate*2; got > want+1e-6 {
		t.Errorf("%v left, want at most %v", got, want)
	}
}

// Guards against a burst that neither limit allows where a limit rises, and against what is
// saved up under the higher one where it falls.
func TestWhatWasAccruedIsWorthTheLowerLimit(t *testing.T) {
	high, low := Terms{Rate: 100, Life: 2 * time.Second}, Terms{Rate: 1, Life: 4 * time.Second}
	for _, c := range []struct {
		name  string
		terms []Terms // one a second, the last one now
		want  float64
	}{
		{"steady", []Terms{high, high, high, high}, 200},
		{"rises", []Terms{low, low, low, high}, 2},
		{"falls", []Terms{high, high, high, low}, 4},
		{"up and down", []Terms{high, low, high, high}, 101},
		{"down and up", []Terms{low, high, low, high}, 101},
		{"up, long ago", []Terms{low, high, high, high}, 200},
	} {
		l, now := running(10_000), 10_000
		for _, terms := range c.terms[:3] {
			l.Left(at(now), team("a"), terms)
			tick(l, now, now+1000)
			now += 1000
		}
		if got := l.Left(at(now), team("a"), c.terms[3]); !near(got, c.want, 0.15*c.want) {
			t.Errorf("%s: %g left, want %g", c.name, got, c.want)
		}
	}
}

// Guards against a reserve that is always about to expire, so that nobody uses it.
func TestReserveIsOfTheYoungest(t *testing.T) {
	l := running(10_000)
	half := l.Left(at(10_000), team("a"), terms) / 2
	if loan := l.Lend(at(10_000), team("a"), terms, half, half, 1, false); !near(loan.Units, half, 1e-6) {
		t.Fatalf("%+v of %v", loan, 2*half)
	}
	if left := l.Left(at(10_000).Add(terms.Life*2/5), team("a"), terms); left < 0.8*half {
		t.Errorf("%v of %v are left after two fifths of their life", left, half)
	}
}

// Guards against a less urgent request that keeps others from asking, and against one that
// asks again and again.
func TestRestHoldsForWhatGoesNoEarlier(t *testing.T) {
	for _, c := range []struct {
		name  string
		ms    int
		units float64
		rank  int
		want  bool
	}{
		{"the same again", 10, 2, 3, true},
		{"less urgent", 10, 2, 4, true},
		{"more urgent", 10, 2, 2, false},
		{"fewer units", 10, 1, 3, false},
		{"later", 500, 2, 3, false},
	} {
		var r Rest
		if r.Holds(at(0), c.units, c.rank) {
			t.Errorf("%s: a rest before any", c.name)
		}
		r.Set(at(0), 2, 3, time.Minute, 500*time.Millisecond)
		if got := r.Holds(at(c.ms), c.units, c.rank); got != c.want {
			t.Errorf("%s: rests %t", c.name, got)
		}
	}
}
