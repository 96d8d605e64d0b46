package failure

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/fault"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// fullRetryBudget permits as many retries as requests, so that a single fault does not
// fail a request for lack of retry budget.
func fullRetryBudget(b *bundle.Bundle) { b.Policy.RetryBudget = 1 }

// chunksBeforeLast returns the number of chunks that precede an answer's last token:
// one for the import and one for each token except the last. The text of a token has
// the length of " 123456".
func chunksBeforeLast(request completion) int { return len(request.text()) / len(" 123456") }

// engineFault is a fault that the stand-in engines of one pool inject.
type engineFault struct {
	name   string // subtest name, STEP/FAULT
	pool   string
	faults func(completion) engine.Faults
}

// sameFaults returns a function that returns f for every completion.
func sameFaults(f engine.Faults) func(completion) engine.Faults {
	return func(completion) engine.Faults { return f }
}

var cutFaults = []engineFault{
	{"reserve/connection-cut", testbed.PoolDecode, sameFaults(engine.Faults{CutReply: []string{engineapi.PathReserve}})},
	{"prefill/connection-cut", testbed.PoolPrefill, sameFaults(engine.Faults{CutReply: []string{engineapi.PathPrefill}})},
	{"transfer/connection-cut", testbed.PoolPrefill, sameFaults(engine.Faults{CutExport: true})},
	{"decode-first-token/connection-cut", testbed.PoolDecode, sameFaults(engine.Faults{CutAfter: 1})},
	{"import/connection-cut", testbed.PoolDecode, corruptAfter(engine.CorruptBytes, 0)},
	{"mid-stream/connection-cut", testbed.PoolDecode, sameFaults(engine.Faults{CutAfter: 9})},
	{"last-chunk/connection-cut", testbed.PoolDecode, func(d completion) engine.Faults { return engine.Faults{CutAfter: 1 + chunksBeforeLast(d)} }},
}

var stallFaults = []engineFault{
	{"reserve/connection-stalled", testbed.PoolDecode, sameFaults(engine.Faults{StallReply: []string{engineapi.PathReserve}})},
	{"prefill/connection-stalled", testbed.PoolPrefill, sameFaults(engine.Faults{StallReply: []string{engineapi.PathPrefill}})},
	{"export/connection-stalled", testbed.PoolPrefill, sameFaults(engine.Faults{Stall: []string{engineapi.PathExport}})},
	{"transfer/connection-stalled", testbed.PoolPrefill, sameFaults(engine.Faults{StallExport: true})},
	{"import/connection-stalled", testbed.PoolDecode, sameFaults(engine.Faults{Stall: []string{engineapi.PathDecode}})},
	{"decode-first-token/connection-stalled", testbed.PoolDecode, sameFaults(engine.Faults{StallAfter: 1})},
	{"mid-stream/connection-stalled", testbed.PoolDecode, sameFaults(engine.Faults{StallAfter: 9})},
	{"last-chunk/connection-stalled", testbed.PoolDecode, func(d completion) engine.Faults { return engine.Faults{StallAfter: 1 + chunksBeforeLast(d)} }},
}

// corruptAfter returns faults that corrupt a stream once after chunks have been sent.
func corruptAfter(how engine.Corruption, after int) func(completion) engine.Faults {
	return sameFaults(engine.Faults{Garble: how, GarbleAfter: after})
}

// corruptLastChunk returns faults that corrupt a stream from its last token on.
func corruptLastChunk(how engine.Corruption) func(completion) engine.Faults {
	return func(d completion) engine.Faults {
		return engine.Faults{Garble: how, GarbleAfter: chunksBeforeLast(d)}
	}
}

