package request

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// pickInTurn picks a replica for the call. While the policy expects that no replica has room, the call
// waits in the daemon's queue for the service, and is planned again when a replica of the service has
// responded, when the call comes to the front of the queue, and after the time that the plan states.
func (k *serviceCall) pickInTurn() (*policy.Snapshot, policy.ServicePlan, *errkind.Error) {
	var w *callWaiter
	defer func() { k.leaveQueue(w) }()
	for {
		s, p, err := k.r.snapshotAndPolicy()
		if err != nil {
			return nil, policy.ServicePlan{}, err
		}
		k.bundleNumber = s.Number
		k.place = k.r.callQueues.place(k.c.Service, w, callOrder{policy.ClassRank(s.Bundle, k.c.Class), k.c.Deadline})
		plan, err := k.pickReplica(s, p)
		if err != nil || plan.Wait <= 0 {
			k.countRefusal(err)
			return s, plan, err
		}
		if w == nil {
			w = k.joinQueue(s, plan)
		}
		if err := k.awaitTurn(w, plan.Wait); err != nil {
			return s, policy.ServicePlan{}, err
		}
	}
}

// joinQueue puts the call into the queue of its service. The plan is logged only here, not each time
// that the call is planned again.
func (k *serviceCall) joinQueue(s *policy.Snapshot, plan policy.ServicePlan) *callWaiter {
	k.logDecision("plan", plan, plan.Reason)
	k.r.updateEntry(func() { k.entry.State = StateQueued.String() })
	k.queuedAt = k.r.o.Now()
	w := k.r.callQueues.join(k.c.Service, callOrder{policy.ClassRank(s.Bundle, k.c.Class), k.c.Deadline})
	k.r.o.Metrics.CallsWaiting(k.r.callQueues.len())
	return w
}

// countRefusal counts a call that was refused because of a forecast; err may be nil.
func (k *serviceCall) countRefusal(err *errkind.Error) {
	if err == nil || err.Kind != errkind.Overloaded && err.Kind != errkind.DeadlineUnreachable {
		return
	}
	if k.forecast().Ready(k.r.o.Now()) {
		k.r.o.Metrics.CallRefusedEarly(err.Kind)
	}
}

// leaveQueue removes the call from the queue if it waits there.
func (k *serviceCall) leaveQueue(w *callWaiter) {
	if w == nil {
		return
	}
	k.r.callQueues.leave(w)
	k.r.o.Metrics.CallsWaiting(k.r.callQueues.len())
	k.waited += k.r.o.Now().Sub(k.queuedAt)
	k.r.updateEntry(func() { k.entry.State = "calling" })
}

// awaitTurn waits until the call should be planned again. It fails if the caller leaves or the
// shutdown limit is reached.
func (k *serviceCall) awaitTurn(w *callWaiter, wait time.Duration) *errkind.Error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ready:
	case <-k.caller.Done():
		return errkind.New(errkind.ClientGone, "the caller went away")
	case <-k.r.shutdownCtx.Done():
		return errkind.New(errkind.Draining, "the instance reached its shutdown limit")
	}
	return nil
}

// forecast returns the forecast for the call's service; nil if it must not be used.
func (k *serviceCall) forecast() *policy.Forecast {
	if k.r.o.NoForecast() {
		return nil
	}
	return k.r.forecasts.forModel(k.c.Service)
}

// learnLoad passes on what the result of a dispatch says about the load of its replica, and wakes the first
// call that waits for the service. A response without a load, and a failure without a response, end what
// is known of the replica; a call that this daemon has cancelled says nothing.
func (k *serviceCall) learnLoad(d *dispatch) {
	load := d.load()
	if load == nil && d.ctxErr != nil {
		return
	}
	now, f := k.r.o.Now(), k.r.forecasts.forModel(k.c.Service)
	var l policy.ServiceLoad
	if load != nil {
		l = policy.ServiceLoad{Running: load.Active, Waiting: load.Queued, Slots: load.Slots, Pace: load.Pace, Refused: d.err != nil}
	}
	f.Report(now, d.replica.Name, l)
	if d.err == nil && d.answer.Status < http.StatusInternalServerError {
		f.Answered(now, l, now.Sub(d.sentAt))
		k.reportPrediction(d, now.Sub(d.sentAt))
	}
	k.r.callQueues.wake(k.c.Service)
}

// load returns the load that the replica stated with its answer or refusal; nil if it stated none.
func (d *dispatch) load() *engineapi.Load {
	if d.err == nil {
		return d.answer.Load
	}
	if refusal := upstream.RefusalOf(d.err); refusal != nil && refusal.Load != (engineapi.Load{}) {
		return &refusal.Load
	}
	return nil
}

// CallVerdict is the log line that compares the forecast for a call to a plain service with its time.
type CallVerdict struct {
	Request  string
	Class    bundle.Class
	Upstream string
	// Begin and End are the predicted times until the replica begins and ends the call, and Took the
	// time until its answer.
	Begin, End, Took time.Duration
	// LoadAge is the age of the replica's load that the forecast used; 0 if there was none.
	LoadAge time.Duration
	// Waited is how long the call waited in this daemon.
	Waited time.Duration
}

// Fields returns the fields of the log line.
func (v CallVerdict) Fields() log.Fields {
	return log.Fields{
		"request":            v.Request,
		"class":              v.Class,
		"upstream":           v.Upstream,
		"predicted_begin_ms": v.Begin.Milliseconds(),
		"predicted_ms":       v.End.Milliseconds(),
		"took_ms":            v.Took.Milliseconds(),
		"load_age_ms":        v.LoadAge.Milliseconds(),
		"waited_ms":          v.Waited.Milliseconds(),
	}
}

// reportPrediction logs and counts the forecast for a dispatch that was answered, if there was one.
func (k *serviceCall) reportPrediction(d *dispatch, took time.Duration) {
	if d.predicted.End <= 0 {
		return
	}
	k.r.o.Metrics.CallPredicted(d.predicted.End, took)
	v := CallVerdict{
		Request: k.c.ID, Class: k.c.Class, Upstream: d.replica.Name,
		Begin: d.predicted.Begin, End: d.predicted.End, Took: took, LoadAge: d.predicted.Age, Waited: k.waited,
	}
	k.r.o.Logger.WithFields(v.Fields()).Info("call verdict")
}
