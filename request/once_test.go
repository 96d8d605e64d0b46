package request_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/retry"
)

// gate is a request.Gate for a single key. It grants the key once and records the outcome.
type gate struct {
	mu       sync.Mutex
	t        testing.TB
	refusal  *errkind.Error
	onClaim  func()
	owner    wire.NodeID
	deadline time.Time
	outcomes []request.Outcome
}

type grant struct {
	g    *gate
	kept *request.CallAnswer
	run  bool
}

func (g *gate) Claim(_ context.Context, k request.ClaimKey) (request.Grant, *errkind.Error) {
	if g.onClaim != nil {
		g.onClaim()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusal != nil {
		return nil, g.refusal
	}
	if k.Team != "t" || k.Key != "k" || k.Body == [32]byte{} {
		g.t.Errorf("claimed %+v", k)
	}
	if len(g.outcomes) > 0 {
		return &grant{g: g, kept: g.outcomes[0].Answer}, nil
	}
	return &grant{g: g, run: g.owner == wire.NodeID{}}, nil
}

func (g *grant) Run() bool                   { return g.run }
func (g *grant) Answer() *request.CallAnswer { return g.kept }
func (g *grant) Owner() (wire.NodeID, bool)  { return g.g.owner, g.g.owner != wire.NodeID{} }
func (g *grant) Deadline() time.Time         { return g.g.deadline }
func (g *grant) Finish(o request.Outcome) {
	g.g.mu.Lock()
	defer g.g.mu.Unlock()
	g.g.outcomes = append(g.g.outcomes, o)
}

// newFleetWithGate starts a fleet whose runner has a gate.
func newFleetWithGate(t testing.TB) (*fleet, *gate) {
	g := &gate{t: t}
	return newFleet(t, func(o *request.Options) { o.Gate = g }), g
}

func newNonIdempotentCompletion(id string) request.Completion {
	c := newCompletion(id)
	c.NonIdempotent, c.Key = true, "k"
	return c
}

// TestCompleteOnce repeats the faults of TestComplete for a completion marked as
// non-idempotent. It guards against a second attempt after a dispatch that may have been
// delivered, and against releasing the key although the completion may have run.
func TestCompleteOnce(t *testing.T) {
	for name, tc := range faultCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, g := newFleetWithGate(t)
			c := &faultCase{fleet: f, c: newNonIdempotentCompletion("r1"), sink: &sink{}}
			c.ctx, c.cancel = context.WithCancel(context.Background())
			defer c.cancel()
			tc.arrange(c)
			f.complete(c.ctx, c.c, c.sink)
			for _, n := range f.engines {
				n.unfreeze()
			}
			f.waitUntilNothingHeld()
			ran := 0
			for _, n := range f.engines {
				ran += n.Stats().Prefills
			}
			if ran > 1 {
				t.Errorf("prefilled %d times", ran)
			}
			if len(g.outcomes) != 1 {
				t.Fatalf("grant finished %d times", len(g.outcomes))
			}
			out := g.outcomes[0]
			if out.Run == errkind.NotRun && ran > 0 || c.sink.err != nil && out.Run != c.sink.err.Run || c.sink.err == nil && (out.Run != errkind.Ran || out.Answer == nil) {
				t.Errorf("outcome %+v after %d prefills, caller got %v", out, ran, c.sink.err)
			}
		})
	}
}

// TestCompleteRepeat checks that a repeat of a key gets the complete stored answer and does
// not run again.
func TestCompleteRepeat(t *testing.T) {
	f, _ := newFleetWithGate(t)
	f.complete(context.Background(), newNonIdempotentCompletion("r1"), nil).wantComplete()
	f.complete(context.Background(), newNonIdempotentCompletion("r2"), nil).wantComplete()
	if n := f.engines["p0"].Stats().Prefills; n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestCompleteAfterGrantExpired guards against telling a caller "not run" although another
// daemon ran its request: this daemon is stopped between the claim and the dispatch until the
// key is forgotten, and a repeat of the request claims the key on another daemon and runs.
func TestCompleteAfterGrantExpired(t *testing.T) {
	f, g := newFleetWithGate(t)
	g.deadline = time.Now()
	f.complete(context.Background(), newNonIdempotentCompletion("r1"), nil).wantFailed(errkind.StaleView, errkind.Unknown)
	if len(g.outcomes) != 1 || g.outcomes[0].Run != errkind.NotRun {
		t.Errorf("grant finished with %+v", g.outcomes)
	}
}

// serviceFixture is a fleet with two replicas of a plain service; faults hit the first one.
type serviceFixture struct {
	*fleet
	gate   *gate
	first  *service.Service
	second *service.Service
	kill   func() // closes the first replica
	onCall func() // runs when a call reaches the first replica
	call   request.Call
	ctx    context.Context
	cancel context.CancelFunc
}

func newServiceFixture(t testing.TB, method string) *serviceFixture {
	f, g := newFleetWithGate(t)
	r := &serviceFixture{fleet: f, gate: g, first: service.New(service.Config{}), second: service.New(service.Config{})}
	t.Cleanup(r.first.Close)
	t.Cleanup(r.second.Close)
	first := r.first.Handler()
	s := f.addService("s0", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.onCall != nil {
			r.onCall()
		}
		first.ServeHTTP(w, req)
	}))
	r.kill = func() { s.Listener.Close(); s.CloseClientConnections() }
	f.addService("s1", r.second.Handler())
	r.ctx, r.cancel = context.WithCancel(context.Background())
	t.Cleanup(r.cancel)
	now := time.Now()
	r.call = request.Call{
		ID: "c1", Team: "t", Service: "svc", Method: method, Path: "/orders/7", Key: "k",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("jar"),
		Accepted: now, Deadline: now.Add(maxWait), NonIdempotent: method == http.MethodPost,
	}
	return r
}

