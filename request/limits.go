package request

import (
	"context"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/ratelimit"
)

// UpstreamLimits holds the rate limits that upstreams name, together with the other daemons.
// What is given back was not sent. Implementations are safe for concurrent use.
type UpstreamLimits interface {
	// Spent returns the upstreams of a pool that must not be sent another request now.
	Spent(now time.Time, s ratelimit.Seeker) []string
	// Take takes what one request to an upstream needs, or says that there is nothing left.
	// giveBack is nil where the upstream has no limit.
	Take(now time.Time, upstream string, s ratelimit.Seeker) (giveBack func(), ok bool)
	// Borrow does so with what other daemons have, which takes tens of milliseconds at most.
	Borrow(ctx context.Context, upstream string, s ratelimit.Seeker) (giveBack func(), ok bool)
	// Refuse returns when a request may come back for which none of some upstreams has
	// anything left.
	Refuse(now time.Time, request string, s ratelimit.Seeker, upstreams []string) time.Duration
}

type unbounded struct{}

func (unbounded) Spent(time.Time, ratelimit.Seeker) []string { return nil }

func (unbounded) Take(time.Time, string, ratelimit.Seeker) (func(), bool) { return nil, true }

func (unbounded) Borrow(context.Context, string, ratelimit.Seeker) (func(), bool) { return nil, true }

func (unbounded) Refuse(time.Time, string, ratelimit.Seeker, []string) time.Duration { return 0 }

// The ranks of the own interface's classes; those of others are their priorities.
const (
	rankOfUrgent = iota
	rankOfDraft
)

// limitRank orders requests for what an upstream's limit leaves, the first the lowest: by a
// priority of their own, else by that of their class.
func limitRank(b *bundle.Bundle, class bundle.Class, priority *int) int {
	switch {
	case priority != nil:
		return *priority
	case class == bundle.Urgent:
		return rankOfUrgent
	case class == bundle.Draft:
		return rankOfDraft
	}
	return b.Classes[class].Priority
}

// within picks until what was picked can be held. hold returns the upstream that has nothing
// left, which is left out from then on. The list that is returned has all that are left out.
func within[P any](out []string, pick func(out []string) (P, *errkind.Error), hold func(P) (spent string, ok bool)) (P, []string, *errkind.Error) {
	for {
		picked, err := pick(out)
		if err != nil {
			return picked, out, err
		}
		spent, ok := hold(picked)
		if ok {
			return picked, out, nil
		}
		if slices.Contains(out, spent) {
			return picked, out, errkind.New(errkind.Internal, "an upstream that is left out was picked")
		}
		out = append(slices.Clone(out), spent)
	}
}

// limited types the refusal of a request for which only upstreams were left that take nothing
// more now.
func limited(err *errkind.Error, wait time.Duration) *errkind.Error {
	if err.Kind != errkind.NoUpstream {
		return err
	}
	return errkind.New(errkind.UpstreamLimit, "the upstreams take no more requests now").WithRetryAfter(wait)
}

func (k *call) seeker(s *policy.Snapshot) ratelimit.Seeker {
	return ratelimit.Seeker{Pool: s.Bundle.Services[k.c.Service].Pool, Rank: limitRank(s.Bundle, k.c.Class, k.c.Priority)}
}

// pick picks a replica that may be sent another request: one whose limit leaves something
// here or, where there is none, one for which other daemons lend.
func (k *call) pick(s *policy.Snapshot, p policy.Policy) (policy.ServicePlan, *errkind.Error) {
	limits, q, seeker := k.r.o.UpstreamLimits, k.query(), k.seeker(s)
	pick := func(out []string) (policy.ServicePlan, *errkind.Error) {
		q.Exclude = slices.Concat(k.exclude, out)
		return p.PickService(s, k.r.o.Inflight, k.c.Service, q, k.rng)
	}
	plan, spent, err := within(limits.Spent(q.Now, seeker), pick, func(plan policy.ServicePlan) (string, bool) {
		var ok bool
		k.unsent, ok = limits.Take(q.Now, plan.Replica.Name, seeker)
		return plan.Replica.Name, ok
	})
	k.limited = len(spent)
	if err == nil || len(spent) == 0 {
		return plan, err
	}
	plan, spent, lentErr := within(nil, pick, func(plan policy.ServicePlan) (string, bool) {
		var ok bool
		k.unsent, ok = limits.Borrow(k.caller, plan.Replica.Name, seeker)
		return plan.Replica.Name, ok
	})
	if lentErr == nil || len(spent) == 0 {
		return plan, lentErr
	}
	return plan, limited(err, limits.Refuse(k.r.o.Now(), k.c.ID, seeker, spent))
}

// engineLimits is what an attempt holds of its engines' limits until it has sent them its
// prompt and itself; nil where there is none.
type engineLimits struct{ decode, prefill func() }

func (l *engineLimits) giveBack() {
	give(&l.decode)
	give(&l.prefill)
}

// holder takes what one request needs of one upstream's limit.
type holder func(upstream string, s ratelimit.Seeker) (giveBack func(), ok bool)

// hold takes what a plan needs of its engines' limits, or names the engine that has nothing
// left.
func (d *drive) hold(plan policy.Plan, take holder, decode, prefill ratelimit.Seeker) (spent string, ok bool) {
	if plan.Wait > 0 {
		return "", true // it names no engines
	}
	if d.unsent.decode, ok = take(plan.Decode.Name, decode); !ok {
		return plan.Decode.Name, false
	}
	if plan.SkipPrefill || plan.Prefill.Name == "" {
		return "", true
	}
	if d.unsent.prefill, ok = take(plan.Prefill.Name, prefill); !ok {
		d.unsent.giveBack()
		return plan.Prefill.Name, false
	}
	return "", true
}

// choose has the policy choose engines that may be sent another request, as (*call).pick does.
func (d *drive) choose(now time.Time, s *policy.Snapshot, p policy.Policy, q policy.Query) (policy.Plan, *errkind.Error) {
	limits, model := d.r.o.UpstreamLimits, s.Bundle.Models[d.c.Model]
	rank := limitRank(s.Bundle, d.c.Class, d.c.Priority)
	decode := ratelimit.Seeker{Pool: model.DecodePool, Rank: rank}
	prefill := ratelimit.Seeker{Pool: model.PrefillPool, Rank: rank}
	excluded := q.Exclude
	pick := func(out []string) (policy.Plan, *errkind.Error) {
		q.Exclude = slices.Concat(excluded, out)
		return p.Plan(s, d.r.o.Inflight, q, d.rng)
	}
	taken := func(plan policy.Plan) (string, bool) {
		return d.hold(plan, func(name string, s ratelimit.Seeker) (func(), bool) { return limits.Take(now, name, s) }, decode, prefill)
	}
	spent := slices.Concat(limits.Spent(now, decode), limits.Spent(now, prefill))
	plan, spent, err := within(spent, pick, taken)
	d.limited = len(spent)
	if err == nil || len(spent) == 0 {
		return plan, err
	}
	lent := func(plan policy.Plan) (string, bool) {
		return d.hold(plan, func(name string, s ratelimit.Seeker) (func(), bool) { return limits.Borrow(d.base, name, s) }, decode, prefill)
	}
	plan, spent, lentErr := within(nil, pick, lent)
	if lentErr == nil || len(spent) == 0 {
		return plan, lentErr
	}
	return plan, limited(err, limits.Refuse(d.r.o.Now(), d.c.ID, decode, spent))
}
