package request_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/ratelimit"
	"github.com/corianderturn/corianderturn/request"
)

// fakeLimits is a request.UpstreamLimits; left holds the units that this daemon has left for
// each upstream. An upstream without an entry has no limit.
type fakeLimits struct {
	mu   sync.Mutex
	left map[string]int
	// lent holds the units of other daemons that can be borrowed.
	lent        map[string]int
	askedToLend []string // upstreams whose units were requested from other daemons
	ranks       []int
}

func (a *fakeLimits) Exhausted(_ time.Time, s ratelimit.Request) (out []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ranks = append(a.ranks, s.Rank)
	for name, n := range a.left {
		if n <= 0 && strings.HasPrefix(s.Pool, map[byte]string{'p': "prefill", 'd': "decode", 's': ""}[name[0]]) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (a *fakeLimits) Take(_ time.Time, name string, _ ratelimit.Request) (func(), bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.take(a.left, name)
}

func (a *fakeLimits) take(from map[string]int, name string) (func(), bool) {
	if _, limited := a.left[name]; !limited {
		return nil, true
	}
	if from[name] <= 0 {
		return nil, false
	}
	from[name]--
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		from[name]++
	}, true
}

func (a *fakeLimits) Borrow(_ context.Context, name string, _ ratelimit.Request) (func(), bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.askedToLend = append(a.askedToLend, name)
	return a.take(a.lent, name)
}

func (a *fakeLimits) RetryAfter(time.Time, string, ratelimit.Request, []string) time.Duration {
	return 700 * time.Millisecond
}

// limitedFleet starts a fleet with the given units left and the units lent that can be
// borrowed from other daemons.
func limitedFleet(t *testing.T, left, lent map[string]int) (*fleet, *fakeLimits) {
	a := &fakeLimits{left: left, lent: lent}
	return newFleet(t, func(o *request.Options) { o.UpstreamLimits = a }), a
}

// Guards against calls to replicas whose rate limits are used up, and against refusing a call
// although a replica has units left.
func TestCallsKeepToTheLimitsOfReplicas(t *testing.T) {
	for name, c := range map[string]struct {
		left, lent map[string]int
		want       string // the replica that answers; empty if the call is refused
	}{
		"no limit":        {nil, nil, "s0"},
		"some left":       {map[string]int{"s0": 1}, nil, "s0"},
		"one spent":       {map[string]int{"s0": 0}, nil, "s1"},
		"one left":        {map[string]int{"s0": 0, "s1": 1}, nil, "s1"},
		"others lend one": {map[string]int{"s0": 0, "s1": 0}, map[string]int{"s1": 1}, "s1"},
		"nothing left":    {map[string]int{"s0": 0, "s1": 0}, nil, ""},
	} {
		f, a := limitedFleet(t, c.left, c.lent)
		for _, replica := range []string{"s0", "s1"} {
			f.addService(replica, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(replica)) }))
		}
		rank := 2
		call := request.Call{ID: "c", Service: "svc", Method: http.MethodGet, Path: "/", Deadline: time.Now().Add(maxWait), Accepted: time.Now(), Priority: &rank}
		answer, err := f.runner.Call(context.Background(), call)
		if c.want != "" {
			if err != nil || string(answer.Body) != c.want {
				t.Errorf("%s: %q, %v", name, answer.Body, err)
			}
		} else if err == nil || err.Kind != errkind.UpstreamLimit || err.RetryAfter != 700*time.Millisecond || errkind.Answer(err).Run != errkind.NotRun {
			t.Errorf("%s: %v", name, err)
		}
		if len(a.askedToLend) > 0 && c.lent == nil && c.want != "" {
			t.Errorf("%s: other daemons were asked for units of %v", name, a.askedToLend)
		}
		if a.ranks[0] != rank {
			t.Errorf("%s: rank %d", name, a.ranks[0])
		}
	}
}

// Guards against prompts or decode calls that exceed an engine's rate limit, and against units
// that stay taken for requests that were not sent.
func TestCompletionsKeepToTheLimitsOfEngines(t *testing.T) {
	for name, c := range map[string]struct {
		left, lent  map[string]int
		prompt, run string         // the engines that receive them; empty if the request is refused
		rest        map[string]int // the units left afterwards
	}{
		"some left":           {map[string]int{"p0": 1, "d0": 1}, nil, "p0", "d0", map[string]int{"p0": 0, "d0": 0}},
		"both spent":          {map[string]int{"p0": 0, "d0": 0}, nil, "p1", "d1", map[string]int{"p0": 0, "d0": 0}},
		"no decode engine":    {map[string]int{"p0": 1, "d0": 0, "d1": 0}, nil, "", "", map[string]int{"p0": 1, "d0": 0, "d1": 0}},
		"no prefill engine":   {map[string]int{"p0": 0, "p1": 0, "d0": 1}, nil, "", "", map[string]int{"p0": 0, "p1": 0, "d0": 1}},
		"others lend a slot":  {map[string]int{"d0": 0, "d1": 0}, map[string]int{"d1": 1}, "p0", "d1", map[string]int{"d0": 0, "d1": 0}},
		"both of two engines": {map[string]int{"p0": 2, "d0": 2}, nil, "p0", "d0", map[string]int{"p0": 1, "d0": 1}},
	} {
		f, a := limitedFleet(t, c.left, c.lent)
		var mu sync.Mutex
		var prompts, runs []string
		for name, n := range f.engines {
			recordEngine := func(list *[]string) http.HandlerFunc {
				return func(http.ResponseWriter, *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					*list = append(*list, name)
				}
			}
			n.onCall("/v1/prefill", recordEngine(&prompts))
			n.onCall("/v1/decode", recordEngine(&runs))
		}
		got := f.complete(context.Background(), newCompletion("r"), nil)
		mu.Lock()
		want := func(name string) []string {
			if name == "" {
				return nil
			}
			return []string{name}
		}
		if !slices.Equal(prompts, want(c.prompt)) || !slices.Equal(runs, want(c.run)) {
			t.Errorf("%s: prompts at %v, runs at %v", name, prompts, runs)
		}
		mu.Unlock()
		if c.run == "" && (got.err == nil || got.err.Kind != errkind.UpstreamLimit || got.err.Run != errkind.NotRun) {
			t.Errorf("%s: %v", name, got.err)
		}
		for upstream, n := range c.rest {
			if a.left[upstream] != n {
				t.Errorf("%s: %d units left for %s, want %d", name, a.left[upstream], upstream, n)
			}
		}
	}
}

// Guards against units that stay taken after an engine has refused the reservation.
func TestRefusedReservationReturnsLimitUnits(t *testing.T) {
	f, a := limitedFleet(t, map[string]int{"p0": 1, "p1": 1, "d0": 1, "d1": 1}, nil)
	f.budgetEmpty.Store(true)
	for _, name := range []string{"d0", "d1"} {
		f.engines[name].onCall("/v1/reserve", cutConnection)
	}
	if got := f.complete(context.Background(), newCompletion("r"), nil); got.err == nil {
		t.Fatal("the request ran without a slot")
	}
	for name, n := range a.left {
		if n != 1 {
			t.Errorf("%d units left for %s", n, name)
		}
	}
}
