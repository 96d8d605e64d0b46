package request

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/hedging"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/quarantine"
)

// serviceCall is one plain-service request in progress.
type serviceCall struct {
	r            *Runner
	c            Call
	caller       context.Context // ends when the caller leaves; no replica is tried after that
	entry        *Active
	rng          *rand.Rand
	run          runState
	exclude      []string
	attempt      int
	bundleNumber uint64
	sends        int       // dispatches that were not refused
	arrivals     arrivals  // determine how many retry permits the next dispatch needs
	notAfter     time.Time // no dispatch at or after this time; zero means no limit
	// subject identifies the caller's request in the quarantine.
	subject quarantine.Subject
	// usualTimeout is the time that calls of this service and class normally get.
	usualTimeout time.Duration
	timing       hedging.Call
	// learned and hedgeBudget are nil if slow calls of the service are not hedged. hedgeDispatch is the
	// second dispatch of the call because it was slow, nil if there is none.
	learned       *hedging.Service
	hedgeBudget   RetryBudget
	hedgeDispatch *dispatch
	// busy holds replicas that the next plan leaves out.
	busy []string
	// inProgress holds the dispatches without a result, the latest one last. Their results arrive in
	// results.
	inProgress []*dispatch
	results    chan *dispatch
	wg         conc.WaitGroup
	// answeredBy is the replica whose answer counts, and answeredIn its time; empty before.
	answeredBy string
	answeredIn time.Duration
	// retryable is the latest answer that was worth a retry.
	retryable *CallAnswer
	// notReplaced is why the last search found no replica beside the silent ones; empty if it found
	// one.
	notReplaced string
	// returnUnits returns the units taken from the replica's rate limit; it is cleared once the
	// call is sent. limitedCount is the number of replicas that the last plan excluded
	// because of their rate limits.
	returnUnits  func()
	limitedCount int
	// place is the number of calls ahead of this one in the daemon's queue for the service, queuedAt
	// when it joined the queue, and waited how long it has waited there.
	place    int
	queuedAt time.Time
	waited   time.Duration
	// teamDone ends the request's entry in the team's in-flight count; nil before the first
	// plan.
	teamDone func()
}

// Call runs one plain-service request and returns the service's answer, whatever its status,
// or an error with the request's run state. A non-idempotent request is dispatched at most
// once; another one may be in progress at several replicas, and the first answer counts. It
// continues after its caller has left, so that its answer can be stored for a repeat
// of the idempotency key.
func (r *Runner) Call(ctx context.Context, c Call) (CallAnswer, *errkind.Error) {
	entry, leave := r.register(Active{ID: c.ID, Team: c.Team, Class: c.Class, Target: c.Service, State: "calling", accepted: c.Accepted, deadline: c.Deadline})
	defer leave()
	k := &serviceCall{r: r, c: c, caller: ctx, entry: entry, rng: r.newRand(c.ID), subject: c.subject(), results: make(chan *dispatch)}
	defer func() {
		callOnce(&k.returnUnits)
		callOnce(&k.teamDone)
	}()
	var answer *CallAnswer
	var err *errkind.Error
	if c.NonIdempotent {
		answer, err = k.runOnce(ctx)
	} else {
		answer, err = k.tryReplicas(ctx)
	}
	k.observeEnd(err)
	if err != nil {
		return CallAnswer{}, err
	}
	return *answer, nil
}

// runOnce runs a non-idempotent call after claiming its idempotency key. If the key was claimed
// before, it returns the stored answer of the earlier run, or an error.
func (k *serviceCall) runOnce(ctx context.Context) (*CallAnswer, *errkind.Error) {
	grant, err := k.r.claim(ctx, callKey(k.c))
	if err != nil {
		return nil, err.WithRun(errkind.Answer(err).Run)
	}
	if !grant.Run() {
		if err := ownedElsewhere(grant); err != nil {
			return nil, err
		}
		if kept := grant.Answer(); kept != nil {
			return kept, nil
		}
		return nil, errkind.New(errkind.KeyAlreadyRan, "the answer is not kept")
	}
	k.notAfter = grant.Deadline()
	out := Outcome{Run: errkind.Unknown} // recorded if a panic ends the run
	defer func() { grant.Finish(out) }()
	answer, err := k.tryReplicas(context.WithoutCancel(ctx))
	out = Outcome{Run: k.run.level().asRunState(), Answer: answer}
	return answer, err
}

func callKey(c Call) ClaimKey {
	body := digest("call", c.Service, c.Method, c.Path, string(c.Body))
	return ClaimKey{Team: c.Team, Key: c.Key, RequestID: c.ID, Body: body}
}

