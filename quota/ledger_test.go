package quota

import (
	"math"
	"testing"
	"time"
)

var (
	// t0 is the start of each test.
	t0     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	bounds = Bounds{Window: 8 * time.Second, Excess: 0.1, Slack: 1000}
	limit  = Limit{Rate: 1000, Burst: 1000}
	terms  = bounds.Terms(limit)
)

func team(name string) Account { return Account{Team: name} }

// at returns the time ms milliseconds after t0.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// accruingLedger returns a ledger that has accrued the whole rate for ms milliseconds.
func accruingLedger(ms int) *Ledger {
	l := NewLedger(t0, true)
	tick(l, 0, ms)
	return l
}

// tick calls Tick at its regular interval, with the whole rate as the share.
func tick(l *Ledger, from, to int) {
	for ms := from; ms <= to; ms += int(TickInterval / time.Millisecond) {
		l.Tick(at(ms), 1, true)
	}
}

func approxEqual(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

// Guards against terms that allow more or less than the bounds.
func TestTermsAreWhatTheBoundsAllow(t *testing.T) {
	for _, l := range []Limit{limit, {Rate: 1, Burst: 0}, {Rate: 218052, Burst: 218052}} {
		got := bounds.Terms(l)
		allowed := (8*l.Rate+l.Burst)*1.1 + 1000
		if !approxEqual(got.Rate*(8+got.Lifetime.Seconds()), allowed, 1e-6*allowed) || got.Lifetime <= 0 {
			t.Errorf("limit %+v: terms %+v do not match the bounds", l, got)
		}
	}
}

// Guards against units that are spent after they expired, on top of those accrued in the same
// window.
func TestAccrualsExpire(t *testing.T) {
	l := accruingLedger(30_000)
	rate, life := terms.Rate, terms.Lifetime
	if got := l.Available(at(30_000), team("a"), terms); !approxEqual(got, rate*life.Seconds(), rate*0.2) {
		t.Errorf("%v units left at %v a second with a lifetime of %v", got, rate, life)
	}
	if _, ok := l.Spend(at(30_000), team("a"), terms, rate*life.Seconds()*1.1, 0); ok {
		t.Error("spent more units than are available")
	}
	if _, ok := l.Spend(at(30_000), team("a"), terms, rate, 0); !ok {
		t.Error("refused fewer units than are available")
	}
	if got := l.Available(at(30_000), team("b"), terms); !approxEqual(got, rate*life.Seconds(), rate*0.2) {
		t.Errorf("spending of one team left another %v units", got)
	}
}

// Guards against charging a team for requests that did not run, and against units that are
// returned to the ledger after a stall emptied it.
func TestRefund(t *testing.T) {
	l := accruingLedger(10_000)
	before := l.Available(at(10_000), team("a"), terms)
	ticket, ok := l.Spend(at(10_000), team("a"), terms, 1500, 0)
	if !ok || !approxEqual(l.Available(at(10_000), team("a"), terms), before-1500, 1e-6) {
		t.Fatal(ok)
	}
	l.Refund(at(10_000), ticket)
	if got := l.Available(at(10_000), team("a"), terms); !approxEqual(got, before, 1e-6) {
		t.Errorf("%v units left after the return, %v before the spending", got, before)
	}
	ticket, _ = l.Spend(at(10_000), team("a"), terms, 1500, 0)
	l.Tick(at(20_000), 1, true) // 10 s without a tick: a stall
	l.Refund(at(20_000), ticket)
	if got := l.Available(at(20_000), team("a"), terms); got != 0 {
		t.Errorf("%v units left after a stall", got)
	}
}

// Guards against time that is accrued at both ends of a hand-over, or counts as newer than it
// is.
func TestHandOver(t *testing.T) {
	reader, follower := NewLedger(t0, true), NewLedger(at(300), true)
	for ms := 0; ms <= 4000; ms += 100 {
		reader.Tick(at(ms), 0.5, true)
		if ms >= 300 {
			follower.Tick(at(ms), 0.5, false)
		}
		if ms >= 1000 && ms%500 == 0 {
			stamp := reader.Stamp(at(900))
			reader.AcceptHandOver(at(ms+5), follower.HandOver(at(ms), stamp, at(903), 2), 0.5)
		}
	}
	rate, life := terms.Rate, terms.Lifetime
	if got := follower.Available(at(4000), team("a"), terms); got != 0 {
		t.Errorf("the follower has %v units of time that it handed over", got)
	}
	if got := reader.Available(at(4000), team("a"), terms); !approxEqual(got, rate*life.Seconds(), 0.2*rate) {
		t.Errorf("the reader has %v units, want %v", got, rate*life.Seconds())
	}
	stale := follower.HandOver(at(4100), Stamp{Incarnation: 99}, at(903), 2)
	before := reader.Available(at(4100), team("a"), terms)
	reader.AcceptHandOver(at(4100), stale, 0.5)
	if got := reader.Available(at(4100), team("a"), terms); got != before {
		t.Error("accepted a span stamped by another incarnation")
	}
}

// Guards against lent units that both daemons can spend, and against loans that expire later
// than the units lent.
func TestLoan(t *testing.T) {
	lender, borrower := accruingLedger(10_000), NewLedger(t0, false)
	borrower.Tick(at(10_000), 0, false)
	before := lender.Available(at(10_000), team("a"), terms)
	loan := lender.Lend(at(10_000), team("a"), terms, 500, 700, 0, false)
	if loan.Units < 500 || loan.Units > 700 || !approxEqual(loan.Remaining+loan.Units, before, 1e-6) {
		t.Fatalf("loan %+v of %v units, want 500 to 700", loan, before)
	}
	borrower.AddLoan(at(10_010), team("a"), terms, at(9_990), loan)
	if got := borrower.Available(at(10_010), team("a"), terms); !approxEqual(got, loan.Units, 1e-6) {
		t.Errorf("borrower has %v units of a loan of %v", got, loan.Units)
	}
	if got := borrower.Available(at(9_990).Add(terms.Lifetime), team("a"), terms); got != 0 {
		t.Errorf("%v units of the loan have not expired", got)
	}
	if got := lender.Lend(at(10_000), team("b"), terms, 500, math.NaN(), 0, false); got.Units != 500 {
		t.Errorf("loan %+v for NaN units wanted, want the 500 units needed", got)
	}
	refused := lender.Lend(at(10_000), team("a"), terms, before, before, 0, false)
	if refused.Units != 0 || refused.Wait <= 0 {
		t.Errorf("loan %+v for more units than available, want none and a wait", refused)
	}
	if some := lender.Lend(at(10_000), team("a"), terms, before, before, 0, true); !approxEqual(some.Units, loan.Remaining, 1e-6) {
		t.Errorf("partial loan %+v, want all available units", some)
	}
}

// Guards against refused callers that are all told to retry at the same time.
func TestRetryAfterGrowsWithBacklog(t *testing.T) {
	l := accruingLedger(10_000)
	first := l.RetryAfter(at(10_000), team("a"), terms, 500)
	second := l.RetryAfter(at(10_000), team("a"), terms, 500)
	if second < first*3/2 {
		t.Errorf("first wait %v, second %v, want at least 1.5 times as long", first, second)
	}
	if later := l.RetryAfter(at(10_000).Add(second), team("a"), terms, 500); !approxEqual(later.Seconds(), first.Seconds(), 1e-3) {
		t.Errorf("wait %v once the backlog is accrued, want the first wait %v", later, first)
	}
}

// Guards against units accrued before the machine was suspended: the monotonic clock does not
// count that time, so the units look newer than they are.
func TestStallEmptiesLedger(t *testing.T) {
	l := accruingLedger(10_000)
	if got := l.Available(at(12_000), team("a"), terms); got != 0 {
		t.Errorf("%v units left after a stall", got)
	}
	tick(l, 12_000, 12_900)
	if got := l.Available(at(12_900), team("a"), terms); got != 0 {
		t.Errorf("%v units accrued during the startup delay", got)
	}
	tick(l, 13_000, 14_000)
	if got := l.Available(at(14_000), team("a"), terms); got == 0 {
		t.Error("nothing accrued after the startup delay")
	}
}

// Guards against units that a team keeps from a higher limit after its limit was lowered.
func TestLoweredLimit(t *testing.T) {
	l := accruingLedger(10_000)
	low := Limit{Rate: 10, Burst: 10}
	if got, want := l.Available(at(10_000), team("a"), bounds.Terms(low)), bounds.Terms(low).Rate*2; got > want+1e-6 {
		t.Errorf("%v units left, want at most %v", got, want)
	}
}

// Guards against a burst that neither limit allows after a limit is raised, and against units
// accrued under the higher limit after it is lowered.
func TestAccrualsAreValuedAtLowerLimit(t *testing.T) {
	high, low := Terms{Rate: 100, Lifetime: 2 * time.Second}, Terms{Rate: 1, Lifetime: 4 * time.Second}
	for _, c := range []struct {
		name  string
		terms []Terms // in force for a second each, the last one from now on
		want  float64
	}{
		{"steady", []Terms{high, high, high, high}, 200},
		{"rises", []Terms{low, low, low, high}, 2},
		{"falls", []Terms{high, high, high, low}, 4},
		{"up and down", []Terms{high, low, high, high}, 101},
		{"down and up", []Terms{low, high, low, high}, 101},
		{"up, long ago", []Terms{low, high, high, high}, 200},
	} {
		l, now := accruingLedger(10_000), 10_000
		for _, terms := range c.terms[:3] {
			l.Available(at(now), team("a"), terms)
			tick(l, now, now+1000)
			now += 1000
		}
		if got := l.Available(at(now), team("a"), c.terms[3]); !approxEqual(got, c.want, 0.15*c.want) {
			t.Errorf("%s: %g units left, want %g", c.name, got, c.want)
		}
	}
}

// Guards against a reserve of units that are always about to expire, so that it goes unused.
func TestReserveKeepsNewestUnits(t *testing.T) {
	l := accruingLedger(10_000)
	half := l.Available(at(10_000), team("a"), terms) / 2
	if loan := l.Lend(at(10_000), team("a"), terms, half, half, 1, false); !approxEqual(loan.Units, half, 1e-6) {
		t.Fatalf("loan %+v, want half of %v units", loan, 2*half)
	}
	if left := l.Available(at(10_000).Add(terms.Lifetime*2/5), team("a"), terms); left < 0.8*half {
		t.Errorf("%v of %v units left after two fifths of the lifetime", left, half)
	}
}

// Guards against a backoff after a less urgent request that also stops more urgent ones from
// borrowing, and against loan requests that are repeated while no daemon has units to
// lend.
func TestBackoffBlocksLessUrgentRequests(t *testing.T) {
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
		var r Backoff
		if r.Active(at(0), c.units, c.rank) {
			t.Errorf("%s: backoff applies before one was set", c.name)
		}
		r.Start(at(0), 2, 3, time.Minute, 500*time.Millisecond)
		if got := r.Active(at(c.ms), c.units, c.rank); got != c.want {
			t.Errorf("%s: backoff applies: %t", c.name, got)
		}
	}
}
