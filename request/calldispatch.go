package request

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/hedging"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
)

// dispatch is a call to one replica of a plain service.
type dispatch struct {
	replica   policy.Replica
	predicted policy.Prediction
	sentAt    time.Time
	// givenTime is the time that the replica has for its answer, and usualTime the time that it
	// would normally get.
	givenTime, usualTime time.Duration
	cancel               context.CancelFunc
	done                 func() // ends the replica's entry in Inflight

	// The result. ctxErr is the error of the call's context when the call returned, and mayHaveCrashed
	// the result of the function of that name.
	answer         *upstream.ServiceResponse
	err, ctxErr    error
	mayHaveCrashed bool
}

// hadUsualTime reports whether the dispatch got at least half of the usual timeout.
//
// A caller may state a deadline that no replica can meet, or little time may be left for a
// retry. If such timeouts counted as failures of the replica, a few of them would eject every
// replica, and all teams would get no-upstream errors from a healthy service.
func (d *dispatch) hadUsualTime() bool { return 2*d.givenTime >= d.usualTime }

// dispatch sends the call to a replica in a goroutine of its own.
func (k *serviceCall) dispatch(ctx context.Context, plan policy.ServicePlan, timeout time.Duration) {
	rep := plan.Replica
	now := k.r.o.Now()
	left := k.c.Deadline.Sub(now)
	if timeout > 0 {
		left = min(left, timeout)
	}
	ctx, cancel := k.r.withTimeout(ctx, left)
	d := &dispatch{replica: rep, predicted: plan.Predicted, sentAt: now, givenTime: left, usualTime: k.usualTimeout, cancel: cancel, done: k.r.o.Inflight.Begin(rep.Name, 0)}
	k.r.updateEntry(func() { k.entry.Attempt, k.entry.Upstream = k.attempt, rep.Name })
	k.inProgress = append(k.inProgress, d)
	k.exclude = append(k.exclude, rep.Name)
	k.returnUnits = nil
	k.arrivals.sent(StepCall)
	k.wg.Go(func() { k.call(ctx, d) })
}

// call makes the call of a dispatch and passes on its result.
func (k *serviceCall) call(ctx context.Context, d *dispatch) {
	defer func() { k.results <- d }()
	d.err = errors.New("the call panicked") // replaced unless it does
	d.answer, d.err = k.r.o.Services.Call(ctx, d.replica.Address, upstream.ServiceCall{
		RequestID: k.c.ID, Method: k.c.Method, Path: k.c.Path,
		Header: k.c.Header, Body: k.c.Body, NoReplay: k.c.atMostOnce(),
		Upstream: d.replica.Name, Deadline: d.sentAt.Add(d.givenTime),
	})
	d.ctxErr = ctx.Err()
	d.mayHaveCrashed = mayHaveCrashed(ctx, StepCall, d.err)
}

// latest returns the latest dispatch in progress; nil if there is none.
func (k *serviceCall) latest() *dispatch {
	if len(k.inProgress) == 0 {
		return nil
	}
	return k.inProgress[len(k.inProgress)-1]
}

// progress returns the numbers of attempts and dispatches that bound further ones.
func (k *serviceCall) progress() hedging.Progress {
	return hedging.Progress{Attempts: k.attempt, Ended: k.sends, InProgress: len(k.inProgress)}
}

// nextResult returns the next dispatch that has a result, or nil if another replica must be sought
// before.
func (k *serviceCall) nextResult() *dispatch {
	wait, why, ok := k.timing.Next(k.r.o.Now(), k.progress())
	if !ok {
		return <-k.results
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d := <-k.results:
		return d
	case <-timer.C:
	}
	if why != hedging.Slow {
		return nil
	}
	select {
	case d := <-k.results: // it came while this process was held up
		return d
	default:
		return nil
	}
}

// seekAnother sends the call to another replica if the latest one is slow or silent.
func (k *serviceCall) seekAnother(ctx context.Context) {
	if _, why, _ := k.timing.Next(k.r.o.Now(), k.progress()); why == hedging.Slow {
		k.hedge(ctx)
	} else {
		k.seekReplacement(ctx)
	}
}

// seekReplacement sends the call to another replica because those that have it are silent. If there
// is no other one, it is sought again later.
func (k *serviceCall) seekReplacement(ctx context.Context) {
	plan, timeout, failed := k.chooseReplica()
	switch {
	case failed != nil:
		k.noReplacement(string(failed.Kind))
	case !k.takePermits():
		k.noReplacement("no-retry-permit")
	default:
		k.notReplaced = ""
		k.logSilence(k.latest(), plan.Replica.Name, "replacement-sent")
		k.dispatch(ctx, plan, timeout)
		k.timing.Sent(k.latest().sentAt)
	}
}

// noReplacement undoes a search that found no replica.
func (k *serviceCall) noReplacement(reason string) {
	k.attempt--
	callOnce(&k.returnUnits)
	k.timing.NotFound(k.r.o.Now())
	if k.notReplaced != reason {
		k.notReplaced = reason
		k.logSilence(k.latest(), "", reason)
	}
}

