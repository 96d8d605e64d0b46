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

// cell is one fault at one step of a completion.
type cell struct {
	*fleet
	ctx    context.Context
	cancel context.CancelFunc
	c      request.Completion
	sink   *sink
	// check runs after the answer, before the engines are thawed.
	check func()
}

// at runs hook at the token's delivery.
func (c *cell) at(token int, hook func()) {
	c.sink.onToken = func(i int) error {
		if i == token {
			hook()
		}
		return nil
	}
}

// endless makes the answer so long that only a cancel can free its memory.
func (c *cell) endless() { c.c.MaxTokens = 1 << 20 }

// stuck lets d0's decode never end by itself, so that only a cancel frees it.
func (c *cell) stuck() { c.faults(0, engine.Faults{SlowStep: 1e6}) }

// dropped fails the test unless chunks of that sort came and were dropped.
func (c *cell) dropped(count func(request.Drops) int) func() {
	return func() {
		if d := locked(c.fleet, func() request.Drops { return c.drops }); count(d) == 0 {
			c.t.Errorf("dropped %+v: the fault did not happen or was not noticed", d)
		}
	}
}

// faults sets stand-in faults on d0 for its next calls; 0 means all.
func (c *cell) faults(times int, f engine.Faults) { c.engines["d0"].SetFaults(f, times) }

// want is how a cell's request must end.
type want struct {
	kind errkind.Kind // empty: the whole answer
	run  errkind.Run
}

var (
	whole       = want{}
	goneBefore  = want{errkind.ClientGone, errkind.NotRun}
	goneUnknown = want{errkind.ClientGone, errkind.Unknown}
	goneRan     = want{errkind.ClientGone, errkind.Ran}
	staleNotRun = want{errkind.StaleView, errkind.NotRun}
	staleMaybe  = want{errkind.StaleView, errkind.Unknown}
	staleRan    = want{errkind.StaleView, errkind.Ran}
)

// Symptom, for every cell: the caller gets no answer, two answers, tokens twice
// or of another request, a clean end of half an answer, or a false "not run";
// or an engine goes on holding memory for the request.
// Sequence: the fault hits d0 or p0, the first choices, at the step; d1 and p1
// are healthy. Frozen engines go on once the request has ended.
// Cause: a step that trusts its call to be delivered, answered, in time, its own.
func TestComplete(t *testing.T) {
	for name, tc := range cells() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			c := &cell{fleet: f, c: completion("r1"), sink: &sink{}}
			c.ctx, c.cancel = context.WithCancel(context.Background())
			defer c.cancel()
			tc.arrange(c)
			f.run(c.ctx, c.c, c.sink)
			if tc.want == whole {
				c.sink.whole()
			} else {
				c.sink.failed(tc.want.kind, tc.want.run)
			}
			if c.check != nil {
				c.check()
			}
			for _, n := range f.engines {
				n.thaw()
			}
			f.nothingHeld()
		})
	}
}

type row struct {
	arrange func(*cell)
	want    want
}

// stepOf names the call that carries each step and the engine that is hit.
var stepOf = map[string]struct{ engine, path string }{
	"reserve": {"d0", engineapi.PathReserve},
	"prefill": {"p0", engineapi.PathPrefill},
	"export":  {"p0", engineapi.PathExport},
	"import":  {"d0", engineapi.PathDecode},
}

// cells returns the matrix: the faults that hit every step alike, then those
// that are the step's own.
func cells() map[string]row {
	out := map[string]row{}
	for step, s := range stepOf {
		hit := func(hook func(c *cell, n *node) http.HandlerFunc) func(*cell) {
			return func(c *cell) { n := c.engines[s.engine]; n.on(s.path, hook(c, n)) }
		}
		out[step+"/upstream-killed"] = row{hit(func(_ *cell, n *node) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { n.kill(); cut(w, r) }
		}), whole}
		out[step+"/upstream-frozen"] = row{hit(func(_ *cell, n *node) http.HandlerFunc {
			return func(http.ResponseWriter, *http.Request) { n.freeze() }
		}), whole}
		out[step+"/connection-cut"] = row{hit(func(*cell, *node) http.HandlerFunc { return cut }), whole}
		out[step+"/connection-stalled"] = row{hit(func(*cell, *node) http.HandlerFunc { return stall }), whole}
		gone := goneUnknown
		if step == "reserve" {
			gone = goneBefore
		}
		out[step+"/caller-gone"] = row{hit(func(c *cell, _ *node) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				c.cancel()
				stall(w, r) // an answer beside the caller's leave may be taken first
			}
		}), gone}
	}
	for _, more := range []map[string]row{beforeCells(), dispatchCells(), streamCells(), endCells(), cancelCells(), transferCells()} {
		for name, r := range more {
			out[name] = r
		}
	}
	return out
}

