package frontend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/request"
)

// Guards against missing checks and checks that come too late. Each invalid request
// below must be rejected with a problem document of the expected kind, and must not
// reach the runner.
func TestBadInputIsRefused(t *testing.T) {
	const good = `{"model":"m","prompt":"p"}`
	cases := []struct {
		name, method, path, body string
		headers                  []string
		want                     errkind.Kind
	}{
		{"no path", "GET", "/v2", "", nil, errkind.NotFound},
		{"slash at the end", "POST", "/v1/completions/", good, nil, errkind.NotFound},
		{"method", "PUT", "/v1/completions", good, nil, errkind.MethodNotAllowed},
		{"service method", "TRACE", "/services/shop/x", "", nil, errkind.MethodNotAllowed},
		{"no credentials", "POST", "/v1/completions", good, []string{"Authorization: "}, errkind.Unauthorized},
		{"wrong key", "GET", "/v1/models", "", []string{"Authorization: ", "Authorization: Bearer sesame-shut"}, errkind.Unauthorized},
		{"wrong scheme", "GET", "/v1/models", "", []string{"Authorization: ", "Authorization: Basic " + testKey}, errkind.Unauthorized},
		{"two keys", "GET", "/v1/models", "", []string{"Authorization: Bearer x"}, errkind.BadRequest},
		{"no type", "POST", "/v1/completions", good, []string{"Content-Type: "}, errkind.UnsupportedMediaType},
		{"form", "POST", "/v1/completions", good, []string{"Content-Type: ", "Content-Type: application/x-www-form-urlencoded"}, errkind.UnsupportedMediaType},
		{"empty", "POST", "/v1/completions", "", nil, errkind.BadRequest},
		{"broken JSON", "POST", "/v1/completions", `{"model":"m"`, nil, errkind.BadRequest},
		{"two values", "POST", "/v1/completions", good + good, nil, errkind.BadRequest},
		{"unknown member", "POST", "/v1/completions", `{"model":"m","prompt":"p","tools":[]}`, nil, errkind.BadRequest},
		{"wrong type of member", "POST", "/v1/completions", `{"model":"m","prompt":7}`, nil, errkind.BadRequest},
		{"not UTF-8", "POST", "/v1/completions", "{\"model\":\"m\",\"prompt\":\"\xff\"}", nil, errkind.BadRequest},
		{"no prompt", "POST", "/v1/completions", `{"model":"m"}`, nil, errkind.BadRequest},
		{"messages for text", "POST", "/v1/completions", `{"model":"m","prompt":"p","messages":[]}`, nil, errkind.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", good, nil, errkind.BadRequest},
		{"unknown role", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"king","content":"x"}]}`, nil, errkind.BadRequest},
		{"two answers", "POST", "/v1/completions", `{"model":"m","prompt":"p","n":2}`, nil, errkind.BadRequest},
		{"no tokens", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":0}`, nil, errkind.BadRequest},
		{"no model", "POST", "/v1/completions", `{"prompt":"p"}`, nil, errkind.BadRequest},
		{"unknown model", "POST", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, errkind.UnknownModel},
		{"unknown adapter", "POST", "/v1/completions", `{"model":"m","adapter":"x","prompt":"p"}`, nil, errkind.UnknownModel},
		{"unknown service", "GET", "/services/mint/x", "", nil, errkind.UnknownModel},
		{"oversized", "POST", "/v1/completions", `{"model":"m","prompt":"` + strings.Repeat("p", 5000) + `"}`, nil, errkind.BodyTooLarge},
		{"oversized call", "POST", "/services/shop/x", strings.Repeat("p", 5000), nil, errkind.BodyTooLarge},
		{"no deadline", "POST", "/v1/completions", good, []string{"X-Deadline-Ms: 0"}, errkind.BadDeadline},
		{"past deadline", "GET", "/services/shop/x", "", []string{"X-Deadline-Ms: -5"}, errkind.BadDeadline},
		{"far deadline", "POST", "/v1/completions", good, []string{"X-Deadline-Ms: 600001"}, errkind.BadDeadline},
		{"huge deadline", "POST", "/v1/completions", good, []string{"X-Deadline-Ms: 99999999999999999999"}, errkind.BadDeadline},
		{"two deadlines", "POST", "/v1/completions", good, []string{"X-Deadline-Ms: 5", "X-Deadline-Ms: 6"}, errkind.BadRequest},
		{"class", "POST", "/v1/completions", good, []string{"X-Class: vip"}, errkind.BadRequest},
		{"mark", "POST", "/v1/completions", good, []string{"X-Non-Idempotent: yes"}, errkind.BadRequest},
		{"marked without key", "POST", "/v1/completions", good, []string{"X-Non-Idempotent: true"}, errkind.KeyRequired},
		{"marked by bundle", "POST", "/services/shop/orders/1", "", nil, errkind.KeyRequired},
		{"marked in capitals", "POST", "/services/shop/Orders", "", []string{"X-Non-Idempotent: false"}, errkind.KeyRequired},
		{"key too long", "POST", "/services/shop/x", "", []string{"Idempotency-Key: " + strings.Repeat("k", 256)}, errkind.BadRequest},
		{"key with space", "POST", "/services/shop/x", "", []string{"Idempotency-Key: a b"}, errkind.BadRequest},
		{"way round the mark", "POST", "/services/shop/x/../orders", "", nil, errkind.BadRequest},
		{"empty part", "POST", "/services/shop//orders", "", nil, errkind.BadRequest},
		{"encoded dots", "POST", "/services/shop/x/%2e%2e/orders", "", nil, errkind.BadRequest},
		{"encoded slash", "POST", "/services/shop/x%2F..%2Forders", "", nil, errkind.BadRequest},
		{"no issuer", "POST", "/v1/idempotency-tokens", "", nil, errkind.ClaimUnavailable},
	}
	g := newTestServer(t, nil)
	ids := map[string]bool{}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			res := g.send(t, c.method, c.path, c.body, c.headers...)
			p := problemOf(t, readBody(t, res))
			row, _ := errkind.Lookup(c.want)
			want := Problem{
				Type: "urn:corianderturn:error:" + string(c.want), Title: row.Title, Status: row.Status, Kind: c.want, Run: errkind.NotRun,
				Retryable: row.Retryable, RetryAfterMS: row.RetryAfter.Milliseconds(), Detail: p.Detail, RequestID: res.Header.Get("X-Request-Id"),
			}
			if d := cmp.Diff(want, p); d != "" || p.Detail == "" {
				t.Error(d, p.Detail)
			}
			if res.StatusCode != row.Status || res.Header.Get("Content-Type") != "application/problem+json" {
				t.Errorf("status %d, type %s", res.StatusCode, res.Header.Get("Content-Type"))
			}
			if got := res.Header.Get("Retry-After"); (row.RetryAfter > 0) != (got != "") {
				t.Errorf("Retry-After %q", got)
			}
			if !strings.HasPrefix(p.RequestID, "one-25-") || ids[p.RequestID] {
				t.Errorf("request id %q", p.RequestID)
			}
			ids[p.RequestID] = true
		})
	}
	if g.runner.requestCount() != 0 {
		t.Errorf("%d invalid requests reached the runner", g.runner.requestCount())
	}
	g.stop()
	if logs := g.logs.String(); strings.Contains(logs, "sesame") || strings.Contains(logs, "ppppp") {
		t.Errorf("the log contains an API key or a body: %s", logs)
	}
}

