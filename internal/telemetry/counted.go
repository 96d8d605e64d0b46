package telemetry

import (
	"context"
	"math/rand/v2"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
)

// The results of claiming an idempotency key, besides error kinds.
const (
	claimGranted   = "granted"   // this daemon runs the request
	claimRepeated  = "repeated"  // the request has a result already
	claimElsewhere = "elsewhere" // another daemon runs the request
)

// Policy wraps p in a policy that counts the decisions.
func (in *Instruments) Policy(p policy.Policy) policy.Policy { return countedPolicy{p, in} }

// countedPolicy is a policy that counts its decisions.
type countedPolicy struct {
	policy.Policy
	instruments *Instruments
}

// Plan implements policy.Policy.
func (c countedPolicy) Plan(s *policy.Snapshot, f policy.Inflight, q policy.Query, rng *rand.Rand) (policy.Plan, *errkind.Error) {
	plan, err := c.Policy.Plan(s, f, q, rng)
	c.instruments.countDecision(plan.Reason, err)
	return plan, err
}

// PickService implements policy.Policy.
func (c countedPolicy) PickService(s *policy.Snapshot, f policy.Inflight, service string, q policy.Query, rng *rand.Rand) (policy.ServicePlan, *errkind.Error) {
	plan, err := c.Policy.PickService(s, f, service, q, rng)
	c.instruments.countDecision(plan.Reason, err)
	return plan, err
}

// countDecision counts a decision of the policy: a plan with a reason, or an error.
func (in *Instruments) countDecision(reason string, err *errkind.Error) {
	if err != nil {
		reason = string(err.Kind)
	}
	in.decisions.Add(context.Background(), 1, labelOption(labelReason, reason))
}

// Gate wraps g in a gate that counts the claims.
func (in *Instruments) Gate(g request.Gate) request.Gate { return countedGate{g, in} }

// countedGate is a gate that counts its claims.
type countedGate struct {
	request.Gate
	instruments *Instruments
}

// Claim implements request.Gate.
func (c countedGate) Claim(ctx context.Context, k request.ClaimKey) (request.Grant, *errkind.Error) {
	grant, err := c.Gate.Claim(ctx, k)
	c.instruments.claims.Add(ctx, 1, labelOption(labelResult, claimResult(grant, err)))
	return grant, err
}

// claimResult returns the label value for the result of a claim.
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
