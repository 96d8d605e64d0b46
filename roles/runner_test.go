package roles

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/fleet"
)

// fakeGroup makes every member the owner of the partition.
type fakeGroup struct{ fail bool }

func (g *fakeGroup) Join(context.Context, Membership, time.Duration) (Membership, error) {
	if g.fail {
		return Membership{}, errors.New("store unreachable")
	}
	return Membership{Generation: 7, Owner: true}, nil
}

func (g *fakeGroup) Leave(context.Context) error { return nil }

// fakeEngines reports one state for all engines and records the orders.
type fakeEngines struct {
	state State
	err   error
	// atOnce, if positive, is the number of calls that must be in progress before State returns;
	// together is closed when they are.
	atOnce   int
	together chan struct{}

	mu     sync.Mutex
	calls  int
	orders []string
}

func (e *fakeEngines) State(ctx context.Context, _ Engine) (State, error) {
	if e.atOnce == 0 {
		return e.state, e.err
	}
	e.mu.Lock()
	if e.calls++; e.calls == e.atOnce {
		close(e.together)
	}
	e.mu.Unlock()
	select {
	case <-e.together:
		return e.state, e.err
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

func (e *fakeEngines) SetRole(_ context.Context, m Engine, to fleet.Role, fence, expected uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, fmt.Sprintf("%s %s %d %d", m.Name, to, fence, expected))
	return nil
}

// newTestRunner returns a runner that has held the lease for long enough to send orders, and
// sets now to a time at which it may.
func newTestRunner(e *fakeEngines, now *time.Time) *Runner {
	v := &fleet.View{
		Config: &fleet.Config{Services: map[string]fleet.Service{"llm": {Engine: &fleet.Engine{Slots: 12, MemoryTokens: 30000, RoleSwitch: switchTime}}, "app": {}}},
	}
	registrations := map[string][]fleet.Registration{}
	for _, m := range newEngines(5, 14) {
		registrations["llm"] = append(registrations["llm"], fleet.Registration{Name: m.Name, Service: "llm", DataCentre: m.DataCentre, Role: m.Role})
	}
	costs := NewCostEstimator()
	r := NewRunner(Options{
		Group: &fakeGroup{}, Engines: e, View: func() *fleet.View { return v },
		Registrations: func(service string) []fleet.Registration { return registrations[service] }, Costs: func(string) *CostEstimator { return costs },
		TTL: ttl, QuietPeriod: quiet, RenewalInterval: time.Hour, CallTimeout: time.Minute,
		Logger: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Now:    func() time.Time { return *now },
	})
	r.lease, r.planners = NewLease(ttl, quiet), map[string]*Planner{}
	for ms := 0; ms <= 6000; ms += 500 {
		*now = at(ms)
		r.renew(context.Background())
	}
	return r
}

func TestRunnerOrdersWithFenceAndExpectation(t *testing.T) {
	now := t0
	e := &fakeEngines{state: State{Role: fleet.RolePrefill, Orders: 3}}
	r := newTestRunner(e, &now)
	fence, ok := r.lease.Fence(now)
	if !ok {
		t.Fatal("the lease is not held")
	}
	r.sendOrders(context.Background(), fence)
	if d := cmp.Diff([]string{"e00 decode 7 3"}, e.orders); d != "" {
		t.Error(d)
	}
}

// Guards against orders that are sent one after the other: those for ten thousand engines took
// longer than the time before the first clients connect.
func TestOrdersAreSentConcurrently(t *testing.T) {
	const together = 8
	now := t0
	e := &fakeEngines{state: State{Role: fleet.RolePrefill}, atOnce: together, together: make(chan struct{})}
	r := newTestRunner(e, &now)
	r.options.CallTimeout = 5 * time.Second
	fence, _ := r.lease.Fence(now)
	orders := make([]Order, together)
	for i, m := range newEngines(together, together) {
		orders[i] = Order{Member: m, To: fleet.RoleDecode}
	}
	r.sendBatch(t.Context(), NewPlanner(switchTime), orders, fence, 0)
	if len(e.orders) != together {
		t.Errorf("%d of %d orders sent", len(e.orders), together)
	}
}

// Guards against a second order for an engine that is changing its role or has changed it
// already. The registration is seconds old, so the engine's own state must be read before
// each order.
func TestRunnerSendsNoOrderToBusyEngine(t *testing.T) {
	for name, e := range map[string]*fakeEngines{
		"busy":   {state: State{Role: fleet.RolePrefill, Busy: true}},
		"turned": {state: State{Role: fleet.RoleDecode}},
		"silent": {err: errors.New("no answer")},
	} {
		now := t0
		r := newTestRunner(e, &now)
		fence, _ := r.lease.Fence(now)
		r.sendOrders(context.Background(), fence)
		if len(e.orders) != 0 {
			t.Errorf("%s: orders %q", name, e.orders)
		}
	}
}
