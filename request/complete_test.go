package request_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// faultCase is the environment of one fault at one step of a completion.
type faultCase struct {
	*fleet
	ctx    context.Context
	cancel context.CancelFunc
	c      request.Completion
	sink   *sink
	// check runs after the answer, while frozen engines are still frozen.
	check func()
}

// onTokenAt runs hook when the token with the given index is delivered.
func (c *faultCase) onTokenAt(token int, hook func()) {
	c.sink.onToken = func(i int) error {
		if i == token {
			hook()
		}
		return nil
	}
}

// requestLongAnswer makes the answer so long that only a cancel ends it and frees its memory.
func (c *faultCase) requestLongAnswer() { c.c.MaxTokens = 1 << 20 }

// slowDownDecoding slows down d0's decoding so much that only a cancel frees its memory.
func (c *faultCase) slowDownDecoding() { c.setFaults(0, engine.Faults{SlowStep: 1e6}) }

// checkChunksDropped returns a function that checks that the runner has dropped at least one
// chunk of the kind that count selects.
func (c *faultCase) checkChunksDropped(count func(request.Drops) int) func() {
	return func() {
		if d := locked(c.fleet, func() request.Drops { return c.drops }); count(d) == 0 {
			c.t.Errorf("dropped %+v: the fault did not occur or was not detected", d)
		}
	}
}

// setFaults sets stand-in faults on d0 for its next calls; 0 times means all calls.
func (c *faultCase) setFaults(times int, f engine.Faults) { c.engines["d0"].SetFaults(f, times) }

// want is the expected outcome of a request.
type want struct {
	kind errkind.Kind // empty: a complete answer
	run  errkind.RunState
}

var (
	completeAnswer    = want{}
	callerGoneNotRun  = want{errkind.ClientGone, errkind.NotRun}
	callerGoneUnknown = want{errkind.ClientGone, errkind.Unknown}
	callerGoneRan     = want{errkind.ClientGone, errkind.Ran}
	staleNotRun       = want{errkind.StaleView, errkind.NotRun}
	staleUnknown      = want{errkind.StaleView, errkind.Unknown}
	staleRan          = want{errkind.StaleView, errkind.Ran}
)

// TestComplete checks for every fault at every step that the caller gets exactly one answer
// with its own tokens, each once, that an incomplete answer does not end as a complete one,
// that the run state is "not run" only if the request did not run, and that no engine keeps
// memory for the request. Faults hit d0 and p0, the first choices; d1 and p1 are healthy.
// Frozen engines continue after the request has ended.
func TestComplete(t *testing.T) {
	for name, tc := range faultCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			c := &faultCase{fleet: f, c: newCompletion("r1"), sink: &sink{}}
			c.ctx, c.cancel = context.WithCancel(context.Background())
			defer c.cancel()
			tc.arrange(c)
			f.complete(c.ctx, c.c, c.sink)
			if tc.want == completeAnswer {
				c.sink.wantComplete()
			} else {
				c.sink.wantFailed(tc.want.kind, tc.want.run)
			}
			if c.check != nil {
				c.check()
			}
			for _, n := range f.engines {
				n.unfreeze()
			}
			f.waitUntilNothingHeld()
		})
	}
}

// faultCaseSpec injects one fault and gives the expected outcome of the request.
type faultCaseSpec struct {
	arrange func(*faultCase)
	want    want
}

// callOfStep maps each step to the call that performs it and the engine that the fault hits.
var callOfStep = map[string]struct{ engine, path string }{
	"reserve": {"d0", engineapi.PathReserve},
	"prefill": {"p0", engineapi.PathPrefill},
	"export":  {"p0", engineapi.PathExport},
	"import":  {"d0", engineapi.PathDecode},
}

