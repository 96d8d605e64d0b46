package request_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
)

// refusesRetries is a policy that fails to plan any attempt after the first one.
type refusesRetries struct {
	inOrder
	kind errkind.Kind
}

func (r refusesRetries) PickService(s *policy.Snapshot, in policy.Inflight, service string, q policy.Query, rng *rand.Rand) (policy.ServicePlan, *errkind.Error) {
	if q.Attempt > 1 {
		return policy.ServicePlan{}, errkind.New(r.kind, "no retry")
	}
	return r.inOrder.PickService(s, in, service, q, rng)
}

// Guards against a service's own answer that is thrown away for a retry that is then not sent.
func TestAnswerIsKeptIfNoRetryIsSent(t *testing.T) {
	kinds := []errkind.Kind{errkind.NoUpstream, errkind.Overloaded, errkind.TeamLimit, errkind.UnknownModel, errkind.NotReady, errkind.Internal}
	for _, kind := range kinds {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			var s *silenceFixture
			s = newSilenceFixture(t, 2, func(o *request.Options) {
				o.Policy = func(string) (policy.Policy, bool) { return refusesRetries{inOrder{s.fleet}, kind}, true }
			})
			s.services.behaviour["s0"] = answers(http.StatusBadGateway)
			if answer, err := s.runner.Call(context.Background(), s.call); err != nil || answer.Status != http.StatusBadGateway {
				t.Errorf("got %+v, %v", answer, err)
			}
		})
	}
	t.Run("this process was stopped", func(t *testing.T) {
		t.Parallel()
		s := newSilenceFixture(t, 2, nil)
		s.services.behaviour["s0"] = answers(http.StatusBadGateway)
		s.afterFirst(func() { s.set(func() { s.stale = true }) })
		if answer, err := s.runner.Call(context.Background(), s.call); err != nil || answer.Status != http.StatusBadGateway {
			t.Errorf("got %+v, %v", answer, err)
		}
	})
}
