package request

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// script drives one machine of an attached daemon by hand.
type script struct {
	t   *testing.T
	m   *Machine
	now time.Time
	// call is the number of the last dispatch; its plan names the engines.
	call int
	last []Action
}

func newScript(t *testing.T, c Completion) *script {
	at := time.Unix(1000, 0)
	c.ID, c.Accepted, c.Deadline = "r", at, at.Add(14*time.Second)
	s := &script{t: t, m: NewMachine(c, attachedLimits()), now: at}
	s.step(Event{Kind: EventStart})
	return s
}

func (s *script) step(ev Event) *script {
	if ev.Call == 0 {
		ev.Call = s.call
	}
	s.last = append([]Action(nil), s.m.Step(s.now, ev)...)
	for _, a := range s.last {
		if a.Kind == ActionDispatch {
			s.call = a.Call
		}
	}
	return s
}

// planOn plans the attempt on a pair of engines.
func (s *script) planOn(decode, prefill string) *script {
	return s.step(Event{Kind: EventPlanned, Plan: &policy.Plan{Decode: policy.Replica{Name: decode}, Prefill: policy.Replica{Name: prefill}}})
}

func (s *script) refused() {
	s.step(Event{Kind: EventCallFailed, Delivery: upstream.Refused})
}

// toDecode goes on to the decode call.
func (s *script) toDecode() *script {
	s.step(Event{Kind: EventReserved, Reservation: "hold"})
	return s.step(Event{Kind: EventPrefilled, Prefill: &engineapi.PrefillReply{Handle: "handle", PromptTokens: 3}})
}

func (s *script) find(kind ActionKind) *Action {
	for i := range s.last {
		if s.last[i].Kind == kind {
			return &s.last[i]
		}
	}
	return nil
}

func (s *script) want(kind ActionKind, what string) Action {
	s.t.Helper()
	a := s.find(kind)
	if a == nil {
		s.t.Fatalf("%s: got %+v", what, s.last)
	}
	return *a
}

// Load: a burst finds most engines full. A reservation that is refused costs the
// caller nothing: no attempt, no retry of the budget, and the engine may be asked
// again later.
func TestRefusedReservationIsNoAttempt(t *testing.T) {
	s := newScript(t, Completion{SendOnce: true, MaxSends: 1})
	for range attachedLimits().MaxRefusals {
		s.planOn("d0", "p0").refused()
		a := s.want(ActionPlan, "another plan")
		if a.Retry || len(a.Exclude) > 0 || a.Tries != 1 {
			t.Fatalf("plan %+v", a)
		}
		if s.find(ActionFull) == nil {
			t.Fatal("nobody was told that the engine is full")
		}
	}
	s.planOn("d0", "p0").refused()
	if a := s.want(ActionPlan, "the second attempt"); !a.Retry {
		t.Error("refusals without end are not charged")
	}
}

// Load: the same of prompts; those are charged, as each costs its engine a look.
func TestRefusedPromptTellsThatTheEngineIsFull(t *testing.T) {
	s := newScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").step(Event{Kind: EventReserved, Reservation: "hold"}).refused()
	if a := s.want(ActionFull, "full"); a.Target.Name != "p0" || a.Step != StepPrefill {
		t.Errorf("full: %q at %s", a.Target.Name, a.Step)
	}
	if a := s.want(ActionPlan, "the second attempt"); !a.Retry {
		t.Error("the refusal is not charged")
	}
}

// Symptom: a completion that may run once is sent to a second engine.
// Sequence: the engine opens the answer; then the call is said to have failed with
// nothing sent, as a transport would that counts wrongly.
// Cause: the later word was believed against the engine's own.
func TestOpenedCallIsNeverUndone(t *testing.T) {
	for _, delivery := range []upstream.Delivery{upstream.NotSent, upstream.Refused} {
		s := newScript(t, Completion{SendOnce: true, MaxSends: 2})
		s.planOn("d0", "p0").toDecode().step(Event{Kind: EventOpened}).step(Event{Kind: EventCallFailed, Delivery: delivery})
		if a := s.want(ActionFail, "the end"); a.Err.Run != errkind.Unknown {
			t.Errorf("%s: told %s", delivery, a.Err.Run)
		}
	}
}

// Symptom: prompts are read in vain again and again on one engine.
// Sequence: the slot is reserved, the prompt read, and the decode call refused, since
// the prefill's result has lapsed, or since the decode engine is changing its role.
// Cause: one of the two was left out, and the other one asked again.
func TestRefusedHandoffLeavesOutBothEnds(t *testing.T) {
	s := newScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").toDecode().refused()
	if a := s.want(ActionHandoff, "the word on both"); a.Target.Name != "d0" || a.From.Name != "p0" || a.Taken {
		t.Errorf("told %+v", a)
	}
	if a := s.want(ActionPlan, "another plan"); len(a.Exclude) != 2 || a.Exclude[0] != "p0" || a.Exclude[1] != "d0" {
		t.Errorf("excluded %q", a.Exclude)
	}
	released := map[string]bool{}
	for _, a := range s.last {
		if a.Kind == ActionCancel {
			released[a.Reservation+a.Handle] = true
		}
	}
	if !released["hold"] {
		t.Error("the slot stays reserved")
	}
}

