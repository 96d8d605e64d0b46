package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// client returns an HTTP client whose connections are closed at the end of the test.
func client(t testing.TB) *http.Client {
	hc := upstream.NewHTTPClient()
	t.Cleanup(hc.CloseIdleConnections)
	return hc
}

// serve starts a server for h and returns its address.
func serve(t testing.TB, h http.HandlerFunc) (addr string) {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// serveCrashOnReuse starts a server that responds to the first request on each connection. It
// reads the second request and closes the connection without a response, like a service
// that runs a call and then crashes. It counts the requests.
func serveCrashOnReuse(t testing.TB, requests *atomic.Int32) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-done })
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for i := range 2 {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, req.Body)
				requests.Add(1)
				if i == 0 {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against a call that a service executes twice. A call is sent on a keep-alive
// connection; the service executes it and crashes before it responds. If the call has an
// idempotency key and no body or one that can be rewound, net/http treats it as replayable
// and sends it again by itself on a new connection.
func TestServicesNeverReplay(t *testing.T) {
	for name, c := range map[string]upstream.ServiceCall{
		"key, no body":   {Method: "POST", Header: http.Header{"Idempotency-Key": {"k"}}},
		"key, body":      {Method: "POST", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("b")},
		"x-key, no body": {Method: "DELETE", Header: http.Header{"X-Idempotency-Key": {"k"}}},
		"marked get":     {Method: "GET", NoReplay: true},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			addr := serveCrashOnReuse(t, &requests)
			s := upstream.NewServices(client(t), upstream.NoRateLimitObserver{})
			c.Path = "/orders"
			if _, err := s.Call(context.Background(), addr, c); err != nil {
				t.Fatal(err)
			}
			_, err := s.Call(context.Background(), addr, c)
			if got := upstream.DeliveryOf(err); got != upstream.Maybe || requests.Load() != 2 {
				t.Errorf("delivery %s (%v) after %d requests, want maybe after 2", got, err, requests.Load())
			}
		})
	}
}

// Guards against an engine that runs a call twice, because net/http sent it again, so that
// the memory of one of the runs is never freed. Compare TestServicesNeverReplay.
func TestEnginesNeverReplay(t *testing.T) {
	var requests atomic.Int32
	addr := serveCrashOnReuse(t, &requests)
	e := upstream.NewEngines(client(t))
	for range 2 {
		_, err := e.Reserve(context.Background(), addr, engineapi.ReserveRequest{})
		if upstream.DeliveryOf(err) != upstream.Maybe { // the first call fails too: its response has no body
			t.Errorf("got %v, want maybe", err)
		}
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests for 2 calls", n)
	}
}

// Guards against a caller that is told that its request did not run although it did, or
// that this is unknown although the request was never sent. Calls fail at each stage; the
// error of the HTTP client alone does not tell whether any byte was sent.
func TestDelivery(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, tc := range map[string]struct {
		h    http.HandlerFunc // nil if no server listens
		ctx  context.Context
		want upstream.Delivery
	}{
		"nobody listens":     {want: upstream.NotSent},
		"cancelled before":   {ctx: cancelled, h: answer(200, "{}"), want: upstream.NotSent},
		"answered":           {h: answer(200, "{}"), want: upstream.Done},
		"cut after delivery": {h: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: upstream.Maybe},
		"refused":            {h: answer(503, `{"reason":"full"}`), want: upstream.Refused},
		"conflict":           {h: answer(409, `{"reason":"cancelled"}`), want: upstream.Refused},
		"503 of a middlebox": {h: answer(503, `<html>busy</html>`), want: upstream.Maybe},
		"503 with no reason": {h: answer(503, `{}`), want: upstream.Maybe},
		"500 with a reason":  {h: answer(500, `{"reason":"full"}`), want: upstream.Maybe},
		"garbled answer":     {h: answer(200, `{"load":`), want: upstream.Maybe},
	} {
		t.Run(name, func(t *testing.T) {
			addr := unusedAddr(t)
			var calls atomic.Int32
			if tc.h != nil {
				addr = serve(t, func(w http.ResponseWriter, r *http.Request) { calls.Add(1); tc.h(w, r) })
			}
			if tc.ctx == nil {
				tc.ctx = context.Background()
			}
			_, err := upstream.NewEngines(client(t)).Prefill(tc.ctx, addr, engineapi.PrefillRequest{})
			if got := upstream.DeliveryOf(err); got != tc.want || calls.Load() > 1 {
				t.Errorf("got %s (%v) after %d calls, want %s", got, err, calls.Load(), tc.want)
			}
		})
	}
}

// Guards against the Delivery NotSent for a call that was partly sent. The server accepts
// the connection and reads only one byte, and the call is cancelled while its large body is
// being written: there is neither a response nor a complete request.
func TestDeliveryHalfWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1)) // now at least one byte was sent
			cancel()
		}
		accepted <- c
	}()
	_, err = upstream.NewEngines(client(t)).Prefill(ctx, l.Addr().String(),
		engineapi.PrefillRequest{Prompt: strings.Repeat("x", 32<<20)})
	if upstream.DeliveryOf(err) != upstream.Maybe {
		t.Errorf("got %v, want maybe", err)
	}
	if c := <-accepted; c != nil {
		c.Close()
	}
}

