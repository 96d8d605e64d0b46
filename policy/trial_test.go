package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// ejectSilent ejects the named replicas, or all of a pool, which may only have been silent.
func (f *testFleet) ejectSilent(names ...string) {
	for i := range f.replicas {
		r := &f.replicas[i]
		for _, name := range names {
			if r.Name == name || r.Pool == name {
				r.EjectedAt, r.EjectedUntil, r.Silent = t0.Add(-time.Second), t0.Add(time.Second), true
			}
		}
	}
}

// Guards against requests that are refused because every replica is ejected, and against requests to
// silent replicas while others are left, beyond a few at a time, or at one replica after the other.
func TestTrialsOfSilentReplicas(t *testing.T) {
	const refused = string(errkind.NoUpstream)
	for _, tc := range []struct {
		name                     string
		setup                    func(f *testFleet, q *Query)
		decode, prefill, service string // a replica, a kind of refusal, or empty for any replica
	}{
		{"decode engines", func(f *testFleet, _ *Query) { f.ejectSilent("d") }, "", "", ""},
		{"all engines and services", func(f *testFleet, _ *Query) { f.ejectSilent("d", "p", "s") }, "", "", ""},
		{"one is left", func(f *testFleet, _ *Query) { f.ejectSilent("d0", "d1", "p1", "p2", "s0", "s2") }, "d2", "p0", "s1"},
		{"the last one has failed this request", func(f *testFleet, q *Query) {
			f.ejectSilent("d0", "d1", "s0", "s1")
			q.Exclude = []string{"d2", "s2"}
		}, refused, "", refused},
		{"hosts that refuse connections", func(f *testFleet, _ *Query) {
			f.ejectSilent("d", "p", "s")
			for _, name := range []string{"d0", "d2", "p1", "p2", "s0", "s1", "s2"} {
				f.replica(name).Silent = false
			}
		}, "d1", "p0", refused},
		{"one trial each is free", func(f *testFleet, _ *Query) {
			f.ejectSilent("d", "p", "s")
			f.inflight.requests = map[string]int{"d0": 8, "d1": 7, "d2": 8, "p0": 7, "p1": 8, "p2": 8, "s0": 8, "s1": 8, "s2": 7}
		}, "d1", "p0", "s2"},
		{"all trials are taken", func(f *testFleet, _ *Query) {
			f.ejectSilent("d", "s")
			f.inflight.requests = map[string]int{"d0": 8, "d1": 8, "d2": 8, "s0": 8, "s1": 8, "s2": 8}
		}, refused, "", refused},
		{"one has not answered", func(f *testFleet, q *Query) {
			f.ejectSilent("d", "p", "s")
			q.Exclude = []string{"d1", "d2", "p0", "p1", "s0", "s2"}
		}, "d0", "p2", "s1"},
		{"the request leaves out those at their limits", func(f *testFleet, q *Query) {
			q.Exclude = []string{"d0", "d1", "p1", "p2", "s0", "s2"}
		}, "d2", "p0", "s1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
				for seed := range uint64(30) {
					f, q := newFleet(3), query(bundle.Urgent)
					tc.setup(f, &q)
					plan, err := f.plan(name, q, seed)
					checkChoice(t, name+" decode", tc.decode, plan.Decode.Name, err)
					checkChoice(t, name+" prefill", tc.prefill, plan.Prefill.Name, planError(tc.prefill, err))
					p, _ := ByName(name)
					service, err := p.PickService(f.snapshot(), f.inflight, "s", q, seededRand(seed))
					checkChoice(t, name+" service", tc.service, service.Replica.Name, err)
					if name != NameReserve {
						continue
					}
					if got, want := plan.Reason == reasonTrial, plan.Decode.Silent || plan.Prefill.Silent; got != want {
						t.Fatalf("reason of the plan: %s", plan.Reason)
					}
					if got, want := service.Reason == reasonTrial, service.Replica.Silent; got != want {
						t.Fatalf("reason of the service's plan: %s", service.Reason)
					}
				}
			}
		})
	}
}

// planError returns err unless any replica will do, since a plan may be refused for its other engine.
func planError(want string, err *errkind.Error) *errkind.Error {
	if want == "" {
		return nil
	}
	return err
}

// checkChoice fails unless got is the wanted replica, or err is of the wanted kind.
func checkChoice(t *testing.T, what, want, got string, err *errkind.Error) {
	t.Helper()
	switch {
	case err != nil && string(err.Kind) != want:
		t.Fatalf("%s: %v, want %q", what, err, want)
	case err == nil && want != "" && got != want:
		t.Fatalf("%s: %s, want %q", what, got, want)
	}
}

// Guards against drafts on trial that take the slots kept for urgent requests.
func TestTrialsLeaveTheHeadroom(t *testing.T) {
	for seed := range uint64(30) {
		f := newFleet(3)
		f.ejectSilent("d")
		f.fillDecode(18)
		f.replica("d1").Active = 17
		if plan, err := f.plan(NameReserve, query(bundle.Draft), seed); err != nil || plan.Decode.Name != "d1" {
			t.Fatalf("%v, planned on %s", err, plan.Decode.Name)
		}
	}
}

