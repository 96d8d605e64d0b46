package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

const (
	// maxQueueLength is the largest number of requests that may wait ahead of another one.
	maxQueueLength = 64
	// headRecheckInterval and queuedRecheckInterval are how often the first request of the queue
	// and the others check for a slot. Slots released by other daemons are visible only in load
	// reports, and a check also refuses a request that can no longer meet its target.
	headRecheckInterval   = 5 * time.Millisecond
	queuedRecheckInterval = 50 * time.Millisecond
	// refusedRecheckInterval is the interval for a request that engines have refused: at
	// peak load, a pool of a dozen engines frees a slot every few tens of milliseconds.
	refusedRecheckInterval = 20 * time.Millisecond
	// maxConsecutiveRefusals is how many engines, at most the whole pool, may refuse a request
	// in a row before it waits. Without a limit, 2,400 requests for forty engines made
	// 404,000 calls that were refused; with a limit of four, a pool of eleven served 3% less.
	maxConsecutiveRefusals = 12
)

// pickDecodeInTurn picks a decode engine. It returns an overloaded refusal without picking one
// when other requests wait ahead of this one, when too many engines have refused it in a row, or
// when it has waited too long.
func (d *decision) pickDecodeInTurn(p *Pool) (decodeChoice, *errkind.Error) {
	switch d.query.Admission {
	case AdmissionWaits:
		return decodeChoice{}, d.refuseOverloaded(p)
	case AdmissionTurn:
		if c, ok := d.pickNamedDecode(p); ok {
			return c, nil
		}
		return d.pickDecode(p)
	}
	if d.features.queue && d.query.MayWait && d.query.QueuedAhead > 0 && p.Len() > 0 {
		return decodeChoice{}, d.refuseOverloaded(p)
	}
	if d.query.MayWait && d.query.RefusalStreak >= min(maxConsecutiveRefusals, max(p.Len(), 1)) {
		return decodeChoice{}, d.refuseOverloaded(p)
	}
	if limit := d.maxQueueWait(); limit > 0 && d.query.RefusalStreak > 0 && d.sinceAccepted() >= limit {
		return decodeChoice{}, d.refuseOverloaded(p)
	}
	return d.pickDecode(p)
}

// planWait returns a plan to wait for a slot if the request is expected to meet its targets
// after the wait. Without waiting, requests would be refused at peak load although the next slot
// is free within milliseconds. A request that waited past its target would take a slot for an
// answer that its caller no longer needs.
func (d *decision) planWait(decodePool, prefillPool *Pool) (Plan, bool) {
	if !d.features.queue || !d.query.MayWait || d.query.QueuedAhead >= maxQueueLength {
		return Plan{}, false
	}
	limit := d.maxQueueWait()
	if limit > 0 && d.sinceAccepted() >= limit {
		return Plan{}, false
	}
	if decodePool.Len() == 0 {
		return Plan{}, false
	}
	predicted, ok := d.predictAfterWait(decodePool, prefillPool)
	if !ok {
		return Plan{}, false
	}
	if d.query.Admission == AdmissionOff {
		predicted.firstToken += d.estimateQueueWait(decodePool)
	}
	mayBeLate := d.mayBeLate() && limit > 0
	if !mayBeLate && d.missesTarget(predicted) || d.checkDeadline(predicted) != nil {
		return Plan{}, false
	}
	first, step := predicted.firstToken, predicted.step
	wait := d.recheckInterval(first)
	if limit > 0 {
		wait = min(wait, max(limit-d.sinceAccepted(), time.Millisecond))
	}
	mayWait := max(limit-d.sinceAccepted(), 0)
	return Plan{Wait: wait, MayWait: mayWait, InTime: d.inTime(first), FirstToken: first, BetweenTokens: step, Candidates: d.considered, Reason: reasonQueue}, true
}

// inTime returns Plan.InTime, given the predicted time from a slot to the first token.
func (d *decision) inTime(firstToken time.Duration) time.Duration {
	target := d.target.FirstToken()
	if target <= 0 {
		return 0
	}
	if left := target - d.sinceAccepted() - firstToken; left > 0 {
		return max(left, time.Millisecond)
	}
	return -time.Millisecond
}

