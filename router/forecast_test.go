package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

// Guards against a daemon that sends calls to replicas which have just stated that their queues are full,
// and against other choices than before where replicas state no pace or the settings turn forecasts off.
func TestCallsToFullReplicas(t *testing.T) {
	for _, tc := range []struct {
		name, pace, forecast string
		early                bool
	}{
		{"with a pace", ",100", settings.ForecastPaced, true},
		{"without a pace", "", settings.ForecastPaced, false},
		{"turned off", ",100", settings.ForecastOff, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			defer limitFleets()()
			f := newAttachedFleet(t, func(s *settings.Attached) { s.Services.Forecast = tc.forecast })
			asked := 0
			ask := func() int {
				asked++
				return f.ask(t.Context(), site.PathLookUp+"x", fmt.Sprint("r", asked)).status
			}
			seen := func(series string) bool {
				for line := range strings.Lines(f.metricsPage()) {
					if strings.HasPrefix(line, "corianderturn_"+series) {
						return true
					}
				}
				return false
			}
			const refused, picked = `service_calls_refused_early_total{kind="overloaded"`, `decisions_total{reason="earliest-end"`
			f.setFaults("s0 s1", site.Faults{Load: "1,0,6" + tc.pace})
			for range 10 {
				if status := ask(); status != 200 {
					t.Fatalf("status %d of idle replicas", status)
				}
			}
			if seen(picked) != tc.early || seen(refused) {
				t.Errorf("idle replicas: picked by the forecast %v, refused early %v", seen(picked), seen(refused))
			}
			f.setFaults("s0 s1", site.Faults{Load: "6,24,6" + tc.pace, Shed: true})
			for range 10 {
				if status := ask(); status != 503 {
					t.Fatalf("status %d of full replicas", status)
				}
			}
			if tc.early {
				waittest.Until(t, "a call that is refused early", func() bool { return ask() == 503 && seen(refused) })
			} else if seen(refused) {
				t.Error("a call was refused early")
			}
		})
	}
}
