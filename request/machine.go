package request

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Limits bound one request.
type Limits struct {
	// MaxAttempts bounds the plans that are tried; at least 1.
	MaxAttempts int
	// MaxResumes bounds how often one attempt's stream is attached to again.
	MaxResumes int
	// Reserve, Prefill and Import bound their calls; Import runs from the decode
	// call to its first chunk. Stall bounds the wait between two chunks.
	Reserve time.Duration
	Prefill time.Duration
	Import  time.Duration
	Stall   time.Duration
}

// DefaultLimits returns the limits used where settings give none. They are
// assumed: many times what a healthy engine takes, and short beside a draft's
// deadline.
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

// role tells the two engines of an attempt apart.
type role uint8

const (
	roleDecode role = iota
	rolePrefill
	roles
)

// Drops counts chunks that were not part of the answer.
type Drops struct {
	// Late came from an older call, Crossed named other work, Duplicate repeated an index.
	Late, Crossed, Duplicate int
}

// Machine is the state machine of one completion. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type Machine struct {
	c      Completion
	limits Limits

	state   State
	attempt int
	plan    *policy.Plan
	exclude []string
	cause   *errkind.Error // why the last attempt failed

	call     int // number of the latest call
	step     Step
	stepEnds time.Time
	resumes  int
	// taken says that the engine is known to have taken this attempt's decode call.
	taken bool
	// imported says that the KV cache has arrived there.
	imported bool
	// touched says which engines may hold memory for this attempt; before is its
	// value before the call in flight.
	touched [roles]bool
	before  bool

	run     runState
	tokens  []string
	usage   Usage
	drops   Drops
	actions []Action
}

// NewMachine returns a machine for c. Step it with EventStart first.
func NewMachine(c Completion, limits Limits) *Machine {
	return &Machine{c: c, limits: limits}
}

// State returns where the request stands.
func (m *Machine) State() State { return m.state }

// Attempt returns the number of the current attempt, from 1.
func (m *Machine) Attempt() int { return m.attempt }

// Run returns the run state over all attempts.
func (m *Machine) Run() errkind.Run { return m.run.level().run() }

// Tokens returns the delivered tokens. Callers must not change the slice.
func (m *Machine) Tokens() []string { return m.tokens }

// Drops returns the counts of dropped chunks.
func (m *Machine) Drops() Drops { return m.drops }

// Wake returns when EventTick is due.
func (m *Machine) Wake() time.Time {
	if m.stepEnds.IsZero() || m.c.Deadline.Before(m.stepEnds) {
		return m.c.Deadline
	}
	return m.stepEnds
}

// Step takes one event and returns the actions it leads to, in order. The slice
// is valid until the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = m.actions[:0]
	if m.state == StateEnded {
		m.countLate(ev)
		return nil
	}
	if !now.Before(m.c.Deadline) && ev.Kind != EventCallerGone {
		m.settleLast(ev)
		m.fail(errkind.New(errkind.DeadlineExceeded, "the answer was not complete in time"))
		return m.actions
	}
	switch ev.Kind {
	case EventStart:
		m.replan(false)
	case EventPlanned, EventPlanRefused, EventRetryDenied:
		m.planning(now, ev)
	case EventCallerGone:
		m.fail(errkind.New(errkind.ClientGone, "the caller went away"))
	case EventDrainLimit:
		m.fail(errkind.New(errkind.Draining, "the instance reached its shutdown limit"))
	case EventTick:
		m.tick(now)
	default:
		m.callEvent(now, ev)
	}
	return m.actions
}

// settleLast lets an outcome that comes together with the deadline still count
// in the run state.
func (m *Machine) settleLast(ev Event) {
	if ev.Kind == EventCallFailed && ev.Call == m.call {
		m.run.settle(m.step, ev.Delivery)
	}
}

func (m *Machine) countLate(ev Event) {
	if ev.Kind == EventChunk {
		m.drops.Late++
	}
}

