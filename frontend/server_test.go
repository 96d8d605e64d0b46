package frontend

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/certtest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/settings"
)

// holdStream makes the runner send one token and then wait until release is closed or
// the request is cancelled.
func holdStream(g *testServer) (started chan struct{}, release chan struct{}) {
	started, release = make(chan struct{}), make(chan struct{})
	g.runner.complete = func(ctx context.Context, _ request.Completion, s request.Sink) {
		_ = s.Token(0, "t")
		close(started)
		select {
		case <-release:
			s.Finish("stop", request.Usage{})
		case <-ctx.Done():
			s.Fail(errkind.New(errkind.ClientGone, "gone").WithRun(errkind.Ran))
		}
	}
	return started, release
}

// Guards against responses that are cut off when an instance is replaced. A stream is
// in flight when the daemon starts to drain. The stream must complete, new connections
// must be refused, and the instance must report not ready, so that the load balancer
// stops sending to it.
func TestDrainFinishesRequests(t *testing.T) {
	g := newTestServer(t, func(o *Options) { o.Drain.Timeout = testTimeout })
	started, release := holdStream(g)
	res := g.send(t, "POST", "/v1/completions", streamRequest)
	<-started
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	for refused := false; !refused; {
		conn, err := net.Dial("tcp", g.Addr().String())
		if refused = err != nil; !refused {
			conn.Close()
		}
	}
	if ok, reason := g.Ready(); ok || reason != "draining" {
		t.Errorf("ready: %v, %s", ok, reason)
	}
	close(release)
	if body := readBody(t, res); !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("the stream is incomplete: %s", body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// During drain.delay load balancers may still send requests. They are served, but
// their connections are closed and the readiness probe fails.
func TestDrainDelayServes(t *testing.T) {
	g := newTestServer(t, func(o *Options) { o.Drain.Delay = testTimeout })
	ctx, cancel := context.WithCancel(context.Background())
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(ctx) }()
	for ready := true; ready; {
		ready, _ = g.Ready()
	}
	res := g.send(t, "GET", "/v1/models", "")
	if res.StatusCode != 200 || !res.Close {
		t.Errorf("status %d, close %v", res.StatusCode, res.Close)
	}
	if probe := g.send(t, "GET", "/readyz", ""); probe.StatusCode != 503 {
		t.Errorf("readyz %d", probe.StatusCode)
	}
	cancel()
	<-drained
}

// Guards against a stream that ends without an error event, which a caller could take
// for a complete response, and against callers that hang. The drain timeout passes
// while a stream is in flight.
func TestDrainLimitAnswersHonestly(t *testing.T) {
	g := newTestServer(t, func(o *Options) { o.Drain.Timeout = time.Millisecond })
	started, _ := holdStream(g)
	res := g.send(t, "POST", "/v1/completions", streamRequest)
	<-started
	if err := g.Drain(context.Background()); err == nil {
		t.Error("Drain returned no error although a request was in flight")
	}
	_, problem, _ := strings.Cut(readBody(t, res), "event: error\ndata: ")
	if p := problemOf(t, problem); p.Kind != errkind.Draining || p.Run != errkind.Ran {
		t.Errorf("got %+v", p)
	}
}

// Guards against callers that connect and wait until their own timeouts. The daemon
// binds its listener and drains before it serves; a listener that stays open accepts
// no connections.
func TestDrainBeforeRun(t *testing.T) {
	opts := testOptions(&fakeRunner{}, log.Log)
	opts.Drain.Delay = 0
	s, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	if err := s.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", s.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// Guards against exhaustion of the connection limit by callers that never complete
// their request headers. Such a connection must be closed after
// callers.header_timeout.
func TestSlowHeaders(t *testing.T) {
	g := newTestServer(t, func(o *Options) { o.Callers.HeaderTimeout = 50 * time.Millisecond })
	conn, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); os.IsTimeout(err) {
		t.Error("the connection stayed open")
	}
}

func TestTLS(t *testing.T) {
	cert, key := certtest.Write(t)
	for _, c := range []struct {
		name      string
		clientCA  string
		present   bool
		wantError bool
	}{
		{"server only", "", false, false},
		{"client certificate", cert, true, false},
		{"client without certificate", cert, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestServer(t, func(o *Options) {
				o.Callers.TLS = settings.ServerTLS{CertFile: cert, KeyFile: key, ClientCAFile: c.clientCA}
			})
			_, client, err := settings.PeerTLS{CertFile: cert, KeyFile: key, CAFile: cert}.Configs()
			if err != nil {
				t.Fatal(err)
			}
			if !c.present {
				client.Certificates = nil
			}
			g.client.Transport = &http.Transport{TLSClientConfig: client}
			res, err := g.client.Do(newRequest(t, "GET", strings.Replace(g.url, "http", "https", 1)+"/v1/models", nil))
			if (err != nil) != c.wantError {
				t.Fatal(err)
			}
			if err == nil {
				res.Body.Close()
			}
			if res, err := http.Get(g.url + "/v1/models"); err == nil {
				if res.Body.Close(); res.StatusCode != 400 {
					t.Errorf("without TLS: %d", res.StatusCode)
				}
			}
		})
	}
}

