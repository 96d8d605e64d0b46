package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// limitLength is how long an upstream names a limit: several windows past the time from
	// which it is held.
	limitLength = 11 * time.Second
	// limitEvery is the mean pause between two that begin to.
	limitEvery = 3 * time.Second
	// toldTime is how long after a daemon passed on an answer that names a limit its requests
	// count.
	toldTime = 500 * time.Millisecond
)

// namedLimits are the limits that upstreams name, in requests a second.
var namedLimits = []float64{0.5, 2, 5.4, 20}

// limitSpan is a time in which an upstream names a limit.
type limitSpan struct {
	u           *site.Upstream
	limit       float64
	from, until time.Time
}

// limitSeries draws when upstreams name limits. The same seed gives the same series.
func limitSeries(seed uint64, length time.Duration, _, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []fault
	targets := rng.Perm(upstreams) // each once: no two of its limits overlap
	for at := time.Duration(0); at < length && len(targets) > 0; at += time.Duration(rng.Int64N(int64(2 * limitEvery))) {
		out = append(out, fault{at: at, lasts: limitLength, act: actLimit, target: targets[0], pick: rng.IntN(len(namedLimits))})
		targets = targets[1:]
	}
	return out
}

// nameLimit lets an upstream name a limit for the time.
func (r *run) nameLimit(f fault) {
	u, _ := r.upstream(f.target)
	s := limitSpan{u: u, limit: namedLimits[f.pick], from: time.Now()}
	u.NameLimit(s.limit)
	time.Sleep(f.lasts)
	s.until = time.Now()
	u.NameLimitAs("")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, s)
}

// checkLimits holds what upstreams got while they named a limit against what that allows. A
// daemon's requests count from toldTime after it has passed on an answer of the upstream, and
// from the next one on where it was disturbed since.
func (r *run) checkLimits() {
	by := map[string]*asked{}
	for i := range r.asked {
		by[r.asked[i].id] = &r.asked[i]
	}
	for _, s := range r.limits {
		told := r.told(s)
		var counted []time.Time
		for _, arrival := range s.u.Requests() {
			a := by[arrival.ID]
			if a == nil || arrival.At.Before(s.from.Add(site.LimitContact)) || !arrival.At.Before(s.until) {
				continue
			}
			if at, ok := toldBefore(told[a.daemon], a.daemon.troublesBefore(arrival.At), arrival.At); ok && arrival.At.Sub(at) >= toldTime {
				counted = append(counted, arrival.At)
			}
		}
		sortTimes(counted)
		allowed := site.LimitAllows(s.limit)
		for _, from := range counted {
			if n := within(counted, from, from.Add(site.LimitWindow)); float64(n) > allowed {
				r.violate("%s got %d requests in %v with a limit of %g a second, %.1f are allowed", s.u.Name, n, site.LimitWindow, s.limit, allowed)
				break
			}
		}
	}
}

// told returns when daemons passed on whole answers that name the limit of a span.
func (r *run) told(s limitSpan) map[*daemon][]time.Time {
	out := map[*daemon][]time.Time{}
	for _, a := range r.asked {
		if !a.whole || a.at.Before(s.from) || a.ended.After(s.until) {
			continue
		}
		if runs := r.site.Account.Runs(a.id); len(runs) > 0 && runs[len(runs)-1].Upstream == s.u.Name {
			out[a.daemon] = append(out[a.daemon], a.ended)
		}
	}
	for _, list := range out {
		sortTimes(list)
	}
	return out
}

// toldBefore returns the first answer after the last trouble before a time.
func toldBefore(answers []time.Time, trouble, before time.Time) (at time.Time, ok bool) {
	i := slices.IndexFunc(answers, func(t time.Time) bool { return t.After(trouble) })
	if i < 0 || !answers[i].Before(before) {
		return at, false
	}
	return answers[i], true
}

// troublesBefore returns when the daemon was last disturbed before a time.
func (d *daemon) troublesBefore(at time.Time) (last time.Time) {
	for _, t := range d.troubles {
		if t.Before(at) && t.After(last) {
			last = t
		}
	}
	return last
}
