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

// Guards against daemons that each use the full rate limit that a replica of a plain
// service reports, so that the replica receives a multiple of it. Look-ups are sent
// through all daemons at a higher rate than the limit, and the replicas count them.
func TestServiceLimitHoldsOverAllDaemons(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	const (
		limit       = 4.0
		maxRequests = 1.5*limit*4 + 5 // in the 4 s of window, with a tolerance of half the limit and 5 requests
		settleTime  = 2 * time.Second
		window      = 4 * time.Second
		pause       = 20 * time.Millisecond
	)
	r.setServiceFaults(service.Faults{Limit: limit})
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
	time.Sleep(settleTime)
	before := r.lookupCounts()
	time.Sleep(window)
	after := r.lookupCounts()
	close(done)
	load.Wait()
	for name, n := range after {
		if got := n - before[name]; float64(got) > maxRequests || got == 0 {
			t.Errorf("%s: %d requests in %v, %g are allowed", name, got, window, maxRequests)
		}
	}
	r.setServiceFaults(service.Faults{})
	for _, d := range r.Daemons {
		r.eventually("a daemon accepts all requests again", func() error { return r.checkUnlimited(d) })
	}
}

// lookupCounts returns the number of look-ups that each service has answered.
func (r *harness) lookupCounts() map[string]int {
	r.t.Helper()
	out := map[string]int{}
	for _, u := range r.PoolUpstreams(testbed.PoolService) {
		var s service.Stats
		r.must(u.Get(r.ctx, "/stats", &s))
		out[u.Name] = s.Lookups
	}
	return out
}

// checkUnlimited returns an error unless a daemon answers more consecutive look-ups than
// the limit would allow.
func (r *harness) checkUnlimited(d *testbed.Daemon) error {
	const many = 40
	for range many {
		if g := r.call(d, http.MethodGet, pathService+"/slots/1", "", ""); g.status != http.StatusOK {
			return errors.New(g.String())
		}
	}
	return nil
}
