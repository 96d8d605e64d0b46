package request_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// TestPauseDraft checks that an urgent request gets the only slot of a decode engine while a
// draft occupies it, and that the paused draft continues afterwards and is not started again.
// In the fault cases, the pause call or the first three unpause calls are lost.
func TestPauseDraft(t *testing.T) {
	const draftTokens = 2000
	for name, tc := range map[string]struct {
		arrange func(node *engineNode)
		urgent  errkind.Kind
	}{
		"healthy": {func(*engineNode) {}, ""},
		"resume/connection-cut": {func(node *engineNode) {
			var n atomic.Int32
			node.onCall(engineapi.PathResume, func(w http.ResponseWriter, r *http.Request) {
				if n.Add(1) <= 3 {
					cutConnection(w, r)
				}
			})
		}, ""},
		"pause/connection-cut": {func(node *engineNode) { node.onCall(engineapi.PathPause, cutConnection) }, errkind.NoUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			f.slots = 1
			f.addEngine("d2")
			f.leave("d0")
			f.leave("d1")
			d := f.engines["d2"]
			tc.arrange(d)
			draft, urgent := newCompletion("draft"), newCompletion("urgent")
			draft.MaxTokens, urgent.Class = draftTokens, bundle.Urgent
			s, u := &sink{}, &sink{}
			var urgentDone <-chan struct{}
			s.onToken = func(i int) error {
				if i == 3 {
					urgentDone = f.runInBackground(urgent, u)
				}
				return nil
			}
			f.complete(context.Background(), draft, s)
			<-urgentDone
			if tc.urgent == "" {
				u.wantComplete()
			} else {
				u.wantFailed(tc.urgent, errkind.NotRun)
			}
			if want := answer.Text("m", "", prompt, draftTokens); s.err != nil || s.text.String() != want {
				t.Errorf("draft: %v, %d tokens", s.err, s.tokens)
			}
			if st := d.Stats(); st.Reserves > 2 || st.MaxActive != 1 {
				t.Errorf("draft started again, or both in one slot: %+v", st)
			}
			f.waitUntilNothingHeld()
		})
	}
}

// TestMachinePause checks that a draft whose pause lasts longer than the stall timeout is not
// given up as stalled, and that a late pause event of an earlier attempt is ignored.
func TestMachinePause(t *testing.T) {
	at := time.Unix(1000, 0)
	c := request.Completion{ID: "r", Deadline: at.Add(time.Hour)}
	m := request.NewMachine(c, request.DefaultLimits())
	plan := policy.Plan{Decode: policy.Replica{Name: "d"}, Prefill: policy.Replica{Name: "p"}}
	chunk := engineapi.Chunk{WorkID: engineapi.WorkID{RequestID: "r", Attempt: 1}}
	m.Step(at, request.Event{Kind: request.EventStart})
	call := m.Step(at, request.Event{Kind: request.EventPlanned, Plan: &plan})[0].Call
	call = m.Step(at, request.Event{Kind: request.EventReserved, Call: call})[0].Call
	call = m.Step(at, request.Event{Kind: request.EventPrefilled, Call: call, Prefill: &engineapi.PrefillReply{}})[0].Call
	m.Step(at, request.Event{Kind: request.EventChunk, Call: call, Chunk: chunk})
	m.Step(at, request.Event{Kind: request.EventPaused, Attempt: 0})
	if !m.Wake().Before(c.Deadline) {
		t.Error("another attempt's pause stopped the stall timer")
	}
	m.Step(at, request.Event{Kind: request.EventPaused, Attempt: 1})
	late := chunk
	late.Index = 1 // in transit when the draft was paused
	m.Step(at, request.Event{Kind: request.EventChunk, Call: call, Chunk: late})
	if got := m.Step(at.Add(time.Minute), request.Event{Kind: request.EventTick}); len(got) > 0 || m.Wake() != c.Deadline {
		t.Errorf("paused: %+v, wake %s", got, m.Wake())
	}
	m.Step(at.Add(time.Minute), request.Event{Kind: request.EventUnpaused, Attempt: 1})
	if got := m.Step(at.Add(2*time.Minute), request.Event{Kind: request.EventTick}); len(got) == 0 {
		t.Error("a stream that does not continue after its pause is not given up")
	}
}
