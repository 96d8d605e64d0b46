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

func TestBoundTokens(t *testing.T) {
	service, l := startLog(t, nil)
	service.SetFaults(logsvc.Faults{Cut: true}, 0)
	dead := wire.NodeID{Instance: "dead", Incarnation: 9}
	var ahead atomic.Int64
	a := testGate(t, "a.b", l, func(o *Options) {
		o.Dead = func(n wire.NodeID) bool { return n == dead }
		o.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
		o.MaxTokens = 2
	})
	fresh := func() string { return a.Minter().Mint("team") }
	used := fresh()
	g, err := a.Claim(t.Context(), claimKey(used, 1))
	if got := verdict(g, err); got != "run" || g.Deadline().IsZero() {
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
		t.Run(tt.name, func(t *testing.T) { check(t, tt.want, a, tt.key) })
	}
	g.Finish(request.Outcome{Run: errkind.NotRun})
	g, _ = a.Claim(t.Context(), claimKey(used, 1))
	g.Finish(request.Outcome{Run: errkind.Ran, Answer: &request.CallAnswer{Body: []byte("ok")}})
	g.Finish(request.Outcome{Run: errkind.NotRun})
	check(t, "answer ok", a, claimKey(used, 1))
	check(t, "run", a, claimKey(fresh(), 1))
	check(t, "overloaded unknown", a, claimKey(fresh(), 1))
	ahead.Store(int64(time.Hour))
	check(t, "key-expired unknown", a, claimKey(used, 1))
	check(t, "run", a, claimKey(fresh(), 1))
}

// Symptom: an order that carries a bound token is placed twice.
// Sequence: a token is used just before its expiry; it expires and another one is
// used; the wall clock is set back by some seconds, and the first is sent again.
// Cause: the token is forgotten at its expiry and is valid again.
func TestTokenIsRememberedPastItsExpiry(t *testing.T) {
	var ahead time.Duration
	start := time.Now()
	m, err := newMinter(wire.NodeID{Instance: "a", Incarnation: 1}, time.Minute, 10, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	m.now = func() time.Time { return start.Add(ahead) }
	use := func(token string) string { return verdict(m.Claim("team", token, Body{1})) }
	used := m.Mint("team")
	got := []string{use(used)}
	ahead = 70 * time.Second
	got = append(got, use(m.Mint("team")), use(used))
	ahead = 50 * time.Second
	got = append(got, use(used))
	ahead = 4 * time.Minute
	got = append(got, use(m.Mint("team")))
	if d := cmp.Diff([]string{"run", "run", "key-expired unknown", "key-in-progress unknown", "run"}, got); d != "" || len(m.used.entries) != 1 {
		t.Errorf("%d kept %s", len(m.used.entries), d)
	}
}
