package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// testConfig returns a configuration with one engine service and one plain service.
func testConfig(version uint64) *Config {
	return &Config{
		Version: version,
		Routes: []Route{
			{Name: "drafts", Host: "a.example", Prefix: "/d/", Kind: Stream, Timeout: 14 * time.Second, FirstTarget: 900 * time.Millisecond, Targets: []Target{{Service: "llm", Weight: 1}}, MaxSends: 1},
			{Name: "look-ups", Host: "a.example", Prefix: "/", Kind: Idempotent, Timeout: time.Second, FirstTarget: 100 * time.Millisecond, Targets: []Target{{Service: "app", Weight: 1}}, MaxSends: 2},
		},
		Services: map[string]Service{
			"llm": {Engine: &Engine{Slots: 12, MemoryTokens: 30000, TokenBytes: 160, MaxHold: 2 * time.Second, RoleSwitch: 6 * time.Second}},
			"app": {},
		},
	}
}

func appRegistration(name string) Registration {
	return Registration{Name: name, Service: "app", Address: name + ":1", DataCentre: "dc1"}
}

func appRegistrations(names ...string) []*Registration {
	var out []*Registration
	for _, name := range names {
		reg := appRegistration(name)
		out = append(out, &reg)
	}
	return out
}

func newTestRegistry(regs ...Registration) *Registry {
	r := NewRegistry("daemon", "dc1", testLease)
	_, _ = r.SetConfig(testConfig(3))
	for _, reg := range regs {
		r.Put(&reg)
	}
	return r
}

// servingUpstreams returns the names of the upstreams that may get new requests.
func servingUpstreams(t *testing.T, r *Registry) map[string]bool {
	t.Helper()
	v := r.lastView
	if next, ok := r.View(); ok {
		v = next
	}
	out := map[string]bool{}
	for name, up := range v.Bundle.Bundle.Upstreams {
		if up.State == bundle.StateServing {
			out[name] = true
		}
	}
	return out
}

// Guards against serving a deleted route again because version 4 of the configuration
// arrived after version 5 and replaced it.
func TestConfigNeverGoesBack(t *testing.T) {
	r := NewRegistry("daemon", "dc1", testLease)
	for _, step := range []struct {
		version uint64
		newer   bool
	}{{5, true}, {4, false}, {5, false}, {9, true}} {
		if got, err := r.SetConfig(testConfig(step.version)); got != step.newer || err != nil {
			t.Errorf("version %d: newer %t, want %t", step.version, got, step.newer)
		}
	}
	if r.config.Version != 9 {
		t.Errorf("version %d in force", r.config.Version)
	}
}

// Guards against an upstream that keeps getting new requests for seconds after it has
// reported that it is draining or has withdrawn its registration. The grace period must
// not apply to it, because the store is reachable.
func TestDrainingAndWithdrawnUpstreamsGetNoNewRequests(t *testing.T) {
	r := newTestRegistry(appRegistration("a"), appRegistration("b"), appRegistration("c"), appRegistration("d"))
	draining := appRegistration("a")
	draining.Draining = true
	r.Put(&draining)
	r.HandleMissing(at(0), []string{"b"}, false)
	want := map[string]bool{"c": true, "d": true}
	if diff := cmp.Diff(want, servingUpstreams(t, r)); diff != "" {
		t.Error(diff)
	}
}

// Guards against refusing every request ("no-upstream") although the upstreams are
// healthy. While the store is down, leases expire, and the first read after the outage
// returns no registration. One of the two upstreams registers again within the grace
// period; the other does not.
func TestExpiredUpstreamsStayForGracePeriod(t *testing.T) {
	r := newTestRegistry(appRegistration("a"), appRegistration("b"))
	r.Replace(at(0), nil, true)
	if got := servingUpstreams(t, r); len(got) != 2 {
		t.Fatalf("serving right after the outage: %v, want 2 upstreams", got)
	}
	again := appRegistration("a")
	r.Put(&again)
	if next := r.Expire(at(1000)); next != at(2000) {
		t.Errorf("next expiry at %v, want 2 s after the outage", next)
	}
	r.RecordRead(at(2000), false)
	r.Expire(at(2000))
	if diff := cmp.Diff(map[string]bool{"a": true}, servingUpstreams(t, r)); diff != "" {
		t.Error(diff)
	}
}

// Guards against dropping running upstreams when the store is unavailable once more before
// they have registered again. The grace period must begin anew with the store's return.
func TestGracePeriodOutlastsSecondOutage(t *testing.T) {
	r := newTestRegistry(appRegistration("a"), appRegistration("b"))
	r.Replace(at(0), nil, true)
	r.RecordRead(at(400), false)
	r.Expire(at(5000))
	if got := servingUpstreams(t, r); len(got) != 2 {
		t.Errorf("serving in the second outage: %v, want 2 upstreams", got)
	}
	r.RecordRead(at(6000), true)
	again := appRegistration("a")
	r.Put(&again)
	if next := r.Expire(at(7000)); next != at(8000) {
		t.Errorf("next expiry at %v, want 2 s after the second outage", next)
	}
	if due := r.ConfirmationDue(); due != at(7500) {
		t.Errorf("confirmation due at %v", due)
	}
	r.RecordRead(at(7600), false)
	r.Expire(at(8000))
	if diff := cmp.Diff(map[string]bool{"a": true}, servingUpstreams(t, r)); diff != "" {
		t.Error(diff)
	}
}

