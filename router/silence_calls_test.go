package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

// Guards against calls that end without an answer because their replica was silent for a while, and
// another one could not be had or did not answer, and against orders that run twice then.
func TestCallsOfSilentReplicas(t *testing.T) {
	for _, tc := range []struct {
		name, silent string
		length       time.Duration
		other        site.Faults // of s1
		leaves       bool        // s1 leaves before the silence
		denied       bool        // no retry is permitted
	}{
		{"all, no retry permitted", "s0 s1", 2500 * time.Millisecond, site.Faults{}, false, true},
		{"all", "s0 s1", 2500 * time.Millisecond, site.Faults{}, false, false},
		{"for a short time", "s0 s1", 500 * time.Millisecond, site.Faults{}, false, false},
		{"one, the other leaves", "s0", 2500 * time.Millisecond, site.Faults{}, true, false},
		{"one, the other breaks off", "s0", 2500 * time.Millisecond, site.Faults{Reset: true}, false, false},
		{"one, the other refuses", "s0", 2500 * time.Millisecond, site.Faults{Shed: true}, false, false},
		{"one, the other fails", "s0", 2500 * time.Millisecond, site.Faults{Status: 503}, false, false},
		{"one, the other never answers", "s0", 2500 * time.Millisecond, site.Faults{Dark: true}, false, false},
		{"one, the other answers", "s0", 2500 * time.Millisecond, site.Faults{}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			defer limitFleets()()
			f := newAttachedFleet(t, func(s *settings.Attached) {
				if tc.denied {
					s.Retries.Ratio, s.Retries.Slack = 0, 0
				}
			})
			if tc.leaves {
				f.site.Register(f.upstreams["s1"], "draining")
				waittest.Until(t, "s1 leaves the view", func() bool { return !f.serving("s1") })
			}
			f.setSilent(tc.silent, true)
			f.setFaults("s1", tc.other)
			var got outcomes
			var wg conc.WaitGroup
			for i := range 6 {
				for _, path := range []string{site.PathLookUp, site.PathOrder} {
					if path == site.PathOrder && tc.other != (site.Faults{}) {
						continue // an order that the faulty replica gets is not sent again
					}
					id := fmt.Sprint("r", i, strings.ReplaceAll(path, "/", ""))
					wg.Go(func() { got.add(path, outcomeOf(f.ask(f.t.Context(), path+"x", id), id, 0)) })
				}
			}
			time.Sleep(tc.length) // the silence
			f.setSilent(tc.silent, false)
			wg.Wait()
			if n := got.otherThan(whole); n > 0 {
				t.Errorf("%d calls were not answered whole: %v", n, got.counts)
			}
			for id, runs := range f.site.Account.AllExecutions() {
				if strings.HasSuffix(id, "order") && len(runs) > 1 {
					t.Errorf("%s ran %d times", id, len(runs))
				}
			}
			f.waitNothingHeld()
		})
	}
}
