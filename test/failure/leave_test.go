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

// The upstreams that leave in these tests. They stand in the first data centre,
// whose daemons would choose them first.
const (
	leavingDecode  = "decode-0"
	leavingPrefill = "prefill-0"
	leavingService = "service-0"
)

var leavers = []string{leavingDecode, leavingPrefill, leavingService}

// probes is how many requests of each kind test that an upstream gets none.
const probes = 8

// newWork returns how much new work the leaving upstreams have been asked for.
func (r *rig) newWork() int {
	r.t.Helper()
	decode, prefill := r.engineStats(leavingDecode), r.engineStats(leavingPrefill)
	var calls service.Stats
	r.must(r.upstream(leavingService).Stats(r.ctx, &calls))
	return decode.Reserves + decode.Refusals + prefill.Prefills + prefill.Refusals +
		calls.Lookups + calls.Executions + calls.Refusals
}

// probe sends requests of each kind to daemons; each has to be answered whole.
func (r *rig) probe(ds ...*testbed.Daemon) {
	r.t.Helper()
	for _, d := range ds {
		r.probeOne(d)
	}
}

func (r *rig) probeOne(d *testbed.Daemon) {
	r.t.Helper()
	var streams []*stream
	for n := range probes {
		streams = append(streams, r.stream(d, draft{prompt(n), 4}))
	}
	for n := range probes {
		if g := r.call(d, http.MethodGet, fmt.Sprintf("%s/case/%d", pathService, n), "", ""); g.status != http.StatusOK {
			r.t.Errorf("a look-up through %s: %s", d.Name, g)
		}
	}
	for _, s := range streams {
		s.whole()
	}
}

// deserted checks that the leaving upstreams get nothing of what daemons are sent.
func (r *rig) deserted(ds ...*testbed.Daemon) {
	r.t.Helper()
	before := r.newWork()
	r.probe(ds...)
	if after := r.newWork(); after != before {
		r.t.Errorf("%d pieces of new work reached upstreams known to leave", after-before)
	}
}

// allKnow waits until daemons know of every leaving upstream.
func (r *rig) allKnow(ds ...*testbed.Daemon) {
	r.t.Helper()
	for _, d := range ds {
		for _, name := range leavers {
			r.knowsLeaving(d, name)
		}
	}
}

// Symptom: an upstream whose provider is being left gets requests until it is
// switched off under them.
// Sequence: an engine of each role and a service leave, by the bundle, by the
// platform's list, by their own answers or by a peer's word alone; a stream is
// under way on the decode engine; requests come to every daemon that knows.
// Cause: a source of the word that is not heeded, or heeded for new plans and
// not at dispatch.
func TestLeave(t *testing.T) {
	t.Parallel()
	for name, announce := range map[string]func(*rig){
		"leave/leaving": func(r *rig) { r.roll(leave(leavers...)) },
		"leave/log-down": func(r *rig) {
			r.setLog(logDown, 0)
			r.must(r.ListInstances(r.ctx, leavers...))
		},
		"leave/instance-list-stale": func(r *rig) {
			r.must(testbed.SetFaults(r.ctx, r.Instances, instances.Faults{Freeze: true}, 0))
			r.must(r.ListInstances(r.ctx, leavers...))
			r.roll(leave(leavers...))
		},
		"leave/platform-cut": func(r *rig) { // dc2 alone reads the list; dc1 has its word
			r.SetPlatform("dc1", testbed.Cut)
			r.must(r.ListInstances(r.ctx, leavers...))
		},
		"leave/platform-cut+log-down": func(r *rig) { // the upstreams' own word
			r.SetPlatform("dc1", testbed.Cut)
			r.SetPlatform("dc2", testbed.Cut)
			r.sayLeaving(false)
		},
		"leave/data-centre-cut": func(r *rig) {
			r.SetPeers("dc1", "dc2", testbed.Cut)
			r.roll(leave(leavers...))
		},
		"leave/connection-cut": func(r *rig) {
			r.setLog(logsvc.Faults{Stream: bundleStream(), CutReads: true}, 4)
			r.publish(leave(leavers...))
		},
		"leave/connection-stalled": func(r *rig) {
			r.SetPlatform("dc1", testbed.Stalled)
			r.must(r.ListInstances(r.ctx, leavers...))
		},
		"leave/load-stale": func(r *rig) { // their refusals are all that tells
			r.sayLeaving(true)
			r.refuseOthers(true)
			r.tryOut()
			r.refuseOthers(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			s := r.stream(r.Daemons[0], draft{prompt(-1), fairAnswer})
			s.await(2)
			announce(r)
			r.allKnow(r.Daemons...)
			r.deserted(r.Daemons...)
			s.whole()
			r.awaitFreed(anyone)
		})
	}
}