// Symptom: a draft that may run once is started a second time.
// Sequence: the decode call is sent and its connection breaks before the first token.
// Cause: silence or a break taken for a refusal.
func TestUncertainDecodeIsTheLast(t *testing.T) {
	s := newScript(t, Completion{SendOnce: true, MaxSends: 3})
	s.planOn("d0", "p0").toDecode().step(Event{Kind: EventCallFailed, Delivery: upstream.Maybe})
	if a := s.want(ActionFail, "the end"); a.Err.Run != errkind.Unknown {
		t.Errorf("run %q", a.Err.Run)
	}
}

// Symptom: an answer is cut off while its engine works on it.
// Sequence: the engine is slow, and says nothing for longer than a stall takes.
// Cause: silence taken for a failure where no other engine may go on.
func TestSilenceEndsNoAnswerThatNobodyElseMayGive(t *testing.T) {
	s := newScript(t, Completion{SendOnce: true, MaxSends: 1})
	s.planOn("d0", "p0").toDecode()
	s.now = s.now.Add(10 * time.Second)
	if s.step(Event{Kind: EventTick}); len(s.last) > 0 {
		t.Fatalf("silence led to %+v", s.last)
	}
	s.step(Event{Kind: EventChunk, Chunk: engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 1}, Text: "late"}})
	s.want(ActionEmit, "the late token")
}

// Symptom: a resumable draft hangs on a dark engine until its caller leaves.
// Sequence: tokens come, then nothing; another engine may go on.
// Cause: none where a stall is bounded.
func TestStalledResumableStreamGoesOnElsewhere(t *testing.T) {
	s := newScript(t, Completion{MaxSends: 2})
	s.planOn("d0", "p0").toDecode()
	s.step(Event{Kind: EventChunk, Chunk: engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 1}, Text: "one"}})
	s.now = s.now.Add(attachedLimits().Stall)
	s.step(Event{Kind: EventTick})
	if a := s.want(ActionPlan, "another engine"); !a.Retry {
		t.Error("the new run is not charged")
	}
	s.planOn("d1", "p1").toDecode()
	if a := s.want(ActionDispatch, "the decode call"); a.Index != 1 {
		t.Errorf("goes on at token %d, want 1", a.Index)
	}
}

// An engine's own failure is passed on as it came where nobody else may be asked.
func TestEnginesOwnFailureIsPassedOn(t *testing.T) {
	own := &CallAnswer{Status: 500, Body: []byte("out of luck")}
	failed := Event{Kind: EventCallFailed, Delivery: upstream.Maybe, Answer: own}
	once := newScript(t, Completion{SendOnce: true, MaxSends: 1})
	once.planOn("d0", "p0").toDecode().step(failed)
	if a := once.want(ActionAnswer, "the answer"); a.Answer != own {
		t.Errorf("answered %+v", a.Answer)
	}
	again := newScript(t, Completion{MaxSends: 2})
	again.planOn("d0", "p0").toDecode().step(failed)
	again.want(ActionPlan, "another engine")
}

// Symptom: a stream is broken off in the middle, at an engine that would have gone on.
// Sequence: the engine is silent for longer than a stall takes, since it is busy with
// others; the stream may be resumed elsewhere, but the retry budget is empty.
// Cause: the call was given up before the retry was allowed.
func TestSilentStreamIsGivenUpOnlyForARetry(t *testing.T) {
	s := newScript(t, Completion{MaxSends: 2})
	s.m.limits.CountArrivals = true
	s.planOn("d0", "p0").toDecode()
	chunk := func(i int) Event {
		return Event{Kind: EventChunk, Chunk: engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 1}, Index: i, Text: "more"}}
	}
	s.step(chunk(0))
	s.now = s.now.Add(attachedLimits().Stall)
	s.step(Event{Kind: EventTick})
	if a := s.want(ActionPermit, "a question to the budget"); a.Needs != 2 {
		t.Errorf("asked for %d retries, want 2: a prompt and a run", a.Needs)
	}
	if s.step(Event{Kind: EventPermitted}); len(s.last) > 0 {
		t.Fatalf("a denial led to %+v", s.last)
	}
	s.step(chunk(1))
	s.want(ActionEmit, "the late token")
	s.now = s.now.Add(attachedLimits().Stall)
	s.step(Event{Kind: EventTick})
	s.step(Event{Kind: EventPermitted, Paid: 2})
	s.want(ActionPlan, "another engine")
	if n := s.m.needs(Action{Retry: true}, &policy.Plan{}); n != 0 {
		t.Errorf("the plan needs %d more", n)
	}
}
