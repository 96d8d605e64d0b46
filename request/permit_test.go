package request_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// countingEngines counts the arrivals at engines by the rule that type arrivals describes: the
// first prompt that an engine accepts is free, and every other prompt and every decode call
// counts. Only Reserve, Release, Prefill and Decode are implemented.
type countingEngines struct {
	request.Engines
	// prefill and decode return the outcome of a call by its number, from 1; Done means
	// accepted.
	prefill, decode func(n int) upstream.Delivery

	prompts, decodeCalls int
	promptAccepted       bool
	arrivals             int
}

func (m *countingEngines) Reserve(context.Context, string, engineapi.ReserveRequest) (engineapi.ReserveReply, error) {
	return engineapi.ReserveReply{Reservation: "r"}, nil
}

func (m *countingEngines) Release(context.Context, string, engineapi.CancelRequest) error { return nil }

func (m *countingEngines) Prefill(context.Context, string, engineapi.PrefillRequest) (engineapi.PrefillReply, error) {
	m.prompts++
	d := m.prefill(m.prompts)
	if m.promptAccepted || d == upstream.Refused {
		m.arrivals++
	}
	m.promptAccepted = m.promptAccepted || d == upstream.Done || d == upstream.Maybe // worst case: an engine accepted it
	return engineapi.PrefillReply{Handle: "h", PromptTokens: 3}, callError(d)
}

func (m *countingEngines) Decode(context.Context, string, engineapi.DecodeRequest) (upstream.ChunkStream, error) {
	m.decodeCalls++
	d := m.decode(m.decodeCalls)
	if d != upstream.NotSent {
		m.arrivals++
	}
	return nil, callError(d)
}

func callError(d upstream.Delivery) error {
	if d == upstream.Done {
		return nil
	}
	return upstream.NewCallError(d, 0, errors.New("scripted"))
}

// countingBudget is a retry budget that grants and counts all permits.
type countingBudget struct{ permits int }

func (*countingBudget) OnFirstAttempt(time.Time)    {}
func (*countingBudget) Remaining(time.Time) float64 { return 100 }
func (p *countingBudget) Allow(_ time.Time, n int) bool {
	p.permits += n
	return true
}

func always(d upstream.Delivery) func(int) upstream.Delivery {
	return func(int) upstream.Delivery { return d }
}

func firstThen(d, then upstream.Delivery) func(int) upstream.Delivery {
	return func(n int) upstream.Delivery {
		if n == 1 {
			return d
		}
		return then
	}
}

// TestPermitsCoverArrivals checks that the number of permits taken equals the number of arrivals
// after the first one. It guards against taking one permit per plan, however many calls the
// plan makes, and none for a plan that is repeated because nothing reached the decode engine.
// In the cases, the prompt is prefilled, the decode engine refuses, is unreachable or leaves,
// and the next attempt prefills again. Engines could then get twice the repeats that the budget
// allows.
func TestPermitsCoverArrivals(t *testing.T) {
	const done, refused, notSent = upstream.Done, upstream.Refused, upstream.NotSent
	for name, tc := range map[string]struct {
		attempts        int
		prefill, decode func(int) upstream.Delivery
		leaves          bool // the decode engine leaves during the prefill
	}{
		"result gone":               {2, always(done), always(refused), false},
		"result gone thrice":        {3, always(done), always(refused), false},
		"decode engine not reached": {1, always(done), firstThen(notSent, refused), false},
		"decode engine leaves":      {2, always(done), always(refused), true},
		"prompt refused":            {2, firstThen(refused, done), always(refused), false},
		"prompts refused":           {3, always(refused), always(refused), false},
		"no answer to the prompt":   {2, firstThen(upstream.Maybe, done), always(refused), false},
	} {
		t.Run(name, func(t *testing.T) {
			m, p := &countingEngines{prefill: tc.prefill, decode: tc.decode}, &countingBudget{}
			f := newFleet(t, func(o *request.Options) {
				o.Engines = m
				o.RetryBudget = func(string) request.RetryBudget { return p }
				o.Limits.MaxAttempts, o.Limits.MaxRefusals, o.Limits.MaxResumes = tc.attempts, 10, 0
				o.Limits.PrefillRepeatable, o.Limits.CountArrivals = true, true
			})
			f.addEngine("p2")
			f.addEngine("d2")
			if tc.leaves {
				m.prefill = func(n int) upstream.Delivery {
					if n == 1 {
						f.leave("d0")
					}
					return done
				}
			}
			f.complete(context.Background(), newCompletion("r1"), nil)
			if extra := max(0, m.arrivals-1); p.permits != extra {
				t.Errorf("%d permits for %d arrivals beyond the first (%d prompts, %d decode calls)", p.permits, extra, m.prompts, m.decodeCalls)
			}
		})
	}
}

// Guards against retry permits that are taken for nothing: every replica of a service rejects,
// and a retry that finds no replica left sends nothing.
func TestNoPermitWithoutAnUpstream(t *testing.T) {
	p := &countingBudget{}
	f := newFleet(t, func(o *request.Options) {
		o.RetryBudget = func(string) request.RetryBudget { return p }
	})
	f.addService("s0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	call := request.Call{
		ID: "c1", Team: "t", Service: "svc", Method: http.MethodGet, Path: "/",
		Accepted: time.Now(), Deadline: time.Now().Add(maxWait),
	}
	answer, err := f.runner.Call(context.Background(), call)
	if err != nil || answer.Status != http.StatusBadGateway {
		t.Errorf("got %d, %v; want the service's own answer", answer.Status, err)
	}
	if p.permits != 0 {
		t.Errorf("%d permits taken for a retry without a replica", p.permits)
	}
}
