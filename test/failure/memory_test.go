package failure

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/steward"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// memoryCase describes how to keep a request of the first daemon at a step.
type memoryCase struct {
	step       string
	kind       engineapi.HeldKind // kind of memory that engines hold for it at the step
	faultyPool string             // pool of the engines on which faults are set
	faults     engine.Faults
	tokens     int // tokens that the caller receives before the step is reached
}

var memoryCases = []memoryCase{
	{"reserve", engineapi.HeldReservation, testbed.PoolDecode, engine.Faults{StallReply: []string{engineapi.PathReserve}}, 0},
	{"prefill", engineapi.HeldPrefill, "", engine.Faults{}, 0},
	{"export", engineapi.HeldExport, testbed.PoolPrefill, engine.Faults{StallExport: true}, 0},
	{"transfer", engineapi.HeldDecode, testbed.PoolPrefill, engine.Faults{StallExport: true}, 0},
	{"import", engineapi.HeldReservation, testbed.PoolDecode, engine.Faults{Stall: []string{engineapi.PathDecode}}, 0},
	{"decode-first-token", engineapi.HeldDecode, testbed.PoolDecode, engine.Faults{SlowStep: 100}, 0},
	{"mid-stream", engineapi.HeldDecode, "", engine.Faults{}, 5},
	{"last-chunk", engineapi.HeldDecode, testbed.PoolDecode, engine.Faults{SlowStep: 100}, shortAnswer/2 - 2},
}

// sweepTokens is the number of tokens of an answer that takes three seconds, longer than
// the time from a daemon's death until its memory is freed.
const sweepTokens = 100

// startConcurrentStream starts a stream through daemon n that lasts longer than the fault
// of the test.
func (r *harness) startConcurrentStream(n int) *stream {
	r.t.Helper()
	s := r.startStream(r.Daemons[n], completionOfLength(sweepTokens, sweepTokens))
	s.awaitTokens(1)
	return s
}

// holdAtStep sends a long completion through the first daemon and returns once it is at
// the step of c.
func (r *harness) holdAtStep(c memoryCase) *stream {
	r.t.Helper()
	request := completion{prompt(0), longAnswer}
	if c.step == "last-chunk" {
		request = completionOfLength(c.tokens+2, shortAnswer)
	}
	if c.faultyPool != "" && c.tokens == 0 {
		r.setEngineFaults(c.faults, 0, c.faultyPool)
	}
	s := r.startStream(r.Daemons[0], request)
	s.awaitHeld(ofKind(ownedBy(r.Daemons[0]), c.kind))
	s.awaitTokens(c.tokens)
	if c.faultyPool != "" && c.tokens > 0 {
		r.setEngineFaults(c.faults, 0, c.faultyPool)
	}
	return s
}

// completionOfLength returns a completion with the given maxTokens whose answer has
// exactly the given number of tokens.
func completionOfLength(tokens, maxTokens int) completion {
	for n := 0; ; n++ {
		request := completion{prompt(n), maxTokens}
		if answer.AnswerLength(request.prompt, request.maxTokens) == tokens {
			return request
		}
	}
}

// clearStepFaults ends the faults that holdAtStep set.
func (r *harness) clearStepFaults(c memoryCase) {
	r.t.Helper()
	if c.faultyPool != "" {
		r.setEngineFaults(engine.Faults{}, 0, c.faultyPool)
	}
}

// Guards against engine memory of abandoned requests that is never freed, so that engines
// finally refuse all new work, and against a sweep that also cancels the requests of live
// daemons. While engines hold memory for a request at the step, its caller disconnects,
// or its daemon is killed, or frozen until its peers have declared it dead; a request of
// another daemon is in progress.
func TestMemory(t *testing.T) {
	t.Parallel()
	for _, c := range memoryCases {
		for _, fault := range []string{"daemon-killed", "daemon-frozen", "caller-gone"} {
			t.Run(c.step+"/"+fault, func(t *testing.T) {
				t.Parallel()
				r := startFleet(t, slowPrefill)
				other := r.startConcurrentStream(1)
				s := r.holdAtStep(c)
				owned := ownedBy(r.Daemons[0])
				switch fault {
				case "daemon-killed":
					r.Daemons[0].Kill()
					s.checkCutOff()
				case "daemon-frozen":
					r.must(r.Daemons[0].Freeze(r.ctx))
				case "caller-gone":
					s.disconnect()
				}
				r.clearStepFaults(c)
				r.awaitFreed(owned)
				other.checkComplete()
				if fault == "daemon-frozen" {
					r.must(r.Daemons[0].Thaw())
					r.awaitPeers()
					s.disconnect()
				}
				r.awaitFreed(anyWork)
			})
		}
	}
}

// Guards against a cancel call that is considered successful before it is acknowledged,
// so that memory stays held, and against one that also cancels other attempts. The caller
// disconnects in the middle of its stream; the first replies to the cancel call are lost,
// or the first calls are delayed until after their repeats, or the engines are frozen.
// Another request is in progress on the same engines.
func TestCancel(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	for name, c := range map[string]struct {
		faults engine.Faults
		times  int
	}{
		"cancel/connection-cut":     {engine.Faults{LoseCancel: true}, 3},
		"cancel/connection-stalled": {engine.Faults{Stall: []string{engineapi.PathCancel}}, 2},
		"cancel/late-answer":        {engine.Faults{Delay: []string{engineapi.PathCancel}, DelayMS: 700}, 2},
		"cancel/upstream-frozen":    {},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.forSubtest(t)
			other := r.startConcurrentStream(0)
			s := r.startStream(r.Daemons[0], completion{prompt(0), longAnswer})
			s.awaitTokens(3)
			if c.times > 0 {
				r.setEngineFaults(c.faults, c.times, testbed.PoolDecode)
			} else {
				r.freezeDecode()
			}
			s.disconnect()
			<-s.done
			if c.times == 0 {
				r.thawDecode()
			}
			r.awaitFreed(func(h engineapi.Held) bool { return h.RequestID == s.reply.id })
			other.checkComplete()
			r.setEngineFaults(engine.Faults{}, 0, testbed.PoolDecode)
			r.awaitFreed(anyWork)
		})
	}
}

