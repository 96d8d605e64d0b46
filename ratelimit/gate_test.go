package ratelimit

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// gateOf returns the gate of the one daemon of a fleet that has run for a while, and knows a
// limit.
func gateOf(limit float64) (*Gate, *quota.Ledger) {
	b, l := NewBook(), quota.NewLedger(t0, true)
	tick(l, 0, 20_000)
	b.Hear(at(20_000), Word{Upstream: one, Named: true, Limit: limit, At: at(20_000)})
	return NewGate(b, l), l
}

func tick(l *quota.Ledger, from, to int) {
	for ms := from; ms <= to; ms += 100 {
		l.Tick(at(ms), 1, true)
	}
}

// Guards against terms by which a window may be over what users allow.
func TestTermsAreWithinWhatIsAllowed(t *testing.T) {
	for _, limit := range []float64{0, 1e-9, 0.1, 0.5, 5.4, 200, 1e5, 1e300} {
		terms := Terms(limit)
		allowed := allowedExcess*limit*Window.Seconds() + allowedSlack
		most := terms.Rate * (Window + terms.Life).Seconds()
		if most > allowed || terms.Life < time.Second || terms.Life > quota.MostLife {
			t.Errorf("%g a second: %g of %g, for %v", limit, most, allowed, terms.Life)
		}
		if limit > lookRate && limit < mostRate && terms.Rate != limit {
			t.Errorf("%g a second is accrued at %g", limit, terms.Rate)
		}
	}
}

// Guards against an upstream that takes nothing and is never looked at again.
func TestUpstreamThatTakesNothingIsLookedAt(t *testing.T) {
	g, l := gateOf(0)
	looks := 0
	for ms := 20_000; ms < 60_000; ms += 100 {
		l.Tick(at(ms), 1, true)
		if _, _, ok := g.Take(at(ms), one, Seeker{}); ok {
			looks++
		}
	}
	if looks < 10 || looks > 14 {
		t.Errorf("%d looks in 40 s", looks)
	}
}

// Guards against requests of less value that take what the more urgent ones need, and against
// urgent ones that keep what nobody asks for.
func TestLessUrgentRequestsLeaveOneForOthers(t *testing.T) {
	urgent, other := Seeker{Pool: "p", Rank: 1}, Seeker{Pool: "p", Rank: 2}
	count := func(g *Gate, now time.Time, s Seeker) (n int) {
		for g.May(now, one, s) {
			if _, _, ok := g.Take(now, one, s); !ok {
				t.Fatal("less may be taken than there may be")
			}
			n++
		}
		return n
	}
	g, _ := gateOf(2)
	if n := count(g, at(20_000), other); n < 5 {
		t.Errorf("%d where nobody else asks", n)
	}
	g, _ = gateOf(2)
	for range 5 {
		g.Asked(at(20_000), urgent)
	}
	count(g, at(20_000), other)
	if n := count(g, at(20_000), urgent); n != 1 {
		t.Errorf("%d are left for urgent requests", n)
	}
	if loan := g.Lend(at(20_000), one, other, 0.5, 0.5, true); loan.Units > 0 {
		t.Errorf("%+v lent of what is left for others", loan)
	}
}

// Guards against refused callers who are told to come back at the same moment, or never.
func TestWaitGrowsWithThoseThatWait(t *testing.T) {
	g, _ := gateOf(5)
	first := g.Wait(at(20_000), Seeker{Pool: "p"}, []Upstream{one}, 0.5)
	second := g.Wait(at(20_000), Seeker{Pool: "p"}, []Upstream{one}, 0.5)
	if first != 400*time.Millisecond || second != 2*first {
		t.Errorf("%v, then %v", first, second)
	}
	if got := g.Wait(at(20_000), Seeker{Pool: "q"}, []Upstream{one}, 0); got != mostWait {
		t.Errorf("%v where this daemon has no part", got)
	}
}

// Guards against urgent callers who are told to come back when all less urgent ones have been
// served, and against more promises than the limit bears.
func TestWaitOfUrgentCallersIsTheirOwn(t *testing.T) {
	g, _ := gateOf(5)
	urgent, other := Seeker{Pool: "p", Rank: 1}, Seeker{Pool: "p", Rank: 2}
	wait := func(ms int, s Seeker) time.Duration { return g.Wait(at(ms), s, []Upstream{one}, 1) }
	for range 100 {
		wait(20_000, other)
	}
	if got := wait(20_000, other); got != mostWait {
		t.Errorf("%v behind a hundred", got)
	}
	if first, second := wait(20_000, urgent), wait(20_000, urgent); first != leastWait || second != 400*time.Millisecond {
		t.Errorf("%v, then %v for urgent callers", first, second)
	}
	// One second bears five: the two urgent ones, and three of the others.
	if got := wait(21_000, urgent); got != leastWait {
		t.Errorf("%v, after the urgent ones were borne", got)
	}
	if got := wait(21_000, other); got != 9_800*time.Millisecond {
		t.Errorf("%v behind those that are left", got)
	}
}

// Guards against loans of an upstream of which the lender knows no limit.
func TestNothingIsLentWithoutALimit(t *testing.T) {
	g, _ := gateOf(5)
	for _, u := range []Upstream{{Name: "other"}, {Name: one.Name, Life: one.Life + 1}} {
		if loan := g.Lend(at(20_000), u, Seeker{}, 1, 1, true); loan.Units != 0 {
			t.Errorf("%+v: %+v", u, loan)
		}
	}
	if _, limited, ok := g.Take(at(20_000), Upstream{Name: "other"}, Seeker{}); limited || !ok {
		t.Error("an upstream without a limit is refused")
	}
}
