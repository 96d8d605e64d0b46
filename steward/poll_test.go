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

// Symptom: one daemon rejects requests for a plain service with no-upstream, while
// the service responds to all other daemons.
// Sequence: that daemon is the steward of the service and polls its load. The
// service has no such path, or responds to every path with an HTML page.
// Cause: a response without a load is treated as a failure of the upstream.
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
			rd := &runState{Runner: New(Options{Board: h, Engines: upstream.NewEngines(hc), Logger: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Timeout: time.Minute})}
			for range 5 {
				rd.pollLoad(context.Background(), "p1", address)
			}
			if n := len(h.Snapshot().Pool("s").Replicas()); n != c.want {
				t.Errorf("%d replicas may take work, want %d", n, c.want)
			}
		})
	}
}
