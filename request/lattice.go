package request

import (
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream"
)

// Step is one kind of call to an upstream.
type Step uint8

// The steps.
const (
	StepReserve Step = iota
	StepPrefill
	StepDecode
	StepResume
	StepCall // a call to a plain service
)

// String returns the word used in logs.
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

// carries says whether the step's call hands the request itself to an
// upstream. A reservation holds ids and a size but no prompt, so whatever
// became of it the request cannot have run; a resume only reads what runs.
func (s Step) carries() bool { return s == StepPrefill || s == StepDecode || s == StepCall }

// level is the run state as a chain: notRun < unknown < ran.
type level uint8

const (
	notRun level = iota
	unknown
	ran
)

// join returns the higher of two levels.
func (l level) join(o level) level { return max(l, o) }

// run returns the caller's word for the level.
func (l level) run() errkind.Run {
	switch l {
	case notRun:
		return errkind.NotRun
	case unknown:
		return errkind.Unknown
	default:
		return errkind.Ran
	}
}

// levelOf returns what one call of step s with delivery d tells. A prefill that
// is done has read the prompt but answered nothing, so it counts as unknown;
// a completion counts as ran from its first token.
func levelOf(s Step, d upstream.Delivery) level {
	if !s.carries() || d == upstream.NotSent || d == upstream.Refused {
		return notRun
	}
	if s == StepCall && d == upstream.Done {
		return ran
	}
	return unknown
}

// runState joins the levels of all calls of one request. A call in flight
// counts as one that may have been delivered until its outcome is known.
type runState struct {
	// prefillRepeatable is Limits.PrefillRepeatable.
	prefillRepeatable bool
	settled           level
	pending           level
}

// begin notes a dispatch. An earlier call without a known outcome stays unknown.
func (r *runState) begin(s Step) {
	r.settled = r.settled.join(r.pending)
	r.pending = r.levelOf(s, upstream.Maybe)
}

// settle notes the outcome of the latest dispatch.
func (r *runState) settle(s Step, d upstream.Delivery) {
	r.settled = r.settled.join(r.levelOf(s, d))
	r.pending = notRun
}

// generated notes a token: the request ran.
func (r *runState) generated() { r.settled = ran }

// levelOf is the function of the same name, but for prefills that run nothing.
func (r *runState) levelOf(s Step, d upstream.Delivery) level {
	if s == StepPrefill && r.prefillRepeatable {
		return notRun
	}
	return levelOf(s, d)
}

// level returns the join over all attempts.
func (r *runState) level() level { return r.settled.join(r.pending) }
