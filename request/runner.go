package request

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/hedging"
	"github.com/corianderturn/corianderturn/policy"
)

// cancelFlushTimeout bounds how long Drain waits for pending cancels after the last request has
// ended.
const cancelFlushTimeout = time.Second

// Runner performs the actions of the machines, one machine per request. It is safe for
// concurrent use.
type Runner struct {
	o              Options
	canceller      *canceller
	pausableDrafts *pausableDrafts
	waiters        *waiters
	// answers holds estimates of the answer lengths of each model, throttles the admission
	// throttles for its prefill engines, and handoffs the outcomes of its handoffs.
	answers   perModel[estimate.AnswerLengths]
	throttles perModel[policy.Throttle]
	// reservationReplies estimates how long engines take to reply to reservations.
	reservationReplies estimate.RoundTrip
	// hedged is what was learned of the plain services whose slow calls are hedged.
	hedged   hedging.Services
	handoffs perModel[policy.Handoffs]
	sizes    *sizesByModel
	// forecasts holds the forecasts for plain services, by service, and callQueues the calls that wait
	// for their replicas.
	forecasts  perModel[policy.Forecast]
	callQueues *callQueues
	// shutdownCtx ends when all requests in flight must end; endInFlight ends it.
	shutdownCtx context.Context
	endInFlight context.CancelFunc

	mu     sync.Mutex
	active map[string]*Active
	idle   chan struct{} // closed when active becomes empty; nil until Drain waits
}

// Active describes one request in flight, for the administration listener.
type Active struct {
	ID    string       `json:"id"`
	Team  string       `json:"team"`
	Class bundle.Class `json:"class"`
	// Target is the model or the plain service.
	Target   string `json:"target"`
	State    string `json:"state"`
	Attempt  int    `json:"attempt"`
	Upstream string `json:"upstream"`
	Prefill  string `json:"prefill,omitempty"`
	// Tokens is the number of output tokens delivered to the caller.
	Tokens int `json:"tokens"`
	// Age is the time since the request was accepted, and Left the time until its deadline.
	Age  time.Duration `json:"age"`
	Left time.Duration `json:"left"`

	accepted, deadline time.Time
	// delivered is atomic so that delivering a token does not take the runner's lock.
	delivered *atomic.Int64
}

// NewRunner returns a runner. It panics if a required option is missing, which is a
// programming error. Call Close after Drain.
func NewRunner(o Options) *Runner {
	if err := o.applyDefaults(); err != nil {
		panic(err)
	}
	shutdownCtx, endInFlight := context.WithCancel(context.Background())
	return &Runner{
		o:              o,
		canceller:      newCanceller(&o),
		pausableDrafts: newPausableDrafts(o.Inflight.AddPausable),
		waiters:        newWaiters(),
		sizes:          newSizesByModel(),
		callQueues:     newCallQueues(),
		shutdownCtx:    shutdownCtx,
		endInFlight:    endInFlight,
		active:         map[string]*Active{},
	}
}

// Active lists the requests in flight, oldest first.
func (r *Runner) Active() []Active {
	now := r.o.Now()
	r.mu.Lock()
	out := make([]Active, 0, len(r.active))
	for _, a := range r.active {
		c := *a
		c.Age, c.Left = now.Sub(c.accepted), c.deadline.Sub(now)
		c.Tokens = int(c.delivered.Load())
		out = append(out, c)
	}
	r.mu.Unlock()
	slices.SortFunc(out, func(a, b Active) int {
		if d := a.accepted.Compare(b.accepted); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// Drain waits until no request is in flight. If ctx ends first, the remaining requests fail
// with errkind.Draining, their work is cancelled, and the returned error contains their
// number. The caller must have stopped accepting requests.
func (r *Runner) Drain(ctx context.Context) error {
	idle, _ := r.idleChan()
	remaining := 0
	select {
	case <-idle:
	case <-ctx.Done():
		_, remaining = r.idleChan()
		r.endInFlight()
		<-idle
	}
	flush, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelFlushTimeout)
	defer stop()
	r.canceller.flush(flush)
	if remaining > 0 {
		return errors.Errorf("%d requests ended by the shutdown limit", remaining)
	}
	return nil
}

// FailInFlight fails all requests in flight at once, as Drain does when its context ends. It also
// ends calls that continue after their callers have left.
func (r *Runner) FailInFlight() { r.endInFlight() }

// Close stops the goroutines that outlive requests. Call it after Drain.
func (r *Runner) Close() {
	r.endInFlight()
	r.canceller.close()
}

// idleChan returns a channel that is closed once no request is in flight, and the number of
// requests in flight.
func (r *Runner) idleChan() (<-chan struct{}, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle == nil {
		r.idle = make(chan struct{})
		if len(r.active) == 0 {
			close(r.idle)
		}
	}
	return r.idle, len(r.active)
}

// register lists a request as in flight until leave is called.
func (r *Runner) register(a Active) (entry *Active, leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.delivered = &atomic.Int64{}
	key := a.ID
	for r.active[key] != nil { // ids should be unique; list a duplicate under another key
		key += "+"
	}
	r.active[key] = &a
	return &a, func() { r.unregister(key) }
}

func (r *Runner) unregister(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, key)
	if len(r.active) > 0 || r.idle == nil {
		return
	}
	select {
	case <-r.idle: // already closed when no request was in flight before
	default:
		close(r.idle)
	}
}

// updateEntry changes an entry under the lock.
func (r *Runner) updateEntry(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// newRand returns the random source of one request.
func (r *Runner) newRand(id string) *rand.Rand {
	return rand.New(rand.NewPCG(r.o.Seed, xxhash.Sum64String(id)))
}

// snapshotAndPolicy returns the newest snapshot and the policy that its bundle names.
func (r *Runner) snapshotAndPolicy() (*policy.Snapshot, policy.Policy, *errkind.Error) {
	s := r.o.Snapshot()
	if s == nil || s.Bundle == nil {
		return nil, nil, errkind.New(errkind.NotReady, "no bundle is in force")
	}
	p, ok := r.o.Policy(s.Bundle.Policy.Name)
	if !ok {
		return nil, nil, errkind.New(errkind.Internal, "the bundle names an unknown policy")
	}
	return s, p, nil
}

// mayTakeWork reports whether rep may take new work according to the newest snapshot. A plan is
// based on one snapshot and executed over seconds. Without this check right before each call
// that starts work, an upstream that has begun to leave or was replaced after the plan was made
// would still get new work.
func (r *Runner) mayTakeWork(rep policy.Replica) bool {
	s := r.o.Snapshot()
	return s != nil && s.Pool(rep.Pool).MayTake(&rep)
}

// limits returns the request limits, with the bundle's overrides applied.
func (r *Runner) limits() Limits {
	l := r.o.Limits
	if s := r.o.Snapshot(); s != nil && s.Bundle != nil && s.Bundle.Policy.MaxAttempts > 0 {
		l.MaxAttempts = s.Bundle.Policy.MaxAttempts
	}
	return l
}
