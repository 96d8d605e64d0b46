package router

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

// withdrawEngines withdraws all engines and waits until the daemon knows.
func withdrawEngines(f *attachedFleet) {
	f.t.Helper()
	for _, name := range []string{"d0", "d1", "p0", "p1"} {
		f.site.Withdraw(name)
	}
	waittest.Until(f.t, "the engines leave the view", func() bool { return !f.serving("d0") && !f.serving("d1") })
}

// Guards against a promise that a stream did not run, although it runs while its deadline or the shutdown limit passes, its
// engine is withdrawn, or the configuration changes. It may not be resumed, and its engine has sent no event.
func TestRunningStreamIsNotRefused(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for name, happens := range map[string]func(f *attachedFleet){
		"the deadline passes":       func(*attachedFleet) {},
		"the daemon shuts down":     func(f *attachedFleet) { f.stop() },
		"its engine is withdrawn":   withdrawEngines,
		"the configuration changes": func(f *attachedFleet) { f.site.Configure(9, "/new/") },
		"its engine ends":           func(f *attachedFleet) { f.site.Crash(f.upstreams["d0"]); f.site.Crash(f.upstreams["d1"]) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newAttachedFleet(t, func(s *settings.Attached) { s.Drain.Grace = time.Second })
			f.setFaults("d0 d1", site.Faults{FirstEventAfter: time.Hour})
			got := make(chan reply, 1)
			go func() { got <- f.ask(t.Context(), site.PathLetter+"x", "r", "Deadline-Ms", "2000") }()
			waittest.Until(t, "the stream runs", func() bool { return len(f.site.Account.Executions("r")) > 0 })
			happens(f)
			if r := waittest.Receive(t, "the answer", got); slices.Contains(promises, r.status) {
				t.Errorf("status %d", r.status)
			}
			if runs := f.site.Account.Executions("r"); len(runs) != 1 {
				t.Errorf("ran %d times", len(runs))
			}
		})
	}
}
