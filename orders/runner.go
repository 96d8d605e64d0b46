package orders

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc/pool"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	tick = 100 * time.Millisecond
	// callTimeout bounds one reading or one order.
	callTimeout = 2 * time.Second
	// maxCalls bounds the readings under way at once.
	maxCalls = 32
)

// Engines is the part of the engine client that orders need.
type Engines interface {
	State(ctx context.Context, address string) (engineapi.State, error)
	Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderReply, error)
}

// Options wire a Runner to the daemon.
type Options struct {
	Config  Config
	Engines Engines
	// Current returns the version in force, nil before the first.
	Current func() *bundle.Version
	// Mine says whether this daemon is the steward of an upstream now.
	Mine func(upstream, dataCentre string) bool
	// Generation changes whenever Mine may answer otherwise.
	Generation func() uint64
	// Frozen says whether this process was stopped and its view is not fresh yet.
	Frozen func(now time.Time) bool
	Logger log.Interface
}

// Runner gives orders to the upstreams of which this daemon is the steward. It
// is a supervise.Service.
type Runner struct {
	options Options

	mu      sync.Mutex // guards planner
	planner *Planner
}

// NewRunner returns a runner; Run starts it.
func NewRunner(options Options) *Runner {
	return &Runner{options: options, planner: NewPlanner(options.Config)}
}

// Name implements supervise.Service.
func (r *Runner) Name() string { return "orders" }

// Run implements supervise.Service.
func (r *Runner) Run(ctx context.Context) error {
	r.reset()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	calls := pool.New().WithMaxGoroutines(maxCalls)
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, a := range r.due(time.Now()) {
			calls.Go(func() { r.reconcile(ctx, a) })
		}
	}
}

// reset forgets the readings under way when a failed run is started again. Their
// results will never come; their upstreams would not be read once more, and one
// would notice orders that stop for some upstreams after a logged panic.
func (r *Runner) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner = NewPlanner(r.options.Config)
}

func (r *Runner) due(now time.Time) []Action {
	if r.options.Frozen(now) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.SetVersion(r.options.Current())
	return r.planner.Due(now, r.options.Generation(), r.options.Mine)
}

// reconcile reads one upstream's state and sends the orders that it lacks.
func (r *Runner) reconcile(ctx context.Context, a Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := r.options.Engines.State(ctx, a.Address)
	orders, number := r.decide(a.Upstream, state, err)
	for _, o := range orders {
		if !r.maySend(number) {
			return
		}
		reply, err := r.options.Engines.Order(ctx, a.Address, o)
		r.logOrder(a.Upstream, o, reply, err)
		if err != nil {
			return
		}
	}
}

func (r *Runner) decide(upstream string, state engineapi.State, err error) ([]engineapi.Order, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if err != nil {
		r.planner.Failed(now, upstream)
		return nil, r.planner.Number()
	}
	return r.planner.Observed(now, upstream, state), r.planner.Number()
}

// maySend is asked right before each order leaves.
//
// What goes wrong: a daemon that was stopped between deciding and sending, or
// heard of a newer version meanwhile, delivers an order of an old version, and an
// upstream that ignores fencing numbers obeys. One would notice a replica whose
// model version goes back. Asking anew leaves only the sending call itself.
func (r *Runner) maySend(number uint64) bool {
	if r.options.Frozen(time.Now()) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.SetVersion(r.options.Current())
	return r.planner.Current(number)
}

func (r *Runner) logOrder(upstream string, o engineapi.Order, reply engineapi.OrderReply, err error) {
	entry := r.options.Logger.WithFields(log.Fields{
		"upstream": upstream,
		"order":    string(o.Kind),
		"model":    o.Model,
		"adapter":  o.Adapter,
		"version":  o.Version,
		"role":     o.Role,
		"fence":    o.Fence,
		"accepted": reply.Accepted,
		"reason":   reply.Reason,
	})
	if err != nil {
		entry.WithError(err).Warn("order not delivered")
		return
	}
	entry.Info("order sent")
}
