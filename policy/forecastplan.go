package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

const (
	// equalShare is the share of the predicted time by which replicas may differ and still count as
	// equal. Among equals one is drawn, so that daemons that know the same do not all send to one.
	equalShare = 0.15
	// minCallWait is the shortest time after which a waiting call is planned again.
	minCallWait = 5 * time.Millisecond
	// maxCallWaitShare is the share of its target for which a call may wait for a replica with room.
	maxCallWaitShare = 0.1
	// maxCallQueue is the largest number of calls that may wait ahead of another one for a service.
	maxCallQueue = 64
)

// forecastChoice is the replica that is predicted to end a call first.
type forecastChoice struct {
	replica *Replica
	Prediction
	// cost is the predicted end over the weight of a slow start, by which choices are compared.
	cost time.Duration
}

// planByForecast sends the call to the replica that is predicted to end it first. If the queues of all
// replicas are expected to have no room, the call waits for a short part of its target, since a rejected
// arrival costs a retry permit and an attempt; it is refused if there is no room then. A call that no
// replica would end by its deadline is refused at once.
//
// A call that is predicted to be late, but not past its deadline, is sent. Loads are a second old, so that
// replicas would often be idle while calls waited for a shorter queue.
func (d *decision) planByForecast(p *Pool) (ServicePlan, *errkind.Error) {
	best := d.earliestEnd(p)
	if best.replica == nil {
		if !d.anyUsable(p) {
			return ServicePlan{}, d.refuseNoUpstream(p)
		}
		return ServicePlan{}, d.refuse(errkind.Overloaded, "every replica of the service is full", minRetryAfter)
	}
	if !d.query.Deadline.IsZero() && !d.query.Now.Add(best.End).Before(d.query.Deadline) {
		return ServicePlan{}, d.refuseByForecast(errkind.DeadlineUnreachable, "the call would not end by its deadline", best)
	}
	if !best.Full {
		return d.forecastPlan(best), nil
	}
	target := d.snapshot.Bundle.Classes[d.query.Class].FirstToken()
	left := time.Duration(maxCallWaitShare*float64(target)) - d.sinceAccepted()
	if d.query.MayWait && d.query.QueuedAhead < maxCallQueue && left > 0 {
		return d.waitForReplica(best, left), nil
	}
	return ServicePlan{}, d.refuseByForecast(errkind.Overloaded, "the queue of every replica of the service is full", best)
}

// waitForReplica returns the plan to wait until the queue of the best replica is predicted to have
// room, within the time left, and a random part longer so that daemons do not all send when the same
// slot becomes free.
func (d *decision) waitForReplica(best forecastChoice, left time.Duration) ServicePlan {
	wait := max(min(time.Duration((1-fullShare)*float64(best.Begin)), left), minCallWait)
	wait += time.Duration(d.rng.Int64N(int64(wait)/2 + 1))
	return ServicePlan{Candidates: d.considered, Wait: wait, Reason: reasonQueue, Predicted: best.Prediction}
}

// The retry delay after a refusal by a forecast, as a share of the time that the caller has left. Such a
// call is late whenever it returns, and bursts last for seconds, so it returns as late as leaves a second
// try most of that time. Callers on the users' platform wait for at most a third of it.
const (
	minReturnShare = 0.2
	maxReturnShare = 0.32
)

// refuseByForecast refuses a call that the best replica has no room for, with a retry delay at random
// so that callers refused together do not return together.
func (d *decision) refuseByForecast(kind errkind.Kind, detail string, best forecastChoice) *errkind.Error {
	if d.query.Deadline.IsZero() {
		return d.refuse(kind, detail, best.Begin)
	}
	share := minReturnShare + (maxReturnShare-minReturnShare)*d.rng.Float64()
	left := d.query.Deadline.Sub(d.query.Now)
	return errkind.New(kind, detail).WithRetryAfter(max(time.Millisecond, time.Duration(share*float64(left))))
}

// earliestEnd returns the replica that is predicted to end the call first; its replica is nil if none
// may get it. It prefers replicas whose queues have room. Of a large pool it examines a sample.
func (d *decision) earliestEnd(p *Pool) forecastChoice {
	list := p.all.replicas
	if len(list) > scanLimit {
		var c candidates
		c.sample(list, scanLimit, d.rng)
		list = c.list[:c.n]
	}
	var choices [maxCandidates]forecastChoice
	n, room := 0, false
	for _, r := range list {
		d.considered++
		if d.usable(r) {
			p := d.predictCall(r, len(list))
			choices[n] = forecastChoice{r, p, time.Duration(float64(p.End) / effectiveWeight(r))}
			room = room || !choices[n].Full
			n++
		}
	}
	var best forecastChoice
	for _, c := range choices[:n] {
		if c.Full != room && (best.replica == nil || c.cost < best.cost) {
			best = c
		}
	}
	return d.drawEqual(choices[:n], best)
}

// drawEqual returns one of the choices that are about as good as the best one, at random.
func (d *decision) drawEqual(choices []forecastChoice, best forecastChoice) forecastChoice {
	limit, equals := time.Duration((1+equalShare)*float64(best.cost)), 0
	drawn := best
	for _, c := range choices {
		if c.Full == best.Full && c.cost <= limit {
			if equals++; d.rng.IntN(equals) == 0 {
				drawn = c
			}
		}
	}
	return drawn
}

// predictCall returns the prediction for the call at a replica. Calls that wait ahead of this one in
// the daemon count as if they were spread over the replicas.
func (d *decision) predictCall(r *Replica, replicas int) Prediction {
	own, _ := d.inflight.Upstream(r.Name, d.query.Forecast.LoadAt(d.query.Now, r.Name))
	return d.query.Forecast.Predict(d.query.Now, r.Name, own+d.query.QueuedAhead/replicas)
}

// forecastPlan returns the plan to call the chosen replica.
func (d *decision) forecastPlan(c forecastChoice) ServicePlan {
	plan := d.servicePlan(c.replica, reasonEarliestEnd)
	plan.LoadAge, plan.Predicted = c.Age, c.Prediction
	return plan
}
