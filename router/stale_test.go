package router

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/waittest"
)

// laggingLog serves the log at logURL as one that has more records than it gives.
func laggingLog(t *testing.T, logURL string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, logURL+r.URL.RequestURI(), r.Body)
		if err != nil {
			t.Error(err)
			return
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer res.Body.Close()
		var reply infraapi.ReadReply
		if err := json.NewDecoder(res.Body).Decode(&reply); err != nil {
			panic(http.ErrAbortHandler)
		}
		reply.Next++
		_ = json.NewEncoder(w).Encode(reply)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return s.URL
}

// Symptom: after a stop of minutes a daemon sends new work to an upstream that
// began to leave meanwhile, or orders an old state.
// Sequence: the process thaws; its peers answer at once, the log has more versions
// than it has read. Here it starts so, which the watcher cannot tell apart.
// Cause: a fresh view of the daemons is taken for a fresh view of everything.
func TestNothingIsDispatchedOnAnOldBundle(t *testing.T) {
	s := newShop(t)
	r, _, _ := s.start("one", laggingLog(t, s.logURL), bound)
	waittest.Until(t, "a version is in force", func() bool { return r.bundle() != nil })
	close(s.release)
	a := s.ask(r, http.MethodGet, "")
	var p frontend.Problem
	if err := json.Unmarshal([]byte(a.body), &p); err != nil || p.Kind != errkind.StaleView {
		t.Errorf("got %+v", a)
	}
	if len(s.entered) > 0 {
		t.Error("the service was called")
	}
}
