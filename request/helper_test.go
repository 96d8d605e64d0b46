package request_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// maxWait is a generous upper limit for every wait.
const maxWait = 20 * time.Second

// inOrder is a policy that picks, in each pool, the first replica that is not excluded.
type inOrder struct{ f *fleet }

func (inOrder) Name() string { return "in-order" }

func (o inOrder) Plan(s *policy.Snapshot, in policy.Inflight, q policy.Query, _ *rand.Rand) (policy.Plan, *errkind.Error) {
	d, okD := firstReplica(s, "decode", slices.Concat(q.Exclude, q.NoReply))
	p, okP := firstReplica(s, "prefill", q.Exclude)
	if !okD || !okP {
		return policy.Plan{}, errkind.New(errkind.NoUpstream, "all excluded")
	}
	if o.f.onPlan != nil {
		o.f.onPlan(q.Attempt)
	}
	return policy.Plan{Decode: d, Prefill: p, Reason: "in-order", PauseDraft: q.Class == bundle.Urgent && in.Pausable(d.Name) > 0}, nil
}

func (o inOrder) PickService(s *policy.Snapshot, _ policy.Inflight, service string, q policy.Query, _ *rand.Rand) (policy.ServicePlan, *errkind.Error) {
	r, ok := firstReplica(s, service, q.Exclude)
	if !ok {
		return policy.ServicePlan{}, errkind.New(errkind.NoUpstream, "all excluded")
	}
	if o.f.onPlan != nil {
		o.f.onPlan(q.Attempt)
	}
	return policy.ServicePlan{Replica: r}, nil
}

func firstReplica(s *policy.Snapshot, pool string, exclude []string) (policy.Replica, bool) {
	for _, r := range s.Pool(pool).Replicas() {
		if !slices.Contains(exclude, r.Name) {
			return *r, true
		}
	}
	return policy.Replica{}, false
}

// fleet is a runner with stand-in engines and services.
type fleet struct {
	t                testing.TB
	runner           *request.Runner
	engines          map[string]*engineNode
	mu               sync.Mutex
	members          []policy.Replica
	stale            bool          // result of Options.Frozen
	skew             time.Duration // added to the clock
	onPlan           func(attempt int)
	announcedLeaving []string // upstreams that announced that they are leaving
	drops            request.Drops
	wasted           int         // prompt tokens of prefills that led to no token
	budgetEmpty      atomic.Bool // true: the retry budget is empty
	slots            int         // of each decode engine; 0 means the stand-in's default
}

// engineNode is a stand-in engine that can be frozen or killed and whose calls can be
// intercepted.
type engineNode struct {
	*engine.Engine
	server *httptest.Server
	mu     sync.Mutex
	hooks  map[string]http.HandlerFunc // by path; run before the engine gets the call
	frozen chan struct{}               // closed by unfreeze; nil when not frozen
	killed bool
}

// newFleet starts two prefill engines, "p0" and "p1", and two decode engines, "d0" and "d1", a
// hundred times faster than real ones, and a runner that uses them.
func newFleet(t testing.TB, change func(*request.Options)) *fleet {
	f := &fleet{t: t, engines: map[string]*engineNode{}}
	httpClient := upstream.NewHTTPClient()
	t.Cleanup(httpClient.CloseIdleConnections)
	for _, name := range []string{"p0", "p1", "d0", "d1"} {
		f.addEngine(name)
	}
	o := request.Options{
		Owner:       engineapi.Owner{Instance: "test", Incarnation: 1},
		Snapshot:    f.snapshot,
		Policy:      func(string) (policy.Policy, bool) { return inOrder{f}, true },
		Inflight:    board.NewInflight(),
		Engines:     upstream.NewEngines(httpClient),
		Services:    upstream.NewServices(httpClient, upstream.NoRateLimitObserver{}),
		Observer:    observer{f},
		Metrics:     metrics{f},
		RetryBudget: func(string) request.RetryBudget { return switchableBudget{&f.budgetEmpty} },
		Frozen:      func(time.Time) bool { return locked(f, func() bool { return f.stale }) },
		Now:         func() time.Time { return time.Now().Add(locked(f, func() time.Duration { return f.skew })) },
		Limits: request.Limits{
			MaxAttempts: 3, MaxResumes: 1,
			Reserve: time.Second, Prefill: time.Second, Import: time.Second, Stall: time.Second,
		},
		Logger: &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
	}
	if change != nil {
		change(&o)
	}
	f.runner = request.NewRunner(o)
	t.Cleanup(f.runner.Close)
	return f
}

