package request_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
)

// oneAtATime makes requests wait while this daemon has one in flight, and for
// those before them. They wait for longer than the test takes.
type oneAtATime struct {
	inOrder
	waits chan string
}

func (o oneAtATime) Plan(s *policy.Snapshot, in policy.Inflight, q policy.Query, rng *rand.Rand) (policy.Plan, *errkind.Error) {
	if n, _ := in.Upstream("d0", time.Time{}); n > 0 || q.Ahead > 0 {
		o.waits <- q.RequestID
		return policy.Plan{Wait: bound, Reason: "queue"}, nil
	}
	return o.inOrder.Plan(s, in, q, rng)
}

// Symptom: requests that wait for a slot get it only when their timers end, or two
// get the same one, or a draft goes before an urgent request.
// Sequence: one request streams; a draft waits, a second one whose caller leaves,
// and an urgent request; the first one ends.
// Cause: a freed slot told to nobody or to the wrong one, or a place in the queue
// given up before the slot is counted or kept after the caller left.
func TestQueuedRequestsFollowAFreedSlot(t *testing.T) {
	waits := make(chan string, 100)
	var f *fleet
	f = newFleet(t, func(o *request.Options) {
		o.Policy = func(string) (policy.Policy, bool) { return oneAtATime{inOrder{f}, waits}, true }
	})
	var order []string // guarded by the one slot
	note := func(id string, s *sink) *sink {
		s.onToken = func(i int) error {
			if i == 0 {
				order = append(order, id)
			}
			return nil
		}
		return s
	}
	draft, gone, urgent := note("draft", &sink{}), &sink{}, note("urgent", &sink{})
	var ended []<-chan struct{}
	queue := func(ctx context.Context, id string, class bundle.Class, s *sink) {
		c := completion(id)
		c.Class = class
		done := make(chan struct{})
		go func() { defer close(done); f.run(ctx, c, s) }()
		ended = append(ended, done)
		if got := <-waits; got != id {
			t.Errorf("%s waits, want %s", got, id)
		}
	}
	first := &sink{onToken: func(i int) error {
		if i == 3 {
			ctx, leave := context.WithCancel(context.Background())
			queue(ctx, "gone", bundle.Draft, gone)
			queue(context.Background(), "draft", bundle.Draft, draft)
			queue(context.Background(), "urgent", bundle.Urgent, urgent)
			leave()
			<-ended[0]
		}
		return nil
	}}
	f.run(context.Background(), completion("first"), first)
	for _, done := range ended {
		<-done
	}
	first.whole()
	draft.whole()
	urgent.whole()
	gone.failed(errkind.ClientGone, errkind.NotRun)
	if d := cmp.Diff([]string{"urgent", "draft"}, order); d != "" {
		t.Error(d)
	}
	if st := f.engines["d0"].Stats(); st.MaxActive != 1 {
		t.Errorf("%d at once", st.MaxActive)
	}
	f.nothingHeld()
}
