package request_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
)

// randomServices ends each call at random, and lets something happen before.
type randomServices struct {
	f      *fleet
	random *rand.Rand
	leave  context.CancelFunc // the caller leaves
	// delivered is the number of calls that may have been delivered.
	delivered int
}

// Call implements request.Services.
func (s *randomServices) Call(context.Context, string, upstream.ServiceCall) (*upstream.ServiceResponse, error) {
	s.happen()
	switch s.random.IntN(8) {
	case 0:
		s.delivered++
		return &upstream.ServiceResponse{Status: http.StatusOK}, nil
	case 1:
		s.delivered++
		return &upstream.ServiceResponse{Status: http.StatusServiceUnavailable}, nil
	case 2:
		s.delivered++
		return nil, upstream.NewCallError(upstream.Maybe, 0, errors.New("cut"))
	case 3:
		s.delivered++
		panic("a fault of the client")
	case 4:
		return nil, &upstream.CallError{Delivery: upstream.NotSent, Withheld: true}
	case 5:
		return nil, upstream.NewCallError(upstream.NotSent, 0, errors.New("unreachable"))
	default:
		return nil, upstream.NewCallError(upstream.Refused, http.StatusServiceUnavailable, errors.New("full"))
	}
}

// happen lets something happen that may end the call.
func (s *randomServices) happen() {
	switch s.random.IntN(14) {
	case 0:
		s.f.set(func() { s.f.stale = true })
	case 1:
		s.f.set(func() { s.f.skew = 2 * maxWait })
	case 2:
		s.f.leave(fmt.Sprint("s", s.random.IntN(4)))
	case 3:
		s.f.budgetEmpty.Store(true)
	case 4:
		s.leave()
	case 5:
		s.f.runner.FailInFlight()
	}
}

// Guards against a call that is reported as not run, or is sent again, although an earlier dispatch may have been delivered:
// errors that come beside a dispatch, such as those of a stop, the deadline, a withdrawal or the shutdown limit, know of one only.
func TestRunStateCoversAllDispatches(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			s := &randomServices{random: rand.New(rand.NewPCG(seed, 0)), leave: leave}
			s.f = newFleet(t, func(o *request.Options) { o.Services, o.Limits.MaxAttempts = s, 4 })
			for i := range 4 {
				s.f.join(fmt.Sprint("s", i), "")
			}
			run := runOnce(ctx, s.f.runner)
			if s.delivered > 1 || s.delivered > 0 && run == errkind.NotRun {
				t.Errorf("%d dispatches may have been delivered, run state %s", s.delivered, run)
			}
		})
	}
}

// runOnce makes a call that may be sent once, and returns the run state that its caller gets.
func runOnce(ctx context.Context, r *request.Runner) (run errkind.RunState) {
	defer func() {
		if recover() != nil {
			run = errkind.Answer(errkind.New(errkind.Internal, "")).Run
		}
	}()
	_, err := r.Call(ctx, request.Call{
		ID: "r", Team: "t", Service: "svc", Method: http.MethodPost, Path: "/", SendOnce: true,
		Accepted: time.Now(), Deadline: time.Now().Add(maxWait),
	})
	if err == nil {
		return errkind.Ran
	}
	return errkind.Answer(err).Run
}
