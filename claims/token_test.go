package claims

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// TestBoundTokens checks how requests with bound tokens are decided while the log
// is unavailable.
func TestBoundTokens(t *testing.T) {
	service, l := startLog(t, nil)
	service.SetFaults(logsvc.Faults{Cut: true}, 0)
	dead := wire.NodeID{Instance: "dead", Incarnation: 9}
	var clockOffset atomic.Int64
	a := testGate(t, "a.b", l, func(o *Options) {
		o.IsDead = func(n wire.NodeID) bool { return n == dead }
		o.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
		o.MaxTokens = 2
	})
	fresh := func() string { return a.Issuer().Issue("team") }
	used := fresh()
	g, err := a.Claim(t.Context(), claimKey(used, 1))
	if got := claimResult(g, err); got != "run" || g.Deadline().IsZero() {
		t.Fatalf("first use: %s", got)
	}
	forged := fresh()
	last := forged[len(forged)-2:]
	forged = strings.TrimSuffix(forged, last) + strings.Map(func(r rune) rune { return r ^ 1 }, last)
	tests := []struct {
		name, want string
		key        request.ClaimKey
	}{
		{"in progress", "key-in-progress unknown", claimKey(used, 1)},
		{"another body", "key-reused not-run", claimKey(used, 2)},
		{"forged", "bad-request not-run", claimKey(forged, 1)},
		{"another team", "bad-request not-run", request.ClaimKey{Team: "other", Key: fresh()}},
		{"malformed", "bad-request not-run", claimKey("ct1.a.b", 1)},
		{"malformed number", "bad-request not-run", claimKey("ct1.a.b.x.1.n.m", 1)},
		{"another daemon's", "owner c", claimKey("ct1.c.7.1.n.m", 1)},
		{"a dead daemon's", "key-outcome-unknown unknown", claimKey("ct1.dead.9.1.n.m", 1)},
		{"of an earlier life", "key-outcome-unknown unknown", claimKey("ct1.a.b.0.1.n.m", 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkClaim(t, tt.want, a, tt.key) })
	}
	g.Finish(request.Outcome{Run: errkind.NotRun})
	g, _ = a.Claim(t.Context(), claimKey(used, 1))
	g.Finish(request.Outcome{Run: errkind.Ran, Answer: &request.CallAnswer{Body: []byte("ok")}})
	g.Finish(request.Outcome{Run: errkind.NotRun})
	checkClaim(t, "answer ok", a, claimKey(used, 1))
	checkClaim(t, "run", a, claimKey(fresh(), 1))
	checkClaim(t, "overloaded unknown", a, claimKey(fresh(), 1))
	clockOffset.Store(int64(time.Hour))
	checkClaim(t, "key-expired unknown", a, claimKey(used, 1))
	checkClaim(t, "run", a, claimKey(fresh(), 1))
}

// TestTokenIsRememberedPastItsExpiry checks that a request with a bound token does
// not run twice if the wall clock is set back. A token is used just before its
// expiry, and another one after it. If the first were forgotten at its expiry, it
// would be valid again once the clock is set back.
func TestTokenIsRememberedPastItsExpiry(t *testing.T) {
	var clockOffset time.Duration
	start := time.Now()
	m, err := newIssuer(wire.NodeID{Instance: "a", Incarnation: 1}, time.Minute, 10, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	m.now = func() time.Time { return start.Add(clockOffset) }
	use := func(token string) string { return claimResult(m.Claim("team", token, BodyDigest{1})) }
	used := m.Issue("team")
	got := []string{use(used)}
	clockOffset = 70 * time.Second
	got = append(got, use(m.Issue("team")), use(used))
	clockOffset = 50 * time.Second
	got = append(got, use(used))
	clockOffset = 4 * time.Minute
	got = append(got, use(m.Issue("team")))
	if d := cmp.Diff([]string{"run", "run", "key-expired unknown", "key-in-progress unknown", "run"}, got); d != "" || len(m.used.entries) != 1 {
		t.Errorf("%d kept %s", len(m.used.entries), d)
	}
}