// predictAfterWait returns the prediction for the attempt, counted from when it gets a slot,
// or false when no engine can prefill the prompt.
func (d *decision) predictAfterWait(decodePool, prefillPool *Pool) (prediction, bool) {
	decode, decodeCanPrefill := decodePool.all.replicas[0], d.snapshot.Bundle.Models[d.query.Model].DecodePrefills
	step := decodePool.meanStep()
	prefill, err := d.pickPrefill(prefillPool, decode, 0, decodeCanPrefill)
	if err == nil {
		return d.predict(prefill.ready, prefill.replica, decode, step), true
	}
	return d.predict(callOverhead+d.decodePrefillTime(decode), decode, decode, step), decodeCanPrefill
}

// maxQueueWait returns how long a request may wait for a slot; 0 means that only its targets
// limit the wait. An early refusal leaves the caller time to retry.
//
// A caller that retries after a refusal has already spent part of its time, and most retry
// only once. Its request may therefore wait longer, even past its target: a late answer
// is worth something to the caller, a second refusal nothing. The same holds for a request that
// precedes others.
func (d *decision) maxQueueWait() time.Duration {
	share := d.snapshot.Bundle.Policy.QueueShare
	if share > 0 && d.mayBeLate() {
		return maxLongWait
	}
	return time.Duration(share * float64(d.target.FirstToken()))
}

// maxLongWait is how long a request may wait for a slot that may be late, counted from
// Query.Accepted. Callers abandon a stream that has not started after about four times their
// target, which is 3.6 s for drafts.
const maxLongWait = 3 * time.Second

// recheckInterval returns the time until a waiting request checks for a slot again, given its
// predicted time to first token. The interval ends no later than the time after which the
// request can no longer meet its target, so that it is then refused without delay.
func (d *decision) recheckInterval(firstToken time.Duration) time.Duration {
	wait := headRecheckInterval
	switch {
	case d.query.Admission == AdmissionWaits || d.query.Admission == AdmissionTurn:
		wait = orderedRecheckInterval
	case d.query.QueuedAhead > 0:
		wait = queuedRecheckInterval
	case d.precedesOthers():
	case d.query.Retried && d.query.RefusalStreak > 0:
		wait = queuedRecheckInterval
	case d.query.RefusalStreak > 0:
		wait = refusedRecheckInterval
	}
	if target := d.target.FirstToken(); target > 0 && !d.mayBeLate() {
		wait = min(wait, d.strictTarget(target)-d.sinceAccepted()-firstToken)
	}
	return max(wait, time.Millisecond)
}

// strictTarget returns the part of a target that a waiting request may use. An admission
// margin over 1 allows for errors of predictions and does not apply, because the time that
// the request has waited is measured.
func (d *decision) strictTarget(target time.Duration) time.Duration {
	return time.Duration(min(d.admissionMargin(), 1) * float64(target))
}

// missesTarget reports whether a waiting request is predicted to miss a target. The time
// already waited always counts, predicted latencies only when they are based on measurements.
func (d *decision) missesTarget(p prediction) bool {
	exceeds := func(predicted, target time.Duration) bool {
		return target > 0 && predicted > d.strictTarget(target)
	}
	if !p.firstTokenMeasured {
		p.firstToken = 0
	}
	return exceeds(d.sinceAccepted()+p.firstToken, d.target.FirstToken()) || p.stepMeasured && exceeds(p.step, d.target.BetweenTokens())
}

// minHeldForEstimate is the number of requests that a daemon must have in flight to estimate
// from their completions when it gets its next slot. With four in flight, the probability that
// none completes within the mean time of an answer is about one in fifty.
const minHeldForEstimate = 4

// estimateQueueWait estimates the time until a slot is available to this request. A daemon is
// assumed to get slots as fast as its own requests release them, and each request in flight
// releases one per mean answer time. A daemon with fewer than minHeldForEstimate requests in
// flight assumes instead that it gets the next slot freed in the pool. Without this exception,
// when eighty daemons share engines that free a slot every fifty milliseconds, each would
// expect to wait for its only request to end and refuse new ones at once.
func (d *decision) estimateQueueWait(p *Pool) time.Duration {
	if d.query.AnswerTokens == 0 {
		return 0
	}
	_, held, _ := d.inflight.Team(d.query.Team)
	if held < minHeldForEstimate {
		held = max(p.slots, 1)
	}
	return d.answerTime(p.meanStep()) * time.Duration(1+d.query.QueuedAhead) / time.Duration(held)
}

// sinceAccepted returns the time since Query.Accepted; 0 when that is not set.
func (d *decision) sinceAccepted() time.Duration {
	if d.query.Accepted.IsZero() {
		return 0
	}
	return max(0, d.query.Now.Sub(d.query.Accepted))
}
