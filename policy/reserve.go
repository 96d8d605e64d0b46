package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// reserve is the default policy. It chooses a decode slot and link time before prefill starts
// and refuses early the requests that cannot meet their targets.
type reserve struct{}

// Name implements Policy.
func (reserve) Name() string { return NameReserve }

// Plan implements Policy.
func (reserve) Plan(s *Snapshot, in Inflight, q Query, rng *rand.Rand) (Plan, *errkind.Error) {
	model, ok := s.Bundle.Models[q.Model]
	if !ok {
		return Plan{}, errkind.New(errkind.UnknownModel, "the model is not in the bundle in force")
	}
	d := decision{snapshot: s, inflight: in, query: &q, rng: rng, features: s.features, target: q.target(s.Bundle)}
	decodePool, prefillPool := s.pools[model.DecodePool].OfVersion(q.Version), s.pools[model.PrefillPool].OfVersion(q.Version)
	if model.PrefillPool == "" {
		return d.planSingleEngine(decodePool)
	}
	if err := d.checkTeamLimit(); err != nil {
		return Plan{}, err
	}
	decodePool, err := d.available(decodePool)
	if err != nil {
		return Plan{}, err
	}
	decode, err := d.pickDecodeInTurn(decodePool)
	if err != nil {
		return d.waitOrRefuse(decodePool, prefillPool, err)
	}
	bytes := model.KVBytesPerToken * int64(q.PromptTokens)
	prefill, err := d.pickPrefill(prefillPool.OfVersion(decode.replica.Version), decode.replica, bytes, model.DecodePrefills)
	if model.DecodePrefills && d.shouldPrefillOnDecode(decode, prefill, err != nil) {
		return d.planPrefillOnDecode(decode)
	}
	if err != nil {
		return Plan{}, err
	}
	if err := d.admit(decode, prefill); err != nil {
		return Plan{}, err
	}
	return d.plan(decode, prefill), nil
}

// decodePrefillFactor is the ratio of the times that a decode and a prefill engine need to
// prefill a prompt. A decode engine works at half the speed and splits the prompt into small
// chunks between the tokens of its running requests. The figure comes from the operators of
// the engine platform.
const decodePrefillFactor = 2.5

// decodePrefillTime predicts how long a decode engine takes to prefill the prompt itself.
func (d *decision) decodePrefillTime(r *Replica) time.Duration {
	return time.Duration(decodePrefillFactor * float64(d.query.PromptTokens) * float64(prefillPerToken(r)))
}

// shouldPrefillOnDecode reports whether the decode engine is to prefill the prompt itself:
// when no prefill engine is available, or when the first token would be late because of
// their queues and would be in time without them.
//
// Without this, when a data centre is cut off with decode engines only, or its few prefill
// engines crash, every request would be refused although engines are idle.
func (d *decision) shouldPrefillOnDecode(decode decodeChoice, prefill prefillChoice, noPrefillEngine bool) bool {
	decodeFirstToken := callOverhead + d.decodePrefillTime(decode.replica) + decode.step
	if noPrefillEngine {
		return true
	}
	return decodeFirstToken < prefill.ready && !d.meetsFirstTokenTarget(d.sinceAccepted()+prefill.ready+decode.step) && d.meetsFirstTokenTarget(d.sinceAccepted()+decodeFirstToken)
}

// planPrefillOnDecode plans a request that its decode engine prefills and decodes.
func (d *decision) planPrefillOnDecode(decode decodeChoice) (Plan, *errkind.Error) {
	first := callOverhead + d.decodePrefillTime(decode.replica) + decode.step
	if err := d.checkDeadline(d.predict(first-decode.step, decode.replica, decode.replica, decode.step)); err != nil {
		return Plan{}, err
	}
	return Plan{
		Decode: *decode.replica, FirstToken: first, BetweenTokens: decode.step, SkipPrefill: true,
		Priority: d.target.Priority, Candidates: d.considered, LoadAge: loadAge(decode.replica, d.query.Now), Reason: reasonPrefillOnDecode,
	}, nil
}

// planSingleEngine plans a request for a model without separate prefill engines. Nothing is
// reserved; the engine queues the request if it has no free slot.
func (d *decision) planSingleEngine(p *Pool) (Plan, *errkind.Error) {
	if err := d.checkTeamLimit(); err != nil {
		return Plan{}, err
	}
	p, err := d.available(p)
	if err != nil {
		return Plan{}, err
	}
	c, err := d.pickDecode(p)
	if err != nil {
		return Plan{}, err
	}
	return Plan{
		Decode: *c.replica, BetweenTokens: c.step, FirstToken: c.step,
		SkipReserve: true, SkipPrefill: true,
		Priority: d.target.Priority, Candidates: d.considered, LoadAge: loadAge(c.replica, d.query.Now), Reason: reasonSingleEngine,
	}, nil
}