// A request with a bound token runs on the daemon named in the token, whichever daemon
// received it. The caller gets that daemon's response with the receiver's request id.
func TestForwardToTheTokensOwner(t *testing.T) {
	two := wire.NodeID{Instance: "two", Incarnation: 5}
	owner := func(key string) (wire.NodeID, bool) { return two, strings.HasPrefix(key, "two.") }
	second := newTestServer(t, func(o *Options) { o.Self, o.TokenOwner = two, owner })
	second.runner.call = func(ctx context.Context, c request.Call) (request.CallAnswer, *errkind.Error) {
		a, err := echoCall(ctx, c)
		a.Header["Set-Cookie"] = c.Header["X-Want"] // must stay two header lines: cookies cannot be joined by commas
		return a, err
	}
	var sent []wire.Forward
	first := newTestServer(t, func(o *Options) {
		o.TokenOwner = owner
		o.Forward = func(ctx context.Context, to wire.NodeID, f wire.Forward) (wire.ForwardReply, *errkind.Error) {
			if f.Body == nil || to != two {
				t.Errorf("to %v: %+v", to, f)
			}
			sent = append(sent, f)
			return second.ServeForward(ctx, f), nil
		}
	})
	marked := []string{"X-Non-Idempotent: true", "Idempotency-Key: two.1", "X-Class: urgent", "X-Want: a=1; Expires=Wed, 09 Jun 2027 10:18:14 GMT", "X-Want: b=2"}
	res := first.send(t, "POST", "/services/shop/buy?n=1", "jar", marked...)
	if body := readBody(t, res); res.StatusCode != 201 || body != "jar" || res.Header.Get("X-Path") != "/buy?n=1" || res.Header.Get("X-Hop") != "" {
		t.Errorf("%d %q %v", res.StatusCode, body, res.Header)
	}
	if got := len(res.Cookies()); got != 2 {
		t.Errorf("%d cookies in %q", got, res.Header.Values("Set-Cookie"))
	}
	stream := first.send(t, "POST", "/v1/completions", streamRequest, marked...)
	if body := readBody(t, stream); !strings.HasSuffix(body, "data: [DONE]\n\n") || stream.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("stream: %s", body)
	}
	if first.runner.requestCount() != 0 || second.runner.requestCount() != 2 {
		t.Fatalf("ran %d and %d", first.runner.requestCount(), second.runner.requestCount())
	}
	got := second.runner.calls[0]
	if got.ID != res.Header.Get("X-Request-Id") || !strings.HasPrefix(got.ID, "one-") || got.Team != "red" || got.Class != "urgent" || got.Key != "two.1" || !got.NonIdempotent {
		t.Errorf("got %+v", got)
	}
	for _, f := range sent {
		if len(f.Header["Authorization"]) > 0 || strings.Contains(first.logs.String(), testKey) {
			t.Error("the caller's API key was forwarded or logged")
		}
	}
	first.send(t, "GET", "/services/shop/x", "", "Idempotency-Key: two.2")
	if first.runner.requestCount() != 1 {
		t.Error("an idempotent request was forwarded")
	}
}

// Guards against forwarding loops and against forwarded requests that run on a daemon
// that does not own their token. The receiver may rely on the sender for the
// authentication of the team only; it must check token, team, path and method itself.
func TestBadForwards(t *testing.T) {
	g := newTestServer(t, func(o *Options) {
		o.TokenOwner = func(string) (wire.NodeID, bool) { return wire.NodeID{Instance: "three"}, true }
		o.Forward = func(context.Context, wire.NodeID, wire.Forward) (wire.ForwardReply, *errkind.Error) {
			t.Error("forwarded again")
			return wire.ForwardReply{}, nil
		}
	})
	good := wire.Forward{RequestID: "far-1", Team: "red", Method: "POST", Path: "/services/shop/buy", TimeoutMS: 100,
		Header: map[string][]string{"X-Non-Idempotent": {"true"}, "Idempotency-Key": {"k"}}}
	for _, c := range []struct {
		name   string
		change func(*wire.Forward)
		want   errkind.Kind
		run    errkind.RunState
	}{
		{"another's token", func(*wire.Forward) {}, errkind.ClaimUnavailable, errkind.Unknown}, // the token's owner may have run the request
		{"unknown team", func(f *wire.Forward) { f.Team = "blue" }, errkind.UnknownTeam, errkind.NotRun},
		{"unknown path", func(f *wire.Forward) { f.Path = "/v9" }, errkind.NotFound, errkind.NotRun},
		{"no path", func(f *wire.Forward) { f.Path = "\x00" }, errkind.BadRequest, errkind.NotRun},
		{"no method", func(f *wire.Forward) { f.Method = "GE T" }, errkind.BadRequest, errkind.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := good
			c.change(&f)
			reply := g.ServeForward(context.Background(), f)
			p := problemOf(t, string(reply.Body))
			if d := cmp.Diff([]any{c.want, c.run, "far-1", reply.Status}, []any{p.Kind, p.Run, p.RequestID, p.Status}); d != "" {
				t.Error(d)
			}
		})
	}
	if g.runner.requestCount() != 0 {
		t.Error("a bad forward reached the runner")
	}
	g.opts.TokenOwner = nil
	g.runner.call = func(context.Context, request.Call) (request.CallAnswer, *errkind.Error) {
		return request.CallAnswer{Status: 200, Body: make([]byte, wire.MaxFrame)}, nil
	}
	if p := problemOf(t, string(g.ServeForward(context.Background(), good).Body)); p.Kind != errkind.StreamBroken || p.Run != errkind.Ran {
		t.Errorf("too large: %+v", p)
	}
}

func TestMintToken(t *testing.T) {
	g := newTestServer(t, func(o *Options) {
		o.MintToken = func(team string) (string, *errkind.Error) { return team + "-token", nil }
	})
	if res := g.send(t, "POST", "/v1/idempotency-tokens", ""); res.StatusCode != 201 || readBody(t, res) != `{"token":"red-token"}`+"\n" {
		t.Error(res.StatusCode)
	}
}
