package failure

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/instances"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// The upstreams that leave in these tests. They are in the first data centre, whose
// daemons prefer them.
const (
	leavingDecode  = "decode-0"
	leavingPrefill = "prefill-0"
	leavingService = "service-0"
)

var leavingUpstreams = []string{leavingDecode, leavingPrefill, leavingService}

// probesPerKind is the number of completions and of look-ups that probeDaemon sends.
const probesPerKind = 8

// newWorkCount returns the number of requests for new work that the leaving upstreams
// have received, whether accepted or refused.
func (r *harness) newWorkCount() int {
	r.t.Helper()
	decode, prefill := r.engineStats(leavingDecode), r.engineStats(leavingPrefill)
	var calls service.Stats
	r.must(r.upstream(leavingService).Stats(r.ctx, &calls))
	return decode.Reserves + decode.Refusals + prefill.Prefills + prefill.Refusals +
		calls.Lookups + calls.Executions + calls.Refusals
}

// probeDaemons sends completions and look-ups through daemons and checks that all
// succeed.
func (r *harness) probeDaemons(ds ...*testbed.Daemon) {
	r.t.Helper()
	for _, d := range ds {
		r.probeDaemon(d)
	}
}

// probeDaemon is probeDaemons for one daemon.
func (r *harness) probeDaemon(d *testbed.Daemon) {
	r.t.Helper()
	var streams []*stream
	for n := range probesPerKind {
		streams = append(streams, r.startStream(d, completion{prompt(n), 4}))
	}
	for n := range probesPerKind {
		if g := r.call(d, http.MethodGet, fmt.Sprintf("%s/case/%d", pathService, n), "", ""); g.status != http.StatusOK {
			r.t.Errorf("a look-up through %s: %s", d.Name, g)
		}
	}
	for _, s := range streams {
		s.checkComplete()
	}
}

// checkNoNewWork sends requests through daemons and checks that the leaving upstreams
// receive none of them.
func (r *harness) checkNoNewWork(ds ...*testbed.Daemon) {
	r.t.Helper()
	before := r.newWorkCount()
	r.probeDaemons(ds...)
	if after := r.newWorkCount(); after != before {
		r.t.Errorf("leaving upstreams received %d requests for new work", after-before)
	}
}

// awaitLeavingUpstreams waits until daemons consider all leavingUpstreams to be leaving.
func (r *harness) awaitLeavingUpstreams(ds ...*testbed.Daemon) {
	r.t.Helper()
	for _, d := range ds {
		for _, name := range leavingUpstreams {
			r.awaitLeaving(d, name)
		}
	}
}

// Guards against new work for an upstream that is about to be switched off, because a
// daemon ignores one of the sources that announce it, or considers it only when it
// selects an upstream and not when it dispatches the call. An engine of each role and a
// service leave while a stream is in progress on the decode engine. They are announced
// by the bundle, the platform's instance list, their own responses or a peer only; then
// requests are sent to every daemon.
func TestLeave(t *testing.T) {
	t.Parallel()
	for name, announce := range map[string]func(*harness){
		"leave/leaving": func(r *harness) { r.publishAndWait(markLeaving(leavingUpstreams...)) },
		"leave/log-down": func(r *harness) {
			r.setLogFaults(logDown, 0)
			r.must(r.SetInstanceList(r.ctx, leavingUpstreams...))
		},
		"leave/instance-list-stale": func(r *harness) {
			r.must(testbed.SetFaults(r.ctx, r.Instances, instances.Faults{Freeze: true}, 0))
			r.must(r.SetInstanceList(r.ctx, leavingUpstreams...))
			r.publishAndWait(markLeaving(leavingUpstreams...))
		},
		"leave/platform-cut": func(r *harness) { // only dc2 reads the list; dc1 is informed by dc2
			r.SetPlatformMode("dc1", testbed.Cut)
			r.must(r.SetInstanceList(r.ctx, leavingUpstreams...))
		},
		"leave/platform-cut+log-down": func(r *harness) { // announced by the upstreams only
			r.SetPlatformMode("dc1", testbed.Cut)
			r.SetPlatformMode("dc2", testbed.Cut)
			r.reportLeaving(false)
		},
		"leave/data-centre-cut": func(r *harness) {
			r.SetPeerMode("dc1", "dc2", testbed.Cut)
			r.publishAndWait(markLeaving(leavingUpstreams...))
		},
		"leave/connection-cut": func(r *harness) {
			r.setLogFaults(logsvc.Faults{Stream: bundleStream(), CutReads: true}, 4)
			r.publish(markLeaving(leavingUpstreams...))
		},
		"leave/connection-stalled": func(r *harness) {
			r.SetPlatformMode("dc1", testbed.Stalled)
			r.must(r.SetInstanceList(r.ctx, leavingUpstreams...))
		},
		"leave/load-stale": func(r *harness) { // announced by the upstreams' refusals only
			r.reportLeaving(true)
			r.setRemainingRefuse(true)
			r.probeUntilLeaving()
			r.setRemainingRefuse(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t)
			s := r.startStream(r.Daemons[0], completion{prompt(-1), mediumAnswer})
			s.awaitTokens(2)
			announce(r)
			r.awaitLeavingUpstreams(r.Daemons...)
			r.checkNoNewWork(r.Daemons...)
			s.checkComplete()
			r.awaitFreed(anyWork)
		})
	}
}

