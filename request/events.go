package request

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// EventKind is the type of an Event.
type EventKind uint8

// The events of a Machine.
const (
	// EventStart starts the request.
	EventStart EventKind = iota
	// EventPlanned is the successful result of ActionPlan and carries Plan.
	EventPlanned
	// EventPlanFailed is the result of ActionPlan when no plan could be made; Err says why.
	EventPlanFailed
	// EventRetryDenied is the result of ActionPlan when the retry budget lacks the permits that
	// the plan needs.
	EventRetryDenied
	// EventReserving reports that an engine has answered one of the calls that reservation Call takes,
	// and not the last.
	EventReserving
	// EventReserved reports that call Call reserved a slot.
	EventReserved
	// EventPrefilled reports that call Call computed the KV cache; Prefill is the reply.
	EventPrefilled
	// EventOpened reports that the engine accepted decode or resume call Call.
	EventOpened
	// EventCallFailed reports that call Call failed. Delivery says whether the upstream may have
	// executed it; Refusal is set if the upstream refused it.
	EventCallFailed
	// EventUpstreamLeaving reports that call Call was not sent because its upstream takes no new work.
	EventUpstreamLeaving
	// EventStaleView reports that call Call was not sent because the daemon's data is stale.
	EventStaleView
	// EventOriginInDoubt reports that call Call was not sent because the upstream that began the
	// stream may have started again, at another software version, before it did.
	EventOriginInDoubt
	// EventQuarantined reports that call Call was not sent because upstreams crashed while
	// they ran the request.
	EventQuarantined
	// EventChunk carries the next Chunk of stream Call.
	EventChunk
	// EventStreamEnded reports that stream Call ended. Unless the final chunk came first, the stream
	// was incomplete.
	EventStreamEnded
	// EventCallerGone reports that the caller no longer reads the answer.
	EventCallerGone
	// EventDrainLimit reports that the daemon has reached its shutdown limit.
	EventDrainLimit
	// EventPaused reports that attempt Attempt was paused to free its slot for an urgent
	// request, so that no token is due; EventUnpaused reports that the attempt continues.
	EventPaused
	EventUnpaused
	// EventSlotAvailable tells a queued request to ask for a slot again.
	EventSlotAvailable
	// EventTick reports that the time returned by Machine.Wake has come.
	EventTick
)

// Event is one input of a Machine.
type Event struct {
	Kind EventKind
	// Call is the number of the call that the event belongs to.
	Call int
	// Attempt is the attempt that was paused or that continues.
	Attempt  int
	Delivery upstream.Delivery
	Plan     *policy.Plan
	// Permits is the number of retry permits that were taken from the budget.
	Permits int
	Prefill *engineapi.PrefillReply
	// Reservation is the engine's id of the reservation in EventReserved.
	Reservation string
	// Head is the head of the engine's answer in EventOpened; nil if there is none.
	Head *engineapi.ResponseHead
	// Answer is the engine's own error answer in EventCallFailed; nil if there is none.
	Answer *CallAnswer
	// Reached is set if the upstream's host responded although the call failed.
	Reached bool
	// Withheld is set in EventCallFailed if the daemon did not send the call, which says nothing of the
	// upstream.
	Withheld bool
	Refusal  *engineapi.Refusal
	Err      *errkind.Error
	Chunk    engineapi.Chunk
}

// contradictsAcceptance reports whether the event says that its call was never sent, or that
// the call failed without an answer from the engine. If the engine is known to have accepted the
// call, such an event is wrong.
func (ev Event) contradictsAcceptance() bool {
	switch ev.Kind {
	case EventUpstreamLeaving, EventStaleView, EventOriginInDoubt, EventQuarantined:
		return true
	case EventCallFailed:
		return ev.Answer == nil
	default:
		return false
	}
}

// ActionKind is the type of an Action.
type ActionKind uint8