// faultCases returns all combinations of step and fault: the faults that apply to every step,
// and then those specific to one step.
func faultCases() map[string]faultCaseSpec {
	out := map[string]faultCaseSpec{}
	for step, s := range callOfStep {
		onStepCall := func(hook func(c *faultCase, n *engineNode) http.HandlerFunc) func(*faultCase) {
			return func(c *faultCase) { n := c.engines[s.engine]; n.onCall(s.path, hook(c, n)) }
		}
		out[step+"/upstream-killed"] = faultCaseSpec{onStepCall(func(_ *faultCase, n *engineNode) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { n.kill(); cutConnection(w, r) }
		}), completeAnswer}
		out[step+"/upstream-frozen"] = faultCaseSpec{onStepCall(func(_ *faultCase, n *engineNode) http.HandlerFunc {
			return func(http.ResponseWriter, *http.Request) { n.freeze() }
		}), completeAnswer}
		out[step+"/connection-cut"] = faultCaseSpec{onStepCall(func(*faultCase, *engineNode) http.HandlerFunc { return cutConnection }), completeAnswer}
		out[step+"/connection-stalled"] = faultCaseSpec{onStepCall(func(*faultCase, *engineNode) http.HandlerFunc { return holdUntilCancelled }), completeAnswer}
		wantCallerGone := callerGoneUnknown
		if step == "reserve" {
			wantCallerGone = callerGoneNotRun
		}
		out[step+"/caller-gone"] = faultCaseSpec{onStepCall(func(c *faultCase, _ *engineNode) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				c.cancel()
				holdUntilCancelled(w, r) // without it, the call's answer could be handled before the caller's departure
			}
		}), wantCallerGone}
	}
	for _, more := range []map[string]faultCaseSpec{acceptFaults(), dispatchFaults(), streamFaults(), endFaults(), cancelFaults(), transferFaults()} {
		for name, r := range more {
			out[name] = r
		}
	}
	return out
}

// checkNoNewWork returns a function that checks that no call has started work on the engine.
func (c *faultCase) checkNoNewWork(name string) func() {
	return func() {
		if s := c.engines[name].Stats(); s.Reserves+s.Prefills+s.Decodes > 0 {
			c.t.Errorf("%s got new work: %+v", name, s)
		}
	}
}

// acceptFaults are faults between the acceptance of the request and its first call.
func acceptFaults() map[string]faultCaseSpec {
	return map[string]faultCaseSpec{
		"accept/caller-gone": {func(c *faultCase) { c.cancel(); c.check = c.checkNoNewWork("d0") }, callerGoneNotRun},
		"accept/daemon-frozen": {func(c *faultCase) {
			c.stale = true
			c.check = c.checkNoNewWork("d0")
		}, staleNotRun},
		"accept/leaving": {func(c *faultCase) { c.leave("d0"); c.check = c.checkNoNewWork("d0") }, completeAnswer},
	}
}

// dispatchFaults are faults that must be detected right before each call that starts work.
func dispatchFaults() map[string]faultCaseSpec {
	leaveAt := func(step, leaving string) func(*faultCase) {
		s := callOfStep[step]
		return func(c *faultCase) {
			c.engines[s.engine].onCall(s.path, func(http.ResponseWriter, *http.Request) { c.leave(leaving) })
		}
	}
	staleAt := func(step string) func(*faultCase) {
		s := callOfStep[step]
		return func(c *faultCase) {
			c.engines[s.engine].onCall(s.path, func(http.ResponseWriter, *http.Request) { c.set(func() { c.stale = true }) })
		}
	}
	return map[string]faultCaseSpec{
		"reserve/leaving": {func(c *faultCase) {
			c.onPlan = func(int) { c.leave("d0") }
			c.check = c.checkNoNewWork("d0")
		}, completeAnswer},
		"prefill/leaving": {func(c *faultCase) {
			leaveAt("reserve", "p0")(c)
			c.check = c.checkNoNewWork("p0")
		}, completeAnswer},
		"import/leaving": {func(c *faultCase) {
			leaveAt("prefill", "d0")(c)
			c.check = func() {
				if n := c.engines["d0"].Stats().Decodes; n > 0 {
					c.t.Errorf("leaving engine got %d decodes", n)
				}
			}
		}, completeAnswer},
		"reserve/daemon-frozen": {staleAt("reserve"), staleNotRun},
		"prefill/daemon-frozen": {staleAt("prefill"), staleUnknown},
		"import/daemon-frozen":  {staleAt("import"), completeAnswer}, // no call is dispatched after this one
		"export/daemon-frozen":  {staleAt("export"), completeAnswer},
		"export/leaving": {func(c *faultCase) { // the transfer in flight finishes
			leaveAt("export", "p0")(c)
			c.check = c.checkNoNewWork("p1")
		}, completeAnswer},
		"own-word/reserve/leaving": {func(c *faultCase) {
			c.setFaults(0, engine.Faults{Leaving: true})
			c.check = func() {
				if !locked(c.fleet, func() bool { return len(c.announcedLeaving) > 0 && c.announcedLeaving[0] == "d0" }) {
					c.t.Error("the observer got no leaving notice")
				}
			}
		}, completeAnswer},
	}
}

