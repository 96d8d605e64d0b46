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

// laggingLog serves a proxy of the log at logURL whose answers claim one more record than they
// contain, so that a reader never catches up.
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

// Guards against requests and orders that a daemon sends according to an outdated bundle after it
// was suspended for minutes. When the daemon resumes, its peers answer at once, but it has not
// yet read all new versions from the log; a fresh membership view alone must not count as up to
// date. The test starts a daemon that never reads the last version, which for the watcher is the
// same as a daemon that has just resumed.
func TestNoDispatchWithStaleBundle(t *testing.T) {
	s := newServiceFixture(t)
	r, _, _ := s.start("one", laggingLog(t, s.logURL), testTimeout)
	waittest.Until(t, "a version is in force", func() bool { return r.bundle() != nil })
	close(s.release)
	a := s.ask(r, http.MethodGet, "")
	var p frontend.Problem
	if err := json.Unmarshal([]byte(a.body), &p); err != nil || p.Kind != errkind.StaleView {
		t.Errorf("got %+v", a)
	}
	if len(s.arrived) > 0 {
		t.Error("the service was called")
	}
}