var damageFaults = []engineFault{
	{"import/crossed-answer", testbed.PoolDecode, corruptAfter(engine.CorruptOtherRequest, 0)},
	{"import/late-answer", testbed.PoolDecode, corruptAfter(engine.CorruptOlderAttempt, 0)},
	{"import/truncated-answer", testbed.PoolDecode, corruptAfter(engine.CorruptSkipped, 0)},
	{"import/duplicated-answer", testbed.PoolDecode, corruptAfter(engine.CorruptRepeated, 0)},
	{"decode-first-token/crossed-answer", testbed.PoolDecode, corruptAfter(engine.CorruptOtherRequest, 1)},
	{"decode-first-token/late-answer", testbed.PoolDecode, corruptAfter(engine.CorruptReordered, 1)},
	{"decode-first-token/duplicated-answer", testbed.PoolDecode, corruptAfter(engine.CorruptRepeated, 1)},
	{"decode-first-token/truncated-answer", testbed.PoolDecode, corruptAfter(engine.CorruptSkipped, 1)},
	{"mid-stream/crossed-answer", testbed.PoolDecode, corruptAfter(engine.CorruptOtherRequest, 6)},
	{"mid-stream/late-answer", testbed.PoolDecode, corruptAfter(engine.CorruptOlderAttempt, 6)},
	{"mid-stream/duplicated-answer", testbed.PoolDecode, corruptAfter(engine.CorruptRepeated, 6)},
	{"mid-stream/truncated-answer", testbed.PoolDecode, corruptAfter(engine.CorruptSkipped, 6)},
	{"mid-stream/late-answer+duplicated-answer", testbed.PoolDecode, corruptAfter(engine.CorruptReordered, 6)},
	{"mid-stream/connection-cut+crossed-answer", testbed.PoolDecode, corruptAfter(engine.CorruptBytes, 6)},
	{"last-chunk/crossed-answer", testbed.PoolDecode, corruptLastChunk(engine.CorruptOtherRequest)},
	{"last-chunk/late-answer", testbed.PoolDecode, corruptLastChunk(engine.CorruptOlderAttempt)},
	{"last-chunk/duplicated-answer", testbed.PoolDecode, corruptLastChunk(engine.CorruptRepeated)},
	{"last-chunk/truncated-answer", testbed.PoolDecode, corruptLastChunk(engine.CorruptTruncated)},
}

// Guards against daemons that accept a stream without checking its terminal marker,
// attempt number and token count, so that a caller gets another request's tokens, a
// token twice or a truncated answer with a regular end; and against attempts that are
// replaced without being cancelled, so that an engine keeps their memory. The reply
// or stream of one call, then of all calls, is cut, stalled or damaged at the step.
func TestAnswer(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string][]engineFault{"cut": cutFaults, "stalled": stallFaults, "damaged": damageFaults} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, fastEngines)
			r.publishAndWait(fullRetryBudget)
			for n, f := range faults {
				t.Run(f.name, func(t *testing.T) {
					sub := r.forSubtest(t)
					sub.faultOnOneCall(f, completion{prompt(n), shortAnswer})
					if name != "stalled" { // a daemon takes seconds to detect each stall
						sub.faultOnEveryCall(f, completion{prompt(-1 - n), shortAnswer})
					}
				})
			}
		})
	}
}

// maxCompletions is the maximum number of completions that a test sends until the
// fault has been injected.
const maxCompletions = 20

// faultOnOneCall injects a fault into one call to the first engine of the pool and
// checks that the caller still gets the complete answer. Then it restarts the daemon,
// to clear the recorded failure of the engine.
func (r *harness) faultOnOneCall(f engineFault, request completion) {
	r.t.Helper()
	u := r.PoolUpstreams(f.pool)[0]
	r.must(testbed.SetFaults(r.ctx, u.Process, f.faults(request), 1))
	for range maxCompletions {
		r.startStream(r.Daemons[0], request).checkComplete()
		if r.faultsUsedUp(u) {
			r.awaitFreed(anyWork)
			r.restartDaemon(0)
			return
		}
	}
	r.t.Fatalf("%s never injected the fault", u.Name)
}

// faultOnEveryCall injects a fault into all calls to the engines of the pool until one
// engine has injected it repeatedFaults times, and checks that each caller gets the
// complete answer or an error.
func (r *harness) faultOnEveryCall(f engineFault, request completion) {
	r.t.Helper()
	r.setEngineFaults(f.faults(request), repeatedFaults, f.pool)
	triggered := false
	for n := 0; n < maxCompletions && !triggered; n++ {
		r.startStream(r.Daemons[1], request).checkCompleteOrFailed()
		triggered = r.faultsUsedUp(r.PoolUpstreams(f.pool)[0]) || r.faultsUsedUp(r.PoolUpstreams(f.pool)[1])
	}
	if !triggered {
		r.t.Fatal("no engine injected the fault often enough")
	}
	r.setEngineFaults(engine.Faults{}, 0, f.pool)
	r.awaitFreed(anyWork)
	r.restartDaemon(1)
}

// repeatedFaults is the number of calls into which an engine injects a fault, more
// than one request's attempts to resume its stream.
const repeatedFaults = 3

// faultsUsedUp reports whether an engine has injected its faults as often as
// configured.
func (r *harness) faultsUsedUp(u *testbed.Upstream) bool {
	r.t.Helper()
	var set fault.SetRequest[engine.Faults]
	r.must(u.Get(r.ctx, fault.PathFaults, &set))
	return cmp.Equal(set.Faults, engine.Faults{})
}

