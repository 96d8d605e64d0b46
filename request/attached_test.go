package request

import (
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// machineScript feeds events to one machine that has the limits of an attached daemon (one that
// runs on an existing platform, see package platform).
type machineScript struct {
	t   *testing.T
	m   *Machine
	now time.Time
	// call is the number of the last dispatch, which events belong to by default.
	call        int
	lastActions []Action
}

func newMachineScript(t *testing.T, c Completion) *machineScript {
	at := time.Unix(1000, 0)
	c.ID, c.Accepted, c.Deadline = "r", at, at.Add(14*time.Second)
	s := &machineScript{t: t, m: NewMachine(c, attachedLimits()), now: at}
	s.step(Event{Kind: EventStart})
	return s
}

func (s *machineScript) step(ev Event) *machineScript {
	if ev.Call == 0 {
		ev.Call = s.call
	}
	s.lastActions = append([]Action(nil), s.m.Step(s.now, ev)...)
	for _, a := range s.lastActions {
		if a.Kind == ActionDispatch {
			s.call = a.Call
		}
	}
	return s
}

// planOn answers the last ActionPlan with the given engines.
func (s *machineScript) planOn(decode, prefill string) *machineScript {
	return s.step(Event{Kind: EventPlanned, Plan: &policy.Plan{Decode: policy.Replica{Name: decode}, Prefill: policy.Replica{Name: prefill}}})
}

// refused reports the refusal of the latest call.
func (s *machineScript) refused() {
	s.step(Event{Kind: EventCallFailed, Delivery: upstream.Refused})
}

// toDecode completes the reservation and the prefill, so that the machine dispatches the decode
// call.
func (s *machineScript) toDecode() *machineScript {
	s.step(Event{Kind: EventReserved, Reservation: "hold"})
	return s.step(Event{Kind: EventPrefilled, Prefill: &engineapi.PrefillReply{Handle: "handle", PromptTokens: 3}})
}

func (s *machineScript) findAction(kind ActionKind) *Action {
	for i := range s.lastActions {
		if s.lastActions[i].Kind == kind {
			return &s.lastActions[i]
		}
	}
	return nil
}

func (s *machineScript) wantAction(kind ActionKind, what string) Action {
	s.t.Helper()
	a := s.findAction(kind)
	if a == nil {
		s.t.Fatalf("%s: got %+v", what, s.lastActions)
	}
	return *a
}

// Guards against requests that fail in a burst, when most engines are full: a refused
// reservation must not count as an attempt, take a retry permit or exclude the engine from the
// next plan.
func TestRefusedReservationIsNotCountedAsAttempt(t *testing.T) {
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	for range attachedLimits().MaxRefusals {
		s.planOn("d0", "p0").refused()
		a := s.wantAction(ActionPlan, "another plan")
		if a.Retry || len(a.Exclude) > 0 || a.Tries != 1 {
			t.Fatalf("plan %+v", a)
		}
		if s.findAction(ActionReportFull) == nil {
			t.Fatal("the full engine was not reported")
		}
	}
	s.planOn("d0", "p0").refused()
	if a := s.wantAction(ActionPlan, "the second attempt"); !a.Retry {
		t.Error("a refusal beyond MaxRefusals is not charged")
	}
}

// Guards against an engine that refuses a prompt and is not reported as full. Unlike a refused
// reservation, a refused prompt takes a retry permit, because the engine has to process it.
func TestRefusedPromptReportsFullEngine(t *testing.T) {
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").step(Event{Kind: EventReserved, Reservation: "hold"}).refused()
	if a := s.wantAction(ActionReportFull, "full"); a.Target.Name != "p0" || a.Step != StepPrefill {
		t.Errorf("full: %q at %s", a.Target.Name, a.Step)
	}
	if a := s.wantAction(ActionPlan, "the second attempt"); !a.Retry {
		t.Error("the refusal is not charged")
	}
}

// Guards against sending an at-most-once completion to a second engine: the engine opens the
// answer, and then a faulty transport reports that the call was not sent or was refused. The
// engine's own acceptance must prevail.
func TestOpenedCallIsNeverUndone(t *testing.T) {
	for _, delivery := range []upstream.Delivery{upstream.NotSent, upstream.Refused} {
		s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 2})
		s.planOn("d0", "p0").toDecode().step(Event{Kind: EventOpened}).step(Event{Kind: EventCallFailed, Delivery: delivery})
		if a := s.wantAction(ActionFail, "the end"); a.Err.Run != errkind.Unknown {
			t.Errorf("%s: run state %s", delivery, a.Err.Run)
		}
	}
}

// Guards against repeated wasted prefills: after the reservation and the prefill, the decode
// engine refuses the decode call because the prefill result has expired or the engine is
// changing its role. If only one of the two engines were excluded, the next attempt could fail
// in the same way.
func TestRefusedHandoffExcludesBothEngines(t *testing.T) {
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").toDecode().refused()
	s.planOn("d1", "p1").step(Event{Kind: EventReserved, Reservation: "hold"}).refused()
	if a := s.wantAction(ActionReportHandoff, "a refused handoff"); a.Target.Name != "d1" || a.From.Name != "p0" || a.Accepted {
		t.Errorf("handoff %+v", a)
	}
	if a := s.wantAction(ActionPlan, "another plan"); !slices.Equal(a.Exclude, []string{"d0", "d1", "p0"}) || a.Reoffered.Name != "" {
		t.Errorf("excluded %q, offers the result of %q", a.Exclude, a.Reoffered.Name)
	}
	if released := s.released(); !released["hold"] || !released["handle"] {
		t.Errorf("released %v", released)
	}
}