// refuseOthers makes the prefill engine and the service that stay refuse for a
// while, so that those that leave are asked.
func (r *rig) refuseOthers(refuse bool) {
	r.t.Helper()
	r.must(testbed.SetFaults(r.ctx, r.upstream("prefill-1").Process, engine.Faults{Refuse: refuse}, 0))
	r.must(testbed.SetFaults(r.ctx, r.upstream("service-1").Process, service.Faults{Refuse: refuse}, 0))
}

// tryOut sends requests until every daemon knows of every leaving upstream.
func (r *rig) tryOut() {
	r.t.Helper()
	tries := 0
	r.eventually("every daemon is told", func() error {
		tries++
		for _, d := range r.Daemons {
			r.stream(d, draft{prompt(tries), 4}).honest()
			r.call(d, http.MethodGet, pathService+"/case/1", "", "")
			for _, name := range leavers {
				if u, err := r.upstreamOf(d, name); err != nil || u.Leaving == "" {
					return errors.Errorf("%s does not know of %s: %v", d.Name, name, err)
				}
			}
		}
		return nil
	})
}

// sayLeaving makes the leaving upstreams say so themselves; silent engines say so
// in refusals alone, not in the loads that are polled.
func (r *rig) sayLeaving(silent bool) {
	r.t.Helper()
	for _, name := range []string{leavingDecode, leavingPrefill} {
		r.must(testbed.SetFaults(r.ctx, r.upstream(name).Process, engine.Faults{Leaving: true, FreezeLoad: silent}, 0))
	}
	r.must(testbed.SetFaults(r.ctx, r.upstream(leavingService).Process, service.Faults{Leaving: true}, 0))
}

// Symptom: a daemon that was stopped during the change sends new work to an
// upstream that has left.
// Sequence: a daemon is stopped; upstreams leave, by the bundle or the list;
// requests wait in the stopped daemon's socket; it runs on.
// Cause: a dispatch on the view from before the stop.
func TestLeaveFrozen(t *testing.T) {
	t.Parallel()
	for name, announce := range map[string]func(*rig){
		"leave/daemon-frozen": func(r *rig) {
			r.inForce(r.publish(leave(leavers...)), r.Daemons[1], r.Daemons[2])
		},
		"leave/daemon-frozen+platform-cut": func(r *rig) {
			r.inForce(r.publish(leave(leavers...)), r.Daemons[1], r.Daemons[2])
			r.SetPlatform("dc1", testbed.Cut)
		},
		"leave/daemon-frozen+log-down": func(r *rig) {
			r.must(r.ListInstances(r.ctx, leavers...))
			r.allKnow(r.Daemons[1], r.Daemons[2])
			r.setLog(logDown, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			frozen := r.Daemons[0]
			r.must(frozen.Freeze(r.ctx))
			announce(r)
			r.buried(frozen)
			before := r.newWork()
			waiting := make([]*stream, probes)
			for n := range waiting {
				waiting[n] = r.stream(frozen, draft{prompt(n), 4})
			}
			r.must(frozen.Thaw())
			for _, s := range waiting {
				s.honest()
			}
			if after := r.newWork(); after != before {
				t.Errorf("%d pieces of new work reached upstreams that had left", after-before)
			}
			r.eventually("the daemon is ready", func() error { return r.ready(frozen) })
			r.deserted(frozen)
		})
	}
}

