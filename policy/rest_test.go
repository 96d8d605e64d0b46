package policy

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// rest makes the named replicas, or all of a pool, want no requests for a time.
func (f *testFleet) rest(d time.Duration, names ...string) {
	for i := range f.replicas {
		r := &f.replicas[i]
		for _, name := range names {
			if r.Name == name || r.Pool == name {
				r.RestUntil = t0.Add(d)
			}
		}
	}
}

// Guards against requests to replicas that want none, also on trial while no other is left.
func TestRestingReplicasGetNothing(t *testing.T) {
	const refused = string(errkind.NoUpstream)
	for _, tc := range []struct {
		name                     string
		setup                    func(f *testFleet)
		decode, prefill, service string // a replica, a kind of refusal, or empty for any replica
	}{
		{"one is left", func(f *testFleet) { f.rest(time.Second, "d0", "d1", "p1", "p2", "s0", "s2") }, "d2", "p0", "s1"},
		{"all", func(f *testFleet) { f.rest(time.Second, "d", "p", "s") }, refused, refused, refused},
		{"the others are ejected and silent", func(f *testFleet) {
			f.ejectSilent("d", "p", "s")
			f.rest(time.Second, "d0", "d1", "p1", "p2", "s0", "s2")
		}, "d2", "p0", "s1"},
		{"all are ejected and silent", func(f *testFleet) {
			f.ejectSilent("d", "p", "s")
			f.rest(time.Second, "d", "p", "s")
		}, refused, refused, refused},
		{"the rest is over", func(f *testFleet) { f.rest(0, "d", "p", "s") }, "", "", ""},
	} {
		for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
			for seed := range uint64(10) {
				f, q := newFleet(3), query(bundle.Urgent)
				tc.setup(f)
				plan, err := f.plan(name, q, seed)
				checkChoice(t, tc.name+" "+name+" decode", tc.decode, plan.Decode.Name, err)
				checkChoice(t, tc.name+" "+name+" prefill", tc.prefill, plan.Prefill.Name, err)
				p, _ := ByName(name)
				service, err := p.PickService(f.snapshot(), f.inflight, "s", q, seededRand(seed))
				checkChoice(t, tc.name+" "+name+" service", tc.service, service.Replica.Name, err)
			}
		}
	}
}

// Guards against callers who come back before any replica takes requests, all at once, or far later.
func TestRetryAfterARest(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name        string
		setup       func(f *testFleet)
		least, most time.Duration
	}{
		{"the first end counts", func(f *testFleet) {
			f.rest(9*s, "d")
			f.rest(3*s, "d1")
		}, 3 * s, 9 * s / 2},
		{"an ejection ends first", func(f *testFleet) {
			f.rest(9*s, "d")
			f.replica("d1").RestUntil, f.replica("d1").EjectedUntil = time.Time{}, t0.Add(s)
		}, s, 2 * s},
		{"a long rest", func(f *testFleet) { f.rest(10*time.Minute, "d") }, 10 * time.Minute, 10*time.Minute + maxRestJitter},
		{"a moment", func(f *testFleet) { f.rest(time.Millisecond, "d") }, minRetryAfter, minRetryAfter + minJitter},
	} {
		waits := map[time.Duration]bool{}
		for seed := range uint64(20) {
			f := newFleet(3)
			tc.setup(f)
			_, err := f.plan(NameReserve, query(bundle.Urgent), seed)
			if err == nil || err.Kind != errkind.NoUpstream || err.RetryAfter < tc.least || err.RetryAfter > tc.most {
				t.Fatalf("%s: %v, again in %v", tc.name, err, err.RetryAfter)
			}
			waits[err.RetryAfter] = true
		}
		if len(waits) < 15 {
			t.Errorf("%s: %d times to come back for 20 callers", tc.name, len(waits))
		}
	}
}
