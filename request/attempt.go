package request

import (
	"time"

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
	m.arrivals.sent(s)
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
	m.arrivals.accepted(StepPrefill)
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
		if m.handle != "" && !m.taken {
			m.act(Action{Kind: ActionHandoff, Target: m.target(roleDecode), From: m.target(rolePrefill), Taken: true})
		}
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
	if d == upstream.Refused {
		m.arrivals.rejected(m.step)
	} else {
		m.arrivals.unsent(m.step)
	}
	m.touched[roleOf(m.step)] = m.before
	if m.step == StepDecode {
		m.sends--
	}
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
	if needs := m.silenceNeeds(); needs > 0 {
		m.stepEnds = now.Add(m.limits.Stall) // to ask again
		m.act(Action{Kind: ActionPermit, Call: m.call, Attempt: m.attempt, Needs: needs})
		return
	}
	m.giveUp(now)
}

// silenceNeeds returns how many retries must be had before the call in flight is given up
// for its silence; 0 where the next attempt's plan is asked for them.
//
// What goes wrong otherwise: a stream whose engine is busy with others is cut, the retry is
// then denied, and an answer that would have gone on ends broken.
func (m *Machine) silenceNeeds() int {
	if !m.limits.Patient || !m.limits.CountArrivals || m.step != StepDecode {
		return 0
	}
	return m.arrivals.needs(true)
}

// permitted gives the silent call up once another attempt is paid for.
func (m *Machine) permitted(now time.Time, ev Event) {
	m.arrivals.paid += ev.Paid
	waits := m.state == StateImporting || m.state == StateStreaming
	if ev.Paid > 0 && ev.Call == m.call && waits {
		m.giveUp(now)
	}
}

// giveUp ends a call whose time is over.
func (m *Machine) giveUp(now time.Time) {
	if m.taken {
		m.cut(now)
		return
	}
	m.act(Action{Kind: ActionBlame, Step: m.step, Late: true, Target: m.target(roleOf(m.step)), Unanswered: m.silent(upstream.Maybe)})
	if m.step == StepReserve && m.refusals < m.limits.MaxRefusals {
		m.run.settle(m.step, upstream.Maybe)
		m.unsent()
		return
	}
	m.uncertain(now)
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
