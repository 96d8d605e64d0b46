package request

import (
	"context"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/ratelimit"
)

// UpstreamLimits enforces the rate limits that upstreams announce, jointly with the other
// daemons. A unit is the right to send one request. Units that were taken for a request that is
// not sent are returned.
// Implementations are safe for concurrent use.
type UpstreamLimits interface {
	// Exhausted returns the upstreams of a pool whose rate limits allow no further request
	// now.
	Exhausted(now time.Time, s ratelimit.Request) []string
	// Take takes the units that one request to an upstream needs; ok is false if they are not
	// left. release returns them; it is nil if the upstream has no limit.
	Take(now time.Time, upstream string, s ratelimit.Request) (release func(), ok bool)
	// Borrow is like Take but takes units that other daemons hold. It returns within tens of
	// milliseconds.
	Borrow(ctx context.Context, upstream string, s ratelimit.Request) (release func(), ok bool)
	// RetryAfter returns how long a request must wait before it is tried again when none of the
	// given upstreams has units left for it.
	RetryAfter(now time.Time, request string, s ratelimit.Request, upstreams []string) time.Duration
}

type noUpstreamLimits struct{}

func (noUpstreamLimits) Exhausted(time.Time, ratelimit.Request) []string { return nil }

func (noUpstreamLimits) Take(time.Time, string, ratelimit.Request) (func(), bool) { return nil, true }

func (noUpstreamLimits) Borrow(context.Context, string, ratelimit.Request) (func(), bool) {
	return nil, true
}

func (noUpstreamLimits) RetryAfter(time.Time, string, ratelimit.Request, []string) time.Duration {
	return 0
}

// pickWithinLimits calls pick until take gets the rate limit units for the picked upstreams. If
// take fails, it names the upstream that has no units left, and pick is called again with that
// upstream excluded. The returned list contains all excluded upstreams.
func pickWithinLimits[P any](excluded []string, pick func(excluded []string) (P, *errkind.Error), take func(P) (exhausted string, ok bool)) (P, []string, *errkind.Error) {
	for {
		picked, err := pick(excluded)
		if err != nil {
			return picked, excluded, err
		}
		exhausted, ok := take(picked)
		if ok {
			return picked, excluded, nil
		}
		if slices.Contains(excluded, exhausted) {
			return picked, excluded, errkind.New(errkind.Internal, "an upstream that is left out was picked")
		}
		excluded = append(slices.Clone(excluded), exhausted)
	}
}

// limitError returns the error for a request that has no upstream left: UpstreamLimit with the
// given wait, or err itself if it is not NoUpstream.
func limitError(err *errkind.Error, wait time.Duration) *errkind.Error {
	if err.Kind != errkind.NoUpstream {
		return err
	}
	return errkind.New(errkind.UpstreamLimit, "the upstreams take no more requests now").WithRetryAfter(wait)
}

// limitRequest returns the call's request for rate limit units.
func (k *serviceCall) limitRequest(s *policy.Snapshot) ratelimit.Request {
	return ratelimit.Request{Pool: s.Bundle.Services[k.c.Service].Pool, Rank: policy.Rank(s.Bundle, k.c.Class, k.c.Priority)}
}

// pickReplica picks a replica for which this daemon has rate limit units left or, if there is
// none, one for which it can borrow units from other daemons.
func (k *serviceCall) pickReplica(s *policy.Snapshot, p policy.Policy) (policy.ServicePlan, *errkind.Error) {
	limits, q, limitReq := k.r.o.UpstreamLimits, k.planQuery(), k.limitRequest(s)
	pick := func(out []string) (policy.ServicePlan, *errkind.Error) {
		q.Exclude = slices.Concat(k.exclude, k.busy, out)
		return p.PickService(s, k.r.o.Inflight, k.c.Service, q, k.rng)
	}
	plan, exhausted, err := pickWithinLimits(limits.Exhausted(q.Now, limitReq), pick, func(plan policy.ServicePlan) (string, bool) {
		if plan.Wait > 0 {
			return "", true // the plan is to wait and names no replica
		}
		var ok bool
		k.returnUnits, ok = limits.Take(q.Now, plan.Replica.Name, limitReq)
		return plan.Replica.Name, ok
	})
	k.limitedCount = len(exhausted)
	if err == nil || len(exhausted) == 0 {
		return plan, err
	}
	plan, exhausted, borrowErr := pickWithinLimits(nil, pick, func(plan policy.ServicePlan) (string, bool) {
		if plan.Wait > 0 {
			return "", true
		}
		var ok bool
		k.returnUnits, ok = limits.Borrow(k.caller, plan.Replica.Name, limitReq)
		return plan.Replica.Name, ok
	})
	if borrowErr == nil || len(exhausted) == 0 {
		return plan, borrowErr
	}
	return plan, limitError(err, limits.RetryAfter(k.r.o.Now(), k.c.ID, limitReq, exhausted))
}

