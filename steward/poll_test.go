package steward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream"
)

// Symptom: slot checks that reach one daemon are refused with no-upstream while
// the ordering app answers everybody else.
// Sequence: that daemon is the app's steward and polls its load; the app has no
// such path, or answers each path with a page.
// Cause: an answer that holds no load is taken for a failed upstream.
func TestServiceWithoutLoadStays(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		want   int
	}{
		"no such path": {http.StatusNotFound, 1},
		"a page":       {http.StatusOK, 1},
		"broken":       {http.StatusInternalServerError, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte("<html>"))
			}))
			defer s.Close()
			address := strings.TrimPrefix(s.URL, "http://")
			v := testVersion()
			v.Bundle.Upstreams = map[string]bundle.Upstream{"p1": {Pool: "s", DataCentre: "x", Address: address, State: bundle.StateServing}}
			h := board.NewHolder(board.New(board.Config{EjectBase: time.Hour, EjectMax: time.Hour}))
			h.Update(func(b *board.Board) { b.SetVersion(time.Now(), v) })
			hc := upstream.NewHTTPClient()
			defer hc.CloseIdleConnections()
			rd := &round{Runner: New(Options{Board: h, Engines: upstream.NewEngines(hc), Logger: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Timeout: time.Minute})}
			for range 5 {
				rd.pollLoad(context.Background(), "p1", address)
			}
			if n := len(h.Snapshot().Pool("s").Replicas()); n != c.want {
				t.Errorf("%d replicas may take work, want %d", n, c.want)
			}
		})
	}
}