// upstreamCase describes how to keep a request at a step, and which engine works on
// it then.
type upstreamCase struct {
	step string
	pool string             // pool of the engine that works on the request
	kind engineapi.HeldKind // kind of memory that the engine holds for it
	// faults keep the request at the step; they are set on an engine of faultyPool.
	faults     engine.Faults
	faultyPool string
	tokens     int // tokens that the caller receives before the step is reached
}

var upstreamCases = []upstreamCase{
	{step: "reserve", pool: testbed.PoolDecode, kind: engineapi.HeldReservation, faultyPool: testbed.PoolDecode,
		faults: engine.Faults{StallReply: []string{engineapi.PathReserve}}},
	{step: "prefill", pool: testbed.PoolPrefill, kind: engineapi.HeldPrefill},
	{step: "export", pool: testbed.PoolPrefill, kind: engineapi.HeldExport, faultyPool: testbed.PoolPrefill,
		faults: engine.Faults{StallExport: true}},
	{step: "transfer", pool: testbed.PoolDecode, kind: engineapi.HeldDecode, faultyPool: testbed.PoolPrefill,
		faults: engine.Faults{StallExport: true}},
	{step: "import", pool: testbed.PoolDecode, kind: engineapi.HeldReservation, faultyPool: testbed.PoolDecode,
		faults: engine.Faults{Stall: []string{engineapi.PathDecode}}},
	{step: "decode-first-token", pool: testbed.PoolDecode, kind: engineapi.HeldDecode, faultyPool: testbed.PoolDecode,
		faults: engine.Faults{SlowStep: 100}},
	{step: "mid-stream", pool: testbed.PoolDecode, kind: engineapi.HeldDecode, tokens: 8},
	{step: "last-chunk", pool: testbed.PoolDecode, kind: engineapi.HeldDecode, tokens: shortAnswer/2 - 1},
}

// Guards against a retry that repeats tokens or continues from other tokens than those
// delivered, so that a caller gets a corrupted answer when an engine fails. The engine
// that works on a request is killed at the step, or frozen until the answer has ended;
// another engine of the pool is available.
func TestAnswerUpstream(t *testing.T) {
	t.Parallel()
	for _, c := range upstreamCases {
		for _, fault := range []string{"upstream-killed", "upstream-frozen"} {
			t.Run(c.step+"/"+fault, func(t *testing.T) {
				t.Parallel()
				r := startFleet(t, slowPrefill)
				r.publishAndWait(fullRetryBudget)
				s, u := r.bringToStep(c, r.Daemons[0], completion{prompt(0), shortAnswer})
				if fault == "upstream-killed" {
					u.Kill()
				} else {
					r.must(u.Freeze(r.ctx))
				}
				s.checkComplete()
				if fault == "upstream-frozen" {
					r.must(u.Thaw())
					r.must(testbed.SetFaults(r.ctx, u.Process, engine.Faults{}, 0))
				}
				r.awaitFreed(anyWork)
			})
		}
	}
}

// Guards against requests that are lost when their engines are marked as leaving, and
// against new calls to those engines. The engines are marked as leaving while a request
// is at the step; its transfer or stream must continue.
func TestAnswerLeaving(t *testing.T) {
	t.Parallel()
	r := startFleet(t, slowPrefill)
	r.publishAndWait(fullRetryBudget)
	for n, c := range upstreamCases {
		t.Run(c.step+"/leaving", func(t *testing.T) {
			r := r.forSubtest(t)
			s, _ := r.bringToStep(c, r.Daemons[0], completion{prompt(n), shortAnswer})
			r.publishAndWait(markLeaving(leavingDecode, leavingPrefill))
			if c.faultyPool != "" {
				r.setEngineFaults(engine.Faults{}, 0, c.faultyPool)
			}
			s.checkComplete()
			r.awaitFreed(anyWork)
			r.publishAndWait(func(b *bundle.Bundle) { b.Upstreams = r.Bundle().Upstreams })
			r.restartDaemon(0)
		})
	}
}

// draftSlots is the number of slots that requests of class draft may use of two
// engines with two slots each: one slot of each is reserved for urgent requests.
const draftSlots = 2

