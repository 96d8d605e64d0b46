package request

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/hedging"
)

// onePermit is the amount that a budget has left if it allows one dispatch. Budgets add up fractions, with a
// rounding error.
const onePermit = 1 - 1e-6

// hedge sends the call to a second replica, as it is slow, or logs why it does not. It decides once for a
// dispatch. The retry permits that it takes are this daemon's own: borrowing some from other daemons would
// hold up the first replica's answer.
func (k *serviceCall) hedge(ctx context.Context) {
	if denied := k.tryHedge(ctx); denied != "" {
		k.timing.NotHedged()
		k.logHedge(k.latest(), "", "denied", string(denied))
	}
}

func (k *serviceCall) tryHedge(ctx context.Context) hedging.Denial {
	now, first := k.r.o.Now(), k.latest()
	if k.learned.MostlySlow(now) {
		return hedging.ServiceSlow
	}
	if k.hedgeBudget.Remaining(now) < onePermit {
		return hedging.ShareSpent
	}
	if k.r.o.RetryBudget(k.c.Service).Remaining(now) < onePermit*float64(k.arrivals.permitsNeeded(false)) {
		return hedging.NoRetryPermit
	}
	k.busy = k.busyReplicas(now)
	plan, timeout, failed := k.chooseReplica()
	k.busy = nil
	var denied hedging.Denial
	switch {
	case failed != nil:
		denied = hedging.NoReplica
	case !k.takePermits():
		denied = hedging.NoRetryPermit
	case !k.hedgeBudget.Allow(now, 1): // the permits are left to a retry of the call
		denied = hedging.ShareSpent
	default:
		k.dispatch(ctx, plan, timeout)
		k.timing.Hedged()
		k.hedgeDispatch = k.latest()
		k.logHedge(first, plan.Replica.Name, "sent", "")
		return ""
	}
	k.attempt--
	callOnce(&k.returnUnits)
	return denied
}

// busyReplicas returns the replicas of the service that get no hedge: those that stated requests that wait
// in their queue, and those whose latest call was slow, refused or failed.
func (k *serviceCall) busyReplicas(now time.Time) (names []string) {
	s, _, err := k.r.snapshotAndPolicy()
	if err != nil {
		return nil // chooseReplica returns the error
	}
	for _, r := range s.Pool(s.Bundle.Services[k.c.Service].Pool).Replicas() {
		if r.Queued > 0 || !k.learned.Prompt(now, r.Name) {
			names = append(names, r.Name)
		}
	}
	return names
}

// learnTime records the result of a dispatch for the decisions on later calls.
func (k *serviceCall) learnTime(d *dispatch) {
	if k.learned == nil {
		return
	}
	now, name := k.r.o.Now(), d.replica.Name
	took := now.Sub(d.sentAt)
	switch {
	case d.err == nil && d.answer.Status < http.StatusInternalServerError:
		k.learned.Answered(now, name, took)
	case d.err != nil && d.ctxErr != nil:
		k.learned.Unanswered(now, name, took)
	default:
		k.learned.Refused(now, name)
	}
}

// endHedge logs whether the hedge of the call, if there was one, answered it.
func (k *serviceCall) endHedge() {
	switch d := k.hedgeDispatch; {
	case d == nil:
	case k.answeredBy == d.replica.Name:
		k.logHedge(d, "", "won", "")
	default:
		k.logHedge(d, "", "lost", "")
	}
}

// logHedge logs and counts a step of a hedge. d is the slow dispatch, or the hedge itself once it has ended.
func (k *serviceCall) logHedge(d *dispatch, second, result, reason string) {
	k.r.o.Metrics.Hedged(result, reason)
	k.r.o.Logger.WithFields(log.Fields{
		"request": k.c.ID, "class": k.c.Class, "attempt": k.attempt, "target": k.c.Service, "upstream": d.replica.Name, "second": second,
		"elapsed_ms": k.r.o.Now().Sub(d.sentAt).Milliseconds(), "slow_after_ms": k.timing.SlowAfter.Milliseconds(),
		"result": result, "reason": reason,
	}).Info("hedge")
}
