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

// chunk returns a token of an attempt.
func chunk(attempt, index int) engineapi.Chunk {
	return engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: attempt}, Index: index, Text: "more"}
}

// newStalledScript returns a script whose stream has one token and is then silent for its timeout, and
// the number of its call.
func newStalledScript(t *testing.T) (s *machineScript, call int) {
	t.Helper()
	s = newMachineScript(t, Completion{MaxSends: 3})
	s.m.limits.CountArrivals = true
	s.planOn("d0", "p0").toDecode().step(Event{Kind: EventOpened})
	s.step(Event{Kind: EventChunk, Chunk: chunk(1, 0)})
	s.now = s.now.Add(attachedLimits().Stall)
	s.step(Event{Kind: EventTick})
	return s, s.call
}

// cancelled returns the upstreams that the last actions cancel, and "stalled" if they end the stalled
// call.
func (s *machineScript) cancelled() (out []string) {
	for _, a := range s.lastActions {
		switch a.Kind {
		case ActionCancel:
			out = append(out, a.Target.Name)
		case ActionEndStalled:
			out = append(out, "stalled")
		}
	}
	return out
}

// Guards against a draft that waits for a silent engine until its caller leaves: tokens arrive
// and then stop, although another engine may continue the answer.
func TestStalledStreamContinuesOnAnotherEngine(t *testing.T) {
	s, _ := newStalledScript(t)
	a := s.wantAction(ActionPlan, "another engine")
	if !a.Retry || !slices.Equal(a.Exclude, []string{"d0"}) {
		t.Errorf("plan %+v", a)
	}
	if n := s.m.permitsNeeded(a, &policy.Plan{}); n != 2 {
		t.Errorf("%d permits for a prompt and a decode call", n)
	}
	s.step(Event{Kind: EventPlanned, Permits: 2, Plan: &policy.Plan{Decode: policy.Replica{Name: "d1"}, Prefill: policy.Replica{Name: "p1"}}})
	if n := s.m.permitsNeeded(a, &policy.Plan{}); n != 0 {
		t.Errorf("%d more permits after those were granted", n)
	}
	s.toDecode()
	if a := s.wantAction(ActionDispatch, "the decode call"); a.Index != 1 {
		t.Errorf("continues at token %d, want 1", a.Index)
	}
	if got := s.cancelled(); len(got) > 0 {
		t.Errorf("cancelled %v before the other engine has accepted the call", got)
	}
	s.step(Event{Kind: EventOpened})
	if got := s.cancelled(); !slices.Equal(got, []string{"stalled", "d0", "p0"}) {
		t.Errorf("cancelled %v once the other engine has accepted the call", got)
	}
	s.step(Event{Kind: EventChunk, Chunk: chunk(2, 1)})
	s.wantAction(ActionEmit, "the next token")
}

// Guards against a stream that is cut although its engine goes on after a silence: another attempt was
// to replace it and failed, at whatever step.
func TestStalledStreamGoesOnIfNotReplaced(t *testing.T) {
	failed := Event{Kind: EventCallFailed, Delivery: upstream.Maybe}
	for name, replace := range map[string]func(s *machineScript){
		"no engine":  func(s *machineScript) { s.step(Event{Kind: EventPlanFailed, Err: errkind.New(errkind.NoUpstream, "")}) },
		"no permits": func(s *machineScript) { s.step(Event{Kind: EventRetryDenied}) },
		"waits for a slot": func(s *machineScript) {
			s.step(Event{Kind: EventPlanned, Plan: &policy.Plan{Wait: time.Minute}})
		},
		"reservation refused": func(s *machineScript) {
			s.planOn("d1", "p1").refused()
			s.step(Event{Kind: EventPlanFailed, Err: errkind.New(errkind.Overloaded, "")})
		},
		"reserving": func(s *machineScript) { s.planOn("d1", "p1") },
		"prefill failed": func(s *machineScript) {
			s.planOn("d1", "p1").step(Event{Kind: EventReserved, Reservation: "hold"}).step(failed)
			s.step(Event{Kind: EventRetryDenied})
		},
		"prefilling":           func(s *machineScript) { s.planOn("d1", "p1").step(Event{Kind: EventReserved, Reservation: "hold"}) },
		"decode call refused":  func(s *machineScript) { s.planOn("d1", "p1").toDecode().refused() },
		"decode call in doubt": func(s *machineScript) { s.planOn("d1", "p1").toDecode() },
		"engine leaves": func(s *machineScript) {
			s.planOn("d1", "p1").step(Event{Kind: EventUpstreamLeaving})
			s.step(Event{Kind: EventPlanFailed, Err: errkind.New(errkind.VersionUnavailable, "")})
		},
		"quarantined": func(s *machineScript) { s.planOn("d1", "p1").step(Event{Kind: EventQuarantined}) },
		"stale view":  func(s *machineScript) { s.planOn("d1", "p1").step(Event{Kind: EventStaleView}) },
	} {
		t.Run(name, func(t *testing.T) {
			s, call := newStalledScript(t)
			replace(s)
			if a := s.findAction(ActionFail); a != nil {
				t.Fatalf("the request failed: %v", a.Err)
			}
			s.step(Event{Kind: EventChunk, Call: call, Chunk: chunk(1, 1)})
			s.wantAction(ActionEmit, "the late token")
			if s.m.stalled != nil || s.m.mayHoldMemory != [roleCount]bool{true, true} {
				t.Errorf("stalled %+v, may hold memory %v", s.m.stalled, s.m.mayHoldMemory)
			}
			s.now = s.now.Add(attachedLimits().Stall)
			s.step(Event{Kind: EventTick})
			s.wantAction(ActionPlan, "another engine in the next silence")
		})
	}
}