// Guards against daemons that rely on outdated load or cache data without a retry after
// a refusal, so that requests fail though an engine has room. Engines with two slots
// keep reporting the load of an idle engine, or lose all their cache events; more
// requests arrive than there are slots, some with a prompt that was sent before.
func TestAnswerStaleView(t *testing.T) {
	t.Parallel()
	for fault, faults := range map[string]engine.Faults{"load-stale": {FreezeLoad: true}, "cache-event-lost": {}} {
		t.Run("view", func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, fastEngines, func(l *testbed.Layout) {
				l.DecodeFlags = append(l.DecodeFlags, "--slots=2")
				l.PrefillFlags = append(l.PrefillFlags, "--event-drop=1", "--prefill-queue=2")
			})
			r.publishAndWait(fullRetryBudget)
			r.setEngineFaults(faults, 0, testbed.PoolPrefill, testbed.PoolDecode)
			for _, step := range []string{"reserve", "prefill"} {
				t.Run(step+"/"+fault, func(t *testing.T) { r.forSubtest(t).overload() })
			}
		})
	}
}

// overload sends three times as many completions as there are slots for them, each
// prompt three times. It checks that at least draftSlots of them complete.
func (r *harness) overload() {
	r.t.Helper()
	var streams []*stream
	for n := range 3 * draftSlots {
		streams = append(streams, r.startStream(r.Daemons[n%3], completion{prompt(n / 3), shortAnswer}))
	}
	complete := 0
	for _, s := range streams {
		if s.checkCompleteOrFailed().problem == nil {
			complete++
		}
	}
	if complete < draftSlots {
		r.t.Errorf("%d answers are complete, drafts have %d slots", complete, draftSlots)
	}
	r.awaitFreed(anyWork)
}

// Guards against stewards that cancel the requests of daemons in another data centre
// as orphans during a partition, because they treat daemons as dead when most of the
// fleet is unreachable. A request is at the step on engines of the other data centre when
// the connections between the daemons of both are cut. In the case mid-stream, the test
// also waits until the daemon of the engines' data centre has declared a peer dead.
func TestAnswerCut(t *testing.T) {
	t.Parallel()
	r := startFleet(t, slowPrefill)
	r.publishAndWait(fullRetryBudget)
	r.publishAndWait(markLeaving(leavingDecode, leavingPrefill))
	for n, c := range upstreamCases {
		t.Run(c.step+"/data-centre-cut", func(t *testing.T) {
			r := r.forSubtest(t)
			r.faultyEngine = 1
			before := r.engineStats("decode-1").Decodes
			request := completion{prompt(n), shortAnswer}
			if c.step == "mid-stream" {
				request.maxTokens = mediumAnswer // must last until the peers are declared dead
			}
			s, _ := r.bringToStep(c, r.Daemons[0], request)
			r.SetPeerMode("dc1", "dc2", testbed.Cut)
			if c.step == "mid-stream" {
				r.awaitDeadPeer(r.Daemons[1])
			}
			if c.faultyPool != "" {
				r.setEngineFaults(engine.Faults{}, 0, c.faultyPool)
			}
			s.checkCompleteOrFailed()
			if attempts := r.engineStats("decode-1").Decodes - before; c.faultyPool == "" && attempts != 1 {
				t.Errorf("the request took %d attempts", attempts)
			}
			r.SetPeerMode("dc1", "dc2", testbed.Open)
			r.awaitFreed(anyWork)
			r.restartDaemon(0)
		})
	}
}

// bringToStep sends a request and waits until it is at the step of c. It returns the
// stream and the engine that works on it.
func (r *harness) bringToStep(c upstreamCase, d *testbed.Daemon, request completion) (*stream, *testbed.Upstream) {
	r.t.Helper()
	owned := ownedBy(d)
	if c.faultyPool != "" {
		r.must(testbed.SetFaults(r.ctx, r.PoolUpstreams(c.faultyPool)[r.faultyEngine].Process, c.faults, 0))
	}
	s := r.startStream(d, request)
	h := s.awaitHeld(ofKind(owned, c.kind))
	if c.faultyPool != "" && !r.holdsWork(r.PoolUpstreams(c.faultyPool)[r.faultyEngine], h.WorkID) {
		r.t.Fatalf("the request was sent to another engine of %s", c.faultyPool)
	}
	s.awaitTokens(c.tokens)
	for _, u := range r.PoolUpstreams(c.pool) {
		if r.holdsWork(u, h.WorkID) {
			return s, u
		}
	}
	r.t.Fatalf("memory of kind %s is no longer held", c.kind)
	return nil, nil
}

// holdsWork reports whether an engine holds memory for an attempt of a request.
func (r *harness) holdsWork(u *testbed.Upstream, w engineapi.WorkID) bool {
	r.t.Helper()
	list, err := r.heldOnEngine(u)
	r.must(err)
	return slices.ContainsFunc(list, func(h engineapi.Held) bool { return h.WorkID == w })
}
