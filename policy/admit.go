package policy

import (
	"math"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal before jitter.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minJitter is the smallest range of the random jitter added to a retry delay.
	minJitter = time.Second
	// noReplicaRetryAfter is the retry delay when the pool has no replica.
	noReplicaRetryAfter = 5 * time.Second
	// failedReplicasRetryAfter is the retry delay when all replicas of the pool have failed the request
	// and take others.
	failedReplicasRetryAfter = 500 * time.Millisecond
)

// checkTeamLimit refuses the first attempt of a request when its team has reached
// MaxInFlight. Later attempts are exempt: the request was admitted before and already
// counts as one of the team's requests in flight.
func (d *decision) checkTeamLimit() *errkind.Error {
	team := d.snapshot.Bundle.Teams[d.query.Team]
	own, _, _ := d.inflight.Team(d.query.Team)
	if d.query.Attempt <= 1 && team.MaxInFlight > 0 && own >= team.MaxInFlight {
		return d.refuse(errkind.TeamLimit, "the team has as many requests in flight as it may", minRetryAfter)
	}
	return nil
}

// checkFairShare refuses a request of class draft that found no slot when its team is
// over its fair share and other teams have requests in flight on this daemon. It is not
// applied while slots are free, because it would only leave them idle.
func (d *decision) checkFairShare(p *Pool) *errkind.Error {
	if d.query.Attempt > 1 || d.query.Class == bundle.Urgent {
		return nil
	}
	team := d.snapshot.Bundle.Teams[d.query.Team]
	own, total, teams := d.inflight.Team(d.query.Team)
	others := teams
	if own > 0 {
		others--
	}
	if others <= 0 {
		return nil
	}
	share := d.fairShare(team, total, others)
	if float64(own+1) > fairShareSlack*share+fairShareNoise*math.Sqrt(share) {
		return d.refuse(errkind.TeamLimit, "the team is over its share while other teams wait", d.slotWait(p, 1))
	}
	return nil
}

// fairShare returns the team's fair share of this daemon's requests in flight, at least one.
// Only the number of other teams is available, so each is assumed to have the mean weight of the
// bundle's teams. If their weights are larger, the result is too large.
func (d *decision) fairShare(team bundle.Team, total, others int) float64 {
	own := float64(max(team.Weight, 1))
	share := own / (own + float64(others)*d.snapshot.meanWeight)
	return max(1, share*float64(total))
}

// admissionMargin returns the factor applied to a target before a prediction is compared with
// it. It is over 1 when the bundle gives more weight to goodput, the requests answered within
// their targets, since some predictions are too high, and under 1 when it gives more weight to
// wasted prefill, since a request that misses its target wastes its prefill.
func (d *decision) admissionMargin() float64 {
	g, w := d.snapshot.Bundle.Policy.GoodputWeight, d.snapshot.Bundle.Policy.WastedPrefillWeight
	if g+w <= 0 {
		return 1
	}
	return 1 + admissionMarginSpan*(g-w)/(g+w)
}

// withinTarget reports whether a predicted duration is within the target times the
// admission margin. A target of zero is no limit.
func (d *decision) withinTarget(predicted, target time.Duration) bool {
	return target <= 0 || float64(predicted) <= float64(target)*d.admissionMargin()
}

// meetsFirstTokenTarget reports whether a predicted time to first token is within the target.
func (d *decision) meetsFirstTokenTarget(predicted time.Duration) bool {
	return d.withinTarget(predicted, d.target.FirstToken())
}

// admit refuses a request that is predicted to miss its targets, before prefill is spent on it.
// A later attempt was admitted before, and how much of its answer remains is unknown here, so
// only its first token is checked against its deadline.
func (d *decision) admit(decode decodeChoice, prefill prefillChoice) *errkind.Error {
	if !d.features.earlyRefusal {
		return nil
	}
	p := d.predict(prefill.ready, prefill.replica, decode.replica, decode.step)
	if err := d.checkDeadline(p); err != nil {
		return err
	}
	if prefill.linkWait > PrefillResultLifetime {
		return d.refuse(errkind.Overloaded, "the link is booked for longer than a prefill result lives", prefill.linkWait-PrefillResultLifetime)
	}
	if d.query.Attempt > 1 {
		return nil
	}
	if target := d.target.FirstToken(); p.firstTokenMeasured && !d.precedesOthers() && !d.withinTarget(d.sinceAccepted()+p.firstToken, target) {
		return d.refuse(errkind.DeadlineUnreachable, "the first token would be late", p.firstToken-target)
	}
	if target := d.target.BetweenTokens(); p.stepMeasured && !d.withinTarget(decode.step, target) {
		return d.refuse(errkind.DeadlineUnreachable, "the time between tokens would be too long", d.answerTime(decode.step))
	}
	return nil
}

// prediction holds the predicted latencies of an attempt and whether each is based on
// measurements of the engines.
//
// Predictions based on default speeds rank engines and set waiting times but never refuse
// a request. Engines may be ten times as fast or as slow as the defaults assume, and
// answers thousands of tokens long. A refused request yields no measurement, so a wrong
// default would never be corrected and would keep a class away from idle engines for good.
type prediction struct {
	firstToken, step                 time.Duration
	firstTokenMeasured, stepMeasured bool
}

// predict returns the prediction for an attempt whose prompt is prefilled by prefillEngine
// and whose KV cache is on the decode engine after ready.
func (d *decision) predict(ready time.Duration, prefillEngine, decode *Replica, step time.Duration) prediction {
	return prediction{
		firstToken:         ready + step,
		step:               step,
		firstTokenMeasured: prefillEngine.PrefillPerToken > 0 && (decode.StepMeasured || step < ready),
		stepMeasured:       decode.StepMeasured,
	}
}

