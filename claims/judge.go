package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// Delays after which refused callers are told to retry.
const (
	// retryAfterShort applies when a key is in progress or was just released, and
	// when too many keys are being claimed.
	retryAfterShort = time.Second
	// retryAfterLong applies when the log cannot be appended to or read, when it
	// lacks records, and when too many bound tokens are in use.
	retryAfterLong = 5 * time.Second
)

// Decision is the outcome of one claim: permission to run the request, the answer
// of an earlier run, or a refusal.
type Decision struct {
	// Run permits the claimant to run the request once.
	Run bool
	// Answer is the cached answer of the earlier run.
	Answer *request.CallAnswer
	// Err is the refusal, or nil if Run or Answer is set.
	Err *errkind.Error
}

// decideClaim decides a claim from the state of its key, read at least up to the
// claim's own record. ownID is the ID of the claim, or nil for a repeat
// that is decided without appending a claim.
//
// A refusal reports "not run" only if no attempt with this key and body has run or
// can run later. The callers' load balancer may have sent the same request to another
// daemon, where it may be running now, so most refusals report "unknown".
func decideClaim(v KeyState, ownID *ClaimID, body BodyDigest, staleAfter time.Duration, isDead func(wire.NodeID) bool) Decision {
	switch {
	case !v.Found:
		return refuse(errkind.ClaimUnavailable, "the key is not on the log yet", retryAfterShort)
	case v.Status == Ran && v.Body == body:
		return alreadyRan(v.Answer)
	case v.Status == Unknown && v.Body == body:
		return outcomeUnknown()
	case !v.Authoritative:
		return refuse(errkind.ClaimUnavailable, "the log no longer keeps all records of the key's lifetime", retryAfterLong)
	case ownID != nil && v.Holder == *ownID && v.Status == Held:
		return Decision{Run: true}
	case v.Body != body:
		return keyReused()
	case v.Status == Released:
		return refuse(errkind.ClaimUnavailable, "an attempt with this key was just given up", retryAfterShort)
	case v.Age > staleAfter || isDead(v.Holder.Node):
		return outcomeUnknown()
	}
	return keyInProgress()
}

// refuse returns a refusal that leaves open whether an attempt with this key ran.
func refuse(kind errkind.Kind, detail string, after time.Duration) Decision {
	return Decision{Err: errkind.New(kind, detail).WithRun(errkind.Unknown).WithRetryAfter(after)}
}

// claimTimedOut returns the decision for a claim that was not decided in time. This
// attempt never runs, but an earlier one with the same key may have run.
func claimTimedOut() Decision {
	return refuse(errkind.ClaimUnavailable, "the key could not be claimed on the log in time; this attempt does not run", retryAfterLong)
}

// keyInProgress refuses a claim because the request may be running under the claim
// that holds the key.
func keyInProgress() Decision {
	return refuse(errkind.KeyInProgress, "", retryAfterShort)
}

// outcomeUnknown refuses a claim because an earlier attempt may have run.
func outcomeUnknown() Decision {
	return Decision{Err: errkind.New(errkind.KeyOutcomeUnknown, "").WithRun(errkind.Unknown)}
}

// keyReused refuses a claim because the key was used for a request with another
// body.
func keyReused() Decision {
	return Decision{Err: errkind.New(errkind.KeyReused, "").WithRun(errkind.NotRun)}
}

// alreadyRan returns the decision for a request that ran, given its encoded answer,
// if any.
func alreadyRan(encoded []byte) Decision {
	return replayAnswer(decodeAnswer(encoded))
}

// replayAnswer returns the decision for a request that ran: its answer, or a
// refusal if the answer is not available.
func replayAnswer(a *request.CallAnswer) Decision {
	if a != nil {
		return Decision{Answer: a}
	}
	return Decision{Err: errkind.New(errkind.KeyAlreadyRan, "").WithRun(errkind.Ran)}
}
