package request_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
)

// waitsWhileBusy is a policy whose calls wait for much longer than a test while s0 has a call.
type waitsWhileBusy struct {
	inOrder
	services *scriptedServices
}

func (w waitsWhileBusy) PickService(s *policy.Snapshot, in policy.Inflight, service string, q policy.Query, rng *rand.Rand) (policy.ServicePlan, *errkind.Error) {
	if n, _ := in.Upstream("s0", time.Time{}); n > 0 && q.MayWait {
		return policy.ServicePlan{Wait: time.Hour, Reason: "queue"}, nil
	}
	q.Exclude = append(slices.Clone(q.Exclude), w.services.replicas()...)
	return w.inOrder.PickService(s, in, service, q, rng)
}

// Guards against calls that wait for a replica which dies until their timers end: the failure of the
// call that the replica had must wake them.
func TestWaitingCallIsSentWhenTheReplicaDies(t *testing.T) {
	t.Parallel()
	var s *silenceFixture
	s = newSilenceFixture(t, 2, func(o *request.Options) {
		o.Policy = func(string) (policy.Policy, bool) { return waitsWhileBusy{inOrder{s.fleet}, s.services}, true }
	})
	die := make(chan struct{})
	s.services.behaviour["s0"] = func(context.Context) (int, error) {
		<-die
		return 0, upstream.NewCallError(upstream.Maybe, 0, errors.New("connection reset"))
	}
	first, second := s.call, s.call
	first.SendOnce, second.ID = true, "c2"
	ended := make(chan *errkind.Error, 1)
	go func() {
		_, err := s.runner.Call(context.Background(), first)
		ended <- err
	}()
	waitUntil(t, "the call at s0", func() bool { return s.services.inProgress() == 1 })
	answered := make(chan request.CallAnswer, 1)
	go func() {
		answer, _ := s.runner.Call(context.Background(), second)
		answered <- answer
	}()
	waitUntil(t, "the waiting call", func() bool {
		return slices.ContainsFunc(s.runner.Active(), func(a request.Active) bool { return a.ID == "c2" && a.State == "queued" })
	})
	gone, leave := context.WithCancel(context.Background())
	leave()
	third := s.call
	third.ID = "c3"
	if _, err := s.runner.Call(gone, third); err == nil || err.Kind != errkind.ClientGone || runOf(err) != errkind.NotRun {
		t.Errorf("a waiting call whose caller left ended with %v", err)
	}
	close(die)
	if err := <-ended; err == nil || err.Kind != errkind.UpstreamFailed {
		t.Errorf("the call at the dead replica ended with %v", err)
	}
	if answer := <-answered; string(answer.Body) != "s1" {
		t.Errorf("the waiting call was answered with %+v", answer)
	}
}