// streamFaults are faults while the answer streams.
func streamFaults() map[string]faultCaseSpec {
	chunksBeforeFirstToken, chunksBeforeEnd := 1, 1+tokens // chunks before the fault: the import notice, then tokens
	out := map[string]faultCaseSpec{}
	for step, after := range map[string]int{"decode-first-token": chunksBeforeFirstToken, "mid-stream": midStreamChunks, "last-chunk": chunksBeforeEnd} {
		token := max(after-2, 0)
		fault := func(f engine.Faults) func(*faultCase) { return func(c *faultCase) { c.setFaults(1, f) } }
		out[step+"/connection-cut"] = faultCaseSpec{fault(engine.Faults{CutAfter: after}), completeAnswer}
		out[step+"/connection-stalled"] = faultCaseSpec{fault(engine.Faults{StallAfter: after}), completeAnswer}
		out[step+"/connection-cut+leaving"] = faultCaseSpec{func(c *faultCase) { // a resume starts no new work
			c.onTokenAt(token, func() { c.leave("d0") })
			c.setFaults(1, engine.Faults{CutAfter: max(after, 3)})
			c.check = c.checkNoNewWork("d1")
		}, completeAnswer}
		misrouted := func(g engine.Corruption) func(*faultCase) {
			return func(c *faultCase) {
				c.setFaults(1, engine.Faults{Garble: g, GarbleAfter: after})
				c.check = c.checkChunksDropped(func(d request.Drops) int { return d.Misrouted })
			}
		}
		out[step+"/crossed-answer"] = faultCaseSpec{misrouted(engine.CorruptOtherRequest), completeAnswer}
		out[step+"/late-answer"] = faultCaseSpec{misrouted(engine.CorruptOlderAttempt), completeAnswer}
		out[step+"/duplicated-answer"] = faultCaseSpec{fault(engine.Faults{Garble: engine.CorruptRepeated, GarbleAfter: after}), completeAnswer}
		out[step+"/truncated-answer"] = faultCaseSpec{fault(engine.Faults{Garble: engine.CorruptTruncated, GarbleAfter: after}), completeAnswer}
		out[step+"/upstream-killed"] = faultCaseSpec{func(c *faultCase) { c.onTokenAt(token, c.engines["d0"].kill) }, completeAnswer}
		out[step+"/upstream-frozen"] = faultCaseSpec{func(c *faultCase) { c.onTokenAt(token, func() { c.engines["d0"].freeze(); c.slowDownDecoding() }) }, completeAnswer}
		out[step+"/caller-gone"] = faultCaseSpec{func(c *faultCase) { c.requestLongAnswer(); c.onTokenAt(token, c.cancel) }, callerGoneRan}
		out[step+"/leaving"] = faultCaseSpec{func(c *faultCase) {
			c.onTokenAt(token, func() { c.leave("d0") })
			c.check = c.checkNoNewWork("d1")
		}, completeAnswer}
		out[step+"/daemon-frozen"] = faultCaseSpec{func(c *faultCase) { // the stream is cut while the daemon is stopped
			c.onTokenAt(token, func() { c.set(func() { c.stale = true }) })
			c.setFaults(1, engine.Faults{CutAfter: max(after, 3)})
		}, staleRan}
	}
	for step, after := range map[string]int{"mid-stream": midStreamChunks, "last-chunk": chunksBeforeEnd - 1} {
		out["skipped/"+step+"/truncated-answer"] = faultCaseSpec{func(c *faultCase) {
			c.setFaults(1, engine.Faults{Garble: engine.CorruptSkipped, GarbleAfter: after})
		}, completeAnswer}
		out["garbled/"+step+"/truncated-answer"] = faultCaseSpec{func(c *faultCase) {
			c.setFaults(1, engine.Faults{Garble: engine.CorruptBytes, GarbleAfter: after})
		}, completeAnswer}
	}
	return out
}