// Guards against what engines hold for a replacement that is no longer needed.
func TestReplacementIsReleased(t *testing.T) {
	s, call := newStalledScript(t)
	s.planOn("d1", "p1").toDecode()
	s.step(Event{Kind: EventChunk, Call: call, Chunk: chunk(1, 1)})
	if released := s.released(); !released["hold"] || !released["handle"] {
		t.Errorf("released %v", released)
	}
	if a := s.wantAction(ActionReportAnswered, "the engine was heard"); a.Target.Name != "d0" {
		t.Errorf("heard %q", a.Target.Name)
	}
}

// Guards against a stream that is given up for good because no engine could take it over when its own
// fell silent.
func TestReplacementIsTriedAgain(t *testing.T) {
	s, _ := newStalledScript(t)
	for range 10 {
		s.step(Event{Kind: EventPlanFailed, Err: errkind.New(errkind.NoUpstream, "")})
		if a := s.wantAction(ActionLogStall, "the reason"); a.Reason != string(errkind.NoUpstream) {
			t.Errorf("reason %q", a.Reason)
		}
		s.now = s.m.Wake()
		s.step(Event{Kind: EventTick})
		s.wantAction(ActionPlan, "another plan")
	}
	s.planOn("d1", "p1").toDecode()
	s.now = s.m.Wake()
	s.step(Event{Kind: EventTick})
	if got := s.cancelled(); !slices.Equal(got, []string{"stalled", "d0", "p0"}) {
		t.Errorf("cancelled %v though the replacement may be running", got)
	}
}

// Guards against a request that never ends because its stalled call has broken off.
func TestStalledCallBreaks(t *testing.T) {
	s, call := newStalledScript(t)
	s.step(Event{Kind: EventStreamEnded, Call: call})
	if got := s.cancelled(); !slices.Equal(got, []string{"stalled", "d0", "p0"}) {
		t.Errorf("cancelled %v", got)
	}
	s.step(Event{Kind: EventPlanFailed, Err: errkind.New(errkind.NoUpstream, "")})
	if a := s.wantAction(ActionFail, "the end"); a.Err.Kind != errkind.StreamBroken {
		t.Errorf("ended with %q", a.Err.Kind)
	}
}

