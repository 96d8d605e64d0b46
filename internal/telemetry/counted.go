package telemetry

import (
	"context"
	"math/rand/v2"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
)

// The results of a claim besides error kinds.
const (
	claimGranted   = "granted"
	claimRepeated  = "repeated"
	claimElsewhere = "elsewhere"
)

// Policy returns p with its decisions counted.
func (in *Instruments) Policy(p policy.Policy) policy.Policy { return countedPolicy{p, in} }

type countedPolicy struct {
	policy.Policy
	in *Instruments
}

// Plan implements policy.Policy.
func (c countedPolicy) Plan(s *policy.Snapshot, f policy.Inflight, q policy.Query, rng *rand.Rand) (policy.Plan, *errkind.Error) {
	plan, err := c.Policy.Plan(s, f, q, rng)
	c.in.decided(plan.Reason, err)
	return plan, err
}

// PickService implements policy.Policy.
func (c countedPolicy) PickService(s *policy.Snapshot, f policy.Inflight, service string, q policy.Query, rng *rand.Rand) (policy.ServicePlan, *errkind.Error) {
	plan, err := c.Policy.PickService(s, f, service, q, rng)
	c.in.decided(plan.Reason, err)
	return plan, err
}

func (in *Instruments) decided(reason string, err *errkind.Error) {
	if err != nil {
		reason = string(err.Kind)
	}
	in.decisions.Add(context.Background(), 1, label(labelReason, reason))
}

// Gate returns g with its claims counted.
func (in *Instruments) Gate(g request.Gate) request.Gate { return countedGate{g, in} }

type countedGate struct {
	request.Gate
	in *Instruments
}

// Claim implements request.Gate.
func (c countedGate) Claim(ctx context.Context, k request.ClaimKey) (request.Grant, *errkind.Error) {
	grant, err := c.Gate.Claim(ctx, k)
	c.in.claims.Add(ctx, 1, label(labelResult, claimResult(grant, err)))
	return grant, err
}

func claimResult(g request.Grant, err *errkind.Error) string {
	if err != nil {
		return string(err.Kind)
	}
	if g.Run() {
		return claimGranted
	}
	if _, ok := g.Owner(); ok {
		return claimElsewhere
	}
	return claimRepeated
}