// endFaults are faults that occur while the answer ends or that end the request with an error.
func endFaults() map[string]faultCaseSpec {
	return map[string]faultCaseSpec{
		"answer/caller-gone": {func(c *faultCase) { // the write to the caller fails
			c.sink.onToken = func(i int) error {
				if i == tokens-1 {
					return errors.New("broken pipe")
				}
				return nil
			}
		}, callerGoneRan},
		"answer/daemon-frozen": {func(c *faultCase) { // stopped for longer than the deadline
			c.onTokenAt(5, func() { c.set(func() { c.skew = 2 * maxWait }) })
		}, want{errkind.DeadlineExceeded, errkind.Ran}},
		"answer/upstream-frozen": {func(c *faultCase) { // no response before the deadline
			c.c.Deadline = c.c.Accepted.Add(300 * time.Millisecond)
			c.engines["d0"].freeze()
		}, want{errkind.DeadlineExceeded, errkind.NotRun}},
		"answer/upstream-killed": {func(c *faultCase) { // no upstream is left
			for _, n := range c.engines {
				n.onCall(engineapi.PathPrefill, cutConnection)
			}
		}, want{errkind.NoUpstream, errkind.Unknown}},
	}
}

// cancelFaults are faults that lose the cancel itself. The engine continues until a cancel
// takes effect, so a cancel that is lost for good shows as memory that is never freed.
func cancelFaults() map[string]faultCaseSpec {
	failFirstCancels := func(times int, hook http.HandlerFunc) func(*faultCase) {
		return func(c *faultCase) {
			c.requestLongAnswer()
			c.onTokenAt(5, c.cancel)
			var n atomic.Int32
			c.engines["d0"].onCall(engineapi.PathCancel, func(w http.ResponseWriter, r *http.Request) {
				if int(n.Add(1)) <= times {
					hook(w, r)
				}
			})
		}
	}
	return map[string]faultCaseSpec{
		"cancel/connection-cut":     {failFirstCancels(3, cutConnection), callerGoneRan},
		"cancel/connection-stalled": {failFirstCancels(2, holdUntilCancelled), callerGoneRan},
		"cancel/truncated-answer": {func(c *faultCase) { // the cancel takes effect, but its answer is lost
			c.requestLongAnswer()
			c.onTokenAt(5, c.cancel)
			c.setFaults(2, engine.Faults{LoseCancel: true})
		}, callerGoneRan},
		"cancel/upstream-frozen": {func(c *faultCase) {
			c.requestLongAnswer()
			c.onTokenAt(5, func() { c.engines["d0"].freeze(); c.cancel() })
		}, callerGoneRan},
		"cancel/upstream-killed": {func(c *faultCase) {
			c.requestLongAnswer()
			c.onTokenAt(5, func() { c.engines["d0"].kill(); c.cancel() })
		}, callerGoneRan},
		"cancel/daemon-frozen": {func(c *faultCase) { // a daemon with stale data still frees what it holds
			c.requestLongAnswer()
			c.onTokenAt(5, func() { c.set(func() { c.stale = true }); c.cancel() })
		}, callerGoneRan},
	}
}

// transferFaults are faults during the KV cache transfer.
func transferFaults() map[string]faultCaseSpec {
	setExportFault := func(f engine.Faults) func(*faultCase) {
		return func(c *faultCase) { c.engines["p0"].SetFaults(f, 1) }
	}
	return map[string]faultCaseSpec{
		"transfer/connection-cut":     {setExportFault(engine.Faults{CutExport: true}), completeAnswer},
		"transfer/connection-stalled": {setExportFault(engine.Faults{StallExport: true}), completeAnswer},
		"transfer/upstream-killed": {func(c *faultCase) { // the engine is killed while the transfer is stalled
			setExportFault(engine.Faults{StallExport: true})(c)
			c.engines["d0"].onCall(engineapi.PathStream, func(http.ResponseWriter, *http.Request) { c.engines["p0"].kill() })
		}, completeAnswer},
		"transfer/caller-gone": {func(c *faultCase) {
			setExportFault(engine.Faults{StallExport: true})(c)
			c.engines["p0"].onCall(engineapi.PathExport, func(http.ResponseWriter, *http.Request) { c.cancel() })
		}, callerGoneUnknown},
	}
}

// midStreamChunks is the number of chunks before a fault in the middle of a stream.
const midStreamChunks = 7