// buried waits until the other daemons no longer count d as alive.
func (r *rig) buried(d *testbed.Daemon) {
	r.t.Helper()
	for _, other := range r.Daemons {
		if other != d {
			r.buriedBy(other)
		}
	}
}

// buriedBy waits until a daemon counts another one as dead.
func (r *rig) buriedBy(d *testbed.Daemon) {
	r.t.Helper()
	r.eventually(d.Name+" misses a peer", func() error {
		if n := int(r.metric(d, metricPeers)); n >= len(r.Daemons) {
			return errors.Errorf("%d live", n)
		}
		return nil
	})
}

// Symptom: the word that an upstream leaves is lost with the daemon that heard it.
// Sequence: one daemon alone reads the platform's list; the others have its word;
// it is killed; or the leaving upstreams end or stop before the others are asked.
// Cause: a word that lapses with its speaker, or an upstream that is asked again
// because nothing is heard of it.
func TestLeaveThen(t *testing.T) {
	t.Parallel()
	for name, then := range map[string]func(*rig){
		"leave/daemon-killed": func(r *rig) { r.Daemons[1].Kill(); r.buriedBy(r.Daemons[0]) },
		"leave/upstream-killed": func(r *rig) {
			for _, name := range leavers {
				r.upstream(name).Kill()
			}
		},
		"leave/upstream-frozen": func(r *rig) {
			for _, name := range leavers {
				r.must(r.upstream(name).Freeze(r.ctx))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			r.SetPlatform("dc1", testbed.Cut)
			r.must(r.ListInstances(r.ctx, leavers...))
			r.allKnow(r.Daemons...)
			then(r)
			if name == "leave/daemon-killed" {
				r.deserted(r.Daemons[0], r.Daemons[2])
				return
			}
			r.probe(r.Daemons...) // whole without a retry to who is gone
		})
	}
}

// Symptom: a request that retries goes to an upstream that leaves, or the only
// way to go on with a stream is lost.
// Sequence: a stream's engine is killed or cut in the middle; the other engine,
// or the same one, has begun to leave.
// Cause: a retry that is not taken for new work, or a resume that is.
func TestLeaveMidStream(t *testing.T) {
	t.Parallel()
	r := start(t)
	r.roll(generous)
	t.Run("mid-stream/connection-cut+leaving", func(t *testing.T) {
		r := r.under(t)
		s := r.stream(r.Daemons[0], draft{prompt(0), fairAnswer})
		s.await(2)
		r.roll(leave(leavingDecode, "decode-1"))
		r.setEngines(engine.Faults{CutAfter: 1}, 1, testbed.PoolDecode)
		s.whole()
	})
	r.setEngines(engine.Faults{}, 0, testbed.PoolDecode)
	r.awaitFreed(anyone)
	r.roll(func(b *bundle.Bundle) { b.Upstreams = r.Bundle().Upstreams })
	t.Run("mid-stream/upstream-killed+leaving", func(t *testing.T) {
		r := r.under(t)
		s := r.stream(r.Daemons[0], draft{prompt(1), fairAnswer})
		s.await(2)
		var from, to *testbed.Upstream
		for _, u := range r.Pool(testbed.PoolDecode) {
			if list, err := r.heldOn(u); err == nil && len(list) > 0 {
				from = u
			} else {
				to = u
			}
		}
		r.roll(leave(to.Name))
		before := r.engineStats(to.Name)
		from.Kill()
		g := s.honest()
		if after := r.engineStats(to.Name); g.problem == nil || after.Reserves+after.Refusals != before.Reserves+before.Refusals {
			t.Errorf("the retry reached an upstream that leaves: %s", g)
		}
	})
}