// Guards against sending a request to an upstream 2.2 s after it withdrew its
// registration. This happened when the grace period after an outage also covered
// registrations that were withdrawn after the outage.
func TestWithdrawalAfterOutageHasNoGracePeriod(t *testing.T) {
	r := newTestRegistry(appRegistration("a"), appRegistration("b"), appRegistration("c"))
	r.Replace(at(0), appRegistrations("a", "b", "c"), true)
	r.HandleMissing(at(1000), []string{"b"}, false)
	if servingUpstreams(t, r)["b"] {
		t.Error("b still gets new requests")
	}
}

// Guards against refusing every request when the store loses the leases of a service while
// the daemon can read it. The daemon sees no outage, but registrations of most of a service
// that disappear together must still count as expired.
func TestMassRemovalCountsAsExpiry(t *testing.T) {
	r := newTestRegistry(appRegistration("a"), appRegistration("b"), appRegistration("c"), appRegistration("d"))
	r.HandleMissing(at(0), []string{"a", "b", "c"}, false)
	if got := servingUpstreams(t, r); len(got) != 4 {
		t.Errorf("serving %v, want 4 upstreams", got)
	}
	r.RecordRead(at(2000), false)
	r.Expire(at(2000))
	if diff := cmp.Diff(map[string]bool{"d": true}, servingUpstreams(t, r)); diff != "" {
		t.Error(diff)
	}
}

func TestViewBundle(t *testing.T) {
	prefill := Registration{Name: "p", Service: "llm", Address: "p:1", DataCentre: "dc1", Role: RolePrefill}
	decode := Registration{Name: "d", Service: "llm", Address: "d:1", DataCentre: "dc1", Role: RoleDecode}
	r := newTestRegistry(prefill, decode, appRegistration("a"))
	v, ok := r.View()
	if !ok {
		t.Fatal("no view")
	}
	b := v.Bundle.Bundle
	model := b.Models["llm"]
	if b.Upstreams["p"].Pool != model.PrefillPool || b.Upstreams["d"].Pool != model.DecodePool {
		t.Errorf("engines in pools %q and %q of %+v", b.Upstreams["p"].Pool, b.Upstreams["d"].Pool, model)
	}
	if pool := b.Pools[model.DecodePool]; pool.MemoryTokens != 30000 || pool.Slots != 12 || pool.HoldMillis != 2000 {
		t.Errorf("decode pool %+v", pool)
	}
	if got := b.Classes[ClassOf(v.Config.Routes[0])]; got.FirstTokenMillis != 900 || got.DeadlineMillis != 14000 {
		t.Errorf("class %+v", got)
	}
	if !b.Pools["app"].Queues {
		t.Error("the pool of a plain service must have Queues set")
	}
	if _, again := r.View(); again {
		t.Error("got a new view although nothing changed")
	}
	switched := decode
	switched.Role = RolePrefill
	r.Put(&switched)
	if v, ok = r.View(); !ok || v.Bundle.Bundle.Upstreams["d"].Pool != model.PrefillPool {
		t.Error("the change of role is missing from the view")
	}
	if v.Bundle.Number != 2 {
		t.Errorf("view number %d, want 2", v.Bundle.Number)
	}
}

// Guards against routing by registrations that no longer exist. After random changes, each
// incremental view must equal a view that is built from the complete state.
func TestIncrementalViewEqualsFullView(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := NewRegistry("daemon", "dc1", testLease)
	_, _ = r.SetConfig(&Config{Version: 1, Services: map[string]Service{"s": {}}})
	for i := range 300 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		name := fmt.Sprintf("u%d", rng.IntN(12))
		switch rng.IntN(5) {
		case 0:
			r.HandleMissing(now, []string{name}, rng.IntN(2) == 0)
		case 1:
			r.Expire(now)
		case 2:
			_, _ = r.SetConfig(&Config{Version: uint64(i / 20), Services: map[string]Service{"s": {MaxConns: i}}})
		default:
			r.Put(&Registration{Name: name, Service: "s", Address: fmt.Sprint(rng.IntN(3)), Draining: rng.IntN(4) == 0})
		}
		before := r.lastView
		v, ok := r.View()
		if !ok {
			continue
		}
		want := r.fullView()
		if d := cmp.Diff(want.Bundle.Bundle, v.Bundle.Bundle); d != "" {
			t.Fatalf("step %d: %s", i, d)
		}
		if c := v.Bundle.Changes; c != nil && c.Since != before.Bundle.Number {
			t.Fatalf("step %d: changes since view %d, want since view %d", i, c.Since, before.Bundle.Number)
		}
	}
}

// TestModelsAreRankedByTheirRoutes guards against a model that is ranked, and so served
// differently, although all its routes have one priority, and against priorities of other
// services' routes or of an older configuration that count for it.
func TestModelsAreRankedByTheirRoutes(t *testing.T) {
	r := NewRegistry("daemon", "dc1", testLease)
	for i, step := range []struct {
		urgent, ordinary int
		want             []int
	}{{1, 1, nil}, {0, 2, []int{0, 2}}, {2, 2, nil}} {
		c := testConfig(uint64(i + 1))
		second := c.Routes[0]
		second.Name, second.Prefix = "more drafts", "/e/"
		c.Routes[0].Priority, second.Priority, c.Routes[1].Priority = step.urgent, step.ordinary, 5
		c.Routes = append(c.Routes, second)
		if newer, err := r.SetConfig(c); !newer || err != nil {
			t.Fatal(newer, err)
		}
		v, _ := r.View()
		if got := v.Bundle.Bundle.Models["llm"].Ranks; !cmp.Equal(got, step.want) {
			t.Errorf("priorities %d and %d: ranks %v, want %v", step.urgent, step.ordinary, got, step.want)
		}
	}
}