// Guards against a replacement, or the request, that is ended by the stalled engine's failure, as if the
// engine had gone on.
func TestStalledEngineFails(t *testing.T) {
	other := chunk(1, 1)
	other.RequestID = "other"
	for name, tc := range map[string]struct {
		ev    Event
		ended bool
	}{
		"error":               {Event{Kind: EventChunk, Chunk: engineapi.Chunk{WorkID: chunk(1, 0).WorkID, Error: "out of memory"}}, true},
		"cancelled":           {Event{Kind: EventChunk, Chunk: engineapi.Chunk{WorkID: chunk(1, 0).WorkID, Done: true, Tokens: 1, FinishReason: "cancelled"}}, true},
		"wrong token count":   {Event{Kind: EventChunk, Chunk: engineapi.Chunk{WorkID: chunk(1, 0).WorkID, Done: true, Tokens: 3, FinishReason: "stop"}}, true},
		"gap":                 {Event{Kind: EventChunk, Chunk: chunk(1, 2)}, true},
		"another request's":   {Event{Kind: EventChunk, Chunk: other}, false},
		"token sent before":   {Event{Kind: EventChunk, Chunk: chunk(1, 0)}, false},
		"its connection ends": {Event{Kind: EventStreamEnded}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, call := newStalledScript(t)
			s.planOn("d1", "p1").toDecode()
			replacement := s.call
			tc.ev.Call = call
			s.step(tc.ev)
			if ended := s.m.stalled == nil; ended != tc.ended {
				t.Errorf("the stalled call ended: %v", ended)
			}
			s.step(Event{Kind: EventChunk, Call: replacement, Chunk: chunk(2, 1)})
			s.wantAction(ActionEmit, "the replacement's token")
		})
	}
}

// Guards against two engines of the own interface that work on one answer, or an answer of two software
// versions: a replacement must not be read on from its engine while the stalled call is open.
func TestReplacementIsNotAttachedTo(t *testing.T) {
	at := time.Unix(1000, 0)
	s := &machineScript{t: t, now: at, m: NewMachine(Completion{ID: "r", Accepted: at, Deadline: at.Add(time.Minute)}, DefaultLimits())}
	s.step(Event{Kind: EventStart})
	s.planOn("d0", "p0").toDecode().step(Event{Kind: EventOpened})
	for s.m.stalled == nil {
		s.now = s.m.Wake()
		s.step(Event{Kind: EventTick})
	}
	s.planOn("d1", "p1").toDecode().step(Event{Kind: EventCallFailed, Delivery: upstream.Maybe})
	if a := s.findAction(ActionDispatch); a != nil {
		t.Errorf("a %s call beside the stalled one", a.Step)
	}
	s.planOn("d2", "p1").toDecode()
	s.now = s.m.Wake()
	s.step(Event{Kind: EventTick})
	if s.m.stalled != nil || s.findAction(ActionDispatch) != nil {
		t.Errorf("stalled %+v, actions %+v", s.m.stalled, s.lastActions)
	}
}

// Guards against prompts that are read without end: an offer of a result that could not be planned must
// not give an attempt back.
func TestReplacementsAreBounded(t *testing.T) {
	s, _ := newStalledScript(t)
	prompts := 0
	for range 20 {
		if s.findAction(ActionPlan) == nil {
			break
		}
		prompts++
		s.planOn("d1", "p1").toDecode().refused()
		s.step(Event{Kind: EventPlanFailed, Err: errkind.New(errkind.NoUpstream, "")})
		s.now = s.m.Wake()
		s.step(Event{Kind: EventTick})
	}
	if most := attachedLimits().MaxAttempts - 1; prompts > most {
		t.Errorf("%d prompts, want at most %d", prompts, most)
	}
}

// Guards against arrivals without permits: a replacement that is ended while its prompt is read counts as
// one that its engine may have accepted.
func TestEndedReplacementCountsItsPrompt(t *testing.T) {
	s := newMachineScript(t, Completion{MaxSends: 3})
	s.m.limits.CountArrivals = true
	s.step(Event{Kind: EventPlanned, Plan: &policy.Plan{Decode: policy.Replica{Name: "d0"}, SkipPrefill: true}})
	s.step(Event{Kind: EventReserved, Reservation: "hold"}).step(Event{Kind: EventOpened})
	call := s.call
	s.step(Event{Kind: EventChunk, Chunk: chunk(1, 0)})
	s.now = s.m.Wake()
	s.step(Event{Kind: EventTick})
	s.planOn("d1", "p1").step(Event{Kind: EventReserved, Reservation: "hold"})
	s.step(Event{Kind: EventChunk, Call: call, Chunk: chunk(1, 1)})
	s.now = s.m.Wake()
	s.step(Event{Kind: EventTick})
	if n := s.m.permitsNeeded(s.wantAction(ActionPlan, "another engine"), &policy.Plan{}); n != 2 {
		t.Errorf("%d permits, want 2: one for the prompt before, one for the decode call", n)
	}
}
