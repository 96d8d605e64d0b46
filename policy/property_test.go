package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// randomFleet returns a fleet with random loads and ejections, and a random query.
func randomFleet(t *rapid.T) (*testFleet, Query) {
	f := newFleet(rapid.SampledFrom([]int{1, 2, 5, 14, 30}).Draw(t, "size"))
	f.inflight = fakeInflight{requests: map[string]int{}, tokens: map[string]int{}, pausable: map[string]int{}, teams: map[string]int{"a": 9, "b": 2}}
	minActive := rapid.IntRange(0, 20).Draw(t, "hot")
	var names []string
	for i := range f.replicas {
		r := &f.replicas[i]
		names = append(names, r.Name)
		r.Active = rapid.IntRange(minActive, 20).Draw(t, "active")
		f.inflight.requests[r.Name] = rapid.IntRange(0, 2).Draw(t, "own")
		r.QueuedTokens = rapid.IntRange(0, 9000).Draw(t, "queued")
		if rapid.IntRange(0, 3).Draw(t, "ejected") == 0 {
			r.EjectedUntil = t0.Add(time.Duration(rapid.IntRange(-500, 500).Draw(t, "until")) * time.Millisecond)
		}
	}
	f.bundle.Policy.UrgentHeadroom = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "headroom")
	q := query(rapid.SampledFrom([]bundle.Class{bundle.Urgent, bundle.Draft}).Draw(t, "class"))
	q.Attempt = rapid.IntRange(1, 2).Draw(t, "attempt")
	q.PromptTokens = rapid.IntRange(1, 9000).Draw(t, "prompt")
	q.Exclude = rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "exclude")
	q.Now = t0.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "later")) * time.Millisecond)
	return f, q
}

// checkChosen fails unless r is a member of pool that is neither excluded nor ejected.
func checkChosen(t *rapid.T, q Query, r Replica, pool string) {
	if r.Pool != pool {
		t.Fatalf("%s is in the wrong pool %s", r.Name, r.Pool)
	}
	if slices.Contains(q.Exclude, r.Name) {
		t.Fatalf("%s is excluded", r.Name)
	}
	if r.EjectedUntil.After(q.Now) {
		t.Fatalf("%s is ejected until %v", r.Name, r.EjectedUntil)
	}
}

// checkRefusal fails unless err is retryable and has a detail and a valid retry delay.
func checkRefusal(t *rapid.T, err *errkind.Error) {
	row, ok := errkind.Lookup(err.Kind)
	if !ok || !row.Retryable || err.Detail == "" {
		t.Fatalf("refusal is not retryable or has no detail: %v", err)
	}
	if err.RetryAfter < minRetryAfter || err.RetryAfter > 2*maxRetryAfter {
		t.Fatalf("retry delay is %v", err.RetryAfter)
	}
}

// TestPoliciesPlanOnlyOnAvailableReplicas checks with random fleets and queries that no policy
// plans on an excluded or ejected replica, that each refusal has a detail and a retry delay, and
// that the same inputs give the same plan, except with round-robin.
func TestPoliciesPlanOnlyOnAvailableReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, q := randomFleet(t)
		seed := rapid.Uint64().Draw(t, "seed")
		for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
			p, err := f.plan(name, q, seed)
			again, err2 := f.plan(name, q, seed)
			if name != NameRoundRobin && (!cmp.Equal(p, again) || !cmp.Equal(err, err2, cmpopts.IgnoreUnexported(errkind.Error{}))) {
				t.Fatalf("%s: the same inputs give different plans", name)
			}
			if err != nil {
				checkRefusal(t, err)
				continue
			}
			checkChosen(t, q, p.Decode, "d")
			checkChosen(t, q, p.Prefill, "p")
			if p.Reason == "" || p.FirstToken <= 0 || p.BetweenTokens <= 0 || p.PrefillFirst != (name != NameReserve) {
				t.Fatalf("%s: invalid plan %+v", name, p)
			}
			if name == NameReserve && !p.PauseDraft {
				checkSlots(t, f, q, p.Decode)
			}
		}
	})
}

// checkSlots fails when r has no free slot for q, counting this daemon's own requests.
func checkSlots(t *rapid.T, f *testFleet, q Query, r Replica) {
	free, reserved := r.Slots-r.Active-f.inflight.requests[r.Name], 0
	if q.Class == bundle.Draft {
		reserved = headroomSlots(r.Slots, f.bundle.Policy.UrgentHeadroom)
	}
	if free <= reserved {
		t.Fatalf("%s has %d free slots, of which %d are reserved", r.Name, free, reserved)
	}
}

// TestPoliciesPickOnlyAvailableServiceReplicas checks that no policy picks an excluded or
// ejected replica of a plain service, and that the reserve policy picks none without a free
// slot.
func TestPoliciesPickOnlyAvailableServiceReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, q := randomFleet(t)
		seed := rapid.Uint64().Draw(t, "seed")
		for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
			policy, _ := ByName(name)
			p, err := policy.PickService(f.snapshot(), f.inflight, "s", q, seededRand(seed))
			if err != nil {
				checkRefusal(t, err)
				continue
			}
			checkChosen(t, q, p.Replica, "s")
			if used := p.Replica.Active + f.inflight.requests[p.Replica.Name]; name == NameReserve && used >= p.Replica.Slots {
				t.Fatalf("%s already has %d requests, which fill its slots", p.Replica.Name, used)
			}
		}
	})
}
