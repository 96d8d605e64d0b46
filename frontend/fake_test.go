package frontend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testKey = "sesame-open"
	// testTimeout is the longest wait for an expected event. Tests that pass do not
	// reach it.
	testTimeout = 20 * time.Second
)

// fakeRunner is a Runner that calls its functions and records the requests.
type fakeRunner struct {
	complete func(ctx context.Context, c request.Completion, sink request.Sink)
	call     func(ctx context.Context, c request.Call) (request.CallAnswer, *errkind.Error)

	mu          sync.Mutex
	completions []request.Completion
	calls       []request.Call
}

func (f *fakeRunner) Complete(ctx context.Context, c request.Completion, sink request.Sink) {
	f.mu.Lock()
	f.completions = append(f.completions, c)
	f.mu.Unlock()
	f.complete(ctx, c, sink)
}

func (f *fakeRunner) Call(ctx context.Context, c request.Call) (request.CallAnswer, *errkind.Error) {
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	return f.call(ctx, c)
}

// requestCount returns the number of requests that reached the runner.
func (f *fakeRunner) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.completions) + len(f.calls)
}

// completeHello streams three tokens that need escaping in JSON or HTML.
func completeHello(_ context.Context, _ request.Completion, sink request.Sink) {
	for i, text := range []string{"Hel", "\"lo\"\n", "<é>"} {
		if sink.Token(i, text) != nil {
			return
		}
	}
	sink.Finish("stop", request.Usage{PromptTokens: 4, CompletionTokens: 3, CachedTokens: 2})
}

// echoCall returns the body of the call, its path in X-Path, and a hop-by-hop header.
func echoCall(_ context.Context, c request.Call) (request.CallAnswer, *errkind.Error) {
	return request.CallAnswer{Status: 201, Header: http.Header{"X-Path": {c.Path}, "Connection": {"x-hop"}, "X-Hop": {"1"}}, Body: c.Body}, nil
}

func testBundle() *bundle.Bundle {
	digest := sha256.Sum256([]byte(testKey))
	return &bundle.Bundle{
		Models:   map[string]bundle.Model{"m": {Adapters: []string{"a"}}},
		Services: map[string]bundle.Service{"shop": {Class: bundle.Urgent, NonIdempotent: []string{"/orders"}, TimeoutMillis: 2000}},
		Teams:    map[string]bundle.Team{"red": {KeyDigests: []string{hex.EncodeToString(digest[:])}, Class: bundle.Draft}},
		Classes:  map[bundle.Class]bundle.ClassTarget{bundle.Draft: {DeadlineMillis: 9000}},
	}
}

// testServer is a running Server with a fake runner, a client and the captured log.
type testServer struct {
	*Server
	runner  *fakeRunner
	url     string
	client  *http.Client
	logs    *syncBuffer
	stop    func()
	stopped chan struct{}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func testOptions(runner *fakeRunner, logger log.Interface) Options {
	s := settings.Defaults()
	s.Callers.Listen = "127.0.0.1:0"
	s.Callers.MaxBodyBytes = 4096
	s.Drain.Delay = 0
	b := testBundle()
	return Options{
		Self: wire.NodeID{Instance: "one", Incarnation: 77}, Callers: s.Callers, Limits: s.Limits, Drain: s.Drain,
		Runner: runner, Bundle: func() *bundle.Bundle { return b }, Logger: logger, Outcomes: telemetry.Discard(),
	}
}

// newTestServer starts a server that runs until the test ends.
func newTestServer(t *testing.T, change func(*Options)) *testServer {
	t.Helper()
	g := &testServer{runner: &fakeRunner{complete: completeHello, call: echoCall}, logs: &syncBuffer{}, stopped: make(chan struct{})}
	logger, err := telemetry.NewLogger(g.logs, "debug", telemetry.FormatText)
	if err != nil {
		t.Fatal(err)
	}
	opts := testOptions(g.runner, logger)
	if change != nil {
		change(&opts)
	}
	if g.Server, err = New(opts); err != nil {
		t.Fatal(err)
	}
	if err := g.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(g.stopped)
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	g.url = "http://" + g.Addr().String()
	g.client = &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	g.stop = func() {
		cancel()
		<-g.stopped
		g.client.CloseIdleConnections()
	}
	t.Cleanup(g.stop)
	g.waitServing(t)
	return g
}

// waitServing waits until Run has created the HTTP server.
func (g *testServer) waitServing(t *testing.T) {
	t.Helper()
	for serving := false; !serving; {
		g.mu.Lock()
		serving = g.server != nil
		g.mu.Unlock()
		select {
		case <-g.stopped:
			t.Fatal("Run returned before it served")
		default:
			runtime.Gosched()
		}
	}
}

// send sends a request with the team's key. headers have the form "Name: value"; an
// empty value removes the header.
func (g *testServer) send(t *testing.T, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	res, err := g.client.Do(newRequest(t, method, g.url+path, strings.NewReader(body), headers...))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res
}

func newRequest(t *testing.T, method, url string, body io.Reader, headers ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		if value == "" {
			r.Header.Del(name)
			continue
		}
		r.Header.Add(name, value)
	}
	return r
}

func readBody(t *testing.T, res *http.Response) string {
	t.Helper()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// problemOf decodes a problem document.
func problemOf(t *testing.T, body string) Problem {
	t.Helper()
	var p Problem
	if err := json.Unmarshal([]byte(body), &p); err != nil {
		t.Fatalf("%v in %q", err, body)
	}
	return p
}
