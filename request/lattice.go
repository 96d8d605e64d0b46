package request

import (
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream"
)

// Step is the kind of a call to an upstream.
type Step uint8

// The kinds of calls.
const (
	StepReserve Step = iota
	StepPrefill
	StepDecode
	StepResume // continues to read the stream of a running attempt
	StepCall   // a call to a plain service
)

// String returns the name used in logs.
func (s Step) String() string {
	switch s {
	case StepReserve:
		return "reserve"
	case StepPrefill:
		return "prefill"
	case StepDecode:
		return "decode"
	case StepResume:
		return "resume"
	default:
		return "call"
	}
}

// carriesRequest reports whether calls of this step pass the request itself to an upstream. A
// reservation holds ids and a size but no prompt, so it cannot run the request, and a resume
// only reads the output of a running attempt.
func (s Step) carriesRequest() bool { return s == StepPrefill || s == StepDecode || s == StepCall }

// level is a run state as an ordered value: notRun < unknown < ran.
type level uint8

const (
	notRun level = iota
	unknown
	ran
)

// join returns the higher of two levels.
func (l level) join(o level) level { return max(l, o) }

// asRunState returns the level as the run state that callers get.
func (l level) asRunState() errkind.RunState {
	switch l {
	case notRun:
		return errkind.NotRun
	case unknown:
		return errkind.Unknown
	default:
		return errkind.Ran
	}
}

// levelOf returns the run state that follows from one call of step s with delivery d. A
// completed prefill has processed the prompt but answered nothing, so it counts as unknown; a
// completion counts as ran from its first token.
func levelOf(s Step, d upstream.Delivery) level {
	if !s.carriesRequest() || d == upstream.NotSent || d == upstream.Refused {
		return notRun
	}
	if s == StepCall && d == upstream.Done {
		return ran
	}
	return unknown
}

// runState joins the levels of all calls of one request. A call in flight counts as possibly
// delivered until its outcome is known.
type runState struct {
	// prefillRepeatable is Limits.PrefillRepeatable.
	prefillRepeatable bool
	settled           level // level over the calls whose outcome is known
	pending           level // level of the call in flight if it was delivered
}

// begin records a dispatch. If the outcome of the call before it is not known, that call counts
// as possibly delivered from now on.
func (r *runState) begin(s Step) {
	r.settled = r.settled.join(r.pending)
	r.pending = r.levelOf(s, upstream.Maybe)
}

// settle records the outcome of the latest dispatch.
func (r *runState) settle(s Step, d upstream.Delivery) {
	r.settled = r.settled.join(r.levelOf(s, d))
	r.pending = notRun
}

// generated records that the request produced output and therefore has run.
func (r *runState) generated() { r.settled = ran }

// levelOf is the package function levelOf, except that repeatable prefills count as notRun.
func (r *runState) levelOf(s Step, d upstream.Delivery) level {
	if s == StepPrefill && r.prefillRepeatable {
		return notRun
	}
	return levelOf(s, d)
}

// level returns the highest level over all calls of the request.
func (r *runState) level() level { return r.settled.join(r.pending) }
