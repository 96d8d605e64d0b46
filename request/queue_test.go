package request_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// oneAtATime is a policy that makes a request wait while this daemon has another one in flight
// on d0 or others are queued ahead. The waiting time exceeds the duration of the test.
type oneAtATime struct {
	inOrder
	waitingIDs chan string
}

func (o oneAtATime) Plan(s *policy.Snapshot, in policy.Inflight, q policy.Query, rng *rand.Rand) (policy.Plan, *errkind.Error) {
	if n, _ := in.Upstream("d0", time.Time{}); n > 0 || q.QueuedAhead > 0 {
		o.waitingIDs <- q.RequestID
		return policy.Plan{Wait: maxWait, Reason: "queue"}, nil
	}
	return o.inOrder.Plan(s, in, q, rng)
}

// TestFreedSlotWakesQueuedRequest guards against queued requests that get a free slot only
// after their waiting time, against one slot given to two requests, and against a draft that
// precedes an urgent request. While one request streams, a request whose caller leaves, a draft
// and an urgent request wait; then the streaming request ends. Such faults arise if the wrong
// request or none is woken, or if a queue entry is removed before its slot is counted or stays
// after its caller has left.
func TestFreedSlotWakesQueuedRequest(t *testing.T) {
	waits := make(chan string, 100)
	var f *fleet
	f = newFleet(t, func(o *request.Options) {
		o.Policy = func(string) (policy.Policy, bool) { return oneAtATime{inOrder{f}, waits}, true }
	})
	var firstTokenOrder []string // serialized by the single slot
	recordFirstToken := func(id string, s *sink) *sink {
		s.onToken = func(i int) error {
			if i == 0 {
				firstTokenOrder = append(firstTokenOrder, id)
			}
			return nil
		}
		return s
	}
	draft, leavingCaller, urgent := recordFirstToken("draft", &sink{}), &sink{}, recordFirstToken("urgent", &sink{})
	var ended []<-chan struct{}
	startQueued := func(ctx context.Context, id string, class bundle.Class, s *sink) {
		c := newCompletion(id)
		c.Class = class
		done := make(chan struct{})
		go func() { defer close(done); f.complete(ctx, c, s) }()
		ended = append(ended, done)
		if got := <-waits; got != id {
			t.Errorf("%s waits, want %s", got, id)
		}
	}
	first := &sink{onToken: func(i int) error {
		if i == 3 {
			ctx, leave := context.WithCancel(context.Background())
			startQueued(ctx, "gone", bundle.Draft, leavingCaller)
			startQueued(context.Background(), "draft", bundle.Draft, draft)
			startQueued(context.Background(), "urgent", bundle.Urgent, urgent)
			leave()
			<-ended[0]
		}
		return nil
	}}
	f.complete(context.Background(), newCompletion("first"), first)
	for _, done := range ended {
		<-done
	}
	first.wantComplete()
	draft.wantComplete()
	urgent.wantComplete()
	leavingCaller.wantFailed(errkind.ClientGone, errkind.NotRun)
	if d := cmp.Diff([]string{"urgent", "draft"}, firstTokenOrder); d != "" {
		t.Error(d)
	}
	if st := f.engines["d0"].Stats(); st.MaxActive != 1 {
		t.Errorf("%d requests at once, want 1", st.MaxActive)
	}
	f.waitUntilNothingHeld()
}

// refusing is a request.Quarantine that refuses all requests once it is set.
type refusing struct{ set atomic.Bool }

func (*refusing) ReportLostRun(quarantine.LostRun) {}

func (*refusing) RecordCompletion(time.Time, quarantine.Subject) {}

func (q *refusing) Refuses(time.Time, quarantine.Subject) quarantine.Verdict {
	return quarantine.Verdict{Refused: q.set.Load()}
}