// locked returns the result of get, called with f.mu held.
func locked[T any](f *fleet, get func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return get()
}

// set calls change with f.mu held.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// observer records the upstreams that announced that they are leaving.
type observer struct{ f *fleet }

func (observer) Failed(time.Time, string)                                {}
func (observer) Prefilled(time.Time, string, request.PrefillObservation) {}
func (observer) Succeeded(time.Time, string)                             {}
func (o observer) Report(now time.Time, name string, l engineapi.Load) {
	if l.Leaving {
		o.Leaving(now, name)
	}
}
func (o observer) Finished(time.Time, request.FinishObservation) {}
func (o observer) PrefillTimedOut(time.Time, string)             {}

func (o observer) HandedOff(time.Time, string, string, bool) {}

func (o observer) Answered(time.Time, string) {}

func (o observer) Unanswered(time.Time, string, bool) {}

func (o observer) Full(time.Time, string) {}

func (o observer) PromptRefused(time.Time, string) {}

func (o observer) Leaving(_ time.Time, name string) {
	o.f.set(func() { o.f.announcedLeaving = append(o.f.announcedLeaving, name) })
}

// metrics records dropped chunks and wasted prefill tokens.
type metrics struct{ f *fleet }

func (metrics) Ended(bundle.Class, errkind.Kind, errkind.RunState, time.Duration) {}
func (metrics) FirstToken(bundle.Class, time.Duration)                            {}
func (metrics) NextToken(bundle.Class, time.Duration)                             {}
func (metrics) Permitted(bool)                                                    {}
func (metrics) Retried(bundle.Class)                                              {}
func (metrics) Hedged(string, string)                                             {}
func (metrics) SendFailed(string, string)                                         {}
func (metrics) Decided(string)                                                    {}
func (metrics) CallsWaiting(int)                                                  {}
func (metrics) CallRefusedEarly(errkind.Kind)                                     {}
func (metrics) CallPredicted(time.Duration, time.Duration)                        {}
func (metrics) Cancelled(int, time.Duration, bool)                                {}
func (m metrics) WastedPrefill(n int)                                             { m.f.set(func() { m.f.wasted += n }) }
func (m metrics) Dropped(d request.Drops)                                         { m.f.set(func() { m.f.drops = d }) }

func (f *fleet) addEngine(name string) {
	cfg := engine.DefaultConfig()
	cfg.TimeScale, cfg.Seed, cfg.PrefillTTL = 100, 1, maxWait
	cfg.Role = engine.RoleDecode
	if strings.HasPrefix(name, "p") {
		cfg.Role = engine.RolePrefill
	}
	if f.slots > 0 {
		cfg.Slots = f.slots
	}
	e, err := engine.New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	n := &engineNode{Engine: e, hooks: map[string]http.HandlerFunc{}}
	n.server = httptest.NewServer(n.handler(e.Handler()))
	f.t.Cleanup(func() { n.unfreeze(); e.Close(); n.server.CloseClientConnections(); n.server.Close() })
	f.engines[name] = n
	f.join(name, strings.TrimPrefix(n.server.URL, "http://"))
}

// handler returns a handler that runs the hooks and waits while the engine is frozen before it
// calls next.
func (n *engineNode) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		hook := n.hooks[r.URL.Path]
		n.mu.Unlock()
		if hook != nil {
			hook(w, r)
		}
		n.wait()
		next.ServeHTTP(&freezableWriter{w, n}, r)
	})
}

// wait blocks while the engine is frozen. Calls that arrived before or during the freeze
// continue after unfreeze, as in a stopped process.
func (n *engineNode) wait() {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (n *engineNode) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(chan struct{})
	}
}

func (n *engineNode) unfreeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

// onCall runs hook when a call to path arrives, before the engine gets it.
func (n *engineNode) onCall(path string, hook http.HandlerFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hooks[path] = hook
}

// kill closes the engine, its connections and its listener.
func (n *engineNode) kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.server.Listener.Close()
	n.server.CloseClientConnections()
	n.Close()
}

// freezableWriter is a response writer that blocks while its engine is frozen.
type freezableWriter struct {
	http.ResponseWriter
	n *engineNode
}

