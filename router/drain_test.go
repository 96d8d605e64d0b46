package router

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/logtest"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

// serviceFixture is a plain service that holds each call until release is closed, with a
// signed bundle by which daemons route requests to it.
type serviceFixture struct {
	t           *testing.T
	logURL      string
	arrived     chan struct{}
	release     chan struct{}
	authorKey   bundle.Key
	reviewerKey bundle.Key
	client      *http.Client
	change      func(*settings.Settings) // modifies the settings of each daemon; may be nil
	bundle      func(*bundle.Bundle)     // modifies the bundle that is published; may be nil
	beforeRun   func(*Router)            // called with each daemon before its Run; may be nil
}

func newServiceFixture(t *testing.T) *serviceFixture {
	t.Helper()
	s := newServiceFixtureWithout(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/orders" { // the steward polls other paths
			http.NotFound(w, r)
			return
		}
		s.arrived <- struct{}{}
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "placed")
	}))
	t.Cleanup(server.Close)
	s.publish(strings.TrimPrefix(server.URL, "http://"))
	return s
}

// newServiceFixtureWithout is newServiceFixture without a service; the test publishes the address of its own.
func newServiceFixtureWithout(t *testing.T) *serviceFixture {
	t.Helper()
	s := &serviceFixture{t: t, logURL: logtest.Start(t, logsvc.Config{}).URL, arrived: make(chan struct{}, 8), release: make(chan struct{}), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(s.client.CloseIdleConnections)
	var err error
	if s.authorKey, err = bundle.GenerateKey("author"); err != nil {
		t.Fatal(err)
	}
	if s.reviewerKey, err = bundle.GenerateKey("reviewer"); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *serviceFixture) publish(address string) {
	s.t.Helper()
	digest := sha256.Sum256([]byte("key"))
	target := bundle.ClassTarget{FirstTokenMillis: 1000, BetweenTokensMillis: 100, DeadlineMillis: testTimeout.Milliseconds(), Priority: 1}
	b := &bundle.Bundle{
		Pools:     map[string]bundle.Pool{"shop": {Role: bundle.RoleService, Slots: 8}},
		Upstreams: map[string]bundle.Upstream{"s0": {Pool: "shop", DataCentre: "local", Address: address, State: bundle.StateServing}},
		Services:  map[string]bundle.Service{"shop": {Pool: "shop", Class: bundle.Urgent, NonIdempotent: []string{"/orders"}, TimeoutMillis: testTimeout.Milliseconds()}},
		Teams:     map[string]bundle.Team{"red": {KeyDigests: []string{hex.EncodeToString(digest[:])}, Weight: 1, Class: bundle.Urgent}},
		Classes:   map[bundle.Class]bundle.ClassTarget{bundle.Urgent: target, bundle.Draft: target},
		Policy:    bundle.PolicyConfig{GoodputWeight: 1, WastedPrefillWeight: 1, UrgentHeadroom: 0.1, RetryBudget: 0.1, MaxAttempts: 2},
	}
	if s.bundle != nil {
		s.bundle(b)
	}
	if err := bundle.Validate(b); err != nil {
		s.t.Fatal(err)
	}
	payload, err := bundle.EncodeBundle(b)
	if err != nil {
		s.t.Fatal(err)
	}
	draft, err := bundle.NewDraft(bundle.Body{Number: 1, Kind: bundle.KindSnapshot, Payload: payload}, s.authorKey)
	if err != nil {
		s.t.Fatal(err)
	}
	record, err := bundle.Review(draft, map[string]ed25519.PublicKey{s.authorKey.ID: s.authorKey.Public()}, s.reviewerKey)
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err = infra.NewLog(s.logURL, s.client).Append(s.t.Context(), settings.Defaults().Bundle.Stream, record); err != nil {
		s.t.Fatal(err)
	}
}

// startReady runs a daemon until the test ends and waits until it is ready. limit is its
// drain timeout; stop starts its drain.
func (s *serviceFixture) startReady(name string, limit time.Duration, seeds ...string) (r *Router, stop func(), done <-chan error) {
	s.t.Helper()
	r, stop, done = s.start(name, s.logURL, limit, seeds...)
	waittest.Until(s.t, "ready", func() bool { ok, _ := r.ready(); return ok })
	return r, stop, done
}

func (s *serviceFixture) start(name, logURL string, limit time.Duration, seeds ...string) (r *Router, stop func(), done <-chan error) {
	s.t.Helper()
	c := testSettings(s.t, name, logURL, seeds...)
	c.Bundle.Authors = map[string]string{s.authorKey.ID: bundle.FormatPublicKey(s.authorKey.Public())}
	c.Bundle.Reviewers = map[string]string{s.reviewerKey.ID: bundle.FormatPublicKey(s.reviewerKey.Public())}
	c.Drain.Timeout = limit
	if s.change != nil {
		s.change(c)
	}
	r = newFromSettings(s.t, c)
	r.drainSlack = 50 * time.Millisecond
	if s.beforeRun != nil {
		s.beforeRun(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	out := make(chan error, 1)
	go func() {
		defer close(ended)
		out <- r.Run(ctx)
	}()
	s.t.Cleanup(func() { cancel(); <-ended })
	return r, cancel, out
}

// callerAnswer is the answer to a caller, or the error with which its request failed.
type callerAnswer struct {
	status int
	body   string
	err    error
}

func (s *serviceFixture) ask(r *Router, method, key string) callerAnswer {
	return s.askWith(r, method, key, http.NoBody)
}

func (s *serviceFixture) askWith(r *Router, method, key string, upload io.Reader) callerAnswer {
	req, err := http.NewRequest(method, "http://"+r.CallersAddress()+"/services/shop/orders", upload)
	if err != nil {
		return callerAnswer{err: err}
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Idempotency-Key", key)
	res, err := s.client.Do(req)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return callerAnswer{res.StatusCode, string(body), err}
}

// placeOrder sends an order and returns once the service holds it. The channel delivers the
// answer.
func (s *serviceFixture) placeOrder(r *Router, key string) <-chan callerAnswer {
	s.t.Helper()
	out := make(chan callerAnswer, 1)
	go func() { out <- s.ask(r, http.MethodPost, key) }()
	select {
	case <-s.arrived:
	case a := <-out:
		s.t.Fatalf("answered before the service got the call: %+v", a)
	}
	return out
}

// Guards against closing a caller's connection without an answer when the drain times out
// while a non-idempotent call is in flight. Such a call continues after its caller's
// context ends, so the runner must end it before the connection is closed.
func TestDrainLimitAnswersNonIdempotentCalls(t *testing.T) {
	s := newServiceFixture(t)
	r, stop, done := s.startReady("one", time.Millisecond)
	out := s.placeOrder(r, "k")
	stop()
	a := <-out
	var p frontend.Problem
	if err := json.Unmarshal([]byte(a.body), &p); err != nil || p.Kind != errkind.Draining || p.Run != errkind.Unknown {
		t.Errorf("got %+v", a)
	}
	if err := waittest.Receive(t, "the daemon ends", done); err != nil {
		t.Error(err)
	}
}

// Guards against a graceful shutdown that breaks off a call forwarded by another daemon. The
// daemon that drains has issued the call's token and has no caller connections of its own. Its
// drain must wait for the forwarded call, and send the answer before it closes peer links.
func TestDrainFinishesForwardedCalls(t *testing.T) {
	s := newServiceFixture(t)
	owner, stop, done := s.startReady("owner", testTimeout)
	entry, _, _ := s.startReady("entry", testTimeout, owner.PeersAddress())
	waitLive(t, entry, 2)
	token, _ := owner.mintToken("red")
	out := s.placeOrder(entry, token)
	stop()
	waittest.Until(t, "the listener closed", func() bool {
		_, err := http.Get("http://" + owner.CallersAddress() + "/healthz")
		return err != nil
	})
	past := time.Now().Add(4 * owner.drainSlack)
	waittest.Until(t, "the slack has passed", func() bool { return time.Now().After(past) })
	close(s.release)
	if a := <-out; a.status != http.StatusOK || a.body != "placed" {
		t.Errorf("got %+v", a)
	}
	if err := waittest.Receive(t, "the daemon ends", done); err != nil {
		t.Error(err)
	}
}

// failingService is a subsystem that fails permanently once failOn is closed.
type failingService struct{ failOn <-chan struct{} }

func (failingService) Name() string { return "failing" }

func (f failingService) Run(ctx context.Context) error {
	select {
	case <-f.failOn:
		return errors.New("broken")
	case <-ctx.Done():
		return nil
	}
}

// Guards against closing a caller's connection without an answer when a subsystem fails
// permanently while a non-idempotent call is in flight. The supervision tree then stops
// without a drain; the runner must end such calls before the frontend closes connections.
func TestFatalFailureAnswersCalls(t *testing.T) {
	s := newServiceFixture(t)
	broken := make(chan struct{})
	s.beforeRun = func(r *Router) { r.tree.Add(failingService{broken}) }
	r, _, done := s.startReady("one", testTimeout)
	out := s.placeOrder(r, "k")
	close(broken)
	if a := <-out; a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, string(errkind.Draining)) {
		t.Errorf("got %+v", a)
	}
	if err := waittest.Receive(t, "the daemon ends", done); err == nil {
		t.Error("the daemon ended without an error")
	}
}