// unusedAddr returns an address on which no server listens.
func unusedAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a caller that gets a truncated response or that of another caller. The
// service crashes while it writes a response without a length, or sends two responses to
// one request on a keep-alive connection. net/http reports an error for neither. A response
// without a length whose service still runs is whole.
func TestServicesAnswer(t *testing.T) {
	raw := func(head string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			c, buf, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			fmt.Fprint(buf, "HTTP/1.1 200 OK\r\n", head, "\r\nhalf")
			buf.Flush()
		}
	}
	named := func(id string, status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Secret-Hop") != "" || r.Header.Get("Te") != "" || r.Header.Get("Kept") != "yes" {
				t.Errorf("service got headers %v", r.Header)
			}
			w.Header().Set(upstream.HeaderRequestID, id)
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set(upstream.HeaderLoad, "active=3 slots=9 leaving=true incarnation=5 seq=2")
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	crashed := func(w http.ResponseWriter, r *http.Request) {
		server := r.Context().Value(http.ServerContextKey).(*http.Server)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		if err := server.Close(); err != nil { // does not close a hijacked connection
			t.Error(err)
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
	}
	redirect := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderLoad, "active=3 slots=9 leaving=true incarnation=5 seq=2")
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	}
	for name, tc := range map[string]struct {
		h    http.HandlerFunc
		want upstream.Delivery
	}{
		"own":                 {named("r1", 200, "ok"), upstream.Done},
		"own error status":    {named("r1", 500, "no"), upstream.Done},
		"own 503":             {named("r1", 503, `{"reason":"half done"}`), upstream.Done},
		"own redirect":        {redirect, upstream.Done},
		"own 409":             {named("r1", 409, `{"reason":"x","leaving":false}`), upstream.Done},
		"refusal":             {named("r1", 503, `{"reason":"x","leaving":true}`), upstream.Refused},
		"crossed":             {named("r2", 200, "ok"), upstream.Maybe},
		"no length":           {raw(upstream.HeaderLoad + ": active=3 slots=9 leaving=true incarnation=5 seq=2\r\n"), upstream.Done},
		"no length, crashed":  {crashed, upstream.Maybe},
		"shorter than stated": {raw("Content-Length: 9\r\n"), upstream.Maybe},
		"too long":            {raw(fmt.Sprintf("Content-Length: %d\r\n", upstream.DefaultMaxResponseBytes+1)), upstream.Maybe},
	} {
		t.Run(name, func(t *testing.T) {
			c := upstream.ServiceCall{RequestID: "r1", Method: "GET", Path: "/x?y=z", Header: http.Header{
				"Connection": {"Secret-Hop"}, "Secret-Hop": {"1"}, "Te": {"trailers"}, "Kept": {"yes"}}}
			a, err := upstream.NewServices(client(t), upstream.NoRateLimitObserver{}).Call(context.Background(), serve(t, tc.h), c)
			if got := upstream.DeliveryOf(err); got != tc.want {
				t.Fatalf("got %s (%v), want %s", got, err, tc.want)
			}
			if a == nil {
				return
			}
			if a.Header.Get("Keep-Alive") != "" || a.Header.Get(upstream.HeaderLoad) != "" {
				t.Errorf("hop-by-hop headers passed on: %v", a.Header)
			}
			if a.Load == nil || a.Load.Active != 3 || !a.Load.Leaving || a.Load.Seq != 2 {
				t.Errorf("load %+v", a.Load)
			}
		})
	}
}

// Guards against a call that continues after its deadline. The engine accepts the request
// and then hangs.
func TestCallEndsWithContext(t *testing.T) {
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body was read
		<-r.Context().Done()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := upstream.NewEngines(client(t)).Prefill(ctx, addr, engineapi.PrefillRequest{})
	if upstream.DeliveryOf(err) != upstream.Maybe {
		t.Errorf("got %v, want maybe", err)
	}
}

// Guards against a call that counts as refused because the engine sends the refusal of the call before it once more.
func TestEngineRefusesOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-done })
	const body = `{"reason":"full"}`
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		refusals := ""
		for range 2 {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(engineapi.HeaderCallID)
			refusals += fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", engineapi.HeaderCallID, id, len(body), body)
			if _, err := io.WriteString(c, refusals); err != nil {
				return
			}
		}
	}()
	e := upstream.NewEngines(client(t))
	for i, want := range []upstream.Delivery{upstream.Refused, upstream.Maybe} {
		if _, err := e.Reserve(context.Background(), l.Addr().String(), engineapi.ReserveRequest{}); upstream.DeliveryOf(err) != want {
			t.Errorf("call %d: %v, want %s", i, err, want)
		}
	}
}
