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

// shop is a plain service that holds each call until release is closed, and the
// daemons that know it by a signed bundle.
type shop struct {
	t       *testing.T
	logURL  string
	entered chan struct{}
	release chan struct{}
	author  bundle.Key
	review  bundle.Key
	client  *http.Client
	change  func(*Router) // before a daemon runs; may be nil
}

func newShop(t *testing.T) *shop {
	t.Helper()
	s := &shop{t: t, logURL: logtest.Start(t, logsvc.Config{}).URL, entered: make(chan struct{}, 8), release: make(chan struct{}), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(s.client.CloseIdleConnections)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/orders" { // a steward's poll
			http.NotFound(w, r)
			return
		}
		s.entered <- struct{}{}
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "placed")
	}))
	t.Cleanup(server.Close)
	var err error
	if s.author, err = bundle.GenerateKey("author"); err != nil {
		t.Fatal(err)
	}
	if s.review, err = bundle.GenerateKey("reviewer"); err != nil {
		t.Fatal(err)
	}
	s.publish(strings.TrimPrefix(server.URL, "http://"))
	return s
}

func (s *shop) publish(address string) {
	s.t.Helper()
	digest := sha256.Sum256([]byte("key"))
	target := bundle.ClassTarget{FirstTokenMillis: 1000, BetweenTokensMillis: 100, DeadlineMillis: bound.Milliseconds(), Priority: 1}
	b := &bundle.Bundle{
		Pools:     map[string]bundle.Pool{"shop": {Role: bundle.RoleService, Slots: 8}},
		Upstreams: map[string]bundle.Upstream{"s0": {Pool: "shop", DataCentre: "local", Address: address, State: bundle.StateServing}},
		Services:  map[string]bundle.Service{"shop": {Pool: "shop", Class: bundle.Urgent, NonIdempotent: []string{"/orders"}, TimeoutMillis: bound.Milliseconds()}},
		Teams:     map[string]bundle.Team{"red": {KeyDigests: []string{hex.EncodeToString(digest[:])}, Weight: 1, Class: bundle.Urgent}},
		Classes:   map[bundle.Class]bundle.ClassTarget{bundle.Urgent: target, bundle.Draft: target},
		Policy:    bundle.PolicyConfig{GoodputWeight: 1, WastedPrefillWeight: 1, UrgentHeadroom: 0.1, RetryBudget: 0.1, MaxAttempts: 2},
	}
	if err := bundle.Validate(b); err != nil {
		s.t.Fatal(err)
	}
	payload, err := bundle.EncodeBundle(b)
	if err != nil {
		s.t.Fatal(err)
	}
	draft, err := bundle.NewDraft(bundle.Body{Number: 1, Kind: bundle.KindSnapshot, Payload: payload}, s.author)
	if err != nil {
		s.t.Fatal(err)
	}
	record, err := bundle.Review(draft, map[string]ed25519.PublicKey{s.author.ID: s.author.Public()}, s.review)
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err = infra.NewLog(s.logURL, s.client).Append(s.t.Context(), settings.Defaults().Bundle.Stream, record); err != nil {
		s.t.Fatal(err)
	}
}

// daemon runs a daemon until the test ends and waits until it is ready; stop
// begins its drain.
func (s *shop) daemon(name string, limit time.Duration, seeds ...string) (r *Router, stop func(), done <-chan error) {
	s.t.Helper()
	r, stop, done = s.start(name, s.logURL, limit, seeds...)
	waittest.Until(s.t, "ready", func() bool { ok, _ := r.ready(); return ok })
	return r, stop, done
}

func (s *shop) start(name, logURL string, limit time.Duration, seeds ...string) (r *Router, stop func(), done <-chan error) {
	s.t.Helper()
	c := settingsOf(s.t, name, logURL, seeds...)
	c.Bundle.Authors = map[string]string{s.author.ID: bundle.FormatPublicKey(s.author.Public())}
	c.Bundle.Reviewers = map[string]string{s.review.ID: bundle.FormatPublicKey(s.review.Public())}
	c.Drain.Timeout = limit
	r = build(s.t, c)
	r.slack = 50 * time.Millisecond
	if s.change != nil {
		s.change(r)
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

// answer is what a caller got: a status and a body, or no answer at all.
type answer struct {
	status int
	body   string
	err    error
}

func (s *shop) ask(r *Router, method, key string) answer {
	req, err := http.NewRequest(method, "http://"+r.CallersAddress()+"/services/shop/orders", http.NoBody)
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Idempotency-Key", key)
	res, err := s.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(body), err}
}

// ordered sends an order and returns its answer once the service holds it.
func (s *shop) ordered(r *Router, key string) <-chan answer {
	s.t.Helper()
	out := make(chan answer, 1)
	go func() { out <- s.ask(r, http.MethodPost, key) }()
	select {
	case <-s.entered:
	case a := <-out:
		s.t.Fatalf("not held: %+v", a)
	}
	return out
}

// Symptom: a household gets no answer to its order, and phones again.
// Sequence: the drain's limit passes while a non-idempotent call is in flight.
// Cause: such a call goes on when its caller's context ends; its connection is
// closed under it before the runner is told to end it.
func TestDrainLimitAnswersNonIdempotentCalls(t *testing.T) {
	s := newShop(t)
	r, stop, done := s.daemon("one", time.Millisecond)
	out := s.ordered(r, "k")
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

// Symptom: an order that another daemon forwarded is cut by a graceful shutdown.
// Sequence: the owner of a bound token runs a forwarded call and is told to stop;
// it has no callers of its own.
// Cause: the time for requests in flight covers the owner's own callers only, and
// the links to peers are closed under an answer that is on its way.
func TestDrainFinishesForwardedCalls(t *testing.T) {
	s := newShop(t)
	owner, stop, done := s.daemon("owner", bound)
	entry, _, _ := s.daemon("entry", bound, owner.PeersAddress())
	waitLive(t, entry, 2)
	token, _ := owner.mintToken("red")
	out := s.ordered(entry, token)
	stop()
	waittest.Until(t, "the listener closed", func() bool {
		_, err := http.Get("http://" + owner.CallersAddress() + "/healthz")
		return err != nil
	})
	past := time.Now().Add(4 * owner.slack)
	waittest.Until(t, "the slack has passed", func() bool { return time.Now().After(past) })
	close(s.release)
	if a := <-out; a.status != http.StatusOK || a.body != "placed" {
		t.Errorf("got %+v", a)
	}
	if err := waittest.Receive(t, "the daemon ends", done); err != nil {
		t.Error(err)
	}
}

// failing is a subsystem that never works.
type failing struct{ from <-chan struct{} }

func (failing) Name() string { return "failing" }

func (f failing) Run(ctx context.Context) error {
	select {
	case <-f.from:
		return errors.New("broken")
	case <-ctx.Done():
		return nil
	}
}

// Symptom: a household gets no answer to its order, and phones again.
// Sequence: a subsystem fails for good while a non-idempotent call is in flight.
// Cause: the daemon ends in the order of a crash: the frontend gives its callers
// up before the runner is told to end such calls.
func TestFatalFailureAnswersCalls(t *testing.T) {
	s := newShop(t)
	broken := make(chan struct{})
	s.change = func(r *Router) { r.tree.Add(failing{broken}) }
	r, _, done := s.daemon("one", bound)
	out := s.ordered(r, "k")
	close(broken)
	if a := <-out; a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, string(errkind.Draining)) {
		t.Errorf("got %+v", a)
	}
	if err := waittest.Receive(t, "the daemon ends", done); err == nil {
		t.Error("the daemon ended without an error")
	}
}