func (w *freezableWriter) Write(p []byte) (int, error) { w.n.wait(); return w.ResponseWriter.Write(p) }
func (w *freezableWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// cutConnection closes the connection of a call.
func cutConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// holdUntilCancelled holds a call until its caller cancels it.
func holdUntilCancelled(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// addService adds a replica of service "svc" that answers with h.
func (f *fleet) addService(name string, h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	f.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	f.join(name, strings.TrimPrefix(s.URL, "http://"))
	return s
}

// join adds an upstream to the snapshots; the first letter of its name selects the pool.
func (f *fleet) join(name, addr string) {
	pool := map[byte]string{'p': "prefill", 'd': "decode", 's': "svc"}[name[0]]
	f.set(func() {
		f.members = append(f.members, policy.Replica{Name: name, Address: addr, Pool: pool, Slots: 20, Weight: 1})
	})
}

// leave removes an upstream from the snapshots that the runner gets.
func (f *fleet) leave(name string) {
	f.set(func() {
		f.members = slices.DeleteFunc(f.members, func(r policy.Replica) bool { return r.Name == name })
	})
}

func (f *fleet) snapshot() *policy.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	models := map[string]bundle.Model{"m": {PrefillPool: "prefill", DecodePool: "decode"}}
	return policy.NewSnapshot(&bundle.Bundle{Models: models}, 1, time.Now(), slices.Clone(f.members), nil)
}

// waitUntilNothingHeld waits until no engine holds memory.
func (f *fleet) waitUntilNothingHeld() {
	f.t.Helper()
	waitUntil(f.t, "no memory held", func() bool {
		for _, n := range f.engines {
			if !n.killed && n.Stats().Held > 0 {
				return false
			}
		}
		return true
	})
}

func waitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(maxWait); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// sink is a request.Sink that records one answer. It fails the test if tokens come out of order
// or after the end, or if the request ends twice.
type sink struct {
	t       testing.TB
	mu      sync.Mutex
	text    strings.Builder
	tokens  int
	ends    int
	reason  string
	err     *errkind.Error
	onToken func(i int) error
}

func (s *sink) Token(i int, text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i != s.tokens || s.ends > 0 {
		s.t.Errorf("token %d after %d tokens and %d ends", i, s.tokens, s.ends)
	}
	s.tokens++
	s.text.WriteString(text)
	if s.onToken != nil {
		return s.onToken(i)
	}
	return nil
}

func (s *sink) Finish(reason string, _ request.Usage) { s.end(func() { s.reason = reason }) }
func (s *sink) Fail(err *errkind.Error)               { s.end(func() { s.err = err }) }

func (s *sink) end(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends++; s.ends > 1 {
		s.t.Error("answered twice")
	}
	f()
}

const (
	prompt    = "a building's full record "
	maxTokens = 40
)

var tokens = answer.AnswerLength(prompt, maxTokens)

func newCompletion(id string) request.Completion {
	now := time.Now()
	return request.Completion{
		ID: id, Team: "t", Class: bundle.Draft, Model: "m", Prompt: prompt, MaxTokens: maxTokens,
		Accepted: now, Deadline: now.Add(maxWait),
	}
}

// complete runs c to its end.
func (f *fleet) complete(ctx context.Context, c request.Completion, s *sink) *sink {
	if s == nil {
		s = &sink{}
	}
	s.t = f.t
	f.runner.Complete(ctx, c, s)
	if s.ends != 1 {
		f.t.Errorf("%d ends, want 1", s.ends)
	}
	return s
}

// wantComplete fails the test unless s holds the complete answer.
func (s *sink) wantComplete() {
	s.t.Helper()
	want := answer.Text("m", "", prompt, maxTokens)
	if s.err != nil || s.text.String() != want || s.reason == "" {
		s.t.Errorf("got %q, end %q, error %v; want the complete answer %q", s.text.String(), s.reason, s.err, want)
	}
}

// wantFailed fails the test unless s ended with an error of the given kind and run state.
func (s *sink) wantFailed(kind errkind.Kind, run errkind.RunState) {
	s.t.Helper()
	if s.err == nil || s.err.Kind != kind || s.err.Run != run {
		s.t.Errorf("got end %q, error %v (run state %q); want %s, %s", s.reason, s.err, runOf(s.err), kind, run)
	}
}

func runOf(err *errkind.Error) errkind.RunState {
	if err == nil {
		return ""
	}
	return err.Run
}
