package failure

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// mintToken requests an idempotency token, which is bound to the daemon that issues it.
func (r *harness) mintToken(d *testbed.Daemon) string {
	r.t.Helper()
	g := r.call(d, http.MethodPost, "/v1/idempotency-tokens", "", "")
	var reply struct{ Token string }
	if g.status != http.StatusCreated || json.Unmarshal(g.body, &reply) != nil {
		r.t.Fatalf("no token: %s", g)
	}
	return reply.Token
}

// orderWithToken sends an order with a token as its idempotency key.
func (r *harness) orderWithToken(d *testbed.Daemon, token string) reply {
	return r.call(d, http.MethodPost, pathOrders, token, "an order")
}

// Guards against a token that is claimed by another daemon than the one that issued it, so
// that an order is executed twice, and against a token that cannot be used while the log is
// unreachable. Orders with one token are sent to the issuing daemon and to others while the
// log is down, while data centres are cut from the platform or from each other, and after
// the issuing daemon has been killed and restarted.
func TestToken(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	for name, cause := range map[string]struct{ set, heal func() }{
		"claim/log-down": {func() { r.setLogFaults(logsvc.Faults{Down: true}, 0) }, func() { r.setLogFaults(logsvc.Faults{}, 0) }},
		"claim/platform-cut": {
			func() { r.SetPlatformMode("dc1", testbed.Cut); r.SetPlatformMode("dc2", testbed.Cut) },
			func() { r.SetPlatformMode("dc1", testbed.Open); r.SetPlatformMode("dc2", testbed.Open) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.forSubtest(t)
			cause.set()
			defer cause.heal()
			token := r.mintToken(r.Daemons[0])
			answers := concurrently(6, func(i int) reply { return r.orderWithToken(r.Daemons[i%3], token) })
			answers = append(answers, r.orderWithToken(r.Daemons[1], token))
			if n := r.checkAtMostOnce(token, answers...); n != 1 || answers[6].status != http.StatusOK {
				t.Errorf("executed %d times: %v", n, answers)
			}
		})
	}
	t.Run("claim/data-centre-cut", func(t *testing.T) {
		r := r.forSubtest(t)
		token := r.mintToken(r.Daemons[0])
		r.SetPeerMode("dc1", "dc2", testbed.Cut)
		away := r.orderWithToken(r.Daemons[1], token)
		if away.problem == nil || away.problem.Run == errkind.Ran || r.executions(withKey(token)) != 0 {
			t.Errorf("token used in a data centre that cannot reach its daemon: %s", away)
		}
		home := r.orderWithToken(r.Daemons[2], token)
		r.SetPeerMode("dc1", "dc2", testbed.Open)
		if n := r.checkAtMostOnce(token, away, home); n != 1 {
			t.Errorf("executed %d times: %s", n, home)
		}
		r.awaitPeers()
	})
	t.Run("claim/daemon-killed", func(t *testing.T) {
		r := r.forSubtest(t)
		token := r.mintToken(r.Daemons[0])
		if n := r.checkAtMostOnce(token, r.orderWithToken(r.Daemons[0], token)); n != 1 {
			t.Fatalf("executed %d times", n)
		}
		r.restartDaemon(0)
		for _, d := range r.Daemons {
			g := r.orderWithToken(d, token)
			if g.problem == nil || g.problem.Run != errkind.Unknown || r.executions(withKey(token)) != 1 {
				t.Errorf("token used after the restart of its daemon: %s", g)
			}
		}
	})
}
