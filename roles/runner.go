package roles

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc/pool"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// Group is the group of daemons in the store from which the lease holder is chosen.
type Group interface {
	// Join joins the group or renews the membership. last is the last response, zero if there
	// is none.
	Join(ctx context.Context, last Membership, ttl time.Duration) (Membership, error)
	// Leave ends the membership.
	Leave(ctx context.Context) error
}

// State is the state that an engine reports.
type State struct {
	Role fleet.Role
	Busy bool // an order is being carried out
	// Orders is the number of orders accepted since the engine started. Incarnation
	// identifies its incarnation; 0 if the engine does not report it.
	Orders      uint64
	Incarnation int64
}

// Engines is the client of the engines' control API.
type Engines interface {
	State(ctx context.Context, m Engine) (State, error)
	// SetRole sends one order. The engine refuses it if the number of orders that it has
	// accepted differs from expected.
	SetRole(ctx context.Context, m Engine, to fleet.Role, fence, expected uint64) error
}

// Options configures a Runner. All fields are required unless stated otherwise.
type Options struct {
	Group   Group
	Engines Engines
	View    func() *fleet.View
	// Registrations returns the registrations of all upstreams of a service.
	Registrations func(service string) []fleet.Registration
	// Costs returns the cost estimates for completions of a service.
	Costs           func(service string) *CostEstimator
	TTL             time.Duration // see NewLease
	QuietPeriod     time.Duration // see NewLease
	RenewalInterval time.Duration // interval at which the lease holder renews its membership
	CallTimeout     time.Duration // timeout of a call to the store, and of reading an engine's state and ordering it
	// Bootstrap is the time from the start of Run until orders are allowed, when the
	// whole system starts for the first time; 0 otherwise.
	Bootstrap time.Duration
	// Candidate reports whether this daemon should join the group and so may get the
	// lease; nil means always. Each member costs a call to the store every few seconds.
	Candidate func() bool
	// OnJoin is called with the group's generation after each renewal; may be nil.
	OnJoin func(generation uint64)
	Logger log.Interface
	Now    func() time.Time
}

// Runner competes for the lease and sends orders while this daemon holds the lease. It is a
// supervise.Service.
type Runner struct {
	options  Options
	lease    *Lease
	planners map[string]*Planner
	// plannerMu guards the planners while the workers of sendBatch run.
	plannerMu sync.Mutex
	mayOrder  bool
	joined    bool // this daemon may be a member of the group
	// ordersOpenAt is when orders become allowed if the system starts for the first time; else
	// zero.
	ordersOpenAt time.Time
}

// NewRunner returns a runner.
func NewRunner(o Options) *Runner { return &Runner{options: o} }

// Name implements supervise.Service.
func (r *Runner) Name() string { return "roles" }

// Run implements supervise.Service.
func (r *Runner) Run(ctx context.Context) error {
	r.lease, r.planners = NewLease(r.options.TTL, r.options.QuietPeriod), map[string]*Planner{}
	if r.options.Bootstrap > 0 {
		r.ordersOpenAt = r.options.Now().Add(r.options.Bootstrap)
		r.lease.Bootstrap(r.ordersOpenAt)
	}
	for ok := true; ok; ok = clock.Sleep(ctx, r.renewalDelay()) {
		r.maintainMembership(ctx)
		if fence, ok := r.lease.Fence(r.options.Now()); ok {
			r.sendOrders(ctx, fence)
		}
		r.logLeaseChange()
	}
	if r.joined {
		r.leave(context.WithoutCancel(ctx))
	}
	return nil
}

// maintainMembership renews the membership of a candidate, and ends it once the daemon is
// no longer a candidate.
func (r *Runner) maintainMembership(ctx context.Context) {
	candidate := r.options.Candidate == nil || r.options.Candidate()
	switch {
	case candidate:
		r.renew(ctx)
	case r.joined:
		r.leave(ctx)
	}
}

func (r *Runner) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	r.joined = false
	left := r.lease.Membership()
	left.Owner = false
	r.lease.RecordJoin(r.options.Now(), r.options.Now(), left)
	if err := r.options.Group.Leave(ctx); err != nil {
		r.options.Logger.WithError(err).Info("failed to leave the group: membership will expire")
	}
}

// candidateCheckInterval is the interval at which a daemon that has not joined the group
// checks whether it is a candidate, until orders are allowed. The check is local. When a
// candidate joined 0.7 s late, it got the lease too late for the first orders, and engines
// changed their roles under load.
const candidateCheckInterval = 100 * time.Millisecond

// renewalDelay returns the time until the next renewal. The lease holder renews often, so
// that it does not lose the lease with one failed call. The other members renew only as
// often as they must, because calls to the store are limited. Until orders are allowed,
// all renew often, so that one of them gets the lease in time.
func (r *Runner) renewalDelay() time.Duration {
	switch early := r.options.Now().Before(r.ordersOpenAt); {
	case early && !r.joined:
		return candidateCheckInterval
	case early:
		return r.options.RenewalInterval / 2
	case r.lease.Held():
		return r.options.RenewalInterval
	}
	return r.options.TTL * 2 / 3
}

