package frontend

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/request"
)

const (
	textRequest   = `{"model":"m","prompt":"p"}`
	streamRequest = `{"model":"m","prompt":"p","stream":true,"stream_options":{"include_usage":true}}`
	chatRequest   = `{"model":"m","messages":[{"role":"user","content":"u"}]}`
)

// normalizeBody replaces the request id and the creation time by fixed texts.
func normalizeBody(res *http.Response, body string, created time.Time) string {
	body = strings.ReplaceAll(body, res.Header.Get("X-Request-Id"), "ID")
	for _, at := range []time.Time{created, created.Add(time.Second)} {
		body = strings.ReplaceAll(body, `"created":`+strconv.FormatInt(at.Unix(), 10), `"created":T`)
	}
	return body
}

func TestAnswers(t *testing.T) {
	const head = `{"id":"cmpl-ID","object":"text_completion","created":T,"model":"m","choices":[{"index":0,`
	const chunk = `{"id":"chatcmpl-ID","object":"chat.completion.chunk","created":T,"model":"m","choices":[{"index":0,"delta":{`
	const usage = `"usage":{"prompt_tokens":4,"completion_tokens":3,"total_tokens":7,"prompt_tokens_details":{"cached_tokens":2}}}`
	cases := []struct{ name, path, body, want string }{
		{"text", "/v1/completions", textRequest, head + `"text":"Hel\"lo\"\n<é>","finish_reason":"stop"}],` + usage + "\n"},
		{"chat", "/v1/chat/completions", chatRequest,
			`{"id":"chatcmpl-ID","object":"chat.completion","created":T,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"Hel\"lo\"\n<é>"},"finish_reason":"stop"}],` + usage + "\n"},
		{"text stream", "/v1/completions", streamRequest, strings.Join([]string{
			"data: " + head + `"text":"Hel","finish_reason":null}]}`,
			"data: " + head + `"text":"\"lo\"\n","finish_reason":null}]}`,
			"data: " + head + `"text":"<é>","finish_reason":null}]}`,
			"data: " + head + `"text":"","finish_reason":"stop"}]}`,
			`data: {"id":"cmpl-ID","object":"text_completion","created":T,"model":"m","choices":[],` + usage,
			"data: [DONE]", ""}, "\n\n")},
		{"chat stream", "/v1/chat/completions", strings.Replace(chatRequest, "{", `{"stream":true,`, 1), strings.Join([]string{
			"data: " + chunk + `"role":"assistant","content":"Hel"},"finish_reason":null}]}`,
			"data: " + chunk + `"content":"\"lo\"\n"},"finish_reason":null}]}`,
			"data: " + chunk + `"content":"<é>"},"finish_reason":null}]}`,
			"data: " + chunk + `},"finish_reason":"stop"}]}`,
			"data: [DONE]", ""}, "\n\n")},
	}
	g := newTestServer(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			at := time.Now()
			res := g.send(t, "POST", c.path, c.body)
			if d := cmp.Diff(c.want, normalizeBody(res, readBody(t, res), at)); d != "" || res.StatusCode != 200 {
				t.Error(res.StatusCode, d)
			}
		})
	}
}

// Guards against incomplete responses that look complete, and against requests without
// a response. The request fails, or the runner violates its contract, before or after
// the first token. Without an error event, a caller would take the end of the
// connection for the end of the response.
func TestBrokenAnswers(t *testing.T) {
	broken := errkind.New(errkind.StreamBroken, "the engine died")
	late := errkind.New(errkind.Overloaded, "full").WithRetryAfter(1200 * time.Millisecond)
	tokens := func(n int, then func(request.Sink)) func(context.Context, request.Completion, request.Sink) {
		return func(_ context.Context, _ request.Completion, s request.Sink) {
			for i := range n {
				_ = s.Token(i, "t")
			}
			then(s)
		}
	}
	cases := []struct {
		name   string
		run    func(context.Context, request.Completion, request.Sink)
		events int // tokens on the stream before the error
		kind   errkind.Kind
		after  string
	}{
		{"refused", tokens(0, func(s request.Sink) { s.Fail(late) }), 0, errkind.Overloaded, "2"},
		{"broken", tokens(2, func(s request.Sink) { s.Fail(broken) }), 2, errkind.StreamBroken, "1"},
		{"no end", tokens(2, func(request.Sink) {}), 2, errkind.Internal, "1"},
		{"nothing", tokens(0, func(request.Sink) {}), 0, errkind.Internal, "1"},
		{"panic", tokens(1, func(request.Sink) { panic("sesame") }), 1, errkind.Internal, "1"},
		{"two ends", tokens(1, func(s request.Sink) { s.Fail(broken); s.Finish("stop", request.Usage{}); _ = s.Token(1, "x") }), 1, errkind.StreamBroken, "1"},
		{"token lost", tokens(1, func(s request.Sink) {
			if s.Token(2, "x") == nil {
				s.Finish("stop", request.Usage{})
			}
			s.Fail(broken)
		}), 1, errkind.StreamBroken, "1"},
		{"unknown kind", tokens(0, func(s request.Sink) { s.Fail(errkind.New("made-up", "x")) }), 0, errkind.Internal, "1"},
	}
	g := newTestServer(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g.runner.complete = c.run
			whole := g.send(t, "POST", "/v1/completions", textRequest)
			if p := problemOf(t, readBody(t, whole)); p.Kind != c.kind || whole.StatusCode != p.Status || whole.Header.Get("Retry-After") != c.after {
				t.Errorf("whole: %d %+v", whole.StatusCode, p)
			}
			res := g.send(t, "POST", "/v1/completions", streamRequest)
			body := readBody(t, res)
			if strings.Contains(body, "[DONE]") || strings.Count(body, `"text":"t"`) != c.events {
				t.Errorf("stream: %s", body)
			}
			if c.events > 0 {
				_, body, _ = strings.Cut(body, "event: error\ndata: ")
			} else if res.Header.Get("Content-Type") != "application/problem+json" {
				t.Error("a failure before the first token is not a problem document")
			}
			if p := problemOf(t, body); p.Kind != c.kind || p.RequestID != res.Header.Get("X-Request-Id") {
				t.Errorf("stream: %+v", p)
			}
		})
	}
}