// Guards against request bodies that never end. A body that is too long or too slow
// must not occupy its request indefinitely, and a request without a valid key must be
// rejected before its body is read.
func TestEndlessBodies(t *testing.T) {
	cases := []struct {
		name    string
		sent    string
		headers []string
		want    errkind.Kind
	}{
		{"too long", strings.Repeat(" ", 5000), nil, errkind.BodyTooLarge},
		{"too slow", " ", nil, errkind.BadRequest},
		{"wrong key", " ", []string{"Authorization: ", "Authorization: Bearer wrong"}, errkind.Unauthorized},
		{"no key", " ", []string{"Authorization: "}, errkind.Unauthorized},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestServer(t, func(o *Options) {
				o.Callers.BodyTimeout = testTimeout
				if c.name == "too slow" {
					o.Callers.BodyTimeout = 50 * time.Millisecond
				}
			})
			pr, pw := io.Pipe()
			defer pw.Close()
			go io.WriteString(pw, c.sent)
			res, err := g.client.Do(newRequest(t, "POST", g.url+"/v1/completions", pr, c.headers...))
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if p := problemOf(t, readBody(t, res)); p.Kind != c.want {
				t.Errorf("got %s: %s", p.Kind, p.Detail)
			}
		})
	}
}

func TestTermsReachTheRunner(t *testing.T) {
	g := newTestServer(t, nil)
	const trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	g.send(t, "POST", "/v1/chat/completions", `{"model":"m","adapter":"a","max_tokens":9,"temperature":0.5,"messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}]}`,
		"X-Class: urgent", "X-Deadline-Ms: 250", "X-Non-Idempotent: true", "Idempotency-Key: k1", "X-Request-Id: forged", "traceparent: "+trace)
	g.send(t, "POST", "/v1/completions", `{"model":"m","prompt":"p"}`)
	g.send(t, "DELETE", "/services/shop/orders/é%20x/?q=1%2F2", "", "Idempotency-Key: k2", "traceparent: "+trace, "Connection: x-hop", "X-Hop: 1", "X-Kept: 2")
	a, b, c := g.runner.completions[0], g.runner.completions[1], g.runner.calls[0]
	wantA := request.Completion{ID: a.ID, Team: "red", Class: bundle.Urgent, Model: "m", Adapter: "a", Prompt: "system: s\nuser: u\nassistant:",
		MaxTokens: 9, Accepted: a.Accepted, Deadline: a.Accepted.Add(250e6), NonIdempotent: true, Key: "k1"}
	wantB := request.Completion{ID: b.ID, Team: "red", Class: bundle.Draft, Model: "m", Prompt: "p", MaxTokens: 512, Accepted: b.Accepted, Deadline: b.Accepted.Add(9e9)}
	if d := cmp.Diff([]request.Completion{wantA, wantB}, []request.Completion{a, b}); d != "" {
		t.Error(d)
	}
	wantC := request.Call{ID: c.ID, Team: "red", Class: bundle.Urgent, Service: "shop", Method: "DELETE", Path: "/orders/%C3%A9%20x/?q=1%2F2", Body: []byte{},
		Header:   http.Header{"Accept-Encoding": {"gzip"}, "Content-Type": {"application/json"}, "Idempotency-Key": {"k2"}, "Traceparent": {trace}, "User-Agent": {"Go-http-client/1.1"}, "X-Kept": {"2"}, "X-Request-Id": {c.ID}},
		Accepted: c.Accepted, Deadline: c.Accepted.Add(2e9), NonIdempotent: true, Key: "k2"}
	if d := cmp.Diff(wantC, c); d != "" {
		t.Error(d)
	}
	g.stop()
	if !strings.Contains(g.logs.String(), "traceparent="+trace) {
		t.Error("the traceparent is not in the logs")
	}
}

