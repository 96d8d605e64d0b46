package request

import (
	"time"

	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// dispatch starts one call of the current attempt and records that it may reach its engine.
func (m *Machine) dispatch(now time.Time, s Step) {
	m.nextCall()
	m.lastStep = s
	if s == StepDecode {
		m.sends++
		m.lastProgress = now
	}
	m.arrivals.sent(s)
	m.run.begin(s)
	r := roleOfStep(s)
	m.heldBeforeCall = m.mayHoldMemory[r]
	m.mayHoldMemory[r] = true
	m.enterCall(now, s)
	m.addAction(Action{
		Kind: ActionDispatch, Step: s, Call: m.call, Attempt: m.attempt,
		Target: m.targetOf(r), Plan: m.plan, Index: len(m.tokens),
		Reservation: m.reservation, Handle: m.handle,
	})
}

// enterCall sets the state that belongs to a call and the call's timeout. If the plan
// predicts a queueing delay or a KV cache transfer, the predicted time is added to the
// timeout, as is the time that connections and replies to reservations may take longer than usual.
func (m *Machine) enterCall(now time.Time, s Step) {
	var timeout time.Duration
	switch s {
	case StepReserve:
		m.state, timeout = StateReserving, m.reserveTimeout()+m.plan.Connect
	case StepPrefill:
		m.state, timeout = StatePrefilling, m.limits.Prefill+m.plan.FirstToken+m.plan.Connect
	case StepDecode:
		untilTransferred := m.plan.TransferAt.Add(m.plan.Transfer).Sub(now)
		m.state, timeout = StateImporting, m.limits.Import+max(0, untilTransferred)+m.plan.Connect
		if m.stalled != nil {
			timeout = min(timeout, m.replaceTimeout())
		}
	default:
		m.state, timeout = StateStreaming, m.limits.Stall
	}
	m.stepDeadline, m.prolonged = now.Add(timeout), 0
}

// reserveTimeout returns the timeout of one call of a reservation.
func (m *Machine) reserveTimeout() time.Duration { return m.limits.Reserve + m.plan.ReplyDelay }

// restartReserve restarts the timeout of a reservation whose engine has replied.
//
// A reservation can take three calls. With one timeout for all, an instance that is short of processor
// time would give up engines that answer each call in time, eject them, and refuse its callers when
// none is left.
func (m *Machine) restartReserve(now time.Time) {
	if m.state == StateReserving {
		m.stepDeadline, m.prolonged = now.Add(m.reserveTimeout()), 0
	}
}

// minTickDelay is the delay from which on a tick counts as late: timers of an instance that has
// processor time are more exact.
const minTickDelay = 10 * time.Millisecond

// prolongReserve prolongs a reservation whose timeout is noticed late by the delay, and in all by up to
// the timeout. It returns false if the reservation is to be given up.
//
// An instance that did not run has neither sent the call nor read a reply meanwhile. Without the time that
// it has lost, it would give up engines that replied, eject them, and refuse its callers when none is left.
func (m *Machine) prolongReserve(now time.Time) bool {
	delay := now.Sub(m.stepDeadline)
	if m.state != StateReserving || delay < minTickDelay {
		return false
	}
	more := min(delay, m.reserveTimeout()-m.prolonged)
	if more <= 0 {
		return false
	}
	m.prolonged += more
	m.stepDeadline = now.Add(more)
	return true
}

func roleOfStep(s Step) role {
	if s == StepPrefill {
		return rolePrefill
	}
	return roleDecode
}

func (s *attemptState) targetOf(r role) Target {
	if r == rolePrefill && s.reoffered != nil {
		return Target{Name: s.reoffered.Name, Address: s.reoffered.Address}
	}
	if r == rolePrefill {
		return Target{Name: s.plan.Prefill.Name, Address: s.plan.Prefill.Address}
	}
	return Target{Name: s.plan.Decode.Name, Address: s.plan.Decode.Address}
}

func (m *Machine) handleReserved(now time.Time, reservation string) {
	if m.state != StateReserving {
		return
	}
	m.reservation = reservation
	m.run.settle(StepReserve, upstream.Done)
	if m.plan.PrefillFirst || m.plan.SkipPrefill || m.reoffered != nil {
		m.dispatch(now, StepDecode)
		return
	}
	m.dispatch(now, StepPrefill)
}

func (m *Machine) handlePrefilled(now time.Time, reply *engineapi.PrefillReply) {
	if m.state != StatePrefilling {
		return
	}
	m.run.settle(StepPrefill, upstream.Done)
	m.arrivals.accepted(StepPrefill)
	m.handle, m.prefilledAt = reply.Handle, now
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

// handleOpened handles an engine's acceptance of a decode or resume call. The state changes
// only with the first chunk.
func (m *Machine) handleOpened(now time.Time, head *engineapi.ResponseHead) {
	if m.lastStep == StepDecode || m.lastStep == StepResume {
		m.run.settle(m.lastStep, upstream.Done)
		if m.handle != "" && !m.decodeAccepted {
			m.addAction(Action{Kind: ActionReportHandoff, Target: m.targetOf(roleDecode), From: m.targetOf(rolePrefill), Accepted: true})
		}
		m.decodeAccepted, m.lastProgress = true, now
		m.reservation, m.handle = "", "" // the engine has consumed both
	}
	if head != nil {
		m.head = head
	}
	m.confirmReplacement()
	if m.lastStep == StepResume {
		m.stepDeadline = now.Add(m.limits.Stall)
	}
}

// undoCall reverts the bookkeeping of the latest call, which is known to have had no effect.
func (m *Machine) undoCall(d upstream.Delivery) {
	m.run.settle(m.lastStep, d)
	if d == upstream.Refused {
		m.arrivals.rejected(m.lastStep)
	} else {
		m.arrivals.undoSent(m.lastStep)
	}
	m.mayHoldMemory[roleOfStep(m.lastStep)] = m.heldBeforeCall
	if m.lastStep == StepDecode {
		m.sends--
	}
}

func (m *Machine) handleTick(now time.Time) {
	if m.stepDeadline.IsZero() || now.Before(m.stepDeadline) {
		return
	}
	if m.state == StateQueued {
		m.replanQueued()
		return
	}
	if m.prolongReserve(now) {
		return
	}
	awaitsChunks := m.state == StateImporting || m.state == StateStreaming
	switch {
	case !awaitsChunks, m.canResume():
		m.timeOutCall(now)
	case m.stalled != nil:
		m.endStalled(stallReplaced)
	default:
		m.handleStall()
	}
}

// timeOutCall ends a call whose timeout has passed.
func (m *Machine) timeOutCall(now time.Time) {
	if m.state == StateImporting || m.state == StateStreaming {
		m.logStall(stallAttached)
	}
	if m.decodeAccepted {
		m.handleBrokenStream(now)
		return
	}
	m.addAction(Action{Kind: ActionReportFailure, Step: m.lastStep, Attempt: m.attempt, TimedOut: true, Target: m.targetOf(roleOfStep(m.lastStep)), Unanswered: m.noResponse(upstream.Maybe)})
	m.reservationTimedOut = m.lastStep == StepReserve
	if m.reservationTimedOut && m.refusals < m.limits.MaxRefusals {
		m.run.settle(m.lastStep, upstream.Maybe)
		m.handleUnsentCall(now)
		return
	}
	m.handleUnknownDelivery(now)
}

// cancelOnEngines cancels the attempt on every engine that may hold memory for it.
func (m *Machine) cancelOnEngines() {
	for r := range roleCount {
		m.cancelOn(r)
	}
}

// cancelOn cancels the attempt on the engine of role r if it may hold memory for it.
func (m *Machine) cancelOn(r role) {
	if m.mayHoldMemory[r] {
		m.addAction(m.release(r))
		m.mayHoldMemory[r] = false
	}
}

// release returns the action that frees what the engine of role r holds for the attempt.
func (s *attemptState) release(r role) Action {
	a := Action{Kind: ActionCancel, Attempt: s.attempt, Target: s.targetOf(r)}
	if r == roleDecode {
		a.Reservation = s.reservation
	} else {
		a.Attempt, a.Handle = s.prefillAttempt, s.handle
	}
	return a
}

func (m *Machine) addAction(a Action) { m.actions = append(m.actions, a) }