// waitOrRefuse plans a wait for a request that found no slot, or refuses it: for its team's
// fair share if the team exceeds it, otherwise with the given cause.
func (d *decision) waitOrRefuse(decodePool, prefillPool *Pool, cause *errkind.Error) (Plan, *errkind.Error) {
	if cause.Kind != errkind.Overloaded {
		return Plan{}, cause
	}
	if err := d.checkFairShare(decodePool); err != nil {
		return Plan{}, err
	}
	if p, ok := d.planWait(decodePool, prefillPool); ok {
		return p, nil
	}
	return Plan{}, cause
}

// decision holds the state of one call to Plan or PickService.
type decision struct {
	snapshot *Snapshot
	inflight Inflight
	query    *Query
	rng      *rand.Rand
	features features
	target   bundle.ClassTarget
	// considered counts the replicas that the decision examined.
	considered int
	// leaveRoom skips engines whose free slots are left for streams that are taken up.
	leaveRoom bool
	// askAgain allows engines that did not reply to reservations of the request.
	askAgain bool
	// includeRefusing also allows prefill engines that recently refused a prompt.
	includeRefusing bool
}

// plan returns the plan to run the attempt on the chosen engines.
func (d *decision) plan(decode decodeChoice, prefill prefillChoice) Plan {
	return Plan{
		Decode:        *decode.replica,
		Prefill:       *prefill.replica,
		CachedTokens:  prefill.cachedTokens,
		FirstToken:    prefill.ready + decode.step,
		BetweenTokens: decode.step,
		Transfer:      prefill.transfer,
		TransferAt:    d.query.Now.Add(prefill.transferStart),
		TokensAhead:   prefill.tokensAhead,
		PauseDraft:    decode.pauseDraft,
		Priority:      d.target.Priority,
		PrefillFirst:  !d.features.decodeFirst,
		Candidates:    d.considered,
		LoadAge:       loadAge(decode.replica, d.query.Now),
		Reason:        d.reason(decode, prefill),
	}
}

// The reasons of the reserve policy's plans, as logged with a decision and counted in the
// metric of decisions.
const (
	reasonTrial           = "trial"        // an engine is ejected and no other is left
	reasonOverSlots       = "over-slots"   // no free slot, early refusal is disabled
	reasonPauseDraft      = "pause-draft"  // a draft of this daemon is paused for its slot
	reasonRemote          = "remote"       // in another data centre
	reasonHeadroom        = "headroom"     // the slot is in the headroom for urgent requests
	reasonPrefix          = "prefix"       // the prefill engine has part of the prompt cached
	reasonQueue           = "queue"        // no free slot, the request waits for one
	reasonPrefillOnDecode = "decode-reads" // the decode engine prefills the prompt itself
	reasonSingleEngine    = "whole"        // one engine prefills and decodes
	reasonEarliestEnd     = "earliest-end" // the replica of a plain service that is predicted to end the call first
	reasonLeastCost       = "least-cost"   // chosen by the score alone
)

// reason returns the first reason that applies to the chosen engines, in order of importance.
func (d *decision) reason(decode decodeChoice, prefill prefillChoice) string {
	switch {
	case d.onTrial(decode.replica) || d.onTrial(prefill.replica):
		return reasonTrial
	case decode.overSlots:
		return reasonOverSlots
	case decode.pauseDraft:
		return reasonPauseDraft
	case decode.replica.DataCentre != d.query.DataCentre:
		return reasonRemote
	case decode.usesHeadroom:
		return reasonHeadroom
	case prefill.cachedTokens > 0:
		return reasonPrefix
	}
	return reasonLeastCost
}

// usable reports whether r is not excluded from this attempt and, if it gets requests on trial
// only, may get another one.
func (d *decision) usable(r *Replica) bool {
	if slices.Contains(d.query.Exclude, r.Name) {
		return false
	}
	if !d.askAgain && slices.Contains(d.query.NoReply, r.Name) {
		return false
	}
	return !d.onTrial(r) || !d.trialsFull(r)
}

// usedSlots returns the number of r's slots in use: those last reported plus this daemon's
// own requests since.
func (d *decision) usedSlots(r *Replica) int {
	ownRequests, _ := d.inflight.Upstream(r.Name, r.LoadAt)
	return r.Active + r.Queued + ownRequests
}

// remoteFactor returns the cost factor of r for its data centre: 1 if it is the given one,
// otherwise remotePenalty.
func remoteFactor(r *Replica, dataCentre string) float64 {
	if r.DataCentre == dataCentre {
		return 1
	}
	return remotePenalty
}

// effectiveWeight returns r's weight, 1 if it is unset, and at least 0.01 so that the score
// can be divided by it.
func effectiveWeight(r *Replica) float64 {
	const minWeight = 0.01
	if r.Weight <= 0 {
		return 1
	}
	return max(r.Weight, minWeight)
}

// loadAge returns the age of r's last reported load; zero when none was received.
func loadAge(r *Replica, now time.Time) time.Duration {
	if r.LoadAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.LoadAt))
}
