package ratelimit

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// newTestLimiter returns the limiter and ledger of the only daemon of a fleet, which has accrued for 20 s
// and has a limit for upstream1.
func newTestLimiter(limit float64) (*Limiter, *quota.Ledger) {
	b, l := NewTable(), quota.NewLedger(t0, true)
	tick(l, 0, 20_000)
	b.Observe(at(20_000), Observation{Upstream: upstream1, HasLimit: true, Limit: limit, At: at(20_000)})
	return NewLimiter(b, l), l
}

// tick calls Tick every 100 ms with the whole rate as the share.
func tick(l *quota.Ledger, from, to int) {
	for ms := from; ms <= to; ms += 100 {
		l.Tick(at(ms), 1, true)
	}
}

// Guards against terms that allow more requests in a window than the bound does (see
// allowedExcess).
func TestTermsStayWithinBound(t *testing.T) {
	for _, limit := range []float64{0, 1e-9, 0.1, 0.5, 5.4, 200, 1e5, 1e300} {
		terms := Terms(limit)
		allowed := allowedExcess*limit*Window.Seconds() + allowedSlack
		most := terms.Rate * (Window + terms.Lifetime).Seconds()
		if most > allowed || terms.Lifetime < time.Second || terms.Lifetime > quota.MaxLifetime {
			t.Errorf("limit %g a second: terms allow %g requests in a window of %g allowed, with a lifetime of %v", limit, most, allowed, terms.Lifetime)
		}
		if limit > probeRate && limit < maxRate && terms.Rate != limit {
			t.Errorf("limit %g a second is accrued at %g", limit, terms.Rate)
		}
	}
}

// Guards against an upstream with a limit of 0 that is never probed again.
func TestUpstreamWithLimitZeroIsProbed(t *testing.T) {
	g, l := newTestLimiter(0)
	probes := 0
	for ms := 20_000; ms < 60_000; ms += 100 {
		l.Tick(at(ms), 1, true)
		if _, _, ok := g.Acquire(at(ms), upstream1, Request{}); ok {
			probes++
		}
	}
	if probes < 10 || probes > 14 {
		t.Errorf("%d probes in 40 s, want 10 to 14", probes)
	}
}

// Guards against less urgent requests that use up the units more urgent ones need, and against a
// reserve that is kept without any urgent requests.
func TestLessUrgentRequestsLeaveOneForOthers(t *testing.T) {
	urgent, other := Request{Pool: "p", Rank: 1}, Request{Pool: "p", Rank: 2}
	count := func(g *Limiter, now time.Time, s Request) (n int) {
		for g.Allows(now, upstream1, s) {
			if _, _, ok := g.Acquire(now, upstream1, s); !ok {
				t.Fatal("Acquire refused a request that Allows had allowed")
			}
			n++
		}
		return n
	}
	g, _ := newTestLimiter(2)
	if n := count(g, at(20_000), other); n < 5 {
		t.Errorf("%d requests allowed without urgent ones, want at least 5", n)
	}
	g, _ = newTestLimiter(2)
	for range 5 {
		g.RecordDemand(at(20_000), urgent)
	}
	count(g, at(20_000), other)
	if n := count(g, at(20_000), urgent); n != 1 {
		t.Errorf("%d urgent requests allowed, want 1", n)
	}
	if loan := g.Lend(at(20_000), upstream1, other, 0.5, 0.5, true); loan.Units > 0 {
		t.Errorf("loan %+v of the reserve", loan)
	}
}

// Guards against refused callers that are all told to retry at the same time, or never.
func TestRetryAfterGrowsWithBacklog(t *testing.T) {
	g, _ := newTestLimiter(5)
	first := g.RetryAfter(at(20_000), Request{Pool: "p"}, []Upstream{upstream1}, 0.5)
	second := g.RetryAfter(at(20_000), Request{Pool: "p"}, []Upstream{upstream1}, 0.5)
	if first != 400*time.Millisecond || second != 2*first {
		t.Errorf("first wait %v, second %v, want 400ms and 800ms", first, second)
	}
	if got := g.RetryAfter(at(20_000), Request{Pool: "q"}, []Upstream{upstream1}, 0); got != maxWait {
		t.Errorf("wait %v for a daemon without a share", got)
	}
}

// Guards against urgent callers that are told to wait for less urgent ones, and against a backlog
// larger than the limit can cover in the longest wait.
func TestUrgentCallersWaitOnlyForUrgentOnes(t *testing.T) {
	g, _ := newTestLimiter(5)
	urgent, other := Request{Pool: "p", Rank: 1}, Request{Pool: "p", Rank: 2}
	wait := func(ms int, s Request) time.Duration { return g.RetryAfter(at(ms), s, []Upstream{upstream1}, 1) }
	for range 100 {
		wait(20_000, other)
	}
	if got := wait(20_000, other); got != maxWait {
		t.Errorf("wait %v behind a hundred requests", got)
	}
	if first, second := wait(20_000, urgent), wait(20_000, urgent); first != minWait || second != 400*time.Millisecond {
		t.Errorf("first wait of urgent callers %v, second %v", first, second)
	}
	// One second covers five requests: the two urgent ones and three of the others.
	if got := wait(21_000, urgent); got != minWait {
		t.Errorf("wait %v after the urgent requests were covered", got)
	}
	if got := wait(21_000, other); got != 9_800*time.Millisecond {
		t.Errorf("wait %v behind the remaining requests", got)
	}
}

// Guards against loans for an upstream without a limit at the lender.
func TestNothingIsLentWithoutALimit(t *testing.T) {
	g, _ := newTestLimiter(5)
	for _, u := range []Upstream{{Name: "other"}, {Name: upstream1.Name, Incarnation: upstream1.Incarnation + 1}} {
		if loan := g.Lend(at(20_000), u, Request{}, 1, 1, true); loan.Units != 0 {
			t.Errorf("upstream %+v: loan %+v", u, loan)
		}
	}
	if _, limited, ok := g.Acquire(at(20_000), Upstream{Name: "other"}, Request{}); limited || !ok {
		t.Error("a request to an upstream without a limit is refused")
	}
}
