package request

import (
	"testing"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against a caller that gets the head of one engine's answer and the tokens of another's, or a
// head and nothing else in place of a refusal.
func TestHeadIsThatOfTheFirstToken(t *testing.T) {
	s := newMachineScript(t, Completion{MaxSends: 2})
	head := func(name string) Event {
		return Event{Kind: EventOpened, Head: &engineapi.ResponseHead{Header: map[string][]string{"Seal": {name}}}}
	}
	s.planOn("d0", "p0").toDecode().step(head("d0"))
	if s.findAction(ActionOpen) != nil {
		t.Error("a head before any token")
	}
	s.step(Event{Kind: EventStreamEnded})
	s.planOn("d1", "p1").toDecode().step(head("d1"))
	chunk := engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 2}, Text: "one"}
	s.step(Event{Kind: EventChunk, Chunk: chunk})
	if a := s.wantAction(ActionOpen, "the head"); a.Head.Header.Get("Seal") != "d1" || a.Target.Name != "d1" {
		t.Errorf("the head of %v", a.Head.Header)
	}
}
