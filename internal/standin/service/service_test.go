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

func call(t *testing.T, url, method, path, key string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(method, url+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderKey, key)
	req.Header.Set(HeaderRequestID, "id-"+key)
	// Without a GetBody net/http cannot send the call again by itself.
	req.GetBody = nil
	return http.DefaultClient.Do(req)
}

// Symptom: a confirmation is missing although the order was taken, or two exist.
// Sequence: a call is made under each fault, then the executions are counted.
// Cause: whether the fault came before or after the execution.
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
		resp, err := call(t, srv.URL, tc.method, "/orders/7", "k")
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

func TestRepeatsShow(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	defer http.DefaultClient.CloseIdleConnections()
	numbers := map[string]bool{}
	for range 2 {
		resp, err := call(t, srv.URL, http.MethodPost, "/orders", "k")
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

// Symptom: a caller waits for ever, and nobody knows whether its order was taken.
// Sequence: a call stalls before or after it executes; the service then closes.
// Cause: an answer that never comes says nothing about the execution.
func TestStalls(t *testing.T) {
	for runs, faults := range []Faults{{StallBefore: true}, {StallAfter: true}} {
		s := New(Config{})
		srv := httptest.NewServer(s.Handler())
		s.SetFaults(faults, 1)
		done := make(chan error, 1)
		go func() {
			resp, err := call(t, srv.URL, http.MethodPost, "/orders", "k")
			if err == nil {
				resp.Body.Close()
			}
			done <- err
		}()
		// The fault is gone once the call has reached it.
		waittest.Until(t, "the call reaches the fault", func() bool { return s.faults.Get() == (Faults{}) })
		select {
		case err := <-done:
			t.Errorf("%+v: answered with %v", faults, err)
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

// Symptom: a daemon sends nothing to services that work, for as long as it lives.
// Sequence: services refuse calls as leaving; one daemon hears it and tells the others;
// the fault is taken away.
// Cause: a stand-in that took its leaving back within one life, which no daemon believes.
func TestLeavingEndsWithALife(t *testing.T) {
	s := New(Config{Slots: 7})
	defer s.Close()
	first := s.Load()
	s.SetFaults(Faults{Leaving: true}, 0)
	if l := s.Load(); !l.Leaving || l.Incarnation != first.Incarnation {
		t.Errorf("leaving: %+v, before %+v", l, first)
	}
	s.SetFaults(Faults{}, 0)
	if l := s.Load(); l.Leaving || l.Incarnation == first.Incarnation {
		t.Errorf("back: %+v, before %+v", l, first)
	}
}

func TestLookupsDependOnThePathAlone(t *testing.T) {
	if diff := cmp.Diff(LookupOf("/a"), LookupOf("/a")); diff != "" || LookupOf("/a").Value == LookupOf("/b").Value {
		t.Error("look-ups of one path differ or of two paths agree", diff)
	}
}
