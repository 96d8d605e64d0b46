package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

const (
	pathService = "/services/" + testbed.ServiceName
	pathOrders  = pathService + testbed.NonIdempotentPath
	// callTimeoutMillis is the timeout of one call to a service that shortCallTimeout
	// sets.
	callTimeoutMillis = 1500
)

// shortCallTimeout reduces the timeout of calls to the service.
func shortCallTimeout(b *bundle.Bundle) {
	s := b.Services[testbed.ServiceName]
	s.TimeoutMillis = callTimeoutMillis
	b.Services[testbed.ServiceName] = s
}

// executions returns the number of executions on all running services for which match
// returns true.
func (r *harness) executions(match func(service.Execution) bool) int {
	r.t.Helper()
	n := 0
	for _, u := range r.PoolUpstreams(testbed.PoolService) {
		if !u.Running() {
			continue
		}
		var list service.Executions
		r.must(u.Get(r.ctx, "/executions", &list))
		for _, x := range list.Executions {
			if match(x) {
				n++
			}
		}
	}
	return n
}

// withKey matches executions with an idempotency key.
func withKey(key string) func(service.Execution) bool {
	return func(x service.Execution) bool { return x.Key == key }
}

// withID matches executions of the request with an ID.
func withID(id string) func(service.Execution) bool {
	return func(x service.Execution) bool { return x.RequestID == id }
}

// checkRunState checks the run state in a reply against the executions that the
// services recorded.
func (r *harness) checkRunState(g reply) {
	r.t.Helper()
	if g.err != nil {
		r.t.Fatalf("no reply: %v", g.err)
	}
	n := r.executions(withID(g.id))
	switch {
	case g.problem == nil && g.status != http.StatusOK:
		r.t.Errorf("neither a result nor a problem: %s", g)
	case g.problem != nil && g.problem.Run == errkind.NotRun && n > 0:
		r.t.Errorf("run state not-run, but executed %d times: %s", n, g)
	case g.problem != nil && g.problem.Run == errkind.Ran && n == 0:
		r.t.Errorf("run state ran, but never executed: %s", g)
	}
}

// submitOrder sends an order, a non-idempotent request to the plain service, with an
// idempotency key.
func (r *harness) submitOrder(d *testbed.Daemon, key string) reply {
	return r.call(d, http.MethodPost, pathOrders+"/"+key, key, "an order")
}

// confirmation returns the confirmation in a successful reply, and fails the test when
// there is none.
func (r *harness) confirmation(g reply) string {
	r.t.Helper()
	var c service.Confirmation
	if g.err != nil || g.status != http.StatusOK || json.Unmarshal(g.body, &c) != nil || c.Confirmation == "" {
		r.t.Fatalf("no confirmation: %s", g)
	}
	return c.Confirmation
}

// awaitActiveCalls waits until n calls are in progress on the services.
func (r *harness) awaitActiveCalls(n int) {
	r.t.Helper()
	r.eventually("calls in progress", func() error {
		got := 0
		for _, u := range r.PoolUpstreams(testbed.PoolService) {
			var s service.Stats
			if err := u.Stats(r.ctx, &s); err != nil {
				return err
			}
			got += s.Active
		}
		if got != n {
			return errors.Errorf("%d, want %d", got, n)
		}
		return nil
	})
}

// callFault is a fault of the services and its expected effects on an order.
type callFault struct {
	name       string // subtest name, STEP/FAULT
	faults     service.Faults
	executions int              // recorded by the services
	runState   errkind.RunState // reported to the caller
}

var callFaults = []callFault{
	{"call/upstream-killed", service.Faults{Refuse: true}, 0, errkind.NotRun},
	{"call/leaving", service.Faults{Leaving: true}, 0, errkind.NotRun},
	{"call/connection-cut", service.Faults{CutBefore: true}, 0, errkind.Unknown},
	{"call/connection-stalled", service.Faults{StallBefore: true}, 0, errkind.Unknown},
	{"call/truncated-answer", service.Faults{CutAfter: true}, 1, errkind.Unknown},
	{"call/late-answer", service.Faults{StallAfter: true}, 1, errkind.Unknown},
	{"call/crossed-answer", service.Faults{Crossed: true}, 1, errkind.Unknown},
}

