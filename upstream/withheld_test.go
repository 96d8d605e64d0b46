package upstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/upstream"
)

// switchedAvailability allows calls until closed is set.
type switchedAvailability struct {
	closed   atomic.Bool
	asked    atomic.Int64
	observed atomic.Int64
}

func (a *switchedAvailability) ObserveAvailability(upstream.AvailabilityNotice) { a.observed.Add(1) }

func (a *switchedAvailability) Allow(string, availability.Use) error {
	a.asked.Add(1)
	if a.closed.Load() {
		return errors.New("wants none")
	}
	return nil
}

// Guards against a request that waits for a connection, and reaches its upstream after the upstream has
// said that it wants none; and against the answer before it being lost when it is not sent.
func TestRequestThatWaitedForAConnectionIsWithheld(t *testing.T) {
	for name, body := range map[string][]byte{"GET": nil, "POST": []byte("body")} {
		var arrived atomic.Int64
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			arrived.Add(1)
			<-release
			_, _ = io.WriteString(w, "answer")
		}))
		hc := upstream.NewHTTPClientWith(upstream.TransportConfig{Dial: time.Second, PerHost: 1, IdlePerHost: 1})
		a := &switchedAvailability{}
		send := func() (string, error) {
			req, err := http.NewRequestWithContext(t.Context(), name, server.URL, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			if body != nil {
				upstream.SetBody(req, body)
			}
			resp, err := upstream.RoundTripIf(hc, req, upstream.Identity{}, a, "u", availability.NewWork)
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			return string(got), err
		}
		var wg sync.WaitGroup
		wg.Go(func() {
			if got, err := send(); err != nil || got != "answer" {
				t.Errorf("%s: %q, %v", name, got, err)
			}
		})
		waittest.Until(t, "the first request holds the connection", func() bool { return arrived.Load() == 1 })
		asked := a.asked.Load()
		for range 3 {
			wg.Go(func() {
				if _, err := send(); !upstream.IsWithheld(err) || upstream.DeliveryOf(err) != upstream.NotSent {
					t.Errorf("%s: %v, want it withheld", name, err)
				}
			})
		}
		waittest.Until(t, "the others wait", func() bool { return a.asked.Load() == asked+3 })
		a.closed.Store(true)
		close(release)
		wg.Wait()
		if n := arrived.Load(); n != 1 {
			t.Errorf("%s: %d requests arrived", name, n)
		}
		hc.CloseIdleConnections()
		server.Close()
	}
}

// Guards against connections that are never free again after requests that fail, are given up while they
// wait, or whose responses are not read.
func TestConnectionsAreFreeAgain(t *testing.T) {
	hold := make(chan struct{})
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hold":
			<-hold
		case "/break":
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "answer")
	})
	hc := upstream.NewHTTPClientWith(upstream.TransportConfig{Dial: time.Second, PerHost: 2, IdlePerHost: 2})
	t.Cleanup(hc.CloseIdleConnections)
	send := func(ctx context.Context, method, path string) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		return upstream.RoundTrip(hc, req, upstream.Identity{})
	}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if resp, err := send(t.Context(), http.MethodGet, "/hold"); err == nil {
				resp.Body.Close()
			}
		})
	}
	for range 5 { // wait or are refused a connection until their context ends
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		resp, err := send(ctx, http.MethodGet, "/hold")
		if err == nil {
			resp.Body.Close()
		}
		cancel()
	}
	close(hold)
	wg.Wait()
	for range 5 {
		if resp, err := send(t.Context(), http.MethodGet, "/break"); err == nil {
			resp.Body.Close()
			t.Error("a response from a connection that breaks")
		}
		for _, method := range []string{http.MethodHead, http.MethodGet} {
			resp, err := send(t.Context(), method, "/")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close() // unread
		}
		resp, err := send(t.Context(), http.MethodGet, "/")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // read, not closed
	}
}