// untouched fails the test when a call started work on the engine.
func (c *cell) untouched(name string) func() {
	return func() {
		if s := c.engines[name].Stats(); s.Reserves+s.Prefills+s.Decodes > 0 {
			c.t.Errorf("%s got new work: %+v", name, s)
		}
	}
}

func beforeCells() map[string]row {
	return map[string]row{
		"accept/caller-gone": {func(c *cell) { c.cancel(); c.check = c.untouched("d0") }, goneBefore},
		"accept/daemon-frozen": {func(c *cell) {
			c.stale = true
			c.check = c.untouched("d0")
		}, staleNotRun},
		"accept/leaving": {func(c *cell) { c.leave("d0"); c.check = c.untouched("d0") }, whole},
	}
}

// dispatchCells hold what must be seen right before each call that is new work.
func dispatchCells() map[string]row {
	leaveAt := func(step, leaving string) func(*cell) {
		s := stepOf[step]
		return func(c *cell) {
			c.engines[s.engine].on(s.path, func(http.ResponseWriter, *http.Request) { c.leave(leaving) })
		}
	}
	staleAt := func(step string) func(*cell) {
		s := stepOf[step]
		return func(c *cell) {
			c.engines[s.engine].on(s.path, func(http.ResponseWriter, *http.Request) { c.set(func() { c.stale = true }) })
		}
	}
	return map[string]row{
		"reserve/leaving": {func(c *cell) {
			c.onPlan = func(int) { c.leave("d0") }
			c.check = c.untouched("d0")
		}, whole},
		"prefill/leaving": {func(c *cell) {
			leaveAt("reserve", "p0")(c)
			c.check = c.untouched("p0")
		}, whole},
		"import/leaving": {func(c *cell) {
			leaveAt("prefill", "d0")(c)
			c.check = func() {
				if n := c.engines["d0"].Stats().Decodes; n > 0 {
					c.t.Errorf("leaving engine got %d decodes", n)
				}
			}
		}, whole},
		"reserve/daemon-frozen": {staleAt("reserve"), staleNotRun},
		"prefill/daemon-frozen": {staleAt("prefill"), staleMaybe},
		"import/daemon-frozen":  {staleAt("import"), whole}, // nothing is dispatched after it
		"export/daemon-frozen":  {staleAt("export"), whole},
		"export/leaving": {func(c *cell) { // the transfer in flight finishes
			leaveAt("export", "p0")(c)
			c.check = c.untouched("p1")
		}, whole},
		"own-word/reserve/leaving": {func(c *cell) {
			c.faults(0, engine.Faults{Leaving: true})
			c.check = func() {
				if !locked(c.fleet, func() bool { return len(c.left) > 0 && c.left[0] == "d0" }) {
					c.t.Error("the board was not told")
				}
			}
		}, whole},
	}
}

func streamCells() map[string]row {
	first, last := 1, 1+tokens // chunks before the fault: Imported, then tokens
	out := map[string]row{}
	for step, after := range map[string]int{"decode-first-token": first, "mid-stream": mid, "last-chunk": last} {
		token := max(after-2, 0)
		fault := func(f engine.Faults) func(*cell) { return func(c *cell) { c.faults(1, f) } }
		out[step+"/connection-cut"] = row{fault(engine.Faults{CutAfter: after}), whole}
		out[step+"/connection-stalled"] = row{fault(engine.Faults{StallAfter: after}), whole}
		out[step+"/connection-cut+leaving"] = row{func(c *cell) { // attaching again is no new work
			c.at(token, func() { c.leave("d0") })
			c.faults(1, engine.Faults{CutAfter: max(after, 3)})
			c.check = c.untouched("d1")
		}, whole}
		crossed := func(g engine.Garble) func(*cell) {
			return func(c *cell) {
				c.faults(1, engine.Faults{Garble: g, GarbleAfter: after})
				c.check = c.dropped(func(d request.Drops) int { return d.Crossed })
			}
		}
		out[step+"/crossed-answer"] = row{crossed(engine.GarbleCrossed), whole}
		out[step+"/late-answer"] = row{crossed(engine.GarbleOlder), whole}
		out[step+"/duplicated-answer"] = row{fault(engine.Faults{Garble: engine.GarbleRepeated, GarbleAfter: after}), whole}
		out[step+"/truncated-answer"] = row{fault(engine.Faults{Garble: engine.GarbleTruncated, GarbleAfter: after}), whole}
		out[step+"/upstream-killed"] = row{func(c *cell) { c.at(token, c.engines["d0"].kill) }, whole}
		out[step+"/upstream-frozen"] = row{func(c *cell) { c.at(token, func() { c.engines["d0"].freeze(); c.stuck() }) }, whole}
		out[step+"/caller-gone"] = row{func(c *cell) { c.endless(); c.at(token, c.cancel) }, goneRan}
		out[step+"/leaving"] = row{func(c *cell) {
			c.at(token, func() { c.leave("d0") })
			c.check = c.untouched("d1")
		}, whole}
		out[step+"/daemon-frozen"] = row{func(c *cell) { // and the stream is cut meanwhile
			c.at(token, func() { c.set(func() { c.stale = true }) })
			c.faults(1, engine.Faults{CutAfter: max(after, 3)})
		}, staleRan}
	}
	for step, after := range map[string]int{"mid-stream": mid, "last-chunk": last - 1} {
		out["skipped/"+step+"/truncated-answer"] = row{func(c *cell) {
			c.faults(1, engine.Faults{Garble: engine.GarbleSkipped, GarbleAfter: after})
		}, whole}
		out["garbled/"+step+"/truncated-answer"] = row{func(c *cell) {
			c.faults(1, engine.Faults{Garble: engine.GarbleBytes, GarbleAfter: after})
		}, whole}
	}
	return out
}

