package request

import (
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func (m *Machine) handleCallFailed(now time.Time, ev Event) {
	target := m.targetOf(roleOfStep(m.lastStep))
	if ev.Delivery == upstream.Refused {
		m.undoCall(ev.Delivery)
		if m.lastStep == StepDecode && m.reservation != "" && m.handle != "" {
			m.handleRefusedHandoff(now, ev)
			return
		}
		switch m.lastStep {
		case StepReserve:
			m.reportFull(ev.Refusal, target)
			m.handleRefusedReservation(now)
			return
		case StepPrefill:
			m.reportFull(ev.Refusal, target)
		}
		m.retry(refusedError(), true)
		return
	}
	if !ev.Withheld {
		m.addAction(Action{Kind: ActionReportFailure, Target: target, Unanswered: m.noResponse(ev.Delivery), Reached: ev.Reached})
	}
	if ev.Delivery == upstream.NotSent {
		m.undoCall(ev.Delivery)
		m.handleUnsentCall(now)
		return
	}
	if ev.Answer != nil && m.lastStep == StepDecode {
		m.handleEngineError(ev.Answer)
		return
	}
	m.handleUnknownDelivery(now)
}

// reportFull reports that an engine refused the last call. One that asked for rest said nothing of its
// capacity.
func (m *Machine) reportFull(r *engineapi.Refusal, target Target) {
	if !r.AsksForRest() {
		m.addAction(Action{Kind: ActionReportFull, Step: m.lastStep, Target: target})
	}
}

// noResponse reports whether a call failed without any response of the upstream: it could not
// be reached, or a reservation, which engines answer at once, stayed unanswered.
func (m *Machine) noResponse(d upstream.Delivery) bool {
	return d == upstream.NotSent || m.lastStep == StepReserve
}

// handleRefusedHandoff handles the refusal of a decode call for which a slot is reserved and a
// prompt prefilled. Either the prefill result has expired or could not be fetched, or the
// decode engine rejects requests, or is changing its role and grants reservations that it does
// not keep. The result is offered to one more decode engine. If that refuses it too, the next
// attempt avoids the prefill engine as well; package board compares the refusals of several
// requests.
//
// If a decode engine that is changing its role were used again, up to three prompts of each
// request would be prefilled in vain, and the retry budget would be used up within seconds.
func (m *Machine) handleRefusedHandoff(now time.Time, ev Event) {
	if !ev.Refusal.AsksForRest() {
		m.addAction(Action{Kind: ActionReportHandoff, Target: m.targetOf(roleDecode), From: m.targetOf(rolePrefill)})
	}
	m.cause = refusedError()
	m.exclude = append(slices.Clone(m.exclude), m.plan.Decode.Name)
	if !m.mayRetry() {
		m.fail(m.cause)
		return
	}
	if m.reoffered == nil && m.mayReoffer(now) {
		m.reoffers++
		m.planReoffer(true)
		return
	}
	m.exclude = append(m.exclude, m.plan.Prefill.Name)
	m.cancelOnEngines()
	m.planNextAttempt(true)
}

// maxResultAge is the age up to which a prefill result is offered to another decode engine. It
// leaves time to reserve a slot there before the result expires.
const maxResultAge = policy.PrefillResultLifetime / 2

// mayReoffer reports whether the attempt has a prefill result that another decode engine can
// take over.
func (m *Machine) mayReoffer(now time.Time) bool {
	return m.limits.ReofferPrefills && m.handle != "" && now.Sub(m.prefilledAt) < maxResultAge
}

// planReoffer plans an attempt that offers the prefill result of this one to another decode
// engine; retry is the Retry field of the action.
//
// If each refused decode call had the prompt read again, a pool that rejects three in five
// requests would spend most of its prefill engines' time on results that nobody takes, and two
// retries for each of them.
func (m *Machine) planReoffer(retry bool) {
	m.cancelOn(roleDecode)
	prefill, handle, attempt := m.plan.Prefill, m.handle, m.prefillAttempt
	m.planNextAttempt(retry)
	m.reoffered, m.offersAgain, m.handle, m.prefillAttempt = &prefill, true, handle, attempt
	plan := &m.actions[len(m.actions)-1]
	plan.Reoffered, plan.Version = m.targetOf(rolePrefill), prefill.Version
}

// withReoffered returns p with the prefill engine whose result the attempt offers again, if
// there is one.
func (m *Machine) withReoffered(p *policy.Plan) *policy.Plan {
	if m.reoffered == nil {
		return p
	}
	out := *p
	out.Prefill, out.SkipPrefill, out.PrefillFirst = *m.reoffered, false, false
	return &out
}

// dropReoffered releases the prefill result that the attempt was to offer again.
func (m *Machine) dropReoffered() {
	if m.reoffered == nil {
		return
	}
	m.cancelOn(rolePrefill)
	m.reoffered, m.handle, m.prefillAttempt = nil, "", m.attempt
}

// handleUnsentCall plans the attempt again after a call that was never sent. Since such a call
// costs the upstream nothing, it counts as a failed attempt only after MaxRefusals unsent calls
// and refused reservations.
func (m *Machine) handleUnsentCall(now time.Time) {
	if !m.mayPlanFreely() {
		m.retry(m.callFailedError(), true)
		return
	}
	m.refusals++
	m.cause = m.callFailedError()
	m.avoidFailed()
	m.planWithoutPermit(now)
}

// handleWithheldCall plans another attempt after a call that this daemon did not send, because its
// upstream takes no new work. If a prompt has been prefilled, its result is offered to another decode
// engine.
func (m *Machine) handleWithheldCall(now time.Time) {
	m.undoCall(upstream.NotSent)
	cause := errkind.New(errkind.NoUpstream, "the chosen upstream takes no new work now")
	if m.lastStep != StepDecode || !m.mayReoffer(now) || !m.mayRetry() {
		m.retry(cause, false)
		return
	}
	m.cause = cause
	m.exclude = append(slices.Clone(m.exclude), m.plan.Decode.Name)
	m.planReoffer(false)
}

// planWithoutPermit plans the next attempt after one in which nothing was sent to the decode
// engine.
func (m *Machine) planWithoutPermit(now time.Time) {
	if m.reoffered != nil && m.mayReoffer(now) {
		m.planReoffer(false)
		return
	}
	m.cancelOnEngines()
	m.planNextAttempt(false)
}

// handleRefusedReservation plans the attempt again after a refused reservation. Nothing of the
// request was sent, so the refusal counts as a failed attempt only after MaxRefusals unsent
// calls and refused reservations.
func (m *Machine) handleRefusedReservation(now time.Time) {
	if !m.mayPlanFreely() {
		m.retry(refusedError(), true)
		return
	}
	m.refusals++
	m.refusalStreak++
	m.cause = refusedError()
	m.planWithoutPermit(now)
}

// handleEngineError handles an engine's own error answer. It tries another engine if it may,
// and otherwise passes the answer to the caller unchanged.
func (m *Machine) handleEngineError(a *CallAnswer) {
	m.run.settle(m.lastStep, upstream.Done)
	m.run.generated()
	m.reservation, m.handle = "", ""
	if m.mayRetry() {
		m.retry(m.callFailedError(), true)
		return
	}
	if len(m.tokens) > 0 || m.stalled != nil {
		m.fail(m.callFailedError())
		return
	}
	m.state = StateEnded
	m.addAction(Action{Kind: ActionAnswer, Attempt: m.attempt, Target: m.targetOf(roleDecode), Answer: a})
}

// handleUnknownDelivery handles the failure of a call that may have been delivered. After a
// decode call it first resumes the stream, because the engine may be generating.
func (m *Machine) handleUnknownDelivery(now time.Time) {
	m.run.settle(m.lastStep, upstream.Maybe)
	m.arrivals.uncertain(m.lastStep)
	if m.lastStep == StepDecode && m.canResume() {
		m.resume(now)
		return
	}
	m.retry(m.callFailedError(), true)
}

// callFailedError returns the error of an attempt whose latest call failed.
func (m *Machine) callFailedError() *errkind.Error {
	return errkind.New(errkind.UpstreamFailed, "the "+m.lastStep.String()+" call failed")
}

// refusedError returns the error of an attempt that an upstream refused. A rest that the upstream asked
// for is not passed on to the caller: it concerns that upstream alone, and others may serve at once.
func refusedError() *errkind.Error {
	return errkind.New(errkind.UpstreamRefused, "an upstream refused the request")
}

// retry ends the attempt and plans another one, or fails the request. charged states that the
// next attempt takes a retry permit; it is false if the attempt ended because a check of this
// daemon failed before anything was sent.
func (m *Machine) retry(cause *errkind.Error, charged bool) {
	m.cause = cause
	m.avoidFailed()
	if !m.mayRetry() {
		m.fail(cause)
		return
	}
	m.cancelOnEngines()
	m.planNextAttempt(charged)
}

// mayRetry reports whether the limits and the run state allow another attempt.
func (m *Machine) mayRetry() bool {
	switch {
	case m.countedAttempts() >= m.limits.MaxAttempts:
		return false
	case m.c.MaxSends > 0 && m.sends >= m.c.MaxSends:
		return false
	}
	return m.mayRunAgain()
}

// mayRunAgain reports whether the request may be dispatched again: it may run more than once, or has not run.
func (m *Machine) mayRunAgain() bool { return m.c.mayRunAgain() || m.run.level() == notRun }

// mayPlanFreely reports whether an attempt that cost its engine nothing may be planned again without
// counting as failed. The request may have run in an earlier call of the attempt or in another attempt.
func (m *Machine) mayPlanFreely() bool {
	return m.refusals < m.limits.MaxRefusals && m.mayRunAgain()
}

// avoidFailed records the upstreams of the attempt that the next one must avoid. An engine that did not
// reply to a reservation may be asked again: it was silent for a moment, and has nothing of the request.
func (m *Machine) avoidFailed() {
	if m.reservationTimedOut {
		m.noReply = append(slices.Clone(m.noReply), m.plan.Decode.Name)
		return
	}
	m.exclude = append(slices.Clone(m.exclude), m.failedUpstreams()...)
}

// failedUpstreams returns the upstreams that the next attempt must avoid. If the attempt
// failed during the KV cache transfer, either end may be at fault: if only the decode engine
// were excluded, a prefill engine whose exports fail would use up all attempts.
func (m *Machine) failedUpstreams() []string {
	if m.decodeAccepted && !m.imported && m.lastStep != StepPrefill {
		return []string{m.plan.Decode.Name, m.plan.Prefill.Name}
	}
	return []string{m.targetOf(roleOfStep(m.lastStep)).Name}
}

// fail ends the attempt, and the request with err, unless the call of an attempt before it is still
// open.
func (m *Machine) fail(err *errkind.Error) {
	if err == nil {
		err = errkind.New(errkind.Internal, "no reason was given")
	}
	if m.stalled != nil {
		m.keepStalled(string(err.Kind), replacementInterval)
		return
	}
	m.end(err)
}

// end ends the request with err and the run state over all attempts.
func (m *Machine) end(err *errkind.Error) {
	m.endStalled(stallRequestEnded)
	if len(m.tokens) > 0 && noUpstreamLeft(err.Kind) {
		err = errkind.Wrap(err, errkind.StreamBroken, err.Detail).WithRetryAfter(err.RetryAfter)
	}
	m.cancelOnEngines()
	m.state = StateEnded
	m.addAction(Action{Kind: ActionFail, Attempt: m.attempt, Err: err.WithRun(callerRun(err.Kind, m.Run()))})
}

// noUpstreamLeft reports whether kind means that no upstream can continue the request. After
// the first token, the caller gets such an error as a broken stream.
func noUpstreamLeft(k errkind.Kind) bool {
	switch k {
	case errkind.UpstreamFailed, errkind.UpstreamRefused, errkind.NoUpstream, errkind.VersionUnavailable, errkind.OriginUnknown, errkind.UpstreamLimit,
		errkind.Overloaded, errkind.TeamLimit, errkind.DeadlineUnreachable:
		return true
	default:
		return false
	}
}
