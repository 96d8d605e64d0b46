package request

import (
	"slices"
	"testing"

	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against a rest that counts as a lack of capacity or as a failed handoff, for which engines are
// left alone or ejected after it.
func TestRestIsNoFailure(t *testing.T) {
	for name, atRest := range map[string]func(s *machineScript) *machineScript{
		"reservation": func(s *machineScript) *machineScript { return s },
		"prefill": func(s *machineScript) *machineScript {
			return s.step(Event{Kind: EventReserved, Reservation: "hold"})
		},
		"decode": func(s *machineScript) *machineScript { return s.toDecode() },
	} {
		s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 2})
		atRest(s.planOn("d0", "p0")).step(Event{Kind: EventCallFailed, Delivery: upstream.Refused, Refusal: &engineapi.Refusal{RetryAfterMS: 3000}})
		for _, kind := range []ActionKind{ActionReportFull, ActionReportHandoff, ActionReportFailure} {
			if a := s.findAction(kind); a != nil {
				t.Errorf("%s: %+v", name, a)
			}
		}
		s.wantAction(ActionPlan, name+": another plan")
	}
}

// Guards against prompts that are prefilled again because the decode engine began to leave or to rest
// meanwhile.
func TestWithheldDecodeOffersResultAgain(t *testing.T) {
	s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").toDecode().step(Event{Kind: EventUpstreamLeaving})
	a := s.wantAction(ActionPlan, "another plan")
	if a.Reoffered.Name != "p0" || !slices.Equal(a.Exclude, []string{"d0"}) || a.Retry {
		t.Errorf("offers the result of %q, excluded %q, retry %v", a.Reoffered.Name, a.Exclude, a.Retry)
	}
	if released := s.released(); !released["hold"] || released["handle"] {
		t.Errorf("released %v", released)
	}
	s.planOn("d1", "p1").step(Event{Kind: EventReserved, Reservation: "hold2"})
	if a := s.wantAction(ActionDispatch, "the decode call"); a.Step != StepDecode || a.Handle != "handle" || a.Target.Name != "d1" {
		t.Errorf("dispatched %v with handle %q to %q", a.Step, a.Handle, a.Target.Name)
	}
}

// Guards against upstreams that count as failed because a call for ongoing work was not sent in a rest.
func TestWithheldCallIsNoFailure(t *testing.T) {
	for withheld, want := range map[bool]bool{false: true, true: false} {
		s := newMachineScript(t, Completion{SendOnce: true, MaxSends: 2})
		s.planOn("d0", "p0").step(Event{Kind: EventCallFailed, Delivery: upstream.NotSent, Withheld: withheld})
		if got := s.findAction(ActionReportFailure) != nil; got != want {
			t.Errorf("withheld %v: failure reported %v", withheld, got)
		}
	}
}
