package request_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
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

// bound is the generous limit of every wait.
const bound = 20 * time.Second

// inOrder is a policy that takes the first replicas of each pool that are not excluded.
type inOrder struct{}

func (inOrder) Name() string { return "in-order" }

func (inOrder) Plan(s *policy.Snapshot, _ policy.Inflight, q policy.Query, _ *rand.Rand) (policy.Plan, *errkind.Error) {
	d, okD := first(s, "decode", q.Exclude)
	p, okP := first(s, "prefill", q.Exclude)
	if !okD || !okP {
		return policy.Plan{}, errkind.New(errkind.NoUpstream, "all excluded")
	}
	return policy.Plan{Decode: d, Prefill: p, Reason: "in-order"}, nil
}

func (inOrder) PickService(s *policy.Snapshot, _ policy.Inflight, service string, q policy.Query, _ *rand.Rand) (policy.ServicePlan, *errkind.Error) {
	r, ok := first(s, service, q.Exclude)
	if !ok {
		return policy.ServicePlan{}, errkind.New(errkind.NoUpstream, "all excluded")
	}
	return policy.ServicePlan{Replica: r}, nil
}

func first(s *policy.Snapshot, pool string, exclude []string) (policy.Replica, bool) {
	for _, r := range s.Pool(pool).Replicas() {
		if !slices.Contains(exclude, r.Name) {
			return *r, true
		}
	}
	return policy.Replica{}, false
}

// fleet is a runner before stand-ins.
type fleet struct {
	t       testing.TB
	runner  *request.Runner
	engines map[string]*engine.Engine
	mu      sync.Mutex
	members []policy.Replica
	frozen  bool
}

// newFleet starts two prefill and two decode engines, "p0", "p1", "d0", "d1",
// a hundred times faster than real ones, and a runner before them.
func newFleet(t testing.TB, change func(*request.Options)) *fleet {
	f := &fleet{t: t, engines: map[string]*engine.Engine{}}
	hc := upstream.NewHTTPClient()
	t.Cleanup(hc.CloseIdleConnections)
	for _, name := range []string{"p0", "p1", "d0", "d1"} {
		f.addEngine(name)
	}
	o := request.Options{
		Owner:    engineapi.Owner{Instance: "test", Incarnation: 1},
		Snapshot: f.snapshot,
		Policy:   func(string) (policy.Policy, bool) { return inOrder{}, true },
		Inflight: board.NewInflight(),
		Engines:  upstream.NewEngines(hc),
		Services: upstream.NewServices(hc),
		Frozen:   func(time.Time) bool { f.mu.Lock(); defer f.mu.Unlock(); return f.frozen },
		Logger:   &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
	}
	if change != nil {
		change(&o)
	}
	f.runner = request.NewRunner(o)
	t.Cleanup(f.runner.Close)
	return f
}

func (f *fleet) addEngine(name string) {
	cfg := engine.DefaultConfig()
	cfg.TimeScale, cfg.Seed, cfg.HonourHold = 100, 1, true
	cfg.Role, cfg.Linger = engine.RoleDecode, 0
	if strings.HasPrefix(name, "p") {
		cfg.Role = engine.RolePrefill
	}
	e, err := engine.New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	s := httptest.NewServer(e.Handler())
	f.t.Cleanup(func() { e.Close(); s.CloseClientConnections(); s.Close() })
	f.engines[name] = e
	f.join(name, strings.TrimPrefix(s.URL, "http://"))
}

// serve adds a replica of service "svc" that answers with h.
func (f *fleet) serve(name string, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	f.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	f.join(name, strings.TrimPrefix(s.URL, "http://"))
	return s
}

func (f *fleet) join(name, addr string) {
	pool := map[byte]string{'p': "prefill", 'd': "decode", 's': "svc"}[name[0]]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, policy.Replica{Name: name, Address: addr, Pool: pool, Slots: 20, Weight: 1})
}

func (f *fleet) leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(f.members, func(r policy.Replica) bool { return r.Name == name })
}

func (f *fleet) snapshot() *policy.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return policy.NewSnapshot(&bundle.Bundle{}, 1, time.Now(), slices.Clone(f.members), nil)
}

// nothingHeld waits until no engine holds memory.
func (f *fleet) nothingHeld() {
	f.t.Helper()
	until(f.t, "no memory held", func() bool {
		for _, e := range f.engines {
			if e.Stats().Held > 0 {
				return false
			}
		}
		return true
	})
}

func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// sink records one answer and fails the test when the runner breaks its promises.
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

func completion(id string) request.Completion {
	now := time.Now()
	return request.Completion{
		ID: id, Team: "t", Class: bundle.Draft, Model: "m", Prompt: prompt, MaxTokens: maxTokens,
		Accepted: now, Deadline: now.Add(bound),
	}
}

// run runs c to its end.
func (f *fleet) run(ctx context.Context, c request.Completion, s *sink) *sink {
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

// whole fails the test unless s holds the whole answer.
func (s *sink) whole() {
	s.t.Helper()
	want := answer.Text("m", "", prompt, maxTokens)
	if s.err != nil || s.text.String() != want || s.reason == "" {
		s.t.Errorf("got %q, end %q, error %v; want the whole answer %q", s.text.String(), s.reason, s.err, want)
	}
}

// failed fails the test unless s ended with kind and run.
func (s *sink) failed(kind errkind.Kind, run errkind.Run) {
	s.t.Helper()
	if s.err == nil || s.err.Kind != kind || s.err.Run != run {
		s.t.Errorf("got end %q, error %v (run %q); want %s, %s", s.reason, s.err, runOf(s.err), kind, run)
	}
}

func runOf(err *errkind.Error) errkind.Run {
	if err == nil {
		return ""
	}
	return err.Run
}
