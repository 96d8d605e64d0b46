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

func client(t testing.TB) *http.Client {
	hc := upstream.NewHTTPClient()
	t.Cleanup(hc.CloseIdleConnections)
	return hc
}

func serve(t testing.TB, h http.HandlerFunc) (addr string) {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// deadOnReuse answers the first request of each connection and, on the next,
// reads it and closes: a service that runs the call and then dies.
func deadOnReuse(t testing.TB, requests *atomic.Int32) (addr string) {
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

// Symptom: one order confirmation sends two riders.
// Sequence: a call with an idempotency key goes out on a kept connection; the
// service runs it and dies before it answers; net/http takes the key as leave
// to send the call again by itself, on a new connection.
// Cause: http.Request counts as replayable with that header and no body, or
// with a body it can rewind.
func TestServicesNeverReplay(t *testing.T) {
	for name, c := range map[string]upstream.ServiceCall{
		"key, no body":   {Method: "POST", Header: http.Header{"Idempotency-Key": {"k"}}},
		"key, body":      {Method: "POST", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("b")},
		"x-key, no body": {Method: "DELETE", Header: http.Header{"X-Idempotency-Key": {"k"}}},
		"marked get":     {Method: "GET", Once: true},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			addr := deadOnReuse(t, &requests)
			s := upstream.NewServices(client(t), upstream.NoNotices{})
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

// Symptom: an engine runs a prefill twice and one result is never cancelled.
// Sequence and cause: as above, for the engines' calls.
func TestEnginesNeverReplay(t *testing.T) {
	var requests atomic.Int32
	addr := deadOnReuse(t, &requests)
	e := upstream.NewEngines(client(t))
	for range 2 {
		_, err := e.Reserve(context.Background(), addr, engineapi.ReserveRequest{})
		if upstream.DeliveryOf(err) != upstream.Maybe { // the first answer has no body
			t.Errorf("got %v, want maybe", err)
		}
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests for 2 calls", n)
	}
}

// Symptom: a caller is told "not run" of a request that ran, or "unknown" of
// one that never left.
// Sequence: the call fails at each point of its way.
// Cause: the client's error alone does not say how far the bytes got.
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
		h    http.HandlerFunc // nil: nobody listens
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
			addr := nobody(t)
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

// Symptom: "not sent" for a call whose bytes were on their way.
// Sequence: the peer accepts and never reads; the caller gives up while a large
// body is being written.
// Cause: no answer and no complete write, yet part of the request is out.
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
			_, _ = c.Read(make([]byte, 1)) // the first byte is out
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

// nobody returns an address on which nothing listens.
func nobody(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Symptom: a caller gets a truncated answer, or another caller's, as its own.
// Sequence: the service dies while it writes an answer without a length, or
// answers twice on one kept connection.
// Cause: HTTP alone shows neither.
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
		"no length":           {raw(""), upstream.Maybe},
		"shorter than stated": {raw("Content-Length: 9\r\n"), upstream.Maybe},
		"too long":            {raw(fmt.Sprintf("Content-Length: %d\r\n", upstream.DefaultMaxAnswer+1)), upstream.Maybe},
	} {
		t.Run(name, func(t *testing.T) {
			c := upstream.ServiceCall{RequestID: "r1", Method: "GET", Path: "/x?y=z", Header: http.Header{
				"Connection": {"Secret-Hop"}, "Secret-Hop": {"1"}, "Te": {"trailers"}, "Kept": {"yes"}}}
			a, err := upstream.NewServices(client(t), upstream.NoNotices{}).Call(context.Background(), serve(t, tc.h), c)
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

// Symptom: a request stays unanswered past its deadline.
// Sequence: the engine accepts and freezes; the deadline passes.
// Cause: a call without a bound.
func TestCallEndsWithContext(t *testing.T) {
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then does the server notice that the caller left
		<-r.Context().Done()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := upstream.NewEngines(client(t)).Prefill(ctx, addr, engineapi.PrefillRequest{})
	if upstream.DeliveryOf(err) != upstream.Maybe {
		t.Errorf("got %v, want maybe", err)
	}
}