// Guards against wrong run states: after "not-run" a caller may submit an order again,
// which must not execute it twice, and "ran" must not be reported for an order that was
// never executed. All services refuse the call, leave, cut or stall it before or after
// it takes effect, or send another request's answer; then the faults end and the same
// key is submitted through another daemon.
func TestCall(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	r.publishAndWait(shortCallTimeout)
	for n, f := range callFaults {
		t.Run(f.name, func(t *testing.T) {
			r := r.forSubtest(t)
			key := fmt.Sprintf("call-%d", n)
			r.setServiceFaults(f.faults)
			g := r.submitOrder(r.Daemons[0], key)
			if f.faults.Leaving { // the second daemon must have received the notices
				r.awaitServicesLeaving(r.Daemons[1])
			}
			r.setServiceFaults(service.Faults{})
			r.checkRunState(g)
			if got := r.executions(withKey(key)); got != f.executions || g.problem == nil || g.problem.Run != f.runState {
				t.Fatalf("executed %d times, want %d with run state %s: %s", got, f.executions, f.runState, g)
			}
			r.resubmit(f, key)
			r.restartDaemon(0)
		})
	}
}

// awaitServicesLeaving waits until a daemon considers every service to be leaving.
func (r *harness) awaitServicesLeaving(d *testbed.Daemon) {
	r.t.Helper()
	for _, u := range r.PoolUpstreams(testbed.PoolService) {
		r.awaitLeaving(d, u.Name)
	}
}

// resubmit submits a key again. An order that was not executed must be executed now,
// once; any other must not be executed again.
func (r *harness) resubmit(f callFault, key string) {
	r.t.Helper()
	if f.runState != errkind.NotRun {
		r.eventually("the reply has the kind key-outcome-unknown", func() error {
			g := r.submitOrder(r.Daemons[1], key)
			if g.problem == nil || g.problem.Run != errkind.Unknown || r.executions(withKey(key)) != f.executions {
				r.t.Fatalf("resubmitted with unknown outcome: executed %d times: %s", r.executions(withKey(key)), g)
			}
			if g.problem.Kind != errkind.KeyOutcomeUnknown {
				return replyError(g)
			}
			return nil
		})
		return
	}
	r.eventually("a key whose order was not executed can be used again", func() error {
		if g := r.submitOrder(r.Daemons[1], key); g.status != http.StatusOK {
			return errors.New(g.String())
		}
		return nil
	})
	if n := r.executions(withKey(key)); n != 1 {
		r.t.Errorf("executed %d times", n)
	}
}

// Guards against wrong run states, as TestCall does, and against a call that is sent
// again to another service. While an order is in progress, its service is killed, or
// frozen until the caller has its reply; then the order is submitted again through
// another daemon.
func TestCallProcess(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"upstream-killed", "upstream-frozen"} {
		t.Run("call/"+fault, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, func(l *testbed.Layout) { l.ServiceFlags = []string{"--work=500ms"} })
			r.publishAndWait(shortCallTimeout)
			answers := make(chan reply, 1)
			go func() { answers <- r.submitOrder(r.Daemons[0], "k") }()
			r.awaitActiveCalls(1)
			u := r.busyService()
			if fault == "upstream-killed" {
				u.Kill()
			} else {
				r.must(u.Freeze(r.ctx))
			}
			g := <-answers
			if g.problem == nil || g.problem.Run != errkind.Unknown {
				t.Errorf("want run state unknown: %s", g)
			}
			again := r.submitOrder(r.Daemons[1], "k")
			if again.problem == nil || again.problem.Run != errkind.Unknown {
				t.Errorf("resubmitted, want run state unknown: %s", again)
			}
			if fault == "upstream-frozen" {
				r.must(u.Thaw())
				r.awaitActiveCalls(0)
			}
			if n := r.executions(withKey("k")); n > 1 {
				t.Errorf("executed %d times", n)
			}
		})
	}
}

// busyService returns a service with a call in progress.
func (r *harness) busyService() *testbed.Upstream {
	r.t.Helper()
	for _, u := range r.PoolUpstreams(testbed.PoolService) {
		var s service.Stats
		r.must(u.Stats(r.ctx, &s))
		if s.Active > 0 {
			return u
		}
	}
	r.t.Fatal("no service has a call in progress")
	return nil
}
