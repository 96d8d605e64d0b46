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

// meter counts what reaches engines as the platform does: the first prompt that an engine
// accepts counts for nothing, everything else is an arrival. Its own calls are Reserve,
// Prefill and Decode; each decode call ends as decode says.
type meter struct {
	request.Engines
	// prefill and decode say how a call ends, by its number from 1; Done is accepted.
	prefill, decode func(n int) upstream.Delivery

	prompts, runs int
	read          bool
	arrivals      int
}

func (m *meter) Reserve(context.Context, string, engineapi.ReserveRequest) (engineapi.ReserveReply, error) {
	return engineapi.ReserveReply{Reservation: "r"}, nil
}

func (m *meter) Release(context.Context, string, engineapi.CancelRequest) error { return nil }

func (m *meter) Prefill(context.Context, string, engineapi.PrefillRequest) (engineapi.PrefillReply, error) {
	m.prompts++
	d := m.prefill(m.prompts)
	if m.read || d == upstream.Refused {
		m.arrivals++
	}
	m.read = m.read || d == upstream.Done || d == upstream.Maybe // at the worst
	return engineapi.PrefillReply{Handle: "h", PromptTokens: 3}, failure(d)
}

func (m *meter) Decode(context.Context, string, engineapi.DecodeRequest) (upstream.ChunkStream, error) {
	m.runs++
	d := m.decode(m.runs)
	if d != upstream.NotSent {
		m.arrivals++
	}
	return nil, failure(d)
}

func failure(d upstream.Delivery) error {
	if d == upstream.Done {
		return nil
	}
	return upstream.NewCallError(d, 0, errors.New("scripted"))
}

// purse is a retry budget that allows everything and counts it.
type purse struct{ taken int }

func (*purse) OnFirstAttempt(time.Time) {}
func (*purse) Held(time.Time) float64   { return 100 }
func (p *purse) Allow(_ time.Time, n int) bool {
	p.taken += n
	return true
}

func always(d upstream.Delivery) func(int) upstream.Delivery {
	return func(int) upstream.Delivery { return d }
}

func begins(d, then upstream.Delivery) func(int) upstream.Delivery {
	return func(n int) upstream.Delivery {
		if n == 1 {
			return d
		}
		return then
	}
}

// Symptom: engines get up to twice the repeats that the budget allowed, and some that
// nobody asked it for.
// Sequence: the prompt is read; then the decode engine refuses it, is not reached or
// leaves, and the next attempt reads the prompt again before it decodes.
// Cause: one permit for a plan, whatever the plan sends, and none for a plan that is made
// again since nothing reached the decode engine.
func TestPermitsCoverArrivals(t *testing.T) {
	const done, refused, notSent = upstream.Done, upstream.Refused, upstream.NotSent
	for name, tc := range map[string]struct {
		attempts        int
		prefill, decode func(int) upstream.Delivery
		leaves          bool // the decode engine, while the prompt is read
	}{
		"result gone":               {2, always(done), always(refused), false},
		"result gone thrice":        {3, always(done), always(refused), false},
		"decode engine not reached": {1, always(done), begins(notSent, refused), false},
		"decode engine leaves":      {2, always(done), always(refused), true},
		"prompt refused":            {2, begins(refused, done), always(refused), false},
		"prompts refused":           {3, always(refused), always(refused), false},
		"no answer to the prompt":   {2, begins(upstream.Maybe, done), always(refused), false},
	} {
		t.Run(name, func(t *testing.T) {
			m, p := &meter{prefill: tc.prefill, decode: tc.decode}, &purse{}
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
			f.run(context.Background(), completion("r1"), nil)
			if extra := max(0, m.arrivals-1); p.taken != extra {
				t.Errorf("%d permits for %d arrivals beyond the first (%d prompts, %d decode calls)", p.taken, extra, m.prompts, m.runs)
			}
		})
	}
}

// Load: a service of which every replica rejects. A retry that finds no replica left sends
// nothing, and takes nothing from those who could send one.
func TestNoPermitWithoutAnUpstream(t *testing.T) {
	p := &purse{}
	f := newFleet(t, func(o *request.Options) {
		o.RetryBudget = func(string) request.RetryBudget { return p }
	})
	f.serve("s0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	call := request.Call{
		ID: "c1", Team: "t", Service: "svc", Method: http.MethodGet, Path: "/",
		Accepted: time.Now(), Deadline: time.Now().Add(bound),
	}
	answer, err := f.runner.Call(context.Background(), call)
	if err != nil || answer.Status != http.StatusBadGateway {
		t.Errorf("got %d, %v; want the service's own answer", answer.Status, err)
	}
	if p.taken != 0 {
		t.Errorf("%d permits for a retry that nobody could take", p.taken)
	}
}