// settle records the result of a dispatch and returns it.
func (k *serviceCall) settle(d *dispatch) (*CallAnswer, *errkind.Error) {
	k.recordResult(d)
	if d.err != nil {
		return nil, k.logFailure(k.sendError(d))
	}
	k.logDecision("finish", policy.ServicePlan{Replica: d.replica}, http.StatusText(d.answer.Status))
	answer := &CallAnswer{Status: d.answer.Status, Header: d.answer.Header, Body: d.answer.Body}
	if k.worthRetry(answer) {
		k.retryable = answer
	} else {
		k.answeredBy, k.answeredIn = d.replica.Name, k.r.o.Now().Sub(d.sentAt)
	}
	return answer, nil
}

// recordResult records what a dispatch that has ended says about its replica and the run state.
func (k *serviceCall) recordResult(d *dispatch) {
	k.inProgress = slices.DeleteFunc(k.inProgress, func(o *dispatch) bool { return o == d })
	d.cancel()
	d.done()
	if d.err != nil {
		k.r.recordFailedSend(failedSend{k.c.ID, k.c.Class, k.attempt, StepCall, d.replica.Name, d.err})
	}
	delivery := upstream.DeliveryOf(d.err)
	k.run.settle(StepCall, delivery)
	switch delivery {
	case upstream.Done, upstream.Maybe:
		k.sends++
	case upstream.NotSent:
		k.arrivals.undoSent(StepCall)
	}
	k.r.reportServiceAnswer(d.replica.Name, d.answer, d.err)
	k.learnTime(d)
	k.learnLoad(d)
	if d.mayHaveCrashed {
		k.reportLostRun(d.replica, d.sentAt)
	}
	if d.err == nil {
		k.r.o.Quarantine.RecordCompletion(k.r.o.Now(), k.subject)
		k.r.o.Observer.Succeeded(k.r.o.Now(), d.replica.Name)
	}
}

// endDispatches ends the dispatches in progress and waits for them.
func (k *serviceCall) endDispatches() {
	for _, d := range k.inProgress {
		d.cancel()
	}
	for len(k.inProgress) > 0 {
		d := <-k.results
		k.recordResult(d)
		k.recordEnded(d)
	}
}

// recordEnded records a dispatch that was ended because another replica has answered or the call
// failed. A replica that was silent while another one answered in time counts as failed.
func (k *serviceCall) recordEnded(d *dispatch) {
	now := k.r.o.Now()
	switch {
	case k.hedgeDispatch != nil && !k.timing.Overdue(now.Sub(d.sentAt)): // slow, not silent: see endHedge
	case k.answeredBy == "":
		k.logSilence(d, "", "call-ended")
	default:
		k.logSilence(d, k.answeredBy, "answered-elsewhere")
	}
	switch {
	case d.err == nil:
	case k.answeredBy == "" || d.ctxErr == nil:
		_ = k.sendError(d) // only for its report to the observer
	case k.timing.Overdue(now.Sub(d.sentAt)) && !k.timing.Overdue(k.answeredIn):
		k.r.o.Observer.Failed(now, d.replica.Name)
	}
}

// sendError converts a failed dispatch to an error for the caller, and reports it to the observer.
func (k *serviceCall) sendError(d *dispatch) *errkind.Error {
	now := k.r.o.Now()
	switch {
	case k.r.shutdownLimitReached():
		return errkind.Wrap(d.err, errkind.Draining, "the instance reached its shutdown limit")
	case !now.Before(k.c.Deadline):
		if d.hadUsualTime() {
			k.r.o.Observer.Failed(now, d.replica.Name)
		}
		return errkind.Wrap(d.err, errkind.DeadlineExceeded, "the answer did not come in time")
	case errors.Is(d.ctxErr, context.Canceled):
		return errkind.Wrap(d.err, errkind.ClientGone, "the caller went away")
	case upstream.IsWithheld(d.err):
		return errkind.Wrap(d.err, errkind.UpstreamRefused, "the chosen upstream takes no requests")
	case upstream.DeliveryOf(d.err) == upstream.Refused:
		return errkind.Wrap(d.err, errkind.UpstreamRefused, "the service refused the call")
	case upstream.DeliveryOf(d.err) == upstream.NotSent:
		k.r.o.Observer.Unanswered(now, d.replica.Name, upstream.HostResponded(d.err))
		return errkind.Wrap(d.err, errkind.UpstreamFailed, "the service was not reached")
	default:
		k.r.o.Observer.Failed(now, d.replica.Name)
		return errkind.Wrap(d.err, errkind.UpstreamFailed, "the service did not answer")
	}
}

// runLevel returns the run state of the call. A dispatch in progress may have been delivered.
func (k *serviceCall) runLevel() level {
	if len(k.inProgress) > 0 {
		return k.run.level().join(unknown)
	}
	return k.run.level()
}

// logSilence logs why a silent dispatch is replaced, kept or ended, and by which replica it is
// replaced.
func (k *serviceCall) logSilence(d *dispatch, replacement, reason string) {
	k.r.o.Logger.WithFields(log.Fields{
		"request": k.c.ID, "class": k.c.Class, "attempt": k.attempt, "upstream": d.replica.Name,
		"silent_ms": k.r.o.Now().Sub(d.sentAt).Milliseconds(), "replacement": replacement, "reason": reason,
	}).Info("silent call")
}
