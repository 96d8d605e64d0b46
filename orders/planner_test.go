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

func all(string, string) bool { return true }

// engine is an upstream that ignores fencing numbers: it does what it is told.
type engine struct{ engineapi.State }

func newEngine(role string) *engine {
	return &engine{engineapi.State{Role: role, Models: map[string]string{}, Adapters: map[string]string{}}}
}

func (e *engine) apply(o engineapi.Order) {
	switch o.Kind {
	case engineapi.OrderSetRole:
		e.Role = o.Role
	case engineapi.OrderLoadModel:
		e.Models[o.Model] = o.Version
	case engineapi.OrderLoadAdapter:
		e.Adapters[o.Model+"/"+o.Adapter] = o.Version
	}
}

// settle reads and orders until the planner sends nothing more.
func settle(t *testing.T, p *Planner, e *engine, now time.Time) []engineapi.Order {
	t.Helper()
	var sent []engineapi.Order
	for range 10 {
		for range p.Due(now, 0, all) {
			for _, o := range p.Observed(now, "d1", e.State) {
				e.apply(o)
				sent = append(sent, o)
			}
		}
		now = now.Add(p.config.RetryEvery)
	}
	return sent
}

func TestPlannerReachesWantedState(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(7, "v1"))
	e := newEngine("prefill")
	want := []engineapi.Order{
		{Fence: 7, Kind: engineapi.OrderSetRole, Role: "decode"},
		{Fence: 7, Kind: engineapi.OrderLoadModel, Model: "m", Version: "v1"},
		{Fence: 7, Kind: engineapi.OrderLoadAdapter, Model: "m", Adapter: "a", Version: "v1"},
	}
	if diff := cmp.Diff(want, settle(t, p, e, start)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	if len(p.entries) != 1 || !p.entries["d1"].reached {
		t.Fatalf("d1 alone takes orders and has reached its state; got %+v", p.entries)
	}
}

// Symptom: an upstream that ignores fencing numbers serves an old model
// version long after a newer bundle is in force.
// Sequence: version 8 is reached; an order of version 7, delayed on the
// network, arrives and is obeyed.
// Cause: the upstream does not check, and an order once accepted was held done.
func TestOrderSentLateOrder(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(8, "v2"))
	e := newEngine("decode")
	settle(t, p, e, start)
	e.apply(engineapi.Order{Fence: 7, Kind: engineapi.OrderLoadModel, Model: "m", Version: "v1"})
	settle(t, p, e, start.Add(p.config.ReadEvery+10*p.config.RetryEvery))
	if got := e.Models["m"]; got != "v2" {
		t.Fatalf("model version %q after a late order, want v2", got)
	}
}

// Symptom: a daemon orders an old version after a newer one.
// Sequence: version 8 is known; version 7 is offered by a slow source.
// Cause: the planner took whatever it was given last.
func TestPlannerNeverGoesBack(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(8, "v2"))
	p.SetVersion(version(7, "v1"))
	if !p.Current(8) || p.Current(7) {
		t.Fatalf("number %d, want 8", p.Number())
	}
}

// Symptom: an upstream is never ordered again.
// Sequence: an order is sent and lost; the next reading shows the old state.
// Cause: the order was counted as done when it was sent.
func TestOrderReadBackLostOrder(t *testing.T) {
	p := NewPlanner(DefaultConfig())
	p.SetVersion(version(7, "v1"))
	e := newEngine("decode")
	p.Due(start, 0, all)
	if lost := p.Observed(start, "d1", e.State); len(lost) == 0 {
		t.Fatal("no order for a state that differs")
	}
	if again := settle(t, p, e, start.Add(p.config.RetryEvery)); len(again) == 0 {
		t.Fatal("a lost order was not sent again")
	}
}

// Symptom: the weight store is flooded and every replica loads slowly.
// Sequence: a bundle changes the version of a model on many upstreams.
// Cause: nothing bounds the loads under way.
func TestPlannerBoundsLoads(t *testing.T) {
	v := version(7, "v1")
	v.Bundle.Upstreams["d3"] = bundle.Upstream{Pool: "d", Address: "d3:1", State: bundle.StateServing}
	p := NewPlanner(Config{ReadEvery: time.Second, RetryEvery: time.Second, MaxLoading: 1})
	p.SetVersion(v)
	ordered := 0
	for _, a := range p.Due(start, 0, all) {
		if len(p.Observed(start, a.Upstream, newEngine("decode").State)) > 0 {
			ordered++
		}
	}
	if ordered != 1 {
		t.Fatalf("%d upstreams ordered to load at once, want 1", ordered)
	}
}

// Symptom: a daemon orders an upstream that is another's, or leaves its own alone.
// Sequence: the stewards change; a version changes one upstream, or none.
// Cause: the own upstreams are worked out once too seldom, or all read each time.
func TestPlannerReadsWhatIsItsOwn(t *testing.T) {
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
		{v, 1, all, ""},
		{v, 2, all, "d3"},
		{&same, 2, all, ""},
		{moved, 2, all, "d3"},
		{version(10, "v1"), 2, all, ""},
		{version(11, "v2"), 2, all, "d1"},
	} {
		p.SetVersion(step.version)
		got := ""
		for _, a := range p.Due(start, step.generation, step.mine) {
			got += a.Upstream
			e := p.entries[a.Upstream]
			e.reading, e.reached, e.nextRead = false, true, start.Add(time.Hour)
		}
		if got != step.want {
			t.Errorf("step %d: %q is read, want %q", i, got, step.want)
		}
	}
}