// Guards against a request that waits for a timeout at each of many silent engines.
func TestRequestIsRefusedAfterAFewSilentReplicas(t *testing.T) {
	for _, allEjected := range []bool{false, true} {
		f, q := newFleet(10), query(bundle.Urgent)
		if allEjected {
			f.ejectSilent("d")
		}
		for n := range maxUnansweredPerRequest {
			plan, err := f.plan(NameReserve, q, 1)
			if err != nil {
				t.Fatalf("all ejected: %v: %v after %d engines", allEjected, err, n)
			}
			q.Exclude = append(q.Exclude, plan.Decode.Name)
			f.ejectSilent(plan.Decode.Name)
		}
		if plan, err := f.plan(NameReserve, q, 1); err == nil || err.Kind != errkind.NoUpstream {
			t.Errorf("all ejected: %v: planned on %s after %q", allEjected, plan.Decode.Name, q.Exclude)
		}
	}
}

// Guards against a stream that finds nobody to go on, because all engines of its version are ejected
// while those of another are not.
func TestTrialsOfAVersion(t *testing.T) {
	for _, all := range []bool{false, true} {
		f, q := newFleet(20), query(bundle.Draft)
		f.updatePool("d", func(r *Replica) { r.Version = "v2" })
		f.updatePool("p", func(r *Replica) { r.Version = "v2" })
		for _, name := range []string{"d3", "p4"} {
			f.replica(name).Version = "v1"
			f.ejectSilent(name)
		}
		if all {
			f.ejectSilent("d", "p")
		}
		q.Version = "v1"
		for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
			plan, err := f.plan(name, q, 1)
			if err != nil || plan.Decode.Name != "d3" || plan.Prefill.Name != "p4" {
				t.Errorf("%s, all ejected: %v: %v, plan %s after %s", name, all, err, plan.Decode.Name, plan.Prefill.Name)
			}
		}
		f.ejectSilent("d6")
		f.replica("d5").Silent = false
		pool := f.snapshot().Pool("d")
		for name, want := range map[string]bool{"d3": true, "d5": !all, "d6": all, "d7": true} {
			if got := pool.MayTake(f.replica(name)); got != want {
				t.Errorf("all ejected: %v: %s may take requests: %v", all, name, got)
			}
		}
	}
}

// Guards against a prompt that waits for a silent prefill engine although its decode engine can prefill.
func TestDecodeEnginePrefillsWhileAllPrefillEnginesAreSilent(t *testing.T) {
	f := newFleet(3)
	f.bundle.Models["m"] = bundle.Model{PrefillPool: "p", DecodePool: "d", DecodePrefills: true}
	f.ejectSilent("p")
	if plan, err := f.plan(NameReserve, query(bundle.Urgent), 1); err != nil || !plan.SkipPrefill {
		t.Errorf("%v, prefill on %s", err, plan.Prefill.Name)
	}
}

// Guards against callers that are told to stay away for seconds because the replicas, which take others,
// have failed their request in a moment of silence.
func TestRetryAfterAllReplicasFailedTheRequest(t *testing.T) {
	const most = 2 * time.Second
	for seed := range uint64(30) {
		f, q := newFleet(3), query(bundle.Urgent)
		q.Exclude = []string{"d0", "d1", "d2"}
		_, err := f.plan(NameReserve, q, seed)
		if err == nil || err.Kind != errkind.NoUpstream || err.RetryAfter > most {
			t.Fatalf("%v, again in %v", err, err.RetryAfter)
		}
	}
}

// Guards against a request that is refused with seconds left because the few engines of its pool were silent
// for one call each, and against one that asks them without end.
func TestFewSilentEnginesAreAskedAgain(t *testing.T) {
	for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
		for n := 1; n <= maxUnansweredPerRequest; n++ {
			for _, ejected := range []bool{false, true} {
				f, q := newFleet(n), query(bundle.Urgent)
				for range maxUnansweredPerRequest {
					plan, err := f.plan(name, q, 1)
					if err != nil {
						t.Fatalf("%s, %d engines, ejected %v: %v after %q", name, n, ejected, err, q.NoReply)
					}
					if len(q.NoReply) < n && slices.Contains(q.NoReply, plan.Decode.Name) {
						t.Errorf("%s: asks %s again while others are left: %q", name, plan.Decode.Name, q.NoReply)
					}
					q.NoReply = append(q.NoReply, plan.Decode.Name)
					if ejected {
						f.ejectSilent(plan.Decode.Name)
					}
				}
				if plan, err := f.plan(name, q, 1); err == nil || err.Kind != errkind.NoUpstream {
					t.Errorf("%s, %d engines, ejected %v: planned on %s after %q", name, n, ejected, plan.Decode.Name, q.NoReply)
				}
			}
		}
	}
}

// Guards against engines that failed the request and are asked again with those that were silent.
func TestEnginesThatFailedAreNotAskedAgain(t *testing.T) {
	for seed := range uint64(30) {
		f, q := newFleet(3), query(bundle.Urgent)
		q.Exclude, q.NoReply = []string{"d0", "d2"}, []string{"d1"}
		if plan, err := f.plan(NameReserve, q, seed); err != nil || plan.Decode.Name != "d1" {
			t.Fatalf("%v, planned on %s", err, plan.Decode.Name)
		}
	}
}
