package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// limitDuration is how long an upstream reports a limit: site.LimitGracePeriod, in
	// which daemons may exceed it, and two times site.LimitWindow, in which it is enforced.
	limitDuration = 11 * time.Second
	// meanLimitInterval is the mean time between the starts of two limits.
	meanLimitInterval = 3 * time.Second
	// propagationTime is the time that a daemon has to apply a limit after it forwarded a response
	// that reports it.
	propagationTime = 500 * time.Millisecond
)

// reportedLimits are the rate limits that upstreams report, in requests per second.
var reportedLimits = []float64{0.5, 2, 5.4, 20}

// limitSpan is a period in which an upstream reports a limit, in requests per second.
type limitSpan struct {
	upstream   *site.Upstream
	limit      float64
	start, end time.Time
}

// limitFaults generates faults at random in which upstreams report a limit. The same seed gives
// the same faults.
func limitFaults(seed uint64, length time.Duration, _, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []fault
	targets := rng.Perm(upstreams) // each upstream once, so that its limits do not overlap
	for at := time.Duration(0); at < length && len(targets) > 0; at += time.Duration(rng.Int64N(int64(2 * meanLimitInterval))) {
		out = append(out, fault{start: at, duration: limitDuration, action: actLimit, target: targets[0], limitIndex: rng.IntN(len(reportedLimits))})
		targets = targets[1:]
	}
	return out
}

// reportLimit makes an upstream report a limit for the duration of the fault.
func (r *run) reportLimit(f fault) {
	u, _ := r.upstream(f.target)
	s := limitSpan{upstream: u, limit: reportedLimits[f.limitIndex], start: time.Now()}
	u.SetLimit(s.limit)
	time.Sleep(f.duration)
	s.end = time.Now()
	u.SetLimitHeader("")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitSpans = append(r.limitSpans, s)
}

// checkLimits checks that upstreams received no more requests than their reported limit allows.
// Each response of the upstream reports the limit. Requests of a daemon count only from
// propagationTime after it forwarded such a response, since it cannot apply the limit earlier.
// After a disturbance of the daemon, the time starts again with the next such response.
func (r *run) checkLimits() {
	requestsByID := map[string]*sentRequest{}
	for i := range r.requests {
		requestsByID[r.requests[i].id] = &r.requests[i]
	}
	for _, s := range r.limitSpans {
		observations := r.limitObservations(s)
		var counted []time.Time
		for _, arrival := range s.upstream.Requests() {
			sent := requestsByID[arrival.ID]
			if sent == nil || arrival.At.Before(s.start.Add(site.LimitGracePeriod)) || !arrival.At.Before(s.end) {
				continue
			}
			if observedAt, ok := firstObservation(observations[sent.daemon], sent.daemon.lastDisturbance(arrival.At), arrival.At); ok && arrival.At.Sub(observedAt) >= propagationTime {
				counted = append(counted, arrival.At)
			}
		}
		sortTimes(counted)
		allowed := site.AllowedRequests(s.limit)
		for _, from := range counted {
			if n := countBetween(counted, from, from.Add(site.LimitWindow)); float64(n) > allowed {
				r.addViolation("%s got %d requests in %v with a limit of %g a second, %.1f are allowed", s.upstream.Name, n, site.LimitWindow, s.limit, allowed)
				break
			}
		}
	}
}

// limitObservations returns, for each daemon, the times in ascending order at which it had forwarded
// a complete response that reports the limit of s.
func (r *run) limitObservations(s limitSpan) map[*daemon][]time.Time {
	out := map[*daemon][]time.Time{}
	for _, sent := range r.requests {
		if !sent.complete || sent.sentAt.Before(s.start) || sent.endedAt.After(s.end) {
			continue
		}
		if runs := r.site.Account.Executions(sent.id); len(runs) > 0 && runs[len(runs)-1].Upstream == s.upstream.Name {
			out[sent.daemon] = append(out[sent.daemon], sent.endedAt)
		}
	}
	for _, list := range out {
		sortTimes(list)
	}
	return out
}

// firstObservation returns the first of the observations that follow a disturbance. ok is false if
// there is none earlier than the time before.
func firstObservation(observations []time.Time, disturbance, before time.Time) (at time.Time, ok bool) {
	i := slices.IndexFunc(observations, func(t time.Time) bool { return t.After(disturbance) })
	if i < 0 || !observations[i].Before(before) {
		return at, false
	}
	return observations[i], true
}

// lastDisturbance returns the time of the daemon's last disturbance before at, or the zero time if
// there is none.
func (d *daemon) lastDisturbance(at time.Time) (last time.Time) {
	for _, t := range d.disturbances {
		if t.Before(at) && t.After(last) {
			last = t
		}
	}
	return last
}