func (r *Runner) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	sent := r.options.Now()
	r.joined = true // even if the call fails, the store may have processed it
	h, err := r.options.Group.Join(ctx, r.lease.Membership(), r.options.TTL)
	if err != nil {
		r.options.Logger.WithError(err).Debug("membership not renewed")
		return
	}
	r.lease.RecordJoin(sent, r.options.Now(), h)
	if r.options.OnJoin != nil {
		r.options.OnJoin(h.Generation)
	}
}

// logLeaseChange logs when this daemon gains or loses the right to send orders.
func (r *Runner) logLeaseChange() {
	fence, leads := r.lease.Fence(r.options.Now())
	if leads == r.mayOrder {
		return
	}
	r.mayOrder = leads
	r.options.Logger.WithFields(log.Fields{"leads": leads, "fence": fence}).Info("orders lease changed")
}

// enginesPerOrder limits the orders to the engines of a service once clients have connected:
// between two renewals the runner sends one order for every enginesPerOrder engines that the
// service has, and at least one. With a limit of one order, 128 engines took half a minute
// to adapt to a new load.
const enginesPerOrder = 32

// sendOrders sends the orders that are due: all of them before clients connect, else a
// limited number for each service (see enginesPerOrder).
func (r *Runner) sendOrders(ctx context.Context, fence uint64) {
	v := r.options.View()
	if v == nil || v.Config == nil {
		return
	}
	for name, s := range v.Config.Services {
		if s.Engine == nil {
			continue
		}
		p := r.planners[name]
		if p == nil {
			p = NewPlanner(s.Engine.RoleSwitch)
			r.planners[name] = p
		}
		early := r.lease.BootstrapOnly(r.options.Now())
		share, _ := r.options.Costs(name).PrefillShare(r.options.Now(), Capacity{Slots: s.Engine.Slots, MemoryTokens: s.Engine.MemoryTokens})
		members := engineMembers(r.options.Registrations(name))
		most := max(1, len(members)/enginesPerOrder)
		if early {
			most = len(members)
		}
		r.sendBatch(ctx, p, p.Orders(r.options.Now(), members, share, early, most), fence, share)
	}
}

// orderWorkers is the number of engines that are ordered concurrently. One after the other, the
// first orders of ten thousand engines took until seconds after the first clients had connected.
const orderWorkers = 32

// sendBatch sends orders concurrently. Those that cannot be sent before the next renewal is due
// are left out, because the lease would expire.
func (r *Runner) sendBatch(ctx context.Context, p *Planner, orders []Order, fence uint64, share float64) {
	until := r.options.Now().Add(r.options.RenewalInterval)
	workers := pool.New().WithMaxGoroutines(orderWorkers)
	defer workers.Wait()
	for _, o := range orders {
		workers.Go(func() {
			if r.options.Now().Before(until) && r.holdsFence(fence) {
				r.sendOrder(ctx, p, o, fence, share)
			}
		})
	}
}

// holdsFence reports whether this daemon may still send orders with the given fencing
// token.
func (r *Runner) holdsFence(fence uint64) bool {
	current, ok := r.lease.Fence(r.options.Now())
	return ok && current == fence
}

// engineMembers returns the engines that may be ordered to change their role.
func engineMembers(list []fleet.Registration) []Engine {
	var out []Engine
	for _, m := range list {
		if !m.Draining && m.Role != fleet.RolePlain {
			out = append(out, Engine{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, Role: m.Role, Version: m.Version, Incarnation: m.Born})
		}
	}
	return out
}

// updatePlanner calls fn, which changes a planner, for one worker at a time.
func (r *Runner) updatePlanner(fn func()) {
	r.plannerMu.Lock()
	defer r.plannerMu.Unlock()
	fn()
}

// sendOrder reads the state of the engine and sends it the order, unless the state shows
// that the order must not be sent. Once the state has been read, the order counts as pending whatever happens
// next: even an order without a response may be carried out later.
func (r *Runner) sendOrder(ctx context.Context, p *Planner, o Order, fence uint64, share float64) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	entry := r.options.Logger.WithFields(log.Fields{"upstream": o.Member.Name, "to": o.To.String(), "fence": fence, "share": share})
	state, err := r.options.Engines.State(ctx, o.Member)
	if err != nil {
		r.updatePlanner(func() { p.RecordUnreachable(r.options.Now(), o.Member) })
		entry.WithError(err).Info("order not sent: engine did not respond")
		return
	}
	r.updatePlanner(func() { p.RecordOrder(r.options.Now(), o) })
	if state.Incarnation != o.Member.Incarnation && state.Incarnation != 0 && o.Member.Incarnation != 0 {
		entry.Info("order not sent: engine restarted and has not registered again")
		return
	}
	if state.Busy || state.Role == o.To {
		entry.WithField("busy", state.Busy).Info("order not sent: engine is busy or already has the role")
		return
	}
	if !r.holdsFence(fence) {
		entry.Info("order not sent: lease lost")
		return
	}
	if state.Orders > 0 && r.lease.BootstrapOnly(r.options.Now()) {
		entry.Info("order not sent: engine has had orders and the lease is new")
		return
	}
	if err := r.options.Engines.SetRole(ctx, o.Member, o.To, fence, state.Orders); err != nil {
		entry.WithError(err).Warn("order unanswered or refused")
		return
	}
	entry.Info("order accepted")
}