// Guards against decode slots that stay occupied after the caller has closed its
// connection in the middle of a stream: the request's context must be cancelled.
func TestCallerGone(t *testing.T) {
	gone := make(chan error, 1)
	g := newTestServer(t, nil)
	g.runner.complete = func(ctx context.Context, _ request.Completion, s request.Sink) {
		_ = s.Token(0, "t")
		<-ctx.Done()
		s.Fail(errkind.Wrap(ctx.Err(), errkind.ClientGone, "gone"))
		gone <- ctx.Err()
	}
	ctx, cancel := context.WithCancel(context.Background())
	res, err := g.client.Do(newRequest(t, "POST", g.url+"/v1/completions", strings.NewReader(streamRequest)).WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		t.Fatalf("%q, %v", line, err)
	}
	cancel()
	res.Body.Close()
	waittest.Receive(t, "the cancellation of the request", gone)
}

// Guards against requests that are blocked by callers that do not read. A caller
// requests a long stream and stops reading; the socket's buffers fill up and a write
// blocks until callers.write_timeout.
func TestCallerStopsReading(t *testing.T) {
	failed := make(chan error, 1)
	g := newTestServer(t, func(o *Options) { o.Callers.WriteTimeout = 50 * time.Millisecond })
	g.client.Timeout = 0 // the client's own timeout would also end the write
	g.runner.complete = func(ctx context.Context, _ request.Completion, s request.Sink) {
		long := strings.Repeat("t", 1<<16)
		for i := 0; ctx.Err() == nil; i++ {
			if err := s.Token(i, long); err != nil {
				failed <- err
				return
			}
		}
	}
	res := g.send(t, "POST", "/v1/completions", streamRequest)
	waittest.Receive(t, "the timeout of the write", failed)
	_, err := io.Copy(io.Discard, res.Body)
	if err == nil {
		t.Error("the stream ended cleanly")
	}
}

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ h http.Header }

func (w discardWriter) Header() http.Header         { return w.h }
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Flush()                      {}

func (w discardWriter) SetWriteDeadline(time.Time) error { return nil }

// newTestSink returns a streamSink that writes to a discardWriter.
func newTestSink(tb testing.TB) *streamSink {
	logger, err := telemetry.NewLogger(io.Discard, "error", telemetry.FormatText)
	if err != nil {
		tb.Fatal(err)
	}
	s, err := New(testOptions(&fakeRunner{}, logger))
	if err != nil {
		tb.Fatal(err)
	}
	x := s.newExchange(discardWriter{http.Header{}}, httptest.NewRequest("POST", "/v1/completions", nil), nil)
	return newStreamSink(x, newCompletionResponse(request.Completion{ID: x.id, Model: "m", Accepted: x.accepted}, chatFormat), false)
}

// Sending a token must not allocate: at the designed token rate, garbage collection
// would cost too much. The test takes the minimum of 100 runs, because the pool of
// encoding/json drops buffers at random under the race detector.
func TestTokensDoNotAllocate(t *testing.T) {
	s := newTestSink(t)
	i, least := 0, 1e9
	for range 100 {
		least = min(least, testing.AllocsPerRun(1, func() {
			if err := s.Token(i, " <token>\n"); err != nil {
				t.Fatal(err)
			}
			i++
		}))
	}
	if least > 0 {
		t.Errorf("%.0f allocations per token, want 0", least)
	}
}

func BenchmarkStreamToken(b *testing.B) {
	s := newTestSink(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := s.Token(i, " token"); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against faults of the daemon that nobody sees, because the response was complete when a request met one.
func TestPanicAfterTheResponseIsLogged(t *testing.T) {
	g := newTestServer(t, nil)
	g.runner.complete = func(_ context.Context, _ request.Completion, s request.Sink) {
		s.Finish("stop", request.Usage{})
		panic("sesame")
	}
	for _, body := range []string{textRequest, streamRequest} {
		before := strings.Count(g.logs.String(), "sesame")
		res := g.send(t, "POST", "/v1/completions", body)
		if got := readBody(t, res); res.StatusCode != http.StatusOK || strings.Contains(got, "error") {
			t.Errorf("status %d, %s", res.StatusCode, got)
		}
		waittest.Until(t, "the panic is logged", func() bool { return strings.Count(g.logs.String(), "sesame") > before })
	}
}