// Guards against requests that wait in the queue for a slot until their deadline although they are
// refused whenever they get one.
func TestQueuedRequestIsRefusedAtOnce(t *testing.T) {
	waits, q := make(chan string, 100), &refusing{}
	var f *fleet
	f = newFleet(t, func(o *request.Options) {
		o.Policy = func(string) (policy.Policy, bool) { return oneAtATime{inOrder{f}, waits}, true }
		o.Quarantine = q
	})
	queued, done := &sink{}, make(chan struct{})
	first := &sink{onToken: func(i int) error {
		if i == 3 {
			go func() { defer close(done); f.complete(context.Background(), newCompletion("queued"), queued) }()
			<-waits
			q.set.Store(true)
			f.runner.RecheckQueued()
			<-done // while this request has the only slot
		}
		return nil
	}}
	f.complete(context.Background(), newCompletion("first"), first)
	first.wantComplete()
	queued.wantFailed(errkind.CrashesUpstreams, errkind.Unknown)
}

// whileWaitIsPlanned is oneAtATime with a hook that runs when a request is to wait and is not in the
// queue yet.
type whileWaitIsPlanned struct {
	oneAtATime
	hook func()
}

func (p whileWaitIsPlanned) Plan(s *policy.Snapshot, in policy.Inflight, q policy.Query, rng *rand.Rand) (policy.Plan, *errkind.Error) {
	plan, err := p.oneAtATime.Plan(s, in, q, rng)
	if plan.Wait > 0 {
		p.hook()
	}
	return plan, err
}

// Guards against a request that waits until its deadline because the quarantine began to refuse it
// while it was joining the queue.
func TestRequestIsRefusedAsItJoinsTheQueue(t *testing.T) {
	q := &refusing{}
	var f *fleet
	f = newFleet(t, func(o *request.Options) {
		refuse := func() {
			q.set.Store(true)
			f.runner.RecheckQueued()
		}
		waits := make(chan string, 100)
		o.Policy = func(string) (policy.Policy, bool) {
			return whileWaitIsPlanned{oneAtATime{inOrder{f}, waits}, refuse}, true
		}
		o.Quarantine = q
	})
	queued := &sink{}
	first := &sink{onToken: func(i int) error {
		if i == 3 {
			f.complete(context.Background(), newCompletion("queued"), queued)
		}
		return nil
	}}
	f.complete(context.Background(), newCompletion("first"), first)
	first.wantComplete()
	queued.wantFailed(errkind.CrashesUpstreams, errkind.Unknown)
}

// reserveRecorder records the headroom that each reservation asks for.
type reserveRecorder struct {
	request.Engines
	headroom chan int
}

func (e reserveRecorder) Reserve(ctx context.Context, addr string, r engineapi.ReserveRequest) (engineapi.ReserveReply, error) {
	e.headroom <- r.Headroom
	return e.Engines.Reserve(ctx, addr, r)
}

// TestUrgentRequestsNeedNoHeadroom guards against urgent requests that engines refuse because room
// for others to grow is missing: the engines preempt those instead.
func TestUrgentRequestsNeedNoHeadroom(t *testing.T) {
	for _, c := range []struct {
		class bundle.Class
		ranks []int
		want  bool
	}{{"ordinary", []int{0, 2}, true}, {"urgent", []int{0, 2}, false}, {"urgent", nil, true}} {
		headroom := make(chan int, 10)
		var f *fleet
		f = newFleet(t, func(o *request.Options) {
			o.Engines = reserveRecorder{o.Engines, headroom}
			o.Snapshot = func() *policy.Snapshot {
				s := f.snapshot()
				s.Bundle.Classes = map[bundle.Class]bundle.ClassTarget{"ordinary": {Priority: 2}, "urgent": {Priority: 0}}
				model := s.Bundle.Models["m"]
				model.Ranks = c.ranks
				s.Bundle.Models["m"] = model
				return s
			}
		})
		completion := newCompletion("r")
		completion.Class = c.class
		f.complete(context.Background(), completion, nil).wantComplete()
		if got := <-headroom; (got > 0) != c.want {
			t.Errorf("%s with ranks %v: %d tokens of headroom, want some: %v", c.class, c.ranks, got, c.want)
		}
	}
}
