package roles

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// newEngines returns n engines spread over three data centres. The first p of them prefill.
func newEngines(p, n int) []Engine {
	var out []Engine
	for i := range n {
		m := Engine{Name: fmt.Sprintf("e%02d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Role: fleet.RoleDecode}
		if i < p {
			m.Role = fleet.RolePrefill
		}
		out = append(out, m)
	}
	return out
}

const switchTime = 6 * time.Second

// nextOrder returns the first order that is due.
func nextOrder(p *Planner, now time.Time, members []Engine, share float64) (Order, bool) {
	list := p.Orders(now, members, share, false, 1)
	if len(list) == 0 {
		return Order{}, false
	}
	return list[0], true
}

// runPlanner calls the planner every half second, carries out its orders at once, and
// returns the number of prefill engines at the end.
func runPlanner(p *Planner, from int, members []Engine, share float64, steps int) int {
	for i := range steps {
		now := at(from + 500*i)
		o, ok := nextOrder(p, now, members, share)
		if !ok {
			continue
		}
		p.RecordOrder(now, o)
		for j := range members {
			if members[j].Name == o.Member.Name {
				members[j].Role = o.To
			}
		}
	}
	return countPrefill(members)
}

func countPrefill(members []Engine) int {
	n := 0
	for _, m := range members {
		if m.Role == fleet.RolePrefill {
			n++
		}
	}
	return n
}

// Guards against work that grows with the square of the engines: each order of thousands was
// planned by looking at all engines.
func TestPlanningGrowsWithEngines(t *testing.T) {
	const share = 0.2
	allocations := func(engines int) float64 {
		members := newEngines(engines/3, engines)
		return testing.AllocsPerRun(5, func() {
			orders := NewPlanner(switchTime).Orders(t0, members, share, true, engines)
			if len(orders) < engines/10 {
				t.Fatalf("%d orders for %d engines", len(orders), engines)
			}
		})
	}
	if small, large := allocations(300), allocations(3000); large > 3*small {
		t.Errorf("%v allocations for 300 engines, %v for 3000", small, large)
	}
}

// Guards against a batch that leaves other numbers of engines than orders planned one by one.
func TestBatchEqualsSingleOrders(t *testing.T) {
	for _, prefill := range []int{4, 20, 45} {
		one, batch := newEngines(prefill, 60), newEngines(prefill, 60)
		p := NewPlanner(switchTime)
		for {
			list := p.Orders(t0, one, 0.3, true, 1)
			if len(list) == 0 {
				break
			}
			p.RecordOrder(t0, list[0])
		}
		got := NewPlanner(switchTime).Orders(t0, batch, 0.3, true, len(batch))
		if len(got) != len(p.pending) {
			t.Errorf("%d prefill engines of 60: %d orders in a batch, %d one by one", prefill, len(got), len(p.pending))
		}
		for _, o := range got {
			if p.pending[o.Member.Name].to != o.To {
				t.Errorf("%s ordered to %v in the batch only", o.Member.Name, o.To)
			}
		}
	}
}

// Guards against a planner that leaves idle engines in the prefill pool: decode engines then
// lack memory in bursts, while five of fourteen engines prefill although three would suffice.
func TestPlannerGivesIdlePrefillToDecode(t *testing.T) {
	for _, tc := range []struct {
		prefill, n int
		share      float64
		want       int
	}{
		{5, 14, 0.19, 3}, // 2.66 engines wanted
		{3, 9, 0.18, 2},  // 1.62 engines wanted
		{5, 14, 0.36, 5}, // the wanted number
		{1, 14, 0.02, 1}, // at least one engine prefills
		{2, 14, 0.02, 1}, // down to one engine
		{2, 14, 0.40, 5}, // long prompts: at most toPrefillSlack below 5.6
		{0, 6, 0.20, 1},  // all prefill engines have crashed
		{1, 1, 0.50, 1},  // a single engine gets no orders
	} {
		members := newEngines(tc.prefill, tc.n)
		if got := runPlanner(NewPlanner(switchTime), 0, members, tc.share, 400); got != tc.want {
			t.Errorf("%d of %d, share %v: %d prefill, want %d", tc.prefill, tc.n, tc.share, got, tc.want)
		}
	}
}

// Guards against losing all prefill engines, which halved the goodput of a day compared
// with no planner. Engines crash at the peak, so that the remaining ones seem to include
// one prefill engine too many. The planner moves it to decode, and the next crash hits the
// last prefill engine.
func TestPlannerKeepsPrefillWhileEnginesAreMissing(t *testing.T) {
	p := NewPlanner(switchTime)
	members := newEngines(3, 14)
	runPlanner(p, 0, members, 0.19, 10)
	left := append([]Engine(nil), members[:9]...) // decode engines are gone
	if got := runPlanner(p, 5000, left, 0.19, 8); got != 3 {
		t.Errorf("%d prefill engines are left of 3", got)
	}
}

// Guards against engines that change their roles back and forth all day and are
// unavailable meanwhile. The registration shows the old role for seconds after an order. If
// the planner ignored pending orders, it would order more engines than are needed.
func TestPlannerCountsPendingOrders(t *testing.T) {
	p := NewPlanner(switchTime)
	members := newEngines(5, 14) // registrations never change in this test
	sent := 0
	for i := range 16 { // 8 s, during which orders stay pending
		if o, ok := nextOrder(p, at(500*i), members, 0.19); ok {
			p.RecordOrder(at(500*i), o)
			sent++
		}
	}
	if sent != 2 {
		t.Errorf("%d orders, want the 2 that are needed", sent)
	}
}

func TestPlannerPicksAnotherEngineWhenOneIsSilent(t *testing.T) {
	p := NewPlanner(switchTime)
	members := newEngines(5, 14)
	first, ok := nextOrder(p, at(0), members, 0.19)
	if !ok {
		t.Fatal("no order")
	}
	p.RecordUnreachable(at(0), first.Member)
	second, ok := nextOrder(p, at(500), members, 0.19)
	if !ok || second.Member.Name == first.Member.Name {
		t.Errorf("second order for %q, want one for another engine than the first", second.Member.Name)
	}
}

func TestPlannerSpreadsPrefillOverDataCentres(t *testing.T) {
	members := newEngines(6, 15) // two prefill engines in each data centre
	runPlanner(NewPlanner(switchTime), 0, members, 0.2, 200)
	seen := map[string]int{}
	for _, m := range members {
		if m.Role == fleet.RolePrefill {
			seen[m.DataCentre]++
		}
	}
	if len(seen) != 3 {
		t.Errorf("prefill engines by data centre: %v", seen)
	}
}

func TestPrefillShareFollowsCosts(t *testing.T) {
	e := Capacity{Slots: 12, MemoryTokens: 30000}
	w := NewCostEstimator()
	first, learned := w.PrefillShare(at(0), e)
	if first < 0.1 || first > 0.4 || learned {
		t.Errorf("share without samples: %v, learned %v", first, learned)
	}
	for range 60 {
		w.AddCompletion(at(0), Sample{Prompt: 12000, Answer: 100, DecodeTime: 500 * time.Millisecond})
		w.AddPrefill(at(0), 12000, 360*time.Millisecond)
	}
	long, learned := w.PrefillShare(at(0), e)
	if !learned {
		t.Error("nothing learned from sixty completions")
	}
	for range 60 {
		w.AddCompletion(at(1), Sample{Prompt: 500, Answer: 2000, DecodeTime: 10 * time.Second})
	}
	short, _ := w.PrefillShare(at(1), e)
	if long <= first || short >= first {
		t.Errorf("share %v at first, %v with long prompts, %v with long answers", first, long, short)
	}
}

// Guards against moving decode engines to prefill during a burst, which wasted a hundred
// prefills whose decode engines were no longer available. The lease holder, one of ninety
// daemons, had only a dozen samples of prefills, all from the burst, in which each prompt
// waited as long as its prefill took.
func TestOneBurstMovesNoEngine(t *testing.T) {
	w := NewCostEstimator()
	e := Capacity{Slots: 12, MemoryTokens: 30000}
	before, _ := w.PrefillShare(at(0), e)
	for range 12 {
		w.AddCompletion(at(0), Sample{Prompt: 3000, Answer: 700, DecodeTime: 3500 * time.Millisecond})
		w.AddPrefill(at(0), 3000, 180*time.Millisecond)
	}
	if after, learned := w.PrefillShare(at(0), e); learned || after != before {
		t.Errorf("share %v after a burst, %v before", after, before)
	}
}

// Guards against moving all but one engine away from prefill. When a prefill is repeated on
// an engine that has the prompt in its cache, it takes almost no time. A single such sample
// must not make prefill seem ten times as fast.
func TestSingleSampleHasLittleWeight(t *testing.T) {
	w := NewCostEstimator()
	e := Capacity{Slots: 12, MemoryTokens: 30000}
	for range 60 {
		w.AddCompletion(at(0), Sample{Prompt: 3000, Answer: 700, DecodeTime: 3500 * time.Millisecond})
		w.AddPrefill(at(0), 3000, 90*time.Millisecond)
	}
	before, _ := w.PrefillShare(at(0), e)
	w.AddPrefill(at(0), 3000, time.Millisecond)
	if after, _ := w.PrefillShare(at(0), e); after < 0.95*before {
		t.Errorf("share %v after one cached prompt, %v before", after, before)
	}
}

const (
	ttl   = 2 * time.Second
	quiet = 3 * time.Second
)

// Guards against an engine that keeps its old role for seconds although prefill engines are
// missing. It is ordered to prefill, crashes and registers again under its name. The order
// must not stay pending for the new incarnation, which never received it.
func TestOrderEndsWithIncarnation(t *testing.T) {
	p := NewPlanner(switchTime)
	members := newEngines(3, 6)
	order := Order{Member: members[5], To: fleet.RolePrefill}
	p.RecordOrder(at(0), order)
	p.removeFinished(at(1), members)
	if len(p.pending) != 1 {
		t.Fatal("the order is no longer pending")
	}
	members[5].Incarnation = 7
	p.removeFinished(at(2), members)
	if len(p.pending) != 0 {
		t.Error("the order is still pending after the engine restarted")
	}
}

// Guards against engines that change their roles in each burst and are unavailable for the
// rest of it. During a burst the wanted share seems to be 1.6 times its real value.
func TestPlannerIgnoresBursts(t *testing.T) {
	const n, share = 128, 0.21
	fleetOf := func(prefill int) []Engine {
		var out []Engine
		for i := range n {
			role := fleet.RoleDecode
			if i < prefill {
				role = fleet.RolePrefill
			}
			out = append(out, Engine{Name: fmt.Sprintf("e%d", i), Role: role})
		}
		return out
	}
	p := NewPlanner(6 * time.Second)
	for at := time.Duration(0); at < time.Minute; at += 700 * time.Millisecond {
		now, seen := t0.Add(at), share
		if at%(10*time.Second) < 5*time.Second {
			seen *= 1.6
		}
		if o, ok := nextOrder(p, now, fleetOf(27), seen); ok {
			t.Fatalf("%s ordered to %s after %v, want no order", o.Member.Name, o.To, at)
		}
	}
}

// Guards against a burst tolerance that also suppresses orders that are needed: prefill is
// four times as slow as assumed, and the pool must grow from 27 to about 64 engines.
func TestPlannerMovesEnginesDespiteBurstTolerance(t *testing.T) {
	const n = 128
	members := make([]Engine, n)
	for i := range members {
		members[i] = Engine{Name: fmt.Sprintf("e%d", i), Role: fleet.RoleDecode}
		if i < 27 {
			members[i].Role = fleet.RolePrefill
		}
	}
	p := NewPlanner(6 * time.Second)
	for at := time.Duration(0); at < 2*time.Minute; at += 700 * time.Millisecond {
		o, ok := nextOrder(p, t0.Add(at), members, 0.5)
		if !ok {
			continue
		}
		p.RecordOrder(t0.Add(at), o)
		for i := range members {
			if members[i].Name == o.Member.Name {
				members[i].Role = o.To // carried out at once
			}
		}
	}
	prefill := 0
	for _, m := range members {
		if m.Role == fleet.RolePrefill {
			prefill++
		}
	}
	if prefill < 60 || prefill > 66 {
		t.Errorf("%d engines prefill, want about 64", prefill)
	}
}

// Guards against a version of which only prefill engines are left, so that its streams cannot go on.
func TestEachVersionKeepsADecodeEngine(t *testing.T) {
	members := newEngines(5, 14)
	for i := range members {
		members[i].Version = "v2"
	}
	members[2].Version, members[3].Version = "v1", "v1"
	p := NewPlanner(switchTime)
	share := 5.0 / 14
	if o, ok := nextOrder(p, t0, members, share); ok {
		t.Errorf("ordered at once: %+v", o)
	}
	o, ok := nextOrder(p, t0.Add(undecodedDelay), members, share)
	if !ok || o.Member.Version != "v1" || o.To != fleet.RoleDecode {
		t.Fatalf("%v, %+v", ok, o)
	}
	members[2].Role = fleet.RoleDecode
	p = NewPlanner(switchTime)
	for i := range 60 { // far more prefill engines are wanted
		for _, o := range p.Orders(at(500*i), members, 0.9, false, 1) {
			if o.Member.Name == members[2].Name {
				t.Fatalf("the only decode engine of its version is ordered to prefill")
			}
			p.RecordOrder(at(500*i), o)
			for j := range members {
				if members[j].Name == o.Member.Name {
					members[j].Role = o.To
				}
			}
		}
	}
}