func (m *Machine) replan(retry bool) {
	m.attempt++
	m.state = StatePlanning
	m.plan = nil
	m.resumes = 0
	m.taken, m.imported = false, false
	m.stepEnds = time.Time{}
	m.call++ // outcomes of the attempt before are late from here on
	m.act(Action{Kind: ActionPlan, Attempt: m.attempt, Exclude: m.exclude, Retry: retry})
}

func (m *Machine) planning(now time.Time, ev Event) {
	if m.state != StatePlanning {
		return
	}
	switch ev.Kind {
	case EventPlanned:
		m.plan = ev.Plan
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

// callEvent handles what belongs to one call. Whatever belongs to another call
// than the latest is dropped: its attempt was given up and cancelled.
func (m *Machine) callEvent(now time.Time, ev Event) {
	if ev.Call != m.call || m.state == StatePlanning {
		m.countLate(ev)
		return
	}
	switch ev.Kind {
	case EventReserved:
		m.reserved(now)
	case EventPrefilled:
		m.prefilled(now, ev.Prefill)
	case EventOpened:
		m.opened(now)
	case EventCallFailed:
		m.callFailed(now, ev)
	case EventLeft:
		m.undo(upstream.NotSent)
		m.retry(errkind.New(errkind.NoUpstream, "the chosen upstream is leaving"), false)
	case EventStale:
		m.undo(upstream.NotSent)
		m.fail(errkind.New(errkind.StaleView, "the instance was stopped for a while"))
	case EventChunk:
		m.chunk(now, &ev.Chunk)
	case EventCut:
		m.cut(now)
	}
}

// dispatch sends one call of the current attempt.
func (m *Machine) dispatch(now time.Time, s Step) {
	m.call++
	m.step = s
	m.run.begin(s)
	r := roleOf(s)
	m.before = m.touched[r]
	m.touched[r] = true
	var bound time.Duration
	switch s {
	case StepReserve:
		m.state, bound = StateReserving, m.limits.Reserve
	case StepPrefill:
		m.state, bound = StatePrefilling, m.limits.Prefill
	case StepDecode:
		m.state, bound = StateImporting, m.limits.Import
	default:
		m.state, bound = StateStreaming, m.limits.Stall
	}
	m.stepEnds = now.Add(bound)
	m.act(Action{
		Kind: ActionDispatch, Step: s, Call: m.call, Attempt: m.attempt,
		Target: m.target(r), Plan: m.plan, Index: len(m.tokens),
	})
}

func roleOf(s Step) role {
	if s == StepPrefill {
		return rolePrefill
	}
	return roleDecode
}

func (m *Machine) target(r role) Target {
	if r == rolePrefill {
		return Target{Name: m.plan.Prefill.Name, Address: m.plan.Prefill.Address}
	}
	return Target{Name: m.plan.Decode.Name, Address: m.plan.Decode.Address}
}

func (m *Machine) reserved(now time.Time) {
	if m.state != StateReserving {
		return
	}
	m.run.settle(StepReserve, upstream.Done)
	if m.plan.PrefillFirst {
		m.dispatch(now, StepDecode)
		return
	}
	m.dispatch(now, StepPrefill)
}

func (m *Machine) prefilled(now time.Time, reply *engineapi.PrefillReply) {
	if m.state != StatePrefilling {
		return
	}
	m.run.settle(StepPrefill, upstream.Done)
	if m.attempt == 1 || m.usage.PromptTokens == 0 {
		m.usage.PromptTokens = reply.PromptTokens
		m.usage.CachedTokens = reply.CachedTokens
	}
	if m.plan.PrefillFirst {
		m.dispatch(now, StepReserve)
		return
	}
	m.dispatch(now, StepDecode)
}

// opened notes that the engine took the call. It changes no state: the first
// chunk does.
func (m *Machine) opened(now time.Time) {
	if m.step == StepDecode || m.step == StepResume {
		m.run.settle(m.step, upstream.Done)
		m.taken = true
	}
	if m.step == StepResume {
		m.stepEnds = now.Add(m.limits.Stall)
	}
}

// undo takes back a call that certainly did nothing.
func (m *Machine) undo(d upstream.Delivery) {
	m.run.settle(m.step, d)
	m.touched[roleOf(m.step)] = m.before
}

func (m *Machine) callFailed(now time.Time, ev Event) {
	target := m.target(roleOf(m.step))
	if ev.Delivery == upstream.Refused {
		m.undo(ev.Delivery)
		m.retry(refusedCause(ev.Refusal), true)
		return
	}
	m.act(Action{Kind: ActionBlame, Target: target})
	if ev.Delivery == upstream.NotSent {
		m.undo(ev.Delivery)
		m.retry(m.failedCause(), true)
		return
	}
	m.uncertain(now)
}

// uncertain goes on after a call that may have been delivered. A decode call
// is attached to first: its engine may well be generating.
func (m *Machine) uncertain(now time.Time) {
	m.run.settle(m.step, upstream.Maybe)
	if m.step == StepDecode && m.canResume() {
		m.resume(now)
		return
	}
	m.retry(m.failedCause(), true)
}

func (m *Machine) failedCause() *errkind.Error {
	return errkind.New(errkind.UpstreamFailed, "the "+m.step.String()+" call failed")
}

func refusedCause(r *engineapi.Refusal) *errkind.Error {
	e := errkind.New(errkind.UpstreamRefused, "an upstream refused the request")
	if r != nil && r.RetryAfterMS > 0 {
		return e.WithRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
	}
	return e
}

// retry gives the attempt up and plans another, or ends the request. A failure
// that this daemon's own check found, before anything was sent, costs nothing
// of the retry budget.
func (m *Machine) retry(cause *errkind.Error, charged bool) {
	m.cause = cause
	m.exclude = append(slices.Clone(m.exclude), m.suspects()...)
	if m.attempt >= m.limits.MaxAttempts || (m.c.NonIdempotent && m.run.level() > notRun) {
		m.fail(cause)
		return
	}
	m.cancelTouched()
	m.replan(charged)
}

// suspects names the upstreams that the next attempt leaves out. An attempt that
// failed while the KV cache was on its way may have failed at either end: with
// the decode engine alone left out, a prefill engine whose exports fail would
// use up every attempt.
func (m *Machine) suspects() []string {
	if m.taken && !m.imported && m.step != StepPrefill {
		return []string{m.plan.Decode.Name, m.plan.Prefill.Name}
	}
	return []string{m.target(roleOf(m.step)).Name}
}

func (m *Machine) tick(now time.Time) {
	if m.stepEnds.IsZero() || now.Before(m.stepEnds) {
		return
	}
	if m.taken {
		m.cut(now)
		return
	}
	m.act(Action{Kind: ActionBlame, Target: m.target(roleOf(m.step))})
	m.uncertain(now)
}

// fail ends the request. The run state is always the lattice's.
func (m *Machine) fail(err *errkind.Error) {
	if err == nil {
		err = errkind.New(errkind.Internal, "no reason was given")
	}
	if len(m.tokens) > 0 && broken(err.Kind) {
		err = errkind.Wrap(err, errkind.StreamBroken, err.Detail).WithRetryAfter(err.RetryAfter)
	}
	m.cancelTouched()
	m.state = StateEnded
	m.act(Action{Kind: ActionFail, Attempt: m.attempt, Err: err.WithRun(m.Run())})
}

// broken says whether kind means that no upstream could go on, which after the
// first token the caller sees as a broken stream.
func broken(k errkind.Kind) bool {
	switch k {
	case errkind.UpstreamFailed, errkind.UpstreamRefused, errkind.NoUpstream,
		errkind.Overloaded, errkind.TeamLimit, errkind.DeadlineUnreachable:
		return true
	default:
		return false
	}
}

// cancelTouched cancels the attempt on every engine that may hold memory for it.
func (m *Machine) cancelTouched() {
	for r := range roles {
		if m.touched[r] {
			m.act(Action{Kind: ActionCancel, Attempt: m.attempt, Target: m.target(r)})
			m.touched[r] = false
		}
	}
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }
