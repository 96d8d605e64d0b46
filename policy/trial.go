package policy

import (
	"slices"

	"github.com/corianderturn/corianderturn/errkind"
)

const (
	// maxTrialsPerReplica is the number of this daemon's requests that an ejected replica may have
	// on trial at a time. A few are allowed, because the pool serves nobody else until one of them
	// is answered.
	maxTrialsPerReplica = 8
	// maxUnansweredPerRequest is the number of calls that silent replicas of a pool may fail to answer
	// before the request is refused. Each costs the request its timeout.
	maxUnansweredPerRequest = 3
)

// newTrialPool returns the pool of p's silent replicas, as if they were not ejected. It returns nil
// if there are none.
func newTrialPool(p *Pool) *Pool {
	if len(p.silent) == 0 {
		return nil
	}
	trial := &Pool{headroom: p.headroom, ejectionEnd: p.ejectionEnd}
	trial.addMembers(p.silent)
	return trial
}

// MayTake reports whether a replica may get requests: it is a member of the pool, or an ejected one
// that gets requests on trial. It returns false for a nil pool.
func (p *Pool) MayTake(r *Replica) bool {
	if p == nil {
		return false
	}
	return p.all.contains(r) || p.OfVersion(r.Version).trialContains(r)
}

// trialContains reports whether a replica may get requests of the pool on trial.
func (p *Pool) trialContains(r *Replica) bool {
	return p != nil && p.trial != nil && p.trial.all.contains(r)
}

// contains reports whether a replica is a member of the group.
func (g *group) contains(r *Replica) bool {
	return slices.ContainsFunc(g.replicas, func(o *Replica) bool {
		return o.Name == r.Name && o.Address == r.Address && o.Version == r.Version
	})
}

// available returns the pool to choose a replica from: p or, if p has no members, the pool of its
// replicas that may get requests on trial. It refuses a request that has got no answer from several
// silent replicas of p.
//
// Without trials, a moment in which all upstreams are silent ejects all of them, and callers are
// refused until the ejections end although the upstreams answer again. Without the limit, a request
// waits for a timeout at each of the silent replicas.
func (d *decision) available(p *Pool) (*Pool, *errkind.Error) {
	if p == nil || d.unanswered(p) >= maxUnansweredPerRequest {
		return nil, d.refuseNoUpstream(p)
	}
	if p.Len() == 0 && p.trial != nil {
		p = p.trial
	}
	if p.Len() == 0 {
		return nil, d.refuseNoUpstream(p)
	}
	d.askAgain = d.mustAskAgain(p)
	return p, nil
}

// mustAskAgain reports whether only engines are left that did not reply to reservations of the request,
// and may be asked again.
//
// Without it, a request whose pool has one engine or two is refused because each of them was silent for
// the timeout of one call, with seconds left until its deadline.
func (d *decision) mustAskAgain(p *Pool) bool {
	n := len(d.query.NoReply)
	return n > 0 && n < maxUnansweredPerRequest && !d.anyUsable(p)
}

// unanswered returns the number of calls for the request that silent replicas of the pool have failed to
// answer.
func (d *decision) unanswered(p *Pool) (n int) {
	if len(d.query.Exclude) == 0 && len(d.query.NoReply) == 0 {
		return 0
	}
	for _, r := range p.silent {
		if slices.Contains(d.query.Exclude, r.Name) {
			n++
		}
		n += countOf(d.query.NoReply, r.Name)
	}
	return n
}

// countOf returns how often name is in list.
func countOf(list []string, name string) (n int) {
	for _, s := range list {
		if s == name {
			n++
		}
	}
	return n
}

// onTrial reports whether r is ejected, so that it may get requests on trial only.
func (d *decision) onTrial(r *Replica) bool { return r.EjectedUntil.After(d.query.Now) }

// trialsFull reports whether r has as many requests on trial as it may have at a time.
func (d *decision) trialsFull(r *Replica) bool {
	requests, _ := d.inflight.Upstream(r.Name, r.EjectedAt)
	return requests >= maxTrialsPerReplica
}
