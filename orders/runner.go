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
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds the read of an upstream's state and the orders that follow.
	callTimeout = 2 * time.Second
	// maxConcurrentReads bounds the number of upstreams that are read at once.
	maxConcurrentReads = 32
)

// Engines is the client of the engines' control API.
type Engines interface {
	State(ctx context.Context, address string) (engineapi.State, error)
	Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderReply, error)
}

// Options configures a Runner.
type Options struct {
	Config  Config
	Engines Engines
	// Current returns the current bundle; nil before the first one.
	Current func() *bundle.Version
	// IsSteward reports whether this daemon is currently the steward of an upstream, that is,
	// the one daemon that sends it orders.
	IsSteward func(upstream, dataCentre string) bool
	// Generation returns a number that changes whenever the results of IsSteward may change.
	Generation func() uint64
	// Frozen reports whether this process was suspended and has not refreshed its view of
	// the other daemons since.
	Frozen func(now time.Time) bool
	Logger log.Interface
}

// Runner reads the upstreams that this daemon is the steward of and sends them orders.
// It is a supervise.Service.
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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	calls := pool.New().WithMaxGoroutines(maxConcurrentReads)
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, a := range r.dueReads(time.Now()) {
			calls.Go(func() { r.reconcile(ctx, a) })
		}
	}
}

// reset replaces the planner when Run is started again after a panic. Reads that were in
// flight at the panic never deliver a result, so the old planner would never read their
// upstreams again or send them orders.
func (r *Runner) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner = NewPlanner(r.options.Config)
}

func (r *Runner) dueReads(now time.Time) []StateRead {
	if r.options.Frozen(now) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.SetVersion(r.options.Current())
	return r.planner.Due(now, r.options.Generation(), r.options.IsSteward)
}

// reconcile reads the state of one upstream and sends the orders that lead to its desired
// state.
func (r *Runner) reconcile(ctx context.Context, a StateRead) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := r.options.Engines.State(ctx, a.Address)
	orders, number := r.missingOrders(a.Upstream, state, err)
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

func (r *Runner) missingOrders(upstream string, state engineapi.State, err error) ([]engineapi.Order, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if err != nil {
		r.planner.RecordFailure(now, upstream)
		return nil, r.planner.BundleNumber()
	}
	return r.planner.RecordState(now, upstream, state), r.planner.BundleNumber()
}

// maySend reports whether an order from the bundle of the given number may still be
// sent. It is called right before each order.
//
// Without this check, a daemon that was suspended or got a newer bundle after it computed
// the order would send an outdated order, and an upstream that ignores fencing numbers
// would return to an old model version. With it, only a suspension during the call that
// sends the order can still have this effect.
func (r *Runner) maySend(bundleNumber uint64) bool {
	if r.options.Frozen(time.Now()) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.SetVersion(r.options.Current())
	return r.planner.IsCurrent(bundleNumber)
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