// released returns the reservations and handles that the last actions release.
func (s *machineScript) released() map[string]bool {
	out := map[string]bool{}
	for _, a := range s.lastActions {
		if a.Kind == ActionCancel {
			out[a.Reservation+a.Handle] = true
		}
	}
	return out
}

// Guards against prompts that are read again and again while decode engines reject requests:
// the result of the first one must be offered to another decode engine, without a prompt.
func TestRefusedHandoffOffersResultAgain(t *testing.T) {
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").toDecode().refused()
	a := s.wantAction(ActionPlan, "another plan")
	if a.Reoffered.Name != "p0" || !slices.Equal(a.Exclude, []string{"d0"}) {
		t.Errorf("offers the result of %q, excluded %q", a.Reoffered.Name, a.Exclude)
	}
	if released := s.released(); !released["hold"] || released["handle"] {
		t.Errorf("released %v", released)
	}
	if n := s.m.permitsNeeded(a, &policy.Plan{}); n != 1 {
		t.Errorf("%d permits for one more arrival", n)
	}
	s.planOn("d1", "p1")
	if a := s.wantAction(ActionDispatch, "a reservation"); a.Step != StepReserve || a.Target.Name != "d1" {
		t.Errorf("dispatched %v to %q", a.Step, a.Target.Name)
	}
	s.step(Event{Kind: EventReserved, Reservation: "hold2"})
	if a := s.wantAction(ActionDispatch, "the decode call"); a.Step != StepDecode || a.Handle != "handle" || a.Plan.Prefill.Name != "p0" {
		t.Errorf("dispatched %v with handle %q of %q", a.Step, a.Handle, a.Plan.Prefill.Name)
	}
}

// Guards against prefill results that are offered after they have expired, and against results
// that stay on their engine when the request ends before another decode engine takes them.
func TestReofferedResultIsReleased(t *testing.T) {
	for name, end := range map[string]func(s *machineScript){
		"caller gone":      func(s *machineScript) { s.step(Event{Kind: EventCallerGone}) },
		"no permit":        func(s *machineScript) { s.step(Event{Kind: EventRetryDenied}) },
		"waits for a slot": func(s *machineScript) { s.step(Event{Kind: EventPlanned, Plan: &policy.Plan{Wait: time.Second}}) },
		"expired": func(s *machineScript) {
			s.planOn("d1", "p1")
			s.now = s.now.Add(maxResultAge)
			s.refused()
		},
	} {
		s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
		s.planOn("d0", "p0").toDecode().refused()
		end(s)
		if released := s.released(); !released["handle"] {
			t.Errorf("%s: released %v", name, released)
		}
	}
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").toDecode()
	s.now = s.now.Add(maxResultAge)
	s.refused()
	if a := s.wantAction(ActionPlan, "another plan"); a.Reoffered.Name != "" {
		t.Errorf("offers a result of %q that is %v old", a.Reoffered.Name, maxResultAge)
	}
}

// Guards against starting an at-most-once draft again: the decode call is sent and its
// connection breaks before the first token, so the engine may be running it.
func TestNoRetryAfterDecodeOfUnknownDelivery(t *testing.T) {
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 3})
	s.planOn("d0", "p0").toDecode().step(Event{Kind: EventCallFailed, Delivery: upstream.Maybe})
	if a := s.wantAction(ActionFail, "the end"); a.Err.Run != errkind.Unknown {
		t.Errorf("run state %q", a.Err.Run)
	}
}

// Guards against cutting off an answer that no other engine may produce: a slow engine is
// silent for longer than the stall timeout.
func TestSilentStreamIsKeptIfNotRetryable(t *testing.T) {
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").toDecode()
	s.now = s.now.Add(10 * time.Second)
	if s.step(Event{Kind: EventTick}); len(s.lastActions) > 0 {
		t.Fatalf("silence led to %+v", s.lastActions)
	}
	s.step(Event{Kind: EventChunk, Chunk: engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 1}, Text: "late"}})
	s.wantAction(ActionEmit, "the late token")
}

// An engine's own error answer is passed on unchanged if no other engine may be tried.
func TestEngineErrorAnswerIsForwarded(t *testing.T) {
	engineAnswer := &CallAnswer{Status: 500, Body: []byte("out of luck")}
	engineFailed := Event{Kind: EventCallFailed, Delivery: upstream.Maybe, Answer: engineAnswer}
	singleSend := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	singleSend.planOn("d0", "p0").toDecode().step(engineFailed)
	if a := singleSend.wantAction(ActionAnswer, "the answer"); a.Answer != engineAnswer {
		t.Errorf("answered %+v", a.Answer)
	}
	twoSends := newMachineScript(t, Completion{MaxSends: 2})
	twoSends.planOn("d0", "p0").toDecode().step(engineFailed)
	twoSends.wantAction(ActionPlan, "another engine")
}