func endCells() map[string]row {
	return map[string]row{
		"answer/caller-gone": {func(c *cell) { // the write to the caller fails
			c.sink.onToken = func(i int) error {
				if i == tokens-1 {
					return errors.New("broken pipe")
				}
				return nil
			}
		}, goneRan},
		"answer/daemon-frozen": {func(c *cell) { // stopped for longer than the deadline
			c.at(5, func() { c.set(func() { c.skew = 2 * bound }) })
		}, want{errkind.DeadlineExceeded, errkind.Ran}},
		"answer/upstream-frozen": {func(c *cell) { // nothing comes until the deadline
			c.c.Deadline = c.c.Accepted.Add(300 * time.Millisecond)
			c.engines["d0"].freeze()
		}, want{errkind.DeadlineExceeded, errkind.NotRun}},
		"answer/upstream-killed": {func(c *cell) { // nobody is left
			for _, n := range c.engines {
				n.on(engineapi.PathPrefill, cut)
			}
		}, want{errkind.NoUpstream, errkind.Unknown}},
	}
}

// cancelCells lose the cancel itself. The engine goes on until a cancel takes
// effect, so a single lost one shows as memory held for ever.
func cancelCells() map[string]row {
	first := func(times int, hook http.HandlerFunc) func(*cell) {
		return func(c *cell) {
			c.endless()
			c.at(5, c.cancel)
			var n atomic.Int32
			c.engines["d0"].on(engineapi.PathCancel, func(w http.ResponseWriter, r *http.Request) {
				if int(n.Add(1)) <= times {
					hook(w, r)
				}
			})
		}
	}
	return map[string]row{
		"cancel/connection-cut":     {first(3, cut), goneRan},
		"cancel/connection-stalled": {first(2, stall), goneRan},
		"cancel/truncated-answer": {func(c *cell) { // it takes effect, its answer is lost
			c.endless()
			c.at(5, c.cancel)
			c.faults(2, engine.Faults{LoseCancel: true})
		}, goneRan},
		"cancel/upstream-frozen": {func(c *cell) {
			c.endless()
			c.at(5, func() { c.engines["d0"].freeze(); c.cancel() })
		}, goneRan},
		"cancel/upstream-killed": {func(c *cell) {
			c.endless()
			c.at(5, func() { c.engines["d0"].kill(); c.cancel() })
		}, goneRan},
		"cancel/daemon-frozen": {func(c *cell) { // a stale daemon frees what it holds all the same
			c.endless()
			c.at(5, func() { c.set(func() { c.stale = true }); c.cancel() })
		}, goneRan},
	}
}

// transferCells break the KV cache on its way.
func transferCells() map[string]row {
	broken := func(f engine.Faults) func(*cell) {
		return func(c *cell) { c.engines["p0"].SetFaults(f, 1) }
	}
	return map[string]row{
		"transfer/connection-cut":     {broken(engine.Faults{CutExport: true}), whole},
		"transfer/connection-stalled": {broken(engine.Faults{StallExport: true}), whole},
		"transfer/upstream-killed": {func(c *cell) { // while it is stalled
			broken(engine.Faults{StallExport: true})(c)
			c.engines["d0"].on(engineapi.PathStream, func(http.ResponseWriter, *http.Request) { c.engines["p0"].kill() })
		}, whole},
		"transfer/caller-gone": {func(c *cell) {
			broken(engine.Faults{StallExport: true})(c)
			c.engines["p0"].on(engineapi.PathExport, func(http.ResponseWriter, *http.Request) { c.cancel() })
		}, goneUnknown},
	}
}

// mid is how many chunks come before a fault in mid-stream.
const mid = 7