// Guards against a call with an idempotency key that runs twice. Its first dispatch
// fails midway and it is sent to a second replica, because the key did not make the
// call non-idempotent.
func TestWhatMarksACall(t *testing.T) {
	g := newTestServer(t, nil)
	for i, c := range []struct {
		method, path string
		headers      []string
		want         bool
	}{
		{"POST", "/orders", []string{"Idempotency-Key: k"}, true},
		{"GET", "/orders", nil, false},
		{"PUT", "/x", []string{"Idempotency-Key: k"}, true},
		{"GET", "/x", []string{"Idempotency-Key: k"}, false},
		{"POST", "/x", nil, false},
		{"POST", "/x", []string{"Idempotency-Key: k", "X-Non-Idempotent: false"}, false},
		{"POST", "/orders", []string{"Idempotency-Key: k", "X-Non-Idempotent: false"}, true},
		{"GET", "/x", []string{"Idempotency-Key: k", "X-Non-Idempotent: true"}, true},
	} {
		g.send(t, c.method, "/services/shop"+c.path, "", c.headers...)
		if got := g.runner.calls[i].NonIdempotent; got != c.want {
			t.Errorf("%s %s %v: %v", c.method, c.path, c.headers, got)
		}
	}
}

// Guards against more requests in flight than the instance has memory for. A request
// above limits.max_in_flight must be rejected at once instead of waiting.
func TestInFlightBound(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	g := newTestServer(t, func(o *Options) { o.Limits.MaxInFlight = 1 })
	g.runner.call = func(ctx context.Context, c request.Call) (request.CallAnswer, *errkind.Error) {
		close(started)
		<-release
		return echoCall(ctx, c)
	}
	first := make(chan int)
	go func() { first <- g.send(t, "GET", "/services/shop/x", "").StatusCode }()
	<-started
	if p := problemOf(t, readBody(t, g.send(t, "GET", "/v1/models", ""))); p.Kind != errkind.Overloaded || p.Run != errkind.NotRun {
		t.Errorf("got %+v", p)
	}
	if g.InFlight() != 1 {
		t.Errorf("%d requests in flight, want 1", g.InFlight())
	}
	close(release)
	if got := <-first; got != 201 {
		t.Errorf("the first request got status %d", got)
	}
	if got := g.send(t, "GET", "/v1/models", "").StatusCode; got != 200 {
		t.Errorf("the request after it got status %d", got)
	}
}