// tryReplicas sends the call to replicas until one answers, within the retry limits.
func (k *serviceCall) tryReplicas(ctx context.Context) (*CallAnswer, *errkind.Error) {
	k.r.o.RetryBudget(k.c.Service).OnFirstAttempt(k.r.o.Now())
	k.timing.MaxAttempts, k.timing.MaxSends = k.r.limits().MaxAttempts, k.c.MaxSends
	if k.hedgeBudget = k.r.o.HedgeBudget(k.c.Service); k.hedgeBudget != nil {
		k.hedgeBudget.OnFirstAttempt(k.r.o.Now())
	}
	defer k.endHedge()
	defer k.wg.Wait()
	defer k.endDispatches()
	var answer *CallAnswer
	var err *errkind.Error
	for {
		plan, timeout, failed := k.chooseReplica()
		if failed == nil && !k.takePermits() {
			return finalAnswer(k.retryable, answer, err)
		}
		if failed != nil {
			answer, err = nil, k.logFailure(failed)
		} else {
			k.dispatch(ctx, plan, timeout)
			k.timing.Sent(k.latest().sentAt)
			answer, err = k.awaitAnswer(ctx)
		}
		if err == nil && !k.worthRetry(answer) {
			return answer, nil
		}
		if !k.mayRetry(ctx, err) {
			return finalAnswer(k.retryable, answer, err)
		}
	}
}

// awaitAnswer waits for an answer to the dispatches in progress, and adds further ones while their
// replicas are silent. It returns the first answer that is not worth a retry. If there is none, it
// returns the result of the last dispatch, or one that ends the whole call.
func (k *serviceCall) awaitAnswer(ctx context.Context) (*CallAnswer, *errkind.Error) {
	for {
		d := k.nextResult()
		if d == nil {
			k.seekAnother(ctx)
			continue
		}
		latest := d == k.latest()
		answer, err := k.settle(d)
		if err == nil && !k.worthRetry(answer) || err != nil && !attemptFailed(err.Kind) || ctx.Err() != nil {
			return answer, err
		}
		if len(k.inProgress) == 0 {
			return answer, err
		}
		switch {
		case d == k.hedgeDispatch:
			k.timing.HedgeLost()
		case latest:
			k.timing.Lost(k.r.o.Now())
		}
	}
}

// finalAnswer returns what the caller gets after the last try: the answer or error of that try, or
// the latest answer that was worth a retry if the try brought none or was not made.
func finalAnswer(retryable, answer *CallAnswer, err *errkind.Error) (*CallAnswer, *errkind.Error) {
	if retryable != nil && err != nil {
		return retryable, nil
	}
	return answer, err
}

// worthRetry reports whether another replica may give a better answer: the request may run
// again, and the status is one that gateways use for an unavailable backend (502, 503 or 504),
// or a 500 where the limits allow retrying those.
func (k *serviceCall) worthRetry(a *CallAnswer) bool {
	if k.c.atMostOnce() {
		return false
	}
	switch a.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	case http.StatusInternalServerError:
		return k.r.o.Limits.RetryServerErrors
	default:
		return false
	}
}

// mayRetry reports whether another attempt is allowed after err or, if err is nil, after an
// answer for which worthRetry returned true.
func (k *serviceCall) mayRetry(ctx context.Context, err *errkind.Error) bool {
	now := k.r.o.Now()
	if err != nil && !attemptFailed(err.Kind) || ctx.Err() != nil || !now.Before(k.c.Deadline) {
		return false
	}
	if k.c.atMostOnce() && k.run.level() > notRun {
		return false
	}
	return k.timing.Allowed(k.progress())
}

// takePermits takes the retry permits that the next dispatch needs; it returns false if the
// retry budget lacks them.
func (k *serviceCall) takePermits() bool {
	needs := k.arrivals.permitsNeeded(false)
	if needs == 0 {
		return true
	}
	if !k.r.requestPermits(permitRequest{request: k.c.ID, class: k.c.Class, attempt: k.attempt, target: k.c.Service, needs: needs}) {
		return false
	}
	k.arrivals.permitsTaken += needs
	k.r.o.Metrics.Retried(k.c.Class)
	return true
}

// attemptFailed reports whether kind describes the failure of one attempt rather than of the
// whole request.
func attemptFailed(kind errkind.Kind) bool {
	return kind == errkind.UpstreamFailed || kind == errkind.UpstreamRefused
}

