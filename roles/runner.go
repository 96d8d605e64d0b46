package roles

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// Group is the store's membership of daemons.
type Group interface {
	// Join joins the group or renews the membership; generation is the last one told.
	Join(ctx context.Context, generation uint64, ttl time.Duration) (Holding, error)
	// Leave gives the membership up.
	Leave(ctx context.Context) error
}

// State is what an engine tells of itself.
type State struct {
	Role fleet.Role
	Busy bool // an order is being carried out
	// Orders counts the orders that it has accepted in this life, and Born tells the life;
	// 0 where it does not.
	Orders uint64
	Born   int64
}

// Engines reads engines and orders them.
type Engines interface {
	State(ctx context.Context, m Member) (State, error)
	// SetRole sends one order, which the engine refuses when it has accepted others
	// than expected.
	SetRole(ctx context.Context, m Member, to fleet.Role, fence, expected uint64) error
}

// Options wire a Runner; all are required.
type Options struct {
	Group   Group
	Engines Engines
	View    func() *fleet.View
	// Work returns what the completions of a service cost.
	Work  func(service string) *Work
	TTL   time.Duration
	Quiet time.Duration
	Every time.Duration // between renewals of the holder
	Call  time.Duration // bounds one call
	// Bootstrap is how long after the start of Run orders open when the whole system
	// starts for the first time; 0 when it does not.
	Bootstrap time.Duration
	// Candidate says whether this daemon is to have the lease if no other has; nil is
	// always. Each member of the group is a call to the store every few seconds.
	Candidate func() bool
	// Joined is told the group's generation after each renewal; nil tells nobody.
	Joined func(generation uint64)
	Logger log.Interface
	Now    func() time.Time
}

// Runner keeps the lease and gives orders while it holds it. It is a
// supervise.Service.
type Runner struct {
	o        Options
	lease    *Lease
	planners map[string]*Planner
	leading  bool
	member   bool // the store may take this daemon for one of the group
	// opens is when orders open; zero unless the system starts for the first time.
	opens time.Time
}

// NewRunner returns a runner.
func NewRunner(o Options) *Runner { return &Runner{o: o} }

// Name implements supervise.Service.
func (r *Runner) Name() string { return "roles" }

// Run implements supervise.Service.
func (r *Runner) Run(ctx context.Context) error {
	r.lease, r.planners = NewLease(r.o.TTL, r.o.Quiet), map[string]*Planner{}
	if r.o.Bootstrap > 0 {
		r.opens = r.o.Now().Add(r.o.Bootstrap)
		r.lease.Bootstrap(r.opens)
	}
	for ok := true; ok; ok = clock.Sleep(ctx, r.pause()) {
		r.attend(ctx)
		if fence, ok := r.lease.Fence(r.o.Now()); ok {
			r.order(ctx, fence)
		}
		r.noteLead()
	}
	if r.member {
		r.leave(context.WithoutCancel(ctx))
	}
	return nil
}

// attend keeps the membership of a candidate, and gives up that of a daemon which is one
// no more. One that was a candidate for a moment only has asked nobody.
func (r *Runner) attend(ctx context.Context) {
	candidate := r.o.Candidate == nil || r.o.Candidate()
	switch {
	case candidate:
		r.renew(ctx)
	case r.member:
		r.leave(ctx)
	}
}

func (r *Runner) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.o.Call)
	defer cancel()
	r.member = false
	r.lease.Joined(r.o.Now(), r.o.Now(), Holding{Generation: r.lease.Generation()})
	if err := r.o.Group.Leave(ctx); err != nil {
		r.o.Logger.WithError(err).Info("membership left to lapse")
	}
}

// candidateEvery is how often a daemon that is no candidate looks whether it has become
// one before orders open; it asks nobody for that. A candidate that joined 0.7 s late had
// the lease too late for the first orders, which then came under load.
const candidateEvery = 100 * time.Millisecond

