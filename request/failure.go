package request

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

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

// handleGone takes the refusal of a decode call for which the slot is reserved. Either
// the prefill's result is missing, which lapsed or could not be fetched, or the decode
// engine is changing its role, in which it grants reservations that it does not keep.
// This request cannot tell, so that its next attempt goes to two others; package board
// tells by the refusals of several.
//
// What goes wrong otherwise: every prompt that is read for such a decode engine is read
// in vain, up to three times for each request; seen as prompts read that no engine took,
// and as a retry budget used up in seconds.
func (m *Machine) handleGone(ev Event) {
	m.act(Action{Kind: ActionHandoff, Target: m.target(roleDecode), From: m.target(rolePrefill)})
	m.cause = refusedCause(ev.Refusal)
	m.exclude = append(slices.Clone(m.exclude), m.plan.Prefill.Name, m.plan.Decode.Name)
	if !m.mayRetry() {
		m.fail(m.cause)
		return
	}
	m.cancelTouched()
	m.replan(true)
}

// unsent plans an attempt again of which the last call did not leave this process; that
// costs no upstream anything, so that no failed attempt is counted where refusals are not
// either.
func (m *Machine) unsent() {
	free := m.refusals < m.limits.MaxRefusals
	if !free {
		m.retry(m.failedCause(), true)
		return
	}
	m.refusals++
	m.cause = m.failedCause()
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
	m.cause = refusedCause(ev.Refusal)
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
	m.arrivals.unknown(m.step)
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
	m.act(Action{Kind: ActionFail, Attempt: m.attempt, Err: err.WithRun(runOfCaller(err.Kind, m.Run()))})
}

// broken says whether kind means that no upstream could go on, which after the
// first token the caller sees as a broken stream.
func broken(k errkind.Kind) bool {
	switch k {
	case errkind.UpstreamFailed, errkind.UpstreamRefused, errkind.NoUpstream, errkind.UpstreamLimit,
		errkind.Overloaded, errkind.TeamLimit, errkind.DeadlineUnreachable:
		return true
	default:
		return false
	}
}