// chooseReplica plans one attempt and checks that the call may still be dispatched: the request
// is not quarantined, its deadline has not passed, its caller has not left, this process was
// not stopped in the meantime, and the replica takes new work.
func (k *serviceCall) chooseReplica() (policy.ServicePlan, time.Duration, *errkind.Error) {
	k.attempt++
	callOnce(&k.returnUnits)
	if k.r.quarantined(k.c.ID, k.subject) {
		return policy.ServicePlan{}, 0, errQuarantined()
	}
	plan, timeout, err := k.planAttempt()
	if err != nil {
		return plan, 0, err
	}
	now := k.r.o.Now()
	switch {
	case !now.Before(k.c.Deadline):
		return plan, 0, errkind.New(errkind.DeadlineExceeded, "the deadline passed")
	case k.caller.Err() != nil:
		return plan, 0, errkind.New(errkind.ClientGone, "the caller went away")
	case k.r.o.Frozen(now) || grantExpired(k.notAfter, now):
		return plan, 0, errkind.New(errkind.StaleView, "the instance was stopped for a while")
	case !k.r.mayTakeWork(plan.Replica):
		k.exclude = append(k.exclude, plan.Replica.Name)
		return plan, 0, errkind.New(errkind.UpstreamRefused, "the chosen upstream is leaving")
	}
	return plan, timeout, nil
}

func (k *serviceCall) planAttempt() (policy.ServicePlan, time.Duration, *errkind.Error) {
	s, plan, err := k.pickInTurn()
	if s == nil {
		return plan, 0, err
	}
	if err != nil {
		if len(k.inProgress) == 0 { // otherwise it is logged as a search for a replacement
			k.logDecision("plan", policy.ServicePlan{}, string(err.Kind))
		}
		return plan, 0, err
	}
	k.logDecision("plan", plan, plan.Reason)
	if k.teamDone == nil {
		k.teamDone = k.r.o.Inflight.BeginTeam(k.c.Team)
	}
	timeout := s.Bundle.Services[k.c.Service].Timeout()
	k.usualTimeout = timeout
	k.setTiming(s.Bundle.Classes[k.c.Class])
	if d := s.Bundle.Classes[k.c.Class].Deadline(); d > 0 && (d < timeout || timeout <= 0) {
		k.usualTimeout = d
	}
	return plan, timeout, nil
}

// silenceLimit returns how long a replica may be silent until another one is sought: it may be
// partitioned or frozen, which a kept-alive connection reveals only after seconds. It is 0 for a
// call that must not be sent again.
func (k *serviceCall) silenceLimit(class bundle.ClassTarget) time.Duration {
	if k.c.atMostOnce() {
		return 0
	}
	return time.Duration(k.r.o.Limits.CallTimeoutFactor * float64(class.FirstToken()))
}

// setTiming sets after which times a call of a class is slow and its replica silent. A call that must not
// be sent again is neither, but its time counts for the others.
func (k *serviceCall) setTiming(class bundle.ClassTarget) {
	k.timing.Silence = k.silenceLimit(class)
	if k.hedgeBudget == nil {
		return
	}
	now := k.r.o.Now()
	k.learned = k.r.hedged.Of(now, k.c.Service)
	if !k.c.atMostOnce() && len(k.inProgress) == 0 {
		k.timing.SlowAfter = k.learned.SlowAfter(now, class.FirstToken())
	}
}

func (k *serviceCall) planQuery() policy.Query {
	return policy.Query{
		RequestID:  k.c.ID,
		Team:       k.c.Team,
		Class:      k.c.Class,
		Now:        k.r.o.Now(),
		Deadline:   k.c.Deadline,
		Attempt:    k.attempt,
		Exclude:    k.exclude,
		DataCentre: k.r.o.DataCentre,
		Priority:   k.c.Priority,

		Accepted: k.c.Accepted, Forecast: k.forecast(),
		// A search for a replacement of a silent replica must not hold up the answer.
		MayWait: len(k.inProgress) == 0, QueuedAhead: k.place,
	}
}

// logFailure logs an error and adds the run state over all attempts to it.
func (k *serviceCall) logFailure(err *errkind.Error) *errkind.Error {
	k.logDecision("fail", policy.ServicePlan{}, string(err.Kind))
	run := callerRun(err.Kind, k.runLevel().asRunState())
	return err.WithRun(reportedRun(run, k.notAfter, k.r.o.Now()))
}

func (k *serviceCall) logDecision(step string, p policy.ServicePlan, reason string) {
	k.r.logDecision(Decision{
		Request: k.c.ID, Team: cmp.Or(k.c.Team, k.c.CallerTeam), Class: k.c.Class, Attempt: k.attempt, Step: step,
		Candidates: p.Candidates, Limited: k.limitedCount, Upstream: p.Replica.Name, Reason: reason,
		Bundle: k.bundleNumber, ViewAge: p.LoadAge, FirstToken: p.Predicted.End,
	})
}

func (k *serviceCall) observeEnd(err *errkind.Error) {
	var kind errkind.Kind
	if err != nil {
		kind = err.Kind
	}
	k.r.o.Metrics.Ended(k.c.Class, kind, k.run.level().asRunState(), k.r.o.Now().Sub(k.c.Accepted))
}

// withTimeout returns a context that ends after d, or at the shutdown limit if that is
// earlier.
func (r *Runner) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, d)
	stop := context.AfterFunc(r.shutdownCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (r *Runner) shutdownLimitReached() bool { return r.shutdownCtx.Err() != nil }
