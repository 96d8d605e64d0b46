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
	"github.com/corianderturn/corianderturn/policy"
)

// cancelFlush bounds how long Drain waits for the last cancels.
const cancelFlush = time.Second

// Runner performs the actions of the machines, one for each request. It is
// safe for concurrent use.
type Runner struct {
	o         Options
	canceller *canceller
	drafts    *drafts
	waiters   *waiters
	answers   *answersByModel
	sizes     *sizesByModel
	throttles *throttlesByModel
	// limitCtx ends when requests in flight must end now.
	limitCtx  context.Context
	endFlight context.CancelFunc

	mu     sync.Mutex
	active map[string]*Active
	idle   chan struct{} // closed when active is empty and Drain waits
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
	// Tokens is how many output tokens the caller got.
	Tokens int `json:"tokens"`
	// Age is the time since the request was accepted, Left that to its deadline.
	Age  time.Duration `json:"age"`
	Left time.Duration `json:"left"`

	accepted, deadline time.Time
	// delivered is counted without the runner's lock, which every token would take.
	delivered *atomic.Int64
}

// NewRunner returns a runner. It panics when a required option is missing,
// which is a mistake of the program that wires it. Close it after Drain.
func NewRunner(o Options) *Runner {
	if err := o.provision(); err != nil {
		panic(err)
	}
	limitCtx, endFlight := context.WithCancel(context.Background())
	return &Runner{
		o:         o,
		canceller: newCanceller(&o),
		drafts:    newDrafts(o.Inflight.AddPausable),
		waiters:   newWaiters(),
		answers:   newAnswersByModel(),
		sizes:     newSizesByModel(),
		throttles: newThrottlesByModel(),
		limitCtx:  limitCtx,
		endFlight: endFlight,
		active:    map[string]*Active{},
	}
}

// Active lists the requests in flight, the oldest first.
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

// Drain waits until no request is in flight. When ctx ends first, the requests
// that remain get an honest failure and their work is cancelled; the error
// then says how many they were. The caller has stopped accepting before.
func (r *Runner) Drain(ctx context.Context) error {
	idle, _ := r.whenIdle()
	cut := 0
	select {
	case <-idle:
	case <-ctx.Done():
		_, cut = r.whenIdle()
		r.endFlight()
		<-idle
	}
	flush, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelFlush)
	defer stop()
	r.canceller.flush(flush)
	if cut > 0 {
		return errors.Errorf("%d requests ended by the shutdown limit", cut)
	}
	return nil
}

// EndFlight ends the requests in flight with an honest error, now; Drain does so
// when its context ends. Calls that go on without their callers end too.
func (r *Runner) EndFlight() { r.endFlight() }

// Close ends what outlives requests. Call it after Drain.
func (r *Runner) Close() {
	r.endFlight()
	r.canceller.close()
}

// whenIdle returns a channel that is closed once nothing is in flight, and how
// many requests are.
func (r *Runner) whenIdle() (<-chan struct{}, int) {
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

// enter lists a request as in flight until leave is called.
func (r *Runner) enter(a Active) (entry *Active, leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.delivered = &atomic.Int64{}
	key := a.ID
	for r.active[key] != nil { // an id is unique; a repeated one must not hide its namesake
		key += "+"
	}
	r.active[key] = &a
	return &a, func() { r.leave(key) }
}

func (r *Runner) leave(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, key)
	if len(r.active) > 0 || r.idle == nil {
		return
	}
	select {
	case <-r.idle: // already closed by an earlier moment without requests
	default:
		close(r.idle)
	}
}

// update changes an entry under the lock.
func (r *Runner) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// rng returns the random source of one request.
func (r *Runner) rng(id string) *rand.Rand {
	return rand.New(rand.NewPCG(r.o.Seed, xxhash.Sum64String(id)))
}

// view returns the newest snapshot and the policy it names.
func (r *Runner) view() (*policy.Snapshot, policy.Policy, *errkind.Error) {
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

// mayTakeWork says whether the newest snapshot still lets rep take new work. A
// plan is decided on one snapshot and carried out over seconds; an upstream
// that began to leave, or was replaced, meanwhile would get new work without
// this check, right before each call that starts some.
func (r *Runner) mayTakeWork(rep policy.Replica) bool {
	s := r.o.Snapshot()
	return s != nil && slices.ContainsFunc(s.Pool(rep.Pool).Replicas(), func(o *policy.Replica) bool {
		return o.Name == rep.Name && o.Address == rep.Address
	})
}

// limits returns the request limits with those of the bundle applied.
func (r *Runner) limits() Limits {
	l := r.o.Limits
	if s := r.o.Snapshot(); s != nil && s.Bundle != nil && s.Bundle.Policy.MaxAttempts > 0 {
		l.MaxAttempts = s.Bundle.Policy.MaxAttempts
	}
	return l
}
