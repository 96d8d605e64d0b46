package request

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against an answer whose later attempts use another software version than its first token.
func TestAttemptsKeepTheVersionOfTheFirstToken(t *testing.T) {
	now := time.Now()
	m := NewMachine(Completion{ID: "r", Deadline: now.Add(time.Minute)}, Limits{MaxAttempts: 3, Stall: time.Second, Import: time.Second})
	plan := func(version string) Event {
		return Event{Kind: EventPlanned, Plan: &policy.Plan{Decode: policy.Replica{Name: "d", Version: version}, SkipReserve: true, SkipPrefill: true}}
	}
	only := func(actions []Action) string {
		t.Helper()
		last := actions[len(actions)-1]
		if last.Kind != ActionPlan {
			t.Fatalf("want a plan, got %+v", actions)
		}
		return last.Version
	}
	chunk := func(attempt, index int) Event {
		return Event{Kind: EventChunk, Call: m.call, Chunk: engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: attempt}, Index: index, Text: "t"}}
	}
	if v := only(m.Step(now, Event{Kind: EventStart})); v != "" {
		t.Errorf("the first attempt is bound to %q", v)
	}
	m.Step(now, plan("v1"))
	if v := only(m.Step(now, Event{Kind: EventCallFailed, Call: m.call})); v != "" {
		t.Errorf("bound to %q before the first token", v)
	}
	m.Step(now, plan("v2"))
	m.Step(now, Event{Kind: EventOpened, Call: m.call})
	m.Step(now, chunk(2, 0))
	if v := only(m.Step(now, Event{Kind: EventStreamEnded, Call: m.call})); v != "v2" {
		t.Errorf("after a token of v2 bound to %q", v)
	}
}

// Guards against an answer that has arrived and is given up, because a busy daemon sees the timeout
// of its call first.
func TestEventsPrecedeTheTick(t *testing.T) {
	d := &driver{events: make(chan Event, 1)}
	d.events <- Event{Kind: EventReserved}
	for _, want := range []EventKind{EventReserved, EventTick} {
		if got := d.eventBeforeTick(); got.Kind != want {
			t.Errorf("got event %d, want %d", got.Kind, want)
		}
	}
}
