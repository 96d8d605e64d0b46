package request

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// dispatch sends one call of the current attempt.
func (m *Machine) dispatch(now time.Time, s Step) {
	m.call++
	m.step = s
	if s == StepDecode {
		m.sends++
	}
	m.run.begin(s)
	r := roleOf(s)
	m.before = m.touched[r]
	m.touched[r] = true
	m.begin(now, s)
	m.act(Action{
		Kind: ActionDispatch, Step: s, Call: m.call, Attempt: m.attempt,
		Target: m.target(r), Plan: m.plan, Index: len(m.tokens),
		Reservation: m.reservation, Handle: m.handle,
	})
}

// begin enters the state of a call and bounds it. Where the plan predicted a wait
// or a transfer, the bound runs from its end.
func (m *Machine) begin(now time.Time, s Step) {
	var bound time.Duration
	switch s {
	case StepReserve:
		m.state, bound = StateReserving, m.limits.Reserve
	case StepPrefill:
		m.state, bound = StatePrefilling, m.limits.Prefill+m.plan.FirstToken
	case StepDecode:
		arrival := m.plan.TransferAt.Add(m.plan.Transfer).Sub(now)
		m.state, bound = StateImporting, m.limits.Import+max(0, arrival)
	default:
		m.state, bound = StateStreaming, m.limits.Stall
	}
	m.stepEnds = now.Add(bound)
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

func (m *Machine) reserved(now time.Time, reservation string) {
	if m.state != StateReserving {
		return
	}
	m.reservation = reservation
	m.run.settle(StepReserve, upstream.Done)
	if m.plan.PrefillFirst || m.plan.SkipPrefill {
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
	m.handle = reply.Handle
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
func (m *Machine) opened(now time.Time, head *engineapi.Head) {
	if m.step == StepDecode || m.step == StepResume {
		m.run.settle(m.step, upstream.Done)
		m.taken = true
		m.reservation, m.handle = "", "" // the engine has used both
	}
	if head != nil && !m.headTold {
		m.headTold = true
		m.act(Action{Kind: ActionOpen, Attempt: m.attempt, Target: m.target(roleDecode), Head: head})
	}
	if m.step == StepResume {
		m.stepEnds = now.Add(m.limits.Stall)
	}
}

// undo takes back a call that certainly did nothing.
func (m *Machine) undo(d upstream.Delivery) {
	m.run.settle(m.step, d)
	m.touched[roleOf(m.step)] = m.before
	if m.step == StepDecode {
		m.sends--
	}
}

func (m *Machine) callFailed(now time.Time, ev Event) {
	target := m.target(roleOf(m.step))
	if ev.Delivery == upstream.Refused {
		m.undo(ev.Delivery)
		if m.step == StepDecode && m.reservation != "" && m.handle != "" {
			m.handleGone(ev)
			return
		}
		switch m.step {
		case StepReserve:
			m.act(Action{Kind: ActionFull, Step: m.step, Target: target})
			m.refused(ev)
			return
		case StepPrefill:
			m.act(Action{Kind: ActionFull, Step: m.step, Target: target})
		}
		m.retry(refusedCause(ev.Refusal), true)
		return
	}
	m.act(Action{Kind: ActionBlame, Target: target, Unanswered: m.silent(ev.Delivery), Reached: ev.Reached})
	if ev.Delivery == upstream.NotSent {
		m.undo(ev.Delivery)
		m.unsent()
		return
	}
	if ev.Answer != nil && m.step == StepDecode {
		m.answered(ev.Answer)
		return
	}
	m.uncertain(now)
}

// silent says that an upstream gave no sign of life: no connection, or no word on a
// reservation, which takes no work.
func (m *Machine) silent(d upstream.Delivery) bool {
	return d == upstream.NotSent || m.step == StepReserve
}

// handleGone takes the refusal of a decode call for which the slot is reserved: what
// is missing is the prefill's result, which lapsed or could not be fetched. The
// fault is the prefill engine's.
func (m *Machine) handleGone(ev Event) {
	m.act(Action{Kind: ActionBlame, Target: m.target(rolePrefill)})
	m.cause = refusedCause(ev.Refusal)
	m.exclude = append(slices.Clone(m.exclude), m.plan.Prefill.Name)
	if !m.mayRetry() {
		m.fail(m.cause)
		return
	}
	m.cancelTouched()
	m.replan(true)
}

// unsent plans an attempt again of which nothing left this process; that costs no
// upstream anything, so that no retry is charged where refusals are not either.
func (m *Machine) unsent() {
	free := m.refusals < m.limits.MaxRefusals
	if !free {
		m.retry(m.failedCause(), true)
		return
	}
	m.refusals++
	m.exclude = append(slices.Clone(m.exclude), m.suspects()...)
	m.cancelTouched()
	m.replan(false)
}

// refused plans an attempt again after a refused reservation, which costs nothing
// but the call; past the bound it is a failed attempt.
func (m *Machine) refused(ev Event) {
	if m.refusals >= m.limits.MaxRefusals {
		m.retry(refusedCause(ev.Refusal), true)
		return
	}
	m.refusals++
	m.streak++
	m.cancelTouched()
	m.replan(false)
}

// answered takes an engine's own failure: another engine may do better, else the
// caller gets it as it came.
func (m *Machine) answered(a *CallAnswer) {
	m.run.settle(m.step, upstream.Done)
	m.run.generated()
	m.reservation, m.handle = "", ""
	if m.mayRetry() {
		m.retry(m.failedCause(), true)
		return
	}
	if len(m.tokens) > 0 || m.headTold {
		m.fail(m.failedCause())
		return
	}
	m.state = StateEnded
	m.act(Action{Kind: ActionAnswer, Attempt: m.attempt, Target: m.target(roleDecode), Answer: a})
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
	if !m.mayRetry() {
		m.fail(cause)
		return
	}
	m.cancelTouched()
	m.replan(charged)
}

// mayRetry says whether another attempt is allowed at all.
func (m *Machine) mayRetry() bool {
	switch {
	case m.tries() >= m.limits.MaxAttempts:
		return false
	case m.c.MaxSends > 0 && m.sends >= m.c.MaxSends:
		return false
	}
	return m.c.again() || m.run.level() == notRun
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
	if m.state == StateQueued {
		m.turn()
		return
	}
	if m.limits.Patient && m.step == StepDecode && !m.mayRetry() {
		// Silence alone ends no answer that nobody else may give: the engine may be
		// busy, and the deadline bounds the wait.
		m.stepEnds = time.Time{}
		return
	}
	if m.taken {
		m.cut(now)
		return
	}
	m.act(Action{Kind: ActionBlame, Target: m.target(roleOf(m.step)), Unanswered: m.silent(upstream.Maybe)})
	if m.step == StepReserve && m.refusals < m.limits.MaxRefusals {
		m.run.settle(m.step, upstream.Maybe)
		m.unsent()
		return
	}
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
			m.act(m.release(r))
			m.touched[r] = false
		}
	}
}

// release returns the action that frees what one engine holds for the attempt.
func (m *Machine) release(r role) Action {
	a := Action{Kind: ActionCancel, Attempt: m.attempt, Target: m.target(r)}
	if r == roleDecode {
		a.Reservation = m.reservation
	} else {
		a.Handle = m.handle
	}
	return a
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }
