package request

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Limits bound one request.
type Limits struct {
	// MaxAttempts bounds the attempts, not counting those that MaxRefusals allows; at least 1.
	MaxAttempts int
	// MaxRefusals bounds how often an attempt is planned again, without taking a retry permit,
	// after a refused reservation or a call that was not sent. A reservation carries nothing
	// of the request, and the next engine may have room.
	MaxRefusals int
	// PrefillRepeatable states that engines allow a prefill to be repeated. A prefill then does
	// not count as having run the request.
	PrefillRepeatable bool
	// CallTimeoutFactor is the timeout of a dispatch of an idempotent call that may be dispatched
	// again, as a multiple of its class's target for the first byte; 0 allows all the time
	// until the deadline.
	CallTimeoutFactor float64
	// RetryServerErrors retries an idempotent call after status 500, within the retry budget.
	RetryServerErrors bool
	// ReofferPrefills offers a prefill result that a decode engine refused to another decode
	// engine. Engines must identify results by a handle, not by the attempt.
	ReofferPrefills bool
	// CountArrivals charges the retry budget for every arrival at upstreams after the first
	// one of a request, as defined by type arrivals. Otherwise each attempt after a failed one
	// costs one retry permit.
	CountArrivals bool
	// MaxResumes bounds how often the stream of one attempt is resumed without a new token.
	MaxResumes int
	// Reserve and Prefill are call timeouts. Import runs from the decode call to its first chunk, and
	// Stall between two chunks; after them, another attempt is made while the call stays open.
	Reserve time.Duration
	Prefill time.Duration
	Import  time.Duration
	Stall   time.Duration
}

// DefaultLimits returns the limits used when the settings give none: many times what a healthy
// engine needs, but short compared with the deadline of a draft.
func DefaultLimits() Limits {
	return Limits{
		MaxAttempts: 3,
		MaxResumes:  2,
		Reserve:     500 * time.Millisecond,
		Prefill:     10 * time.Second,
		Import:      3 * time.Second,
		Stall:       2 * time.Second,
	}
}

// role identifies one of the two engines of an attempt.
type role uint8

const (
	roleDecode role = iota
	rolePrefill
	roleCount // number of roles
)

// Drops counts chunks that did not become part of the answer.
type Drops struct {
	// Late chunks came from an older call, Misrouted ones named another request or attempt, and
	// Duplicate ones repeated an index.
	Late, Misrouted, Duplicate int
}

// Machine is the state machine of one completion. It does no I/O and does not read the clock.
// It is not safe for concurrent use.
type Machine struct {
	c      Completion
	limits Limits

	// attemptState is the state of the current attempt. stalled is an attempt before it whose engine
	// is silent and whose call is still open; nil if there is none.
	attemptState
	stalled *attemptState
	now     time.Time      // of the current event
	exclude []string       // upstreams that the next attempt must avoid
	noReply []string       // engines that did not reply to a reservation in time, one entry for each
	cause   *errkind.Error // why the last attempt failed
	// excludeBeforeStall and noReplyBeforeStall are exclude and noReply when the attempt stalled that the
	// current one is to replace.
	excludeBeforeStall, noReplyBeforeStall []string

	// attempts and calls count those that were begun. The latest ones have these numbers.
	attempts, calls int
	// refusals counts attempts that ended before anything of the request was sent: refused
	// reservations and unsent calls. unplanned counts replacements of stalled attempts that could not
	// be planned. sends counts the engines that may have received the request itself.
	refusals, unplanned, sends int
	arrivals                   arrivals
	// refusalStreak counts refused reservations since the request last waited for a slot.
	refusalStreak int
	// reoffers counts the attempts that offered a prefill result again after a refusal.
	reoffers int

	run runState
	// version is the software version of the upstreams that have generated the tokens, or those
	// that the caller has; empty while there are none.
	version string
	tokens  []string
	usage   Usage
	drops   Drops
	actions []Action
}