// engineLimits holds the functions that return the units which an attempt took from its
// engines' rate limits. Each function is nil if no units are held, and is cleared when the call
// that uses the units is sent.
type engineLimits struct{ decode, prefill func() }

func (l *engineLimits) returnAll() {
	callOnce(&l.decode)
	callOnce(&l.prefill)
}

// takeFunc takes the units that one request needs from an upstream's rate limit.
type takeFunc func(upstream string, s ratelimit.Request) (release func(), ok bool)

// takeLimits takes the units that a plan needs from its engines' rate limits. If one of the
// engines has none left, it returns that engine's name.
func (d *driver) takeLimits(plan policy.Plan, take takeFunc, decode, prefill ratelimit.Request) (exhausted string, ok bool) {
	if plan.Wait > 0 {
		return "", true // the plan is to wait for a slot and names no engines
	}
	if d.heldLimits.decode, ok = take(plan.Decode.Name, decode); !ok {
		return plan.Decode.Name, false
	}
	if plan.SkipPrefill || plan.Prefill.Name == "" || d.m.reoffered != nil {
		return "", true
	}
	if d.heldLimits.prefill, ok = take(plan.Prefill.Name, prefill); !ok {
		d.heldLimits.returnAll()
		return plan.Prefill.Name, false
	}
	return "", true
}

// chooseEngines asks the policy for engines whose rate limits have units left, as pickReplica
// does for replicas.
func (d *driver) chooseEngines(now time.Time, s *policy.Snapshot, p policy.Policy, q policy.Query) (policy.Plan, *errkind.Error) {
	limits, model := d.r.o.UpstreamLimits, s.Bundle.Models[d.c.Model]
	rank := policy.Rank(s.Bundle, d.c.Class, d.c.Priority)
	decode := ratelimit.Request{Pool: model.DecodePool, Rank: rank}
	prefill := ratelimit.Request{Pool: model.PrefillPool, Rank: rank}
	excluded := q.Exclude
	pick := func(out []string) (policy.Plan, *errkind.Error) {
		q.Exclude = slices.Concat(excluded, out)
		return p.Plan(s, d.r.o.Inflight, q, d.rng)
	}
	takeLocal := func(plan policy.Plan) (string, bool) {
		return d.takeLimits(plan, func(name string, s ratelimit.Request) (func(), bool) { return limits.Take(now, name, s) }, decode, prefill)
	}
	exhausted := slices.Concat(limits.Exhausted(now, decode), limits.Exhausted(now, prefill))
	plan, exhausted, err := pickWithinLimits(exhausted, pick, takeLocal)
	d.limitedCount = len(exhausted)
	if err == nil || len(exhausted) == 0 {
		return plan, err
	}
	borrow := func(plan policy.Plan) (string, bool) {
		return d.takeLimits(plan, func(name string, s ratelimit.Request) (func(), bool) { return limits.Borrow(d.baseCtx, name, s) }, decode, prefill)
	}
	plan, exhausted, borrowErr := pickWithinLimits(nil, pick, borrow)
	if borrowErr == nil || len(exhausted) == 0 {
		return plan, borrowErr
	}
	return plan, limitError(err, limits.RetryAfter(d.r.o.Now(), d.c.ID, decode, exhausted))
}
