package failure

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/settings"
)

// beginDrain sends SIGTERM to the first daemon and waits until its readiness check
// fails. The channel receives the result of Terminate.
func (r *harness) beginDrain() <-chan error {
	r.t.Helper()
	exited := make(chan error, 1)
	d := r.Daemons[0]
	go func() { exited <- d.Terminate(r.ctx) }()
	r.eventually("the daemon reports that it is not ready", func() error {
		if r.checkReady(d) == nil {
			return errors.New("the daemon is still ready")
		}
		return nil
	})
	return exited
}

// longDrainDelay keeps the listener of a draining daemon open for a second, so that
// requests can still arrive.
func longDrainDelay(l *testbed.Layout) {
	l.Settings = func(_ int, s *settings.Settings) { s.Drain.Delay = time.Second }
}

// drainTokens is the number of tokens of answers that take longer than longDrainDelay.
const drainTokens = 80

// Guards against a drain that closes connections before their requests have ended, or
// that prevents requests in flight from retrying or from claiming their key, so that a
// rolling restart of the daemons fails requests. A daemon is terminated while streams
// and an order are in progress, and meanwhile an engine, a connection, the log, the
// platform, a peer or the daemon itself fails or is frozen.
func TestDrain(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*harness){
		"drain/leaving":         func(r *harness) { r.publish(markLeaving(leavingDecode, leavingPrefill)) },
		"drain/upstream-killed": func(r *harness) { r.busiestDecode().Kill() },
		"drain/upstream-frozen": func(r *harness) { r.must(r.busiestDecode().Freeze(r.ctx)) },
		"drain/connection-cut": func(r *harness) {
			r.setEngineFaults(engine.Faults{CutAfter: 1}, 2, testbed.PoolDecode)
		},
		"drain/connection-stalled": func(r *harness) {
			r.setEngineFaults(engine.Faults{StallAfter: 1}, 1, testbed.PoolDecode)
		},
		"drain/truncated-answer": func(r *harness) {
			r.setEngineFaults(engine.Faults{Garble: engine.CorruptTruncated, GarbleAfter: 1}, 2, testbed.PoolDecode)
		},
		"drain/crossed-answer": func(r *harness) {
			r.setEngineFaults(engine.Faults{Garble: engine.CorruptOtherRequest, GarbleAfter: 1}, 1, testbed.PoolDecode)
		},
		"drain/duplicated-answer": func(r *harness) {
			r.setEngineFaults(engine.Faults{Garble: engine.CorruptRepeated, GarbleAfter: 1}, 2, testbed.PoolDecode)
		},
		"drain/log-slow":        func(r *harness) { r.setLogFaults(logsvc.Faults{DelayMS: 500}, 0) },
		"drain/log-down":        func(r *harness) { r.setLogFaults(logDown, 0) },
		"drain/platform-cut":    func(r *harness) { r.SetPlatformMode("dc1", testbed.Cut) },
		"drain/data-centre-cut": func(r *harness) { r.SetPeerMode("dc1", "dc2", testbed.Cut) },
		"drain/daemon-frozen": func(r *harness) {
			r.must(r.Daemons[0].Freeze(r.ctx))
			r.must(r.Daemons[0].Thaw())
		},
		"drain/daemon-killed": func(r *harness) { r.Daemons[2].Kill() }, // the only peer in the same data centre
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, longDrainDelay, func(l *testbed.Layout) { l.ServiceFlags = []string{"--work=1200ms"} })
			r.publishAndWait(fullRetryBudget)
			streams := []*stream{
				r.startStream(r.Daemons[0], completionOfLength(drainTokens, drainTokens)),
				r.startStream(r.Daemons[0], completionOfLength(drainTokens, drainTokens+1)),
			}
			for _, s := range streams {
				s.awaitTokens(2)
			}
			order := make(chan reply, 1)
			go func() { order <- r.submitOrder(r.Daemons[0], "k") }()
			r.awaitActiveCalls(1)
			exited := r.beginDrain()
			fault(r)
			for _, s := range streams {
				s.checkComplete()
			}
			r.confirmation(<-order)
			r.must(<-exited)
			if n := r.checkAtMostOnce("k"); n != 1 {
				t.Errorf("the order was executed %d times", n)
			}
			r.thawDecode()
			r.awaitFreed(anyWork)
		})
	}
}

// busiestDecode returns the decode engine that holds memory for the most attempts.
func (r *harness) busiestDecode() *testbed.Upstream {
	r.t.Helper()
	var best *testbed.Upstream
	most := -1
	for _, u := range r.PoolUpstreams(testbed.PoolDecode) {
		list, err := r.heldOnEngine(u)
		r.must(err)
		if len(list) > most {
			best, most = u, len(list)
		}
	}
	return best
}

// Guards against requests that hang or fail because they arrive during a drain. While
// the listener stays open until load balancers detect that the daemon is not ready, a
// completion and a look-up arrive; both must succeed.
func TestDrainNewWork(t *testing.T) {
	t.Parallel()
	r := startFleet(t, longDrainDelay)
	t.Run("drain/late-answer", func(t *testing.T) {
		r := r.forSubtest(t)
		exited := r.beginDrain()
		g := r.call(r.Daemons[0], http.MethodGet, pathService+"/case/1", "", "")
		late := r.startStream(r.Daemons[0], completion{prompt(0), shortAnswer})
		late.checkComplete()
		if g.status != http.StatusOK {
			t.Errorf("a look-up during the drain's delay: %s", g)
		}
		r.must(<-exited)
		if g := r.call(r.Daemons[0], http.MethodGet, pathService+"/case/1", "", ""); g.err == nil {
			t.Errorf("the daemon answers after its end: %s", g)
		}
		r.probeDaemons(r.Daemons[1], r.Daemons[2])
	})
}

// Guards against a drain without a time limit, and against one whose limit closes
// connections without an error event. A drain reaches its limit while a long completion
// is in progress, and a caller has left or the engine is frozen.
func TestDrainLimit(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"drain/caller-gone", "drain/upstream-frozen+late-answer"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, func(l *testbed.Layout) {
				l.Settings = func(_ int, s *settings.Settings) { s.Drain.Delay, s.Drain.Timeout = 0, time.Second }
			})
			s := r.startStream(r.Daemons[0], completion{prompt(0), longAnswer})
			s.awaitTokens(2)
			u := r.busiestDecode()
			if fault == "drain/caller-gone" {
				gone := r.startStream(r.Daemons[0], completion{prompt(1), longAnswer})
				gone.awaitTokens(2)
				defer gone.disconnect()
			} else {
				r.must(u.Freeze(r.ctx))
			}
			r.must(r.Daemons[0].Terminate(r.ctx))
			g := s.checkCompleteOrFailed()
			if g.problem == nil || g.problem.Kind != errkind.Draining {
				t.Errorf("want an error of kind draining: %s", g)
			}
			r.must(u.Thaw())
			r.awaitFreed(anyWork)
		})
	}
}