// setRemainingRefuse sets whether the prefill engine and the service that are not leaving
// refuse all calls, which makes daemons call the leaving ones.
func (r *harness) setRemainingRefuse(refuse bool) {
	r.t.Helper()
	r.must(testbed.SetFaults(r.ctx, r.upstream("prefill-1").Process, engine.Faults{Refuse: refuse}, 0))
	r.must(testbed.SetFaults(r.ctx, r.upstream("service-1").Process, service.Faults{Refuse: refuse}, 0))
}

// probeUntilLeaving sends requests until every daemon has a leaving notice from each of
// leavingUpstreams.
func (r *harness) probeUntilLeaving() {
	r.t.Helper()
	tries := 0
	r.eventually("every daemon has all leaving notices", func() error {
		tries++
		for _, d := range r.Daemons {
			r.startStream(d, completion{prompt(tries), 4}).checkCompleteOrFailed()
			r.call(d, http.MethodGet, pathService+"/case/1", "", "")
			for _, name := range leavingUpstreams {
				if u, err := r.adminUpstream(d, name); err != nil || u.Leaving == "" {
					return errors.Errorf("%s has no leaving notice of %s: %v", d.Name, name, err)
				}
			}
		}
		return nil
	})
}

// reportLeaving makes the leaving upstreams announce that they leave. If silent is set,
// engines do so only in refusals, not in their load reports.
func (r *harness) reportLeaving(silent bool) {
	r.t.Helper()
	for _, name := range []string{leavingDecode, leavingPrefill} {
		r.must(testbed.SetFaults(r.ctx, r.upstream(name).Process, engine.Faults{Leaving: true, FreezeLoad: silent}, 0))
	}
	r.must(testbed.SetFaults(r.ctx, r.upstream(leavingService).Process, service.Faults{Leaving: true}, 0))
}

// Guards against a daemon that resumes after a freeze and sends new work to leaving
// upstreams, because its data is from before the freeze. While a daemon is frozen,
// upstreams are announced as leaving by the bundle or the instance list, and requests
// queue up in the daemon's socket; then it resumes.
func TestLeaveFrozen(t *testing.T) {
	t.Parallel()
	for name, announce := range map[string]func(*harness){
		"leave/daemon-frozen": func(r *harness) {
			r.awaitVersion(r.publish(markLeaving(leavingUpstreams...)), r.Daemons[1], r.Daemons[2])
		},
		"leave/daemon-frozen+platform-cut": func(r *harness) {
			r.awaitVersion(r.publish(markLeaving(leavingUpstreams...)), r.Daemons[1], r.Daemons[2])
			r.SetPlatformMode("dc1", testbed.Cut)
		},
		"leave/daemon-frozen+log-down": func(r *harness) {
			r.must(r.SetInstanceList(r.ctx, leavingUpstreams...))
			r.awaitLeavingUpstreams(r.Daemons[1], r.Daemons[2])
			r.setLogFaults(logDown, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t)
			frozen := r.Daemons[0]
			r.must(frozen.Freeze(r.ctx))
			announce(r)
			r.awaitDeclaredDead(frozen)
			before := r.newWorkCount()
			streams := make([]*stream, probesPerKind)
			for n := range streams {
				streams[n] = r.startStream(frozen, completion{prompt(n), 4})
			}
			r.must(frozen.Thaw())
			for _, s := range streams {
				s.checkCompleteOrFailed()
			}
			if after := r.newWorkCount(); after != before {
				t.Errorf("leaving upstreams received %d requests for new work", after-before)
			}
			r.eventually("the daemon is ready", func() error { return r.checkReady(frozen) })
			r.checkNoNewWork(frozen)
		})
	}
}