// freezeDecode freezes all decode engines.
func (r *harness) freezeDecode() {
	r.t.Helper()
	for _, u := range r.PoolUpstreams(testbed.PoolDecode) {
		r.must(u.Freeze(r.ctx))
	}
}

// thawDecode resumes all decode engines that have not been killed.
func (r *harness) thawDecode() {
	r.t.Helper()
	for _, u := range r.PoolUpstreams(testbed.PoolDecode) {
		if u.Running() {
			r.must(u.Thaw())
		}
	}
}

// isolatedTimeout is longer than steward.DefaultIsolatedGrace, for which a steward waits
// before it frees orphaned memory while most other daemons are unreachable.
const isolatedTimeout = 2 * steward.DefaultIsolatedGrace

// Guards against memory that stays held because only a daemon that has failed was going
// to cancel the request. The caller disconnects while cancel calls have no effect; then
// the daemon is killed or frozen, the engines restart, or the data centres are cut from
// each other; after that, cancel calls work again.
func TestCancelLost(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*harness){
		"cancel/daemon-killed": func(r *harness) { r.Daemons[0].Kill() },
		"cancel/daemon-frozen": func(r *harness) { r.must(r.Daemons[0].Freeze(r.ctx)) },
		"cancel/upstream-killed": func(r *harness) {
			for _, u := range r.PoolUpstreams(testbed.PoolDecode) {
				r.must(u.Post(r.ctx, "/crash", nil))
			}
		},
		"cancel/data-centre-cut": func(r *harness) { r.SetPeerMode("dc1", "dc2", testbed.Cut) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t)
			s := r.startStream(r.Daemons[0], completion{prompt(0), longAnswer})
			s.awaitTokens(3)
			r.setEngineFaults(engine.Faults{Stall: []string{engineapi.PathCancel}}, 0, testbed.PoolDecode)
			s.disconnect()
			<-s.done
			fault(r)
			r.setEngineFaults(engine.Faults{}, 0, testbed.PoolDecode)
			r.awaitFreed(anyWork)
		})
	}
}

// Guards against memory of a dead daemon's requests that is never freed because the
// steward of the engine fails too and no other daemon takes over the sweep. A daemon is
// killed in the middle of a stream. As soon as it is declared dead, the steward of the
// engine is killed or frozen; or the engines restart, freeze or lose the sweep's calls;
// or the data centres are cut from each other.
func TestSweep(t *testing.T) {
	t.Parallel()
	for name, secondFault := range map[string]func(*harness){
		"sweep/daemon-killed":   func(r *harness) { r.stewardAfterDeath().Kill() },
		"sweep/daemon-frozen":   func(r *harness) { r.must(r.stewardAfterDeath().Freeze(r.ctx)) },
		"sweep/data-centre-cut": func(r *harness) { r.SetPeerMode("dc1", "dc2", testbed.Cut); r.timeout = isolatedTimeout },
		"sweep/connection-cut": func(r *harness) {
			r.setEngineFaults(engine.Faults{LoseCancel: true}, 3, testbed.PoolDecode)
		},
		"sweep/connection-stalled": func(r *harness) {
			r.setEngineFaults(engine.Faults{Stall: []string{engineapi.PathCancel}}, 2, testbed.PoolDecode)
		},
		"sweep/upstream-killed": func(r *harness) {
			for _, u := range r.PoolUpstreams(testbed.PoolDecode) {
				r.must(u.Post(r.ctx, "/crash", nil))
			}
		},
		"sweep/upstream-frozen": func(r *harness) { r.freezeDecode(); r.awaitDeclaredDead(r.Daemons[0]); r.thawDecode() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, sixDaemons)
			owned := ownedBy(r.Daemons[0])
			s := r.holdAtStep(memoryCase{kind: engineapi.HeldDecode, tokens: 3})
			r.Daemons[0].Kill()
			secondFault(r)
			s.checkCutOff()
			r.awaitFreed(owned)
		})
	}
}

// stewardAfterDeath waits until the first daemon is declared dead and returns the steward
// of the first decode engine. From then, the steward waits for its grace period before
// the sweep.
func (r *harness) stewardAfterDeath() *testbed.Daemon {
	r.t.Helper()
	r.eventually("the first daemon is declared dead", func() error {
		if n := int(r.gauge(r.Daemons[2], metricPeers)); n >= len(r.Daemons) {
			return errors.Errorf("%d live", n)
		}
		return nil
	})
	return r.steward(r.Daemons[2])
}

// Guards against owners of memory that are distinguished by instance name alone, so that
// memory of the wrong incarnation of a daemon is freed or kept. A daemon is killed in the
// middle of a stream and restarted at once under the same name and address; its new
// incarnation serves a request.
func TestIncarnation(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	t.Run("restart/mid-stream/daemon-killed", func(t *testing.T) {
		r := r.forSubtest(t)
		old := ownedBy(r.Daemons[0])
		s := r.holdAtStep(memoryCase{kind: engineapi.HeldDecode, tokens: 3})
		r.restartDaemon(0)
		s.checkCutOff()
		next := r.startConcurrentStream(0)
		r.awaitFreed(old)
		next.checkComplete()
	})
}
