package failure

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// token mints a bound token.
func (r *rig) token(d *testbed.Daemon) string {
	r.t.Helper()
	g := r.call(d, http.MethodPost, "/v1/idempotency-tokens", "", "")
	var reply struct{ Token string }
	if g.status != http.StatusCreated || json.Unmarshal(g.body, &reply) != nil {
		r.t.Fatalf("no token: %s", g)
	}
	return reply.Token
}

func (r *rig) orderWith(d *testbed.Daemon, token string) reply {
	return r.call(d, http.MethodPost, pathOrders, token, "an order")
}

// Symptom: an order under a bound token runs twice, or not at all though the
// daemon that minted it can be reached.
// Sequence: the token comes to its own daemon and to others, at once, while the
// log is down or their data centre is cut from the platform.
// Cause: a token taken by another daemon than the one that minted it, or that
// needs the log.
func TestToken(t *testing.T) {
	t.Parallel()
	r := start(t)
	for name, cause := range map[string]struct{ set, heal func() }{
		"claim/log-down": {func() { r.setLog(logsvc.Faults{Down: true}, 0) }, func() { r.setLog(logsvc.Faults{}, 0) }},
		"claim/platform-cut": {
			func() { r.SetPlatform("dc1", testbed.Cut); r.SetPlatform("dc2", testbed.Cut) },
			func() { r.SetPlatform("dc1", testbed.Open); r.SetPlatform("dc2", testbed.Open) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.under(t)
			cause.set()
			defer cause.heal()
			token := r.token(r.Daemons[0])
			answers := calls(6, func(i int) reply { return r.orderWith(r.Daemons[i%3], token) })
			answers = append(answers, r.orderWith(r.Daemons[1], token))
			if n := r.once(token, answers...); n != 1 || answers[6].status != http.StatusOK {
				t.Errorf("executed %d times: %v", n, answers)
			}
		})
	}
	t.Run("claim/data-centre-cut", func(t *testing.T) {
		r := r.under(t)
		token := r.token(r.Daemons[0])
		r.SetPeers("dc1", "dc2", testbed.Cut)
		away := r.orderWith(r.Daemons[1], token)
		if away.problem == nil || away.problem.Run == errkind.Ran || r.runs(withKey(token)) != 0 {
			t.Errorf("used in a data centre that cannot reach the owner: %s", away)
		}
		home := r.orderWith(r.Daemons[2], token)
		r.SetPeers("dc1", "dc2", testbed.Open)
		if n := r.once(token, away, home); n != 1 {
			t.Errorf("executed %d times: %s", n, home)
		}
		r.meet()
	})
	t.Run("claim/daemon-killed", func(t *testing.T) {
		r := r.under(t)
		token := r.token(r.Daemons[0])
		if n := r.once(token, r.orderWith(r.Daemons[0], token)); n != 1 {
			t.Fatalf("executed %d times", n)
		}
		r.restart(0)
		for _, d := range r.Daemons {
			g := r.orderWith(d, token)
			if g.problem == nil || g.problem.Run != errkind.Unknown || r.runs(withKey(token)) != 1 {
				t.Errorf("the token outlived its daemon: %s", g)
			}
		}
	})
}
