package orders

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1_000, 0)

func version(number uint64, modelVersion string) *bundle.Version {
	return &bundle.Version{Number: number, Bundle: &bundle.Bundle{
		Models: map[string]bundle.Model{"m": {
			Version: modelVersion, Adapters: []string{"a"}, PrefillPool: "p", DecodePool: "d",
		}},
		Pools: map[string]bundle.Pool{
			"p": {Role: bundle.RolePrefill}, "d": {Role: bundle.RoleDecode}, "s": {Role: bundle.RoleService},
		},
		Upstreams: map[string]bundle.Upstream{
			"d1": {Pool: "d", Address: "d1:1", State: bundle.StateJoining},
			"d2": {Pool: "d", Address: "d2:1", State: bundle.StateLeaving},
			"s1": {Pool: "s", Address: "s1:1", State: bundle.StateServing},
		},
	}}
}

func isStewardOfAll(string, string) bool { return true }

// fakeEngine is an upstream that carries out every order, whatever its fencing number.
type fakeEngine struct{ engineapi.State }

func newFakeEngine(role string) *fakeEngine {
	return &fakeEngine{engineapi.State{Role: role, Models: map[string]string{}, Adapters: map[string]string{}}}
}

func (e *fakeEngine) apply(o engineapi.Order) {
	switch o.Kind {
	case engineapi.OrderSetRole:
		e.Role = o.Role
	case engineapi.OrderLoadModel:
		e.Models[o.Model] = o.Version
	case engineapi.OrderLoadAdapter:
		e.Adapters[o.Model+"/"+o.Adapter] = o.Version
	}
}

// reconcileUntilStable runs ten rounds of reads and orders, enough to reach the desired
// state, and returns the orders.
func reconcileUntilStable(t *testing.T, p *Planner, e *fakeEngine, now time.Time) []engineapi.Order {
	t.Helper()
	var sent []engineapi.Order
	for range 10 {
		for range p.Due(now, 0, isStewardOfAll) {
			for _, o := range p.RecordState(now, "d1", e.State) {
				e.apply(o)
				sent = append(sent, o)
			}
		}
		now = now.Add(p.config.RetryInterval)
	}
	return sent
}

func TestPlannerReachesWantedState(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(7, "v1"))
	e := newFakeEngine("prefill")
	want := []engineapi.Order{
		{Fence: 7, Kind: engineapi.OrderSetRole, Role: "decode"},
		{Fence: 7, Kind: engineapi.OrderLoadModel, Model: "m", Version: "v1"},
		{Fence: 7, Kind: engineapi.OrderLoadAdapter, Model: "m", Adapter: "a", Version: "v1"},
	}
	if diff := cmp.Diff(want, reconcileUntilStable(t, p, e, start)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	if len(p.reconciliations) != 1 || !p.reconciliations["d1"].inDesiredState {
		t.Fatalf("reconciliations: %+v, want d1 alone, in its desired state", p.reconciliations)
	}
}

// Guards against an upstream that goes on serving an old model version because an order
// from bundle 7, delayed in the network, was carried out after bundle 8 had been applied.
// An upstream that ignores fencing numbers accepts such an order, so its state must be read
// again even after the newer orders were accepted.
func TestOrderSentLateOrder(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(8, "v2"))
	e := newFakeEngine("decode")
	reconcileUntilStable(t, p, e, start)
	e.apply(engineapi.Order{Fence: 7, Kind: engineapi.OrderLoadModel, Model: "m", Version: "v1"})
	reconcileUntilStable(t, p, e, start.Add(p.config.ReadInterval+10*p.config.RetryInterval))
	if got := e.Models["m"]; got != "v2" {
		t.Fatalf("model version %q after a late order, want v2", got)
	}
}

// Guards against sending orders from an older bundle that a slow source delivers after a
// newer one.
func TestPlannerNeverGoesBack(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(8, "v2"))
	p.SetVersion(version(7, "v1"))
	if !p.IsCurrent(8) || p.IsCurrent(7) {
		t.Fatalf("number %d, want 8", p.BundleNumber())
	}
}

// Guards against an upstream that stays in its old state because its order was lost: an
// order must not count as carried out when it is sent.
func TestOrderReadBackLostOrder(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(7, "v1"))
	e := newFakeEngine("decode")
	p.Due(start, 0, isStewardOfAll)
	if lost := p.RecordState(start, "d1", e.State); len(lost) == 0 {
		t.Fatal("no order for an upstream that is not in its desired state")
	}
	if again := reconcileUntilStable(t, p, e, start.Add(p.config.RetryInterval)); len(again) == 0 {
		t.Fatal("a lost order was not sent again")
	}
}

// Guards against overloading the weight store, so that all upstreams load slowly, when a
// bundle changes the version of a model on many upstreams.
func TestPlannerBoundsLoads(t *testing.T) {
	v := version(7, "v1")
	v.Bundle.Upstreams["d3"] = bundle.Upstream{Pool: "d", Address: "d3:1", State: bundle.StateServing}
	p := NewPlanner(Config{ReadInterval: time.Second, RetryInterval: time.Second, MaxConcurrentLoads: 1})
	p.SetVersion(v)
	ordered := 0
	for _, a := range p.Due(start, 0, isStewardOfAll) {
		if len(p.RecordState(start, a.Upstream, newFakeEngine("decode").State)) > 0 {
			ordered++
		}
	}
	if ordered != 1 {
		t.Fatalf("%d upstreams ordered to load at once, want 1", ordered)
	}
}

// Guards against reading an upstream that another daemon is the steward of, against
// missing an upstream after the stewards or the bundle changed, and against reading
// upstreams again whose desired state a new bundle leaves unchanged.
func TestPlannerReadsAssignedUpstreams(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	v := version(7, "v1")
	v.Bundle.Upstreams["d3"] = bundle.Upstream{Pool: "d", Address: "d3:1", State: bundle.StateServing}
	moved := version(9, "v1")
	moved.Bundle.Upstreams["d3"] = bundle.Upstream{Pool: "p", Address: "d3:1", State: bundle.StateServing}
	same := *v
	same.Number = 8
	one := func(name, _ string) bool { return name == "d1" }
	for i, step := range []struct {
		version    *bundle.Version
		generation uint64
		mine       func(string, string) bool
		want       string
	}{
		{v, 1, one, "d1"},
		{v, 1, isStewardOfAll, ""},
		{v, 2, isStewardOfAll, "d3"},
		{&same, 2, isStewardOfAll, ""},
		{moved, 2, isStewardOfAll, "d3"},
		{version(10, "v1"), 2, isStewardOfAll, ""},
		{version(11, "v2"), 2, isStewardOfAll, "d1"},
	} {
		p.SetVersion(step.version)
		got := ""
		for _, a := range p.Due(start, step.generation, step.mine) {
			got += a.Upstream
			e := p.reconciliations[a.Upstream]
			e.readInFlight, e.inDesiredState, e.nextRead = false, true, start.Add(time.Hour)
		}
		if got != step.want {
			t.Errorf("step %d: read %q, want %q", i, got, step.want)
		}
	}
}
