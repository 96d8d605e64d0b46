package failure

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/rest"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// Guards against calls to upstreams that have asked for a time without any: requests, and the polls,
// listings and cancels of their stewards.
func TestStewardsLeaveRestingUpstreamsAlone(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	const span = 2500 * time.Millisecond
	setRest := func(d time.Duration) {
		for _, name := range []string{leavingDecode, leavingPrefill} {
			r.must(testbed.SetFaults(r.ctx, r.upstream(name).Process, engine.Faults{RestMS: d.Milliseconds()}, 0))
		}
		r.must(testbed.SetFaults(r.ctx, r.upstream(leavingService).Process, service.Faults{RestMS: d.Milliseconds()}, 0))
	}
	setRest(span)
	answered, refused := 0, 0
	for end := time.Now().Add(2 * span); time.Now().Before(end); {
		a, n := r.loadDaemons()
		answered, refused = answered+a, refused+n
	}
	if answered < refused {
		t.Errorf("%d requests answered, %d refused, although other upstreams serve", answered, refused)
	}
	allowed := rest.Allowed * len(r.Daemons)
	for _, name := range []string{leavingDecode, leavingPrefill} {
		stats := r.engineStats(name)
		if stats.Refusals == 0 || stats.CallsInRest > allowed {
			t.Errorf("%s: %d calls in a rest after %d refusals, %d are allowed", name, stats.CallsInRest, stats.Refusals, allowed)
		}
	}
	var stats service.Stats
	r.must(r.upstream(leavingService).Stats(r.ctx, &stats))
	if stats.Refusals == 0 || stats.CallsInRest > allowed {
		t.Errorf("%s: %d calls in a rest after %d refusals, %d are allowed", leavingService, stats.CallsInRest, stats.Refusals, allowed)
	}
	setRest(0)
	before := r.newWorkCount()
	r.eventually("upstreams get requests after a rest", func() error {
		r.loadDaemons()
		if r.newWorkCount() == before {
			return errors.New("no new work yet")
		}
		return nil
	})
}

// loadDaemons sends completions and look-ups through all daemons, and returns how many were answered and
// how many refused: those that meet the beginning of a rest may find no retry permit.
func (r *harness) loadDaemons() (answered, refused int) {
	r.t.Helper()
	var streams []*stream
	var replies []reply
	for _, d := range r.Daemons {
		for n := range probesPerKind {
			streams = append(streams, r.startStream(d, completion{prompt(n), 4}))
			replies = append(replies, r.call(d, http.MethodGet, fmt.Sprintf("%s/case/%d", pathService, n), "", ""))
		}
	}
	for _, s := range streams {
		replies = append(replies, s.result())
	}
	for _, g := range replies {
		switch g.status {
		case http.StatusOK:
			answered++
		case http.StatusServiceUnavailable:
			refused++
		default:
			r.t.Errorf("%s", g)
		}
	}
	return answered, refused
}