// The actions of a Machine.
const (
	// ActionPlan asks for a plan for Attempt that does not use the upstreams in Exclude, and those in
	// NoReply only if there is no other. Retry is set after a failed attempt. AfterWait is set when the attempt has waited for a slot since
	// its last plan.
	ActionPlan ActionKind = iota
	// ActionDispatch makes call Call of Step to Target according to Plan, after cancelling the
	// previous call if that is still in flight.
	ActionDispatch
	// ActionCancel repeats the cancel of Attempt on Target until it is acknowledged, and ends
	// the call in flight unless Stalled is set.
	ActionCancel
	// ActionReportFailure reports to the observer that a call to Target failed. Unanswered is set if
	// Target did not respond to a call that it must answer at once; Reached is set if its host
	// did respond.
	ActionReportFailure
	// ActionEmit delivers the token at Index.
	ActionEmit
	// ActionFinish ends the request with a complete answer.
	ActionFinish
	// ActionFail ends the request with Err.
	ActionFail
	// ActionOpen passes the head of the engine's answer to the sink.
	ActionOpen
	// ActionAnswer ends the request with an engine's own error answer.
	ActionAnswer
	// ActionReportFull reports that Target refused a reservation or a prompt, depending on Step.
	ActionReportFull
	// ActionStall keeps the call in flight, whose stream is silent, open while the next attempt is
	// made. ActionKeepStalled ends that next attempt and goes on with the stalled one.
	// ActionEndStalled ends the stalled call.
	ActionStall
	ActionKeepStalled
	ActionEndStalled
	// ActionLogStall logs what becomes of the call to Target, which has been silent for Silent; Reason
	// is one of the stall constants, or the kind of the error for which it is not replaced.
	ActionLogStall
	// ActionReportAnswered reports to the observer that Target has answered after a silence.
	ActionReportAnswered
	// ActionReportHandoff reports whether Target, a decode engine that had granted a reservation,
	// accepted the prefill result of From.
	ActionReportHandoff
)

// Target is the upstream of an action.
type Target struct {
	Name    string
	Address string
}

// Action is one output of a Machine.
type Action struct {
	Kind    ActionKind
	Step    Step
	Call    int
	Attempt int
	// Tries is the number of Attempt, not counting attempts that ended with a refused
	// reservation.
	Tries int
	// RefusalStreak is the number of reservations refused since the request last waited for a slot.
	RefusalStreak int
	Target        Target
	Plan          *policy.Plan
	// Version is, in ActionPlan, the only software version that the attempt may use; empty for any.
	Version string
	Exclude []string
	// NoReply lists, in ActionPlan, the decode engines that did not reply to a reservation in time, one
	// entry for each.
	NoReply []string
	// Reoffered is, in ActionPlan, the prefill engine whose result the attempt offers to another
	// decode engine; empty if the attempt has its own prompt read.
	Reoffered Target
	Retry     bool
	AfterWait bool
	// GoesOn is set for a call if the answer has begun at a software version.
	GoesOn bool
	Index  int
	Text   string
	Reason string
	Usage  Usage
	Err    *errkind.Error
	// Reservation and Handle are the engines' ids of what they hold for the attempt: the slot
	// on the decode engine and the prefill result on the prefill engine.
	Reservation, Handle string
	Head                *engineapi.ResponseHead
	Answer              *CallAnswer
	Unanswered, Reached bool
	Silent              time.Duration
	// Stalled is set for ActionCancel if Attempt is the stalled one.
	Stalled bool
	// TimedOut is set for ActionReportFailure if the call timed out.
	TimedOut bool
	// From and Accepted belong to ActionReportHandoff.
	From     Target
	Accepted bool
}

// State is the phase that a Machine is in.
type State uint8

// The states of a Machine.
const (
	StatePlanning State = iota
	// StateQueued waits for a decode slot; no call of the attempt has been sent.
	StateQueued
	StateReserving
	StatePrefilling
	StateImporting
	StateStreaming
	StateEnded
)

// String returns the name used in logs and on the administration listener.
func (s State) String() string {
	return [...]string{"planning", "queued", "reserving", "prefilling", "importing", "streaming", "ended"}[s]
}
