package request_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/admission"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// inTurn is a policy that lets a request wait when it must wait for its turn, and otherwise picks the
// engine that the turn names, or the first one.
type inTurn struct {
	inOrder
	asked chan policy.Query // what was planned
}

func (p inTurn) Plan(s *policy.Snapshot, in policy.Inflight, q policy.Query, rng *rand.Rand) (policy.Plan, *errkind.Error) {
	select {
	case p.asked <- q:
	default:
	}
	if q.Admission == policy.AdmissionWaits {
		return policy.Plan{Wait: maxWait, MayWait: maxWait, Reason: "queue"}, nil
	}
	if q.Admission == policy.AdmissionOff && q.RefusalStreak > 0 {
		return policy.Plan{Wait: time.Millisecond, Reason: "queue"}, nil
	}
	plan, err := p.inOrder.Plan(s, in, q, rng)
	for _, r := range s.Pool("decode").Replicas() {
		if r.Name == q.Engine {
			plan.Decode = *r
		}
	}
	return plan, err
}

// admitsAll is a request.Admission for all models.
type admitsAll struct{ *admission.Client }

func (admitsAll) Enabled(bundle.Model) bool { return true }

// noAdmissionMetrics is an admission.Metrics.
type noAdmissionMetrics struct{}

func (noAdmissionMetrics) AdmissionWaiting(int, int)              {}
func (noAdmissionMetrics) AdmissionTurns(string, uint64)          {}
func (noAdmissionMetrics) AdmissionReservations(string, uint64)   {}
func (noAdmissionMetrics) AdmissionDropped(string)                {}
func (noAdmissionMetrics) AdmissionCoordinatorLost(reason string) {}

// newCoordinator starts a coordinator on a loopback listener and returns a client for it. A frozen one
// accepts connections and does not answer.
func newCoordinator(t *testing.T, frozen bool) *admission.Client {
	logger := &log.Logger{Handler: discard.New()}
	server := admission.NewServer(admission.ServerOptions{
		Instance: "coordinator", Incarnation: 1, Known: func(string) bool { return true }, Draining: func() bool { return false },
		Metrics: noAdmissionMetrics{}, Logger: logger, Now: time.Now,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := admission.NewClient(admission.ClientOptions{
		Instance: "daemon", Incarnation: 1, Metrics: noAdmissionMetrics{}, Logger: logger, Now: time.Now,
		Coordinator: func(string) (admission.Coordinator, bool) {
			return admission.Coordinator{Instance: "coordinator", Address: ln.Addr().String()}, true
		},
		Dial: func(_ context.Context, address string) (net.Conn, error) { return net.Dial("tcp", address) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				defer context.AfterFunc(ctx, func() { c.Close() })()
				if frozen {
					<-ctx.Done()
					return
				}
				r := wire.NewReader(c, wire.MaxFrame)
				if env, _, err := r.Read(); err == nil {
					_ = server.Serve(ctx, c, r, env.Body)
				}
			})
		}
	})
	t.Cleanup(func() {
		client.Close()
		ln.Close()
		cancel()
		wg.Wait()
	})
	return client
}

// fullEngines are engines that refuse reservations while they are full.
type fullEngines struct {
	request.Engines
	full *atomic.Bool
}

func (e fullEngines) Reserve(ctx context.Context, addr string, r engineapi.ReserveRequest) (engineapi.ReserveReply, error) {
	if e.full.Load() {
		return engineapi.ReserveReply{}, &upstream.CallError{Delivery: upstream.Refused}
	}
	return e.Engines.Reserve(ctx, addr, r)
}

// Guards against a request that waits for a turn for good, that asks without one, or that does not use
// the one that it gets; and against one that waits for a coordinator that does not answer.
func TestRequestWaitsForTurn(t *testing.T) {
	for name, frozen := range map[string]bool{"coordinator answers": false, "coordinator is frozen": true} {
		t.Run(name, func(t *testing.T) {
			client := newCoordinator(t, frozen)
			asked, full := make(chan policy.Query, 10000), &atomic.Bool{}
			full.Store(true)
			var f *fleet
			f = newFleet(t, func(o *request.Options) {
				o.Policy = func(string) (policy.Policy, bool) { return inTurn{inOrder{f}, asked}, true }
				o.Engines = fullEngines{o.Engines, full}
				o.Limits.MaxRefusals = 1000
				o.Admission = admitsAll{client}
			})
			s := &sink{}
			done := f.runInBackground(newCompletion("waits"), s)
			expect := func(want policy.Admission) {
				t.Helper()
				if q := waittest.Receive(t, "a plan", asked); q.Admission != want {
					t.Fatalf("admission %d, want %d", q.Admission, want)
				}
			}
			expect(policy.AdmissionOpen) // the first reservation is asked for at once
			expect(policy.AdmissionWaits)
			if frozen {
				expect(policy.AdmissionOff)
			} else {
				expect(policy.AdmissionTurn)
				waittest.Until(t, "the daemon knows that requests wait", func() bool { return client.Contended("decode", 1) })
			}
			full.Store(false)
			client.Released("decode", "d1", 1)
			<-done
			s.wantComplete()
			if !frozen {
				var last policy.Query
				for len(asked) > 0 {
					if last = <-asked; last.Admission == policy.AdmissionOff || last.Admission == policy.AdmissionOpen {
						t.Errorf("the request asked without a turn")
					}
				}
				if last.Admission != policy.AdmissionTurn {
					t.Errorf("admitted with %d, want a turn", last.Admission)
				}
			}
			f.waitUntilNothingHeld()
		})
	}
}