// pause returns the time until the next renewal. Who holds the lease renews often, so
// that one lost call does not end it; the others only keep their membership, each
// renewal of which is a call that the store counts. Until orders open all renew often:
// whoever is to have the lease then must have it in time.
func (r *Runner) pause() time.Duration {
	switch early := r.o.Now().Before(r.opens); {
	case early && !r.member:
		return candidateEvery
	case early:
		return r.o.Every / 2
	case r.lease.Held():
		return r.o.Every
	}
	return r.o.TTL * 2 / 3
}

func (r *Runner) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.o.Call)
	defer cancel()
	sent := r.o.Now()
	r.member = true // even without an answer the store may have taken the call
	h, err := r.o.Group.Join(ctx, r.lease.Generation(), r.o.TTL)
	if err != nil {
		r.o.Logger.WithError(err).Debug("membership not renewed")
		return
	}
	r.lease.Joined(sent, r.o.Now(), h)
	if r.o.Joined != nil {
		r.o.Joined(h.Generation)
	}
}

// noteLead logs when this daemon gains or loses the right to give orders.
func (r *Runner) noteLead() {
	fence, leads := r.lease.Fence(r.o.Now())
	if leads == r.leading {
		return
	}
	r.leading = leads
	r.o.Logger.WithFields(log.Fields{"leads": leads, "fence": fence}).Info("orders lease")
}

// orderPart is the part of a service's engines, one in so many and at least one, that may
// be ordered between two renewals once callers have come. One alone took 128 engines half
// a minute to follow a load that was new.
const orderPart = 32

// order gives the orders that are due: all of them while no callers have come, else a few
// for each service.
func (r *Runner) order(ctx context.Context, fence uint64) {
	v := r.o.View()
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
		early := r.lease.Early(r.o.Now())
		share, _ := r.o.Work(name).PrefillShare(r.o.Now(), Engine{Slots: s.Engine.Slots, MemoryTokens: s.Engine.MemoryTokens})
		members := membersOf(v, name)
		for given := 0; r.holds(fence) && (early || given < max(1, len(members)/orderPart)); given++ {
			o, ok := p.Next(r.o.Now(), members, share, early)
			if !ok {
				break
			}
			r.give(ctx, p, o, fence, share)
		}
	}
}

// holds says whether the lease is still the one of a fence.
func (r *Runner) holds(fence uint64) bool {
	now, ok := r.lease.Fence(r.o.Now())
	return ok && now == fence
}

func membersOf(v *fleet.View, service string) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Service == service && !m.Draining && m.Role != fleet.RolePlain {
			out = append(out, Member{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, Role: m.Role, Born: m.Born})
		}
	}
	return out
}

// give reads the engine, orders it when it still is what it seemed, and notes the
// order whatever its answer: without one it may be carried out late.
func (r *Runner) give(ctx context.Context, p *Planner, o Order, fence uint64, share float64) {
	ctx, cancel := context.WithTimeout(ctx, r.o.Call)
	defer cancel()
	entry := r.o.Logger.WithFields(log.Fields{"upstream": o.Member.Name, "to": o.To.String(), "fence": fence, "share": share})
	state, err := r.o.Engines.State(ctx, o.Member)
	if err != nil {
		p.Unreachable(r.o.Now(), o.Member)
		entry.WithError(err).Info("order not given: the engine did not answer")
		return
	}
	p.Given(r.o.Now(), o)
	if state.Born != o.Member.Born && state.Born != 0 && o.Member.Born != 0 {
		entry.Info("order not given: the engine was started again and has not registered yet")
		return
	}
	if state.Busy || state.Role == o.To {
		entry.WithField("busy", state.Busy).Info("order not given: the engine turns already")
		return
	}
	if !r.holds(fence) {
		entry.Info("order not given: the lease is over")
		return
	}
	if state.Orders > 0 && r.lease.Early(r.o.Now()) {
		entry.Info("order not given: the engine has had orders, and the lease is young")
		return
	}
	if err := r.o.Engines.SetRole(ctx, o.Member, o.To, fence, state.Orders); err != nil {
		entry.WithError(err).Warn("order unanswered or refused")
		return
	}
	entry.Info("order accepted")
}