// attemptState is the state of one attempt.
type attemptState struct {
	state   State
	attempt int // its number, from 1
	plan    *policy.Plan

	call         int       // number of its latest call
	lastStep     Step      // step of the latest call
	stepDeadline time.Time // when the latest call or the wait for a slot times out; zero: never
	resumes      int       // resumes of the stream since its last token
	// reservation is the decode engine's id of the reserved slot, and handle the prefill
	// engine's id of the prefill result; both are empty once the decode engine has used them.
	reservation, handle string
	// prefilledAt is when the prefill result was available, and prefillAttempt the attempt that
	// obtained it.
	prefilledAt    time.Time
	prefillAttempt int
	// reoffered is the prefill engine whose result, obtained by an earlier attempt, this attempt
	// offers to another decode engine; nil if the attempt has its own prompt read.
	reoffered *policy.Replica
	// offersAgain is set if the attempt was begun to offer a result again.
	offersAgain bool
	// head is the head of the engine's answer; nil if it has not come or there is none.
	head *engineapi.ResponseHead
	// decodeAccepted is set once the engine is known to have accepted this attempt's decode
	// call.
	decodeAccepted bool
	// imported is set once the KV cache has arrived on the decode engine.
	imported bool
	// lastProgress is when the engine of the decode call last sent something; before that, when the call was
	// sent. stallReported is set once a silence since then was reported.
	lastProgress  time.Time
	stallReported bool
	// prolonged is how much longer than its timeout the latest call of a reservation may take, because
	// this instance did not run.
	prolonged time.Duration
	// reservationTimedOut is set if the engine did not reply to the attempt's reservation in time.
	reservationTimedOut bool
	// paused is set while the attempt is paused to free its slot for an urgent request.
	paused bool
	// mayHoldMemory marks the engines that may hold memory for this attempt; heldBeforeCall is
	// the mark that the engine of the latest call had before that call.
	mayHoldMemory  [roleCount]bool
	heldBeforeCall bool
}

// NewMachine returns a machine for c. Its first event must be EventStart.
func NewMachine(c Completion, limits Limits) *Machine {
	return &Machine{c: c, limits: limits, version: c.Origin.Version, run: runState{prefillRepeatable: limits.PrefillRepeatable}}
}

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// Attempt returns the number of the current attempt, from 1.
func (m *Machine) Attempt() int { return m.attempt }

// Run returns the run state over all attempts.
func (m *Machine) Run() errkind.RunState { return m.run.level().asRunState() }

// Tokens returns the delivered tokens. Callers must not change the slice.
func (m *Machine) Tokens() []string { return m.tokens }

// Drops returns the counts of dropped chunks.
func (m *Machine) Drops() Drops { return m.drops }

// Wake returns when EventTick is due.
func (m *Machine) Wake() time.Time {
	if m.stepDeadline.IsZero() || m.c.Deadline.Before(m.stepDeadline) {
		return m.c.Deadline
	}
	return m.stepDeadline
}

// Step handles one event and returns the resulting actions in order. The slice is valid until
// the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions, m.now = m.actions[:0], now
	if m.state == StateEnded {
		m.countLate(ev)
		return nil
	}
	if !now.Before(m.c.Deadline) && ev.Kind != EventCallerGone {
		m.settleAtDeadline(ev)
		m.end(errkind.New(errkind.DeadlineExceeded, "the answer was not complete in time"))
		return m.actions
	}
	switch ev.Kind {
	case EventStart:
		m.planNextAttempt(false)
	case EventPlanned, EventPlanFailed, EventRetryDenied:
		m.handlePlanResult(now, ev)
	case EventCallerGone:
		m.end(errkind.New(errkind.ClientGone, "the caller went away"))
	case EventDrainLimit:
		m.end(errkind.New(errkind.Draining, "the instance reached its shutdown limit"))
	case EventSlotAvailable:
		m.replanQueued()
	case EventTick:
		m.handleTick(now)
	case EventPaused, EventUnpaused:
		m.handlePause(now, ev)
	default:
		m.handleCallEvent(now, ev)
	}
	return m.actions
}

// settleAtDeadline records the outcome of a call that arrives at or after the deadline, so
// that the run state includes it.
func (m *Machine) settleAtDeadline(ev Event) {
	if ev.Kind == EventCallFailed && ev.Call == m.call {
		m.run.settle(m.lastStep, ev.Delivery)
	}
}

// countLate counts a chunk of a call that is no longer current.
func (m *Machine) countLate(ev Event) {
	if ev.Kind == EventChunk {
		m.drops.Late++
	}
}