// checkDeadline refuses a request that is predicted to miss its deadline. Only measured
// latencies count.
func (d *decision) checkDeadline(p prediction) *errkind.Error {
	if d.query.Deadline.IsZero() {
		return nil
	}
	left := d.query.Deadline.Sub(d.query.Now)
	need := time.Duration(0)
	if p.firstTokenMeasured {
		need = p.firstToken
	}
	if d.query.Attempt <= 1 && p.stepMeasured && d.query.AnswerTokens > 0 {
		need += d.answerTime(p.step)
	}
	if d.withinTarget(need, max(left, 1)) {
		return nil
	}
	return d.refuse(errkind.DeadlineUnreachable, "the whole answer would miss its deadline", need-left)
}

// answerTime returns the time to generate an answer of the expected length.
func (d *decision) answerTime(step time.Duration) time.Duration {
	return time.Duration(d.expectedAnswerTokens() * float64(step))
}

// refuseNoUpstream refuses a request because no replica of the pool can take it.
func (d *decision) refuseNoUpstream(p *Pool) *errkind.Error {
	if p == nil && d.query.Version != "" {
		return d.refuse(errkind.VersionUnavailable, "no replica has the software version that began the stream", noReplicaRetryAfter)
	}
	wait := noReplicaRetryAfter
	switch {
	case p == nil:
	case !p.restEnd.IsZero() && p.Len() == 0 && earliest(p.restEnd, p.ejectionEnd).Equal(p.restEnd):
		return d.refuseResting(p.restEnd)
	case !p.ejectionEnd.IsZero():
		wait = p.ejectionEnd.Sub(d.query.Now)
	case p.Len() > 0:
		wait = failedReplicasRetryAfter
	}
	return d.refuse(errkind.NoUpstream, "no replica of the pool may take the request", wait)
}

// The jitter that is added to the time until the end of a rest is restJitterShare of that time, and at
// most maxRestJitter.
const (
	restJitterShare = 0.5
	maxRestJitter   = 5 * time.Second
)

// refuseResting refuses a request because all replicas of the pool want no requests until restEnd or
// later. Its caller is told that time, however long it is, with jitter.
func (d *decision) refuseResting(restEnd time.Time) *errkind.Error {
	wait := max(restEnd.Sub(d.query.Now), minRetryAfter)
	span := min(max(time.Duration(restJitterShare*float64(wait)), minJitter), maxRestJitter)
	wait += time.Duration(d.rng.Int64N(int64(span)))
	return errkind.New(errkind.NoUpstream, "all replicas of the pool want no requests for a time").WithRetryAfter(wait)
}

// refuseOverloaded refuses a request because every slot available to it is taken.
func (d *decision) refuseOverloaded(p *Pool) *errkind.Error {
	return d.refuse(errkind.Overloaded, "every decode slot is taken", d.slotWait(p, d.slotsNeeded(p)))
}

// slotsNeeded returns how many slots of the pool must be freed before this request can
// have one.
func (d *decision) slotsNeeded(p *Pool) int {
	if !d.mustLeaveHeadroom() {
		return 1
	}
	reserved := int(p.headroom * float64(p.slots))
	return 1 + max(0, reserved-(p.slots-p.used))
}

// slotWait estimates the time until the needed slots of the pool are freed, assuming that answers
// of the expected length end evenly spread over the pool's slots.
func (d *decision) slotWait(p *Pool, needed int) time.Duration {
	if p == nil || p.slots <= 0 {
		return minRetryAfter
	}
	answer := d.answerTime(p.meanStep())
	return answer * time.Duration(needed) / time.Duration(p.slots)
}

// The retry delay after an early refusal, as a share of the target for the first token.
// After the minimum some slots have been freed; after the maximum enough of the target is
// left to wait for a slot and prefill the prompt.
const (
	minRetryShare = 0.1
	maxRetryShare = 0.35
	// retryShareJitter is the range of the jitter of a delay that follows an expected wait.
	retryShareJitter = 0.05
)

// earlyRefusalRetryAfter returns the retry delay after an early refusal, at random between
// minRetryShare and maxRetryShare of the target, so that callers refused in one burst do
// not all retry at once. If the wait that the request's rank has to expect over all daemons is
// known, the delay follows it within the same bounds.
func (d *decision) earlyRefusalRetryAfter() time.Duration {
	if wait, target := d.query.ExpectedWait, float64(d.target.FirstToken()); wait > 0 {
		share := min(max(float64(wait)/target, minRetryShare+retryShareJitter), maxRetryShare)
		return time.Duration((share - retryShareJitter*d.rng.Float64()) * target)
	}
	share := minRetryShare + (maxRetryShare-minRetryShare)*d.rng.Float64()
	return time.Duration(share * float64(d.target.FirstToken()))
}

// refuse returns a refusal of the given kind with a retry delay based on wait. Callers refused
// together would otherwise retry together, cause a new peak and be refused again, so jitter as
// long as the delay itself is added.
func (d *decision) refuse(kind errkind.Kind, detail string, wait time.Duration) *errkind.Error {
	if d.snapshot.Bundle.Policy.QueueShare > 0 && d.target.FirstToken() > 0 && (kind == errkind.Overloaded || kind == errkind.DeadlineUnreachable) {
		return errkind.New(kind, detail).WithRetryAfter(d.earlyRefusalRetryAfter())
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	span := max(wait, minJitter)
	wait += time.Duration(d.rng.Int64N(int64(span)))
	return errkind.New(kind, detail).WithRetryAfter(wait)
}