func (r *serviceFixture) executions() int {
	return r.first.Executions().Total + r.second.Executions().Total
}

// shortDeadline sets a deadline that passes while a call is held.
func (r *serviceFixture) shortDeadline() {
	r.call.Deadline = r.call.Accepted.Add(300 * time.Millisecond)
}

func setFirstCallFaults(f service.Faults) func(*serviceFixture) {
	return func(r *serviceFixture) { r.first.SetFaults(f, 1) }
}

// TestCallOnce injects a fault into the first replica at each step of a non-idempotent call
// while a second replica is healthy. It guards against a call that runs twice, that is
// reported as "not run" although it ran, or whose key is released although it may have run.
func TestCallOnce(t *testing.T) {
	const n, u, ran = errkind.NotRun, errkind.Unknown, errkind.Ran
	refused := func(k errkind.Kind) func(*serviceFixture) {
		return func(r *serviceFixture) { r.gate.refusal = errkind.New(k, "") }
	}
	for name, tc := range map[string]struct {
		arrange    func(*serviceFixture)
		kind       errkind.Kind // empty: an answer
		run        errkind.RunState
		executions int
		finished   errkind.RunState // empty: no grant to finish
	}{
		"healthy/answer":             {func(*serviceFixture) {}, "", "", 1, ran},
		"claim/log-down":             {refused(errkind.ClaimUnavailable), errkind.ClaimUnavailable, n, 0, ""},
		"claim/log-reply-lost":       {refused(errkind.KeyOutcomeUnknown), errkind.KeyOutcomeUnknown, u, 0, ""},
		"no-key/claim":               {func(r *serviceFixture) { r.call.Key = "" }, errkind.KeyRequired, n, 0, ""},
		"elsewhere/claim":            {func(r *serviceFixture) { r.gate.owner.Instance = "other" }, errkind.ClaimUnavailable, u, 0, ""},
		"claim/daemon-frozen":        {func(r *serviceFixture) { r.gate.onClaim = func() { r.stale = true } }, errkind.StaleView, n, 0, n},
		"lapsed/claim/daemon-frozen": {func(r *serviceFixture) { r.gate.deadline = time.Now() }, errkind.StaleView, u, 0, n},
		"late/claim/daemon-frozen":   {func(r *serviceFixture) { r.gate.onClaim = func() { r.skew = 2 * maxWait } }, errkind.DeadlineExceeded, n, 0, n},
		"accept/leaving":             {setFirstCallFaults(service.Faults{Leaving: true}), "", "", 1, ran},
		"refused/accept/leaving":     {setFirstCallFaults(service.Faults{Refuse: true}), "", "", 1, ran},
		"planned/accept/leaving": {func(r *serviceFixture) { // takes no retry permit
			r.budgetEmpty.Store(true)
			r.onPlan = func(int) { r.leave("s0") }
			r.onCall = func() { r.t.Error("a leaving replica got new work") }
		}, "", "", 1, ran},
		"accept/upstream-killed":        {func(r *serviceFixture) { r.kill() }, "", "", 1, ran},
		"before/answer/connection-cut":  {setFirstCallFaults(service.Faults{CutBefore: true}), errkind.UpstreamFailed, u, 0, u},
		"answer/connection-cut":         {setFirstCallFaults(service.Faults{CutAfter: true}), errkind.UpstreamFailed, u, 1, u},
		"before/answer/upstream-frozen": {func(r *serviceFixture) { r.shortDeadline(); setFirstCallFaults(service.Faults{StallBefore: true})(r) }, errkind.DeadlineExceeded, u, 0, u},
		"answer/connection-stalled":     {func(r *serviceFixture) { r.shortDeadline(); setFirstCallFaults(service.Faults{StallAfter: true})(r) }, errkind.DeadlineExceeded, u, 1, u},
		"answer/crossed-answer":         {setFirstCallFaults(service.Faults{Crossed: true}), errkind.UpstreamFailed, u, 1, u},
		"answer/caller-gone":            {func(r *serviceFixture) { r.onCall = r.cancel }, "", "", 1, ran}, // the call continues so that a repeat gets its answer
		"accept/caller-gone":            {func(r *serviceFixture) { r.cancel() }, errkind.ClientGone, n, 0, n},
		"own-status/answer/late-answer": {setFirstCallFaults(service.Faults{Fail: true}), "", "", 1, ran},
		"answer/leaving":                {func(r *serviceFixture) { r.leave("s0") }, "", "", 1, ran},
		"no-upstream/accept/leaving":    {func(r *serviceFixture) { r.leave("s0"); r.leave("s1") }, errkind.NoUpstream, n, 0, n},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newServiceFixture(t, http.MethodPost)
			tc.arrange(r)
			answer, err := r.runner.Call(r.ctx, r.call)
			if err == nil && (tc.kind != "" || answer.Status == 0) || err != nil && (err.Kind != tc.kind || err.Run != tc.run) {
				t.Errorf("got %+v, %v (run state %q), want %q, %q", answer, err, runOf(err), tc.kind, tc.run)
			}
			if n := r.executions(); n != tc.executions {
				t.Errorf("%d executions, want %d", n, tc.executions)
			}
			var finished errkind.RunState
			for _, o := range r.gate.outcomes {
				finished += o.Run
			}
			if finished != tc.finished {
				t.Errorf("grant finished with %q, want %q", finished, tc.finished)
			}
			if err == nil { // a repeat gets the same answer
				again, err := r.runner.Call(context.Background(), r.call)
				if d := cmp.Diff(answer, again); err != nil || d != "" || r.executions() != 1 {
					t.Errorf("repeat: %v %s, %d executions", err, d, r.executions())
				}
			}
		})
	}
}

