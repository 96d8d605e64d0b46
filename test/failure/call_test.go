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
	// callTimeout bounds one call to a service in these tests, in milliseconds.
	callTimeout = 1500
)

// quickCalls shortens the bound of a call.
func quickCalls(b *bundle.Bundle) {
	s := b.Services[testbed.ServiceName]
	s.TimeoutMillis = callTimeout
	b.Services[testbed.ServiceName] = s
}

// runs counts the executions, on all services that run, that match selects.
func (r *rig) runs(match func(service.Execution) bool) int {
	r.t.Helper()
	n := 0
	for _, u := range r.Pool(testbed.PoolService) {
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

func withKey(key string) func(service.Execution) bool {
	return func(x service.Execution) bool { return x.Key == key }
}

func withID(id string) func(service.Execution) bool {
	return func(x service.Execution) bool { return x.RequestID == id }
}

// truthful checks what an answer says of the run against the services.
func (r *rig) truthful(g reply) {
	r.t.Helper()
	if g.err != nil {
		r.t.Fatalf("no answer: %v", g.err)
	}
	n := r.runs(withID(g.id))
	switch {
	case g.problem == nil && g.status != http.StatusOK:
		r.t.Errorf("neither a result nor a problem: %s", g)
	case g.problem != nil && g.problem.Run == errkind.NotRun && n > 0:
		r.t.Errorf("told not-run, executed %d times: %s", n, g)
	case g.problem != nil && g.problem.Run == errkind.Ran && n == 0:
		r.t.Errorf("told ran, never executed: %s", g)
	}
}

// order submits a non-idempotent request.
func (r *rig) order(d *testbed.Daemon, key string) reply {
	return r.call(d, http.MethodPost, pathOrders+"/"+key, key, "an order")
}

// confirmed returns the confirmation of a result, or fails.
func (r *rig) confirmed(g reply) string {
	r.t.Helper()
	var c service.Confirmation
	if g.err != nil || g.status != http.StatusOK || json.Unmarshal(g.body, &c) != nil || c.Confirmation == "" {
		r.t.Fatalf("no confirmation: %s", g)
	}
	return c.Confirmation
}

// active waits until the services work on n calls.
func (r *rig) active(n int) {
	r.t.Helper()
	r.eventually("calls in progress", func() error {
		got := 0
		for _, u := range r.Pool(testbed.PoolService) {
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

// callFault is what the services do to one call.
type callFault struct {
	name   string
	faults service.Faults
	ran    int
	told   errkind.RunState
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

// Symptom: a caller that is told "not-run" submits again and the order runs
// twice; or one that is told "ran" waits for something that never was.
// Sequence: every service refuses, leaves, cuts or stalls the call before or
// after it takes effect, or answers with another's answer; then the key comes
// again, through another daemon, to services that work.
// Cause: a run state that forgets a dispatch, or takes a lost one for none.
func TestCall(t *testing.T) {
	t.Parallel()
	r := start(t)
	r.roll(quickCalls)
	for n, f := range callFaults {
		t.Run(f.name, func(t *testing.T) {
			r := r.under(t)
			key := fmt.Sprintf("call-%d", n)
			r.setServices(f.faults)
			g := r.order(r.Daemons[0], key)
			if f.faults.Leaving { // else whether the repeat meets the word of it is chance
				r.allLeave(r.Daemons[1])
			}
			r.setServices(service.Faults{})
			r.truthful(g)
			if got := r.runs(withKey(key)); got != f.ran || g.problem == nil || g.problem.Run != f.told {
				t.Fatalf("executed %d, want %d, told %s: %s", got, f.ran, f.told, g)
			}
			r.again(f, key)
			r.restart(0)
		})
	}
}

// allLeave waits until a daemon knows that every service leaves.
func (r *rig) allLeave(d *testbed.Daemon) {
	r.t.Helper()
	for _, u := range r.Pool(testbed.PoolService) {
		r.knowsLeaving(d, u.Name)
	}
}

// again repeats a key: what did not run may run now, once, and nothing else may.
func (r *rig) again(f callFault, key string) {
	r.t.Helper()
	if f.told != errkind.NotRun {
		r.eventually("the outcome is known to be unknown", func() error {
			g := r.order(r.Daemons[1], key)
			if g.problem == nil || g.problem.Run != errkind.Unknown || r.runs(withKey(key)) != f.ran {
				r.t.Fatalf("a repeat of an unknown outcome: executed %d: %s", r.runs(withKey(key)), g)
			}
			if g.problem.Kind != errkind.KeyOutcomeUnknown {
				return errString(g)
			}
			return nil
		})
		return
	}
	r.eventually("a key that did not run can be used again", func() error {
		if g := r.order(r.Daemons[1], key); g.status != http.StatusOK {
			return errors.New(g.String())
		}
		return nil
	})
	if n := r.runs(withKey(key)); n != 1 {
		r.t.Errorf("executed %d times", n)
	}
}

// Symptom: the same as of TestCall, with a service's process that dies or stops
// while it works on the call.
// Sequence: an order is in progress; its service is killed, or stopped until
// the caller has its answer; the order comes again through another daemon.
// Cause: the same; besides, a call that is sent again to another service.
func TestCallProcess(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"upstream-killed", "upstream-frozen"} {
		t.Run("call/"+fault, func(t *testing.T) {
			t.Parallel()
			r := start(t, func(l *testbed.Layout) { l.ServiceFlags = []string{"--work=500ms"} })
			r.roll(quickCalls)
			answers := make(chan reply, 1)
			go func() { answers <- r.order(r.Daemons[0], "k") }()
			r.active(1)
			u := r.working()
			if fault == "upstream-killed" {
				u.Kill()
			} else {
				r.must(u.Freeze(r.ctx))
			}
			g := <-answers
			if g.problem == nil || g.problem.Run != errkind.Unknown {
				t.Errorf("want unknown: %s", g)
			}
			again := r.order(r.Daemons[1], "k")
			if again.problem == nil || again.problem.Run != errkind.Unknown {
				t.Errorf("a repeat, want unknown: %s", again)
			}
			if fault == "upstream-frozen" {
				r.must(u.Thaw())
				r.active(0)
			}
			if n := r.runs(withKey("k")); n > 1 {
				t.Errorf("executed %d times", n)
			}
		})
	}
}

// working returns the service that works on a call.
func (r *rig) working() *testbed.Upstream {
	r.t.Helper()
	for _, u := range r.Pool(testbed.PoolService) {
		var s service.Stats
		r.must(u.Stats(r.ctx, &s))
		if s.Active > 0 {
			return u
		}
	}
	r.t.Fatal("no service works")
	return nil
}
