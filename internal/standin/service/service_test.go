package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sendRequest sends a request with an idempotency key and a request id derived from
// it.
func sendRequest(t *testing.T, url, method, path, key string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(method, url+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderKey, key)
	req.Header.Set(HeaderRequestID, "id-"+key)
	// Without GetBody, net/http cannot retry the request by itself.
	req.GetBody = nil
	return http.DefaultClient.Do(req)
}

// Checks how often a call is executed under each fault. A fault before the
// execution must prevent it; a fault after it only withholds the confirmation.
func TestExecutionsUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		method string
		faults Faults
		status int // 0: no answer
		runs   int
	}{
		{"post", http.MethodPost, Faults{}, http.StatusOK, 1},
		{"put", http.MethodPut, Faults{}, http.StatusOK, 1},
		{"look-up", http.MethodGet, Faults{}, http.StatusOK, 0},
		{"refused", http.MethodPost, Faults{Refuse: true}, http.StatusServiceUnavailable, 0},
		{"leaving", http.MethodPost, Faults{Leaving: true}, http.StatusServiceUnavailable, 0},
		{"cut before", http.MethodPost, Faults{CutBefore: true}, 0, 0},
		{"cut after", http.MethodPost, Faults{CutAfter: true}, 0, 1},
		{"failed after", http.MethodPost, Faults{Fail: true}, http.StatusInternalServerError, 1},
	}
	for _, tc := range cases {
		s := New(Config{})
		srv := httptest.NewServer(s.Handler())
		s.SetFaults(tc.faults, 1)
		resp, err := sendRequest(t, srv.URL, tc.method, "/orders/7", "k")
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		if got := s.Executions(); status != tc.status || got.ByKey("k") != tc.runs || got.Total != tc.runs {
			t.Errorf("%s: status %d, %d runs; want %d and %d", tc.name, status, got.Total, tc.status, tc.runs)
		}
		s.Close()
		http.DefaultClient.CloseIdleConnections()
		srv.Close()
	}
}

func TestRepeatedCallIsExecutedTwice(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	defer http.DefaultClient.CloseIdleConnections()
	numbers := map[string]bool{}
	for range 2 {
		resp, err := sendRequest(t, srv.URL, http.MethodPost, "/orders", "k")
		if err != nil {
			t.Fatal(err)
		}
		var c Confirmation
		if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
			t.Fatal(err)
		}
		numbers[c.Confirmation] = true
		if id := resp.Header.Get(HeaderRequestID); id != "id-k" || !strings.HasPrefix(resp.Header.Get(HeaderLoad), "active=1 ") {
			t.Errorf("answer to %q, load %q", id, resp.Header.Get(HeaderLoad))
		}
		resp.Body.Close()
	}
	if len(numbers) != 2 || s.Executions().ByKey("k") != 2 {
		t.Errorf("%d confirmations and %d executions of a call sent twice", len(numbers), s.Executions().Total)
	}
}

// Checks the faults that stall a call before or after its execution: the client
// gets no reply until the service is closed, and only StallAfter executes the call.
func TestStalls(t *testing.T) {
	for runs, faults := range []Faults{{StallBefore: true}, {StallAfter: true}} {
		s := New(Config{})
		srv := httptest.NewServer(s.Handler())
		s.SetFaults(faults, 1)
		done := make(chan error, 1)
		go func() {
			resp, err := sendRequest(t, srv.URL, http.MethodPost, "/orders", "k")
			if err == nil {
				resp.Body.Close()
			}
			done <- err
		}()
		// The fault is limited to one call, so it is cleared when the call reaches it.
		waittest.Until(t, "the call reaches the fault", func() bool { return s.faults.Get() == (Faults{}) })
		select {
		case err := <-done:
			t.Errorf("%+v: call ended with %v before the service was closed", faults, err)
		default:
		}
		got := s.Executions().Total
		s.Close()
		if err := <-done; err == nil || got != runs {
			t.Errorf("%+v: %d executions, want %d; then %v", faults, got, runs, err)
		}
		http.DefaultClient.CloseIdleConnections()
		srv.Close()
	}
}

func TestLoad(t *testing.T) {
	s := New(Config{Slots: 7})
	defer s.Close()
	s.SetFaults(Faults{Leaving: true}, 0)
	for n, path := range []string{"/load", engineapi.PathLoad} {
		resp := httptest.NewRecorder()
		s.Handler().ServeHTTP(resp, httptest.NewRequest(http.MethodGet, path, nil))
		var got engineapi.Load
		if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		want := engineapi.Load{Incarnation: s.incarnation, Seq: uint64(n + 1), Slots: 7, Leaving: true}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", path, diff)
		}
	}
}

// Guards against services that get no requests although they accept them again. A
// daemon that learns that a service is leaving, from the service or from another
// daemon, sends it no requests until the service begins a new incarnation. So the
// simulated service must begin one when the fault Leaving is removed.
func TestNewIncarnationAfterLeaving(t *testing.T) {
	s := New(Config{Slots: 7})
	defer s.Close()
	first := s.Load()
	s.SetFaults(Faults{Leaving: true}, 0)
	if l := s.Load(); !l.Leaving || l.Incarnation != first.Incarnation {
		t.Errorf("load with the fault set: %+v, before: %+v", l, first)
	}
	s.SetFaults(Faults{}, 0)
	if l := s.Load(); l.Leaving || l.Incarnation == first.Incarnation {
		t.Errorf("load after the fault was removed: %+v, first: %+v", l, first)
	}
}

func TestLookupDependsOnlyOnPath(t *testing.T) {
	if diff := cmp.Diff(LookupOf("/a"), LookupOf("/a")); diff != "" || LookupOf("/a").Value == LookupOf("/b").Value {
		t.Error("look-ups of one path differ, or look-ups of two paths are equal", diff)
	}
}
