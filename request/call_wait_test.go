package request_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
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

// pacedServices is a request.Services whose replicas state their loads. Its clock advances with each
// reading and each call.
type pacedServices struct {
	mu    sync.Mutex
	now   time.Time
	load  engineapi.Load
	calls int
}

func (p *pacedServices) clock() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = p.now.Add(100 * time.Microsecond)
	return p.now
}

func (p *pacedServices) Call(context.Context, string, upstream.ServiceCall) (*upstream.ServiceResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = p.now.Add(5 * time.Millisecond)
	p.calls++
	if l := p.load; l.Queued > 0 {
		e := upstream.NewCallError(upstream.Refused, http.StatusServiceUnavailable, errors.New("full"))
		e.Refusal = &engineapi.Refusal{Load: l}
		return nil, e
	}
	l := p.load
	return &upstream.ServiceResponse{Status: http.StatusOK, Load: &l}, nil
}

// Guards against calls that are sent to replicas which have just refused others because their queues
// were full: each such arrival costs a retry permit. Services without a pace are called as before.
func TestFullReplicasGetNoMoreCalls(t *testing.T) {
	for pace, sent := range map[int]int{0: 2, 100: 0} {
		services := &pacedServices{now: time.Now(), load: engineapi.Load{Slots: 6, Pace: pace}}
		b := &bundle.Bundle{
			Classes:  map[bundle.Class]bundle.ClassTarget{bundle.Urgent: {FirstTokenMillis: silenceTarget.Milliseconds()}},
			Services: map[string]bundle.Service{"svc": {Pool: "svc"}},
		}
		replicas := []policy.Replica{{Name: "s0", Pool: "svc", Queues: true}, {Name: "s1", Pool: "svc", Queues: true}}
		s := newSilenceFixture(t, 0, func(o *request.Options) {
			o.Services, o.Now, o.Policy = services, services.clock, policy.ByName
			o.Snapshot = func() *policy.Snapshot {
				return policy.NewSnapshot(b, 1, services.clock(), slices.Clone(replicas), nil)
			}
			o.Limits.CallTimeoutFactor = 0
		})
		call := func() (int, *errkind.Error) {
			before := services.calls
			c := s.call
			c.Accepted = services.clock()
			c.Deadline = c.Accepted.Add(time.Second)
			_, err := s.runner.Call(context.Background(), c)
			return services.calls - before, err
		}
		for range 8 {
			if _, err := call(); err != nil {
				t.Fatal(err)
			}
		}
		services.load = engineapi.Load{Active: 6, Queued: 24, Slots: 6, Pace: pace}
		if n, err := call(); n != 2 || err == nil {
			t.Fatalf("pace %d: %d calls and %v while the queues fill", pace, n, err)
		}
		if n, err := call(); n != sent || err == nil || err.RetryAfter <= 0 || err.RetryAfter > time.Second/3 && pace > 0 {
			t.Errorf("pace %d: %d calls to full replicas, %+v", pace, n, err)
		}
	}
}