// TestCallAgain injects a fault into the first replica of an idempotent call. It guards
// against a call that fails although another replica could answer it, and against an answer
// that belongs to another request.
func TestCallAgain(t *testing.T) {
	const u = errkind.Unknown
	for name, tc := range map[string]struct {
		arrange func(*serviceFixture)
		kind    errkind.Kind
		run     errkind.RunState
	}{
		"accept/upstream-killed":    {func(r *serviceFixture) { r.kill() }, "", ""},
		"accept/leaving":            {setFirstCallFaults(service.Faults{Leaving: true}), "", ""},
		"accept/daemon-frozen":      {func(r *serviceFixture) { r.stale = true }, errkind.StaleView, errkind.NotRun},
		"answer/connection-cut":     {setFirstCallFaults(service.Faults{CutAfter: true}), "", ""},
		"answer/crossed-answer":     {setFirstCallFaults(service.Faults{Crossed: true}), "", ""},
		"answer/connection-stalled": {func(r *serviceFixture) { r.shortDeadline(); setFirstCallFaults(service.Faults{StallAfter: true})(r) }, errkind.DeadlineExceeded, u},
		"answer/caller-gone": {func(r *serviceFixture) {
			r.first.SetFaults(service.Faults{StallAfter: true}, 1)
			r.onCall = r.cancel
		}, errkind.ClientGone, u},
		"no-budget/answer/connection-cut": {func(r *serviceFixture) {
			r.budgetEmpty.Store(true)
			setFirstCallFaults(service.Faults{CutAfter: true})(r)
		}, errkind.UpstreamFailed, u},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newServiceFixture(t, http.MethodGet)
			tc.arrange(r)
			answer, err := r.runner.Call(r.ctx, r.call)
			if err != nil && (err.Kind != tc.kind || err.Run != tc.run) || err == nil && (tc.kind != "" || !strings.Contains(string(answer.Body), "/orders/7")) {
				t.Errorf("got %+v, %v (run state %q), want %q, %q", answer, err, runOf(err), tc.kind, tc.run)
			}
		})
	}
}

// switchableBudget is a retry budget that a test can empty.
type switchableBudget struct{ empty *atomic.Bool }

func (switchableBudget) OnFirstAttempt(time.Time)      {}
func (s switchableBudget) Allow(time.Time, int) bool   { return !s.empty.Load() }
func (s switchableBudget) Remaining(time.Time) float64 { return 0 }

var (
	_ request.RetryBudget = (*retry.Bucket)(nil)
	_ request.RetryBudget = (*retry.Budget)(nil)
)