// awaitDeclaredDead waits until all other daemons have declared d dead. It assumes that no
// other daemon has failed.
func (r *harness) awaitDeclaredDead(d *testbed.Daemon) {
	r.t.Helper()
	for _, other := range r.Daemons {
		if other != d {
			r.awaitDeadPeer(other)
		}
	}
}

// awaitDeadPeer waits until a daemon considers at least one peer to be dead.
func (r *harness) awaitDeadPeer(d *testbed.Daemon) {
	r.t.Helper()
	r.eventually(d.Name+" declares a peer dead", func() error {
		if n := int(r.gauge(d, metricPeers)); n >= len(r.Daemons) {
			return errors.Errorf("%d live", n)
		}
		return nil
	})
}

// Guards against leaving notices that expire with the daemon that sent them, and against
// calls to leaving upstreams that no longer respond. Only the daemon of dc2 reads the
// instance list, and it notifies the others. Then it is killed, or the leaving upstreams
// are killed or frozen, before requests are sent.
func TestLeaveThen(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*harness){
		"leave/daemon-killed": func(r *harness) { r.Daemons[1].Kill(); r.awaitDeadPeer(r.Daemons[0]) },
		"leave/upstream-killed": func(r *harness) {
			for _, name := range leavingUpstreams {
				r.upstream(name).Kill()
			}
		},
		"leave/upstream-frozen": func(r *harness) {
			for _, name := range leavingUpstreams {
				r.must(r.upstream(name).Freeze(r.ctx))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t)
			r.SetPlatformMode("dc1", testbed.Cut)
			r.must(r.SetInstanceList(r.ctx, leavingUpstreams...))
			r.awaitLeavingUpstreams(r.Daemons...)
			fault(r)
			if name == "leave/daemon-killed" {
				r.checkNoNewWork(r.Daemons[0], r.Daemons[2])
				return
			}
			r.probeDaemons(r.Daemons...) // must succeed without calls to upstreams that are gone
		})
	}
}

// Guards against retries that are sent to a leaving upstream, and against treating the
// resumption of a stream on its leaving engine as new work, which would lose the stream.
// In the middle of a stream its engine is killed, or the connection to it is cut, when
// the other engine, or both engines, are leaving.
func TestLeaveMidStream(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	r.publishAndWait(fullRetryBudget)
	t.Run("mid-stream/connection-cut+leaving", func(t *testing.T) {
		r := r.forSubtest(t)
		s := r.startStream(r.Daemons[0], completion{prompt(0), mediumAnswer})
		s.awaitTokens(2)
		r.publishAndWait(markLeaving(leavingDecode, "decode-1"))
		r.setEngineFaults(engine.Faults{CutAfter: 1}, 1, testbed.PoolDecode)
		s.checkComplete()
	})
	r.setEngineFaults(engine.Faults{}, 0, testbed.PoolDecode)
	r.awaitFreed(anyWork)
	r.publishAndWait(func(b *bundle.Bundle) { b.Upstreams = r.Bundle().Upstreams })
	t.Run("mid-stream/upstream-killed+leaving", func(t *testing.T) {
		r := r.forSubtest(t)
		s := r.startStream(r.Daemons[0], completion{prompt(1), mediumAnswer})
		s.awaitTokens(2)
		var from, to *testbed.Upstream
		for _, u := range r.PoolUpstreams(testbed.PoolDecode) {
			if list, err := r.heldOnEngine(u); err == nil && len(list) > 0 {
				from = u
			} else {
				to = u
			}
		}
		r.publishAndWait(markLeaving(to.Name))
		before := r.engineStats(to.Name)
		from.Kill()
		g := s.checkCompleteOrFailed()
		if after := r.engineStats(to.Name); g.problem == nil || after.Reserves+after.Refusals != before.Reserves+before.Refusals {
			t.Errorf("the retry was sent to a leaving upstream: %s", g)
		}
	})
}
