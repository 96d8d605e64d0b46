package failure

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// Guards against replicas of a plain service that name a rate limit and get it from each daemon.
func TestServiceLimitHoldsOverAllDaemons(t *testing.T) {
	t.Parallel()
	r := start(t)
	const (
		limit   = 4.0
		allowed = 1.5*limit*4 + 5 // in four seconds
		lead    = 2 * time.Second
		window  = 4 * time.Second
		pause   = 20 * time.Millisecond
	)
	r.setServices(service.Faults{Limit: limit})
	done := make(chan struct{})
	var load sync.WaitGroup
	for _, d := range r.Daemons {
		load.Add(1)
		go func() {
			defer load.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				g := r.call(d, http.MethodGet, pathService+"/slots/1", "", "")
				if g.problem != nil && g.problem.Kind != errkind.UpstreamLimit {
					t.Errorf("%s", g)
				}
			}
		}()
	}
	time.Sleep(lead)
	before := r.lookups()
	time.Sleep(window)
	after := r.lookups()
	close(done)
	load.Wait()
	for name, n := range after {
		if got := n - before[name]; float64(got) > allowed || got == 0 {
			t.Errorf("%s: %d requests in %v, %g are allowed", name, got, window, allowed)
		}
	}
	r.setServices(service.Faults{})
	for _, d := range r.Daemons {
		r.eventually("a daemon serves all again", func() error { return r.servesMany(d) })
	}
}

// lookups returns how many look-ups each service has answered.
func (r *rig) lookups() map[string]int {
	r.t.Helper()
	out := map[string]int{}
	for _, u := range r.Pool(testbed.PoolService) {
		var s service.Stats
		r.must(u.Get(r.ctx, "/stats", &s))
		out[u.Name] = s.Lookups
	}
	return out
}

// servesMany fails unless a daemon answers more calls in a row than limits bear.
func (r *rig) servesMany(d *testbed.Daemon) error {
	const many = 40
	for range many {
		if g := r.call(d, http.MethodGet, pathService+"/slots/1", "", ""); g.status != http.StatusOK {
			return errors.New(g.String())
		}
	}
	return nil
}