func TestNotReadyWithoutBundle(t *testing.T) {
	var b *bundle.Bundle
	notReadyReason := ""
	g := newTestServer(t, func(o *Options) {
		o.Bundle = func() *bundle.Bundle { return b }
		o.Ready = func() (bool, string) { return notReadyReason == "", notReadyReason }
	})
	probe := func(want int, notReadyReason string) {
		t.Helper()
		res := g.send(t, "GET", "/readyz", "")
		if got := strings.TrimSpace(readBody(t, res)); res.StatusCode != want || got != notReadyReason {
			t.Errorf("readyz: %d %s", res.StatusCode, got)
		}
	}
	probe(503, "no bundle is in force yet")
	if p := problemOf(t, readBody(t, g.send(t, "GET", "/v1/models", ""))); p.Kind != errkind.NotReady {
		t.Errorf("got %s", p.Kind)
	}
	b = testBundle()
	notReadyReason = "the bundle is behind"
	probe(503, notReadyReason)
	notReadyReason = ""
	probe(200, "ready")
	if got := readBody(t, g.send(t, "GET", "/v1/models", "")); got != `{"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"corianderturn","adapters":["a"]}]}`+"\n" {
		t.Error(got)
	}
	if got := g.send(t, "GET", "/healthz", "").StatusCode; got != 200 {
		t.Errorf("healthz: %d", got)
	}
}

// A team's key is valid exactly while the bundle in force contains its digest.
func TestKeysFollowTheBundle(t *testing.T) {
	b := testBundle()
	g := newTestServer(t, func(o *Options) { o.Bundle = func() *bundle.Bundle { return b } })
	for i, want := range []int{200, 401, 200} {
		next := testBundle()
		if i == 1 {
			next.Teams["red"] = bundle.Team{KeyDigests: []string{"no hex", "ab"}}
		}
		b = next
		if got := g.send(t, "GET", "/v1/models", "").StatusCode; got != want {
			t.Errorf("bundle %s: %d, want %d", strconv.Itoa(i), got, want)
		}
	}
}
