package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// Times to come back.
const (
	// retryHeld is for a key whose request is in progress or was just given up.
	retryHeld = time.Second
	// retryLog is for a log that cannot be appended to or read.
	retryLog = 5 * time.Second
)

// Decision is the answer to one claim: run it, an earlier answer, or a refusal.
type Decision struct {
	// Run says that the claimant may run the request, once.
	Run bool
	// Answer is the kept answer of the earlier run.
	Answer *request.CallAnswer
	// Err is the refusal; nil when Run is true or Answer is set.
	Err *errkind.Error
}

// judge decides a claim by what the stream says of its key. The view must be
// read through the claim's own record. A nil mine judges a repeat that was not
// appended.
//
// Refusals say "not run" only where no attempt with this key and body can have
// run, nor will. An attempt that the balancer sent elsewhere before may be
// running now, so that most of them say "unknown".
func judge(v View, mine *ClaimID, body Body, stale time.Duration, dead func(wire.NodeID) bool) Decision {
	switch {
	case !v.Found:
		return refuse(errkind.ClaimUnavailable, "the key is not on the log yet", retryHeld)
	case v.Status == Ran && v.Body == body:
		return ran(v.Answer)
	case v.Status == Unknown && v.Body == body:
		return unknown()
	case !v.Sure:
		return refuse(errkind.ClaimUnavailable, "the log no longer keeps all records of the key's lifetime", retryLog)
	case mine != nil && v.Holder == *mine && v.Status == Held:
		return Decision{Run: true}
	case v.Body != body:
		return reused()
	case v.Status == Released:
		return refuse(errkind.ClaimUnavailable, "an attempt with this key was just given up", retryHeld)
	case v.Age > stale || dead(v.Holder.Node):
		return unknown()
	}
	return inProgress()
}

// refuse returns a refusal that leaves open whether an attempt with this key ran.
func refuse(kind errkind.Kind, detail string, after time.Duration) Decision {
	return Decision{Err: errkind.New(kind, detail).WithRun(errkind.Unknown).WithRetryAfter(after)}
}

// gaveUp is the answer to a claim that was not decided in time. The attempt
// itself never runs; an earlier one with its key may have.
func gaveUp() Decision {
	return refuse(errkind.ClaimUnavailable, "the key could not be claimed on the log in time; this attempt does not run", retryLog)
}

func inProgress() Decision {
	return refuse(errkind.KeyInProgress, "", retryHeld)
}

func unknown() Decision {
	return Decision{Err: errkind.New(errkind.KeyOutcomeUnknown, "").WithRun(errkind.Unknown)}
}

func reused() Decision {
	return Decision{Err: errkind.New(errkind.KeyReused, "").WithRun(errkind.NotRun)}
}

func ran(encoded []byte) Decision {
	return answered(decodeAnswer(encoded))
}

func answered(a *request.CallAnswer) Decision {
	if a != nil {
		return Decision{Answer: a}
	}
	return Decision{Err: errkind.New(errkind.KeyAlreadyRan, "").WithRun(errkind.Ran)}
}