// planNextAttempt starts a new attempt by asking for its plan; retry is the Retry field of that
// action.
func (m *Machine) planNextAttempt(retry bool) {
	m.attempts++
	m.attempt = m.attempts
	m.state = StatePlanning
	m.plan, m.head = nil, nil
	m.resumes = 0
	m.decodeAccepted, m.imported, m.paused, m.stallReported = false, false, false, false
	m.reservationTimedOut = false
	m.reservation, m.handle = "", ""
	m.reoffered, m.offersAgain, m.prefillAttempt = nil, false, m.attempt
	m.stepDeadline = time.Time{}
	m.nextCall() // from here on, events of earlier calls are outdated
	m.addAction(Action{Kind: ActionPlan, Attempt: m.attempt, Version: m.version, Exclude: m.exclude, NoReply: m.noReply, Retry: retry, Tries: m.countedAttempts(), RefusalStreak: m.refusalStreak})
}

// nextCall gives the current attempt the next call number.
func (m *Machine) nextCall() {
	m.calls++
	m.call = m.calls
}

func (m *Machine) handlePlanResult(now time.Time, ev Event) {
	if m.state != StatePlanning {
		return
	}
	switch ev.Kind {
	case EventPlanned:
		m.arrivals.permitsTaken += ev.Permits
		if ev.Plan.Wait > 0 {
			m.dropReoffered() // it would expire during the wait
			m.state, m.stepDeadline = StateQueued, now.Add(ev.Plan.Wait)
			return
		}
		m.plan = m.withReoffered(ev.Plan)
		if m.plan.SkipReserve {
			m.dispatch(now, StepDecode)
			return
		}
		if m.plan.PrefillFirst {
			m.dispatch(now, StepPrefill)
			return
		}
		m.dispatch(now, StepReserve)
	case EventRetryDenied:
		m.fail(m.cause)
	default:
		m.fail(ev.Err)
	}
}

// replanQueued plans the attempt again after a wait for a slot.
func (m *Machine) replanQueued() {
	if m.state != StateQueued {
		return
	}
	m.state, m.stepDeadline, m.refusalStreak = StatePlanning, time.Time{}, 0
	m.addAction(Action{Kind: ActionPlan, Attempt: m.attempt, Version: m.version, Exclude: m.exclude, NoReply: m.noReply, AfterWait: true, Tries: m.countedAttempts()})
}

// permitsNeeded returns how many retry permits must be taken for plan p, which answers action
// a.
func (m *Machine) permitsNeeded(a Action, p *policy.Plan) int {
	if m.limits.CountArrivals {
		return m.arrivals.permitsNeeded(!p.SkipPrefill && m.reoffered == nil)
	}
	if a.Retry {
		return 1
	}
	return 0
}

// countedAttempts returns the number of attempts that count towards MaxAttempts. One that
// offers a prefill result again does not: it has no prompt read.
func (m *Machine) countedAttempts() int { return m.attempts - m.refusals - m.unplanned - m.reoffers }

// handleCallEvent handles an event that belongs to a call. Events of any call other than the
// latest and the stalled one are dropped, because the other calls were given up or have ended.
func (m *Machine) handleCallEvent(now time.Time, ev Event) {
	if m.stalled != nil && ev.Call == m.stalled.call {
		m.handleStalledEvent(now, ev)
		return
	}
	if ev.Call != m.call || m.state == StatePlanning || m.state == StateQueued {
		m.countLate(ev)
		return
	}
	if m.lastStep == StepDecode && m.decodeAccepted && ev.contradictsAcceptance() {
		m.handleBrokenStream(now) // the engine has accepted the call, so it cannot have been refused or unsent
		return
	}
	switch ev.Kind {
	case EventReserving:
		m.restartReserve(now)
	case EventReserved:
		m.handleReserved(now, ev.Reservation)
	case EventPrefilled:
		m.handlePrefilled(now, ev.Prefill)
	case EventOpened:
		m.handleOpened(now, ev.Head)
	case EventCallFailed:
		m.handleCallFailed(now, ev)
	case EventUpstreamLeaving:
		m.handleWithheldCall(now)
	case EventStaleView:
		m.undoCall(upstream.NotSent)
		m.fail(errkind.New(errkind.StaleView, "the instance was stopped for a while"))
	case EventOriginInDoubt:
		m.undoCall(upstream.NotSent)
		m.fail(errOriginInDoubt())
	case EventQuarantined:
		m.undoCall(upstream.NotSent)
		m.fail(errQuarantined())
	case EventChunk:
		m.handleChunk(now, &ev.Chunk)
	case EventStreamEnded:
		m.handleBrokenStream(now)
	}
}
