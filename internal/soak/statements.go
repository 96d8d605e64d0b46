package soak

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/rest"
	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// minStatement and maxStatement bound how long upstreams say that they leave, and how long they ask
	// for rest.
	minStatement = 3 * time.Second
	maxStatement = 6 * time.Second
	// maxStatementPause bounds the time between the starts of two statements.
	maxStatementPause = 2 * time.Second
	// maxStatementCompanions is the largest number of faults that accompany a statement.
	maxStatementCompanions = 5
)

// clockTime is the format of times of day in violations, to be compared with the daemons' logs.
const clockTime = "15:04:05.000"

// rests are the times without calls that upstreams ask for.
var rests = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 10 * time.Second}

// The actions that statementFaults draws from, and those that accompany a statement. None of the latter
// but a kill, a stop and a pause of the daemon that was told takes anything back.
var (
	statementActions          = []action{actLeave, actRest, actRestAll}
	statementCompanionActions = []action{actWithdraw, actStoreDown, actDropHistory, actPublishConfig, actHup, actKill, actTerm, actPause}
)

// statementFaults generates upstreams that leave or ask for rest at random, beside lapses of their
// registrations, outages of the store and others. The same seed gives the same faults.
func statementFaults(seed uint64, length time.Duration, daemons, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []fault
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(maxStatementPause))) {
		f := fault{
			start: at, duration: minStatement + time.Duration(rng.Int64N(int64(maxStatement-minStatement))),
			action: statementActions[rng.IntN(len(statementActions))], target: rng.IntN(upstreams), rest: rests[rng.IntN(len(rests))],
		}
		out = append(out, f)
		for range rng.IntN(maxStatementCompanions + 1) {
			c := fault{
				start:    at + time.Duration(rng.Int64N(int64(f.duration))),
				duration: time.Duration(200+rng.IntN(1300)) * time.Millisecond,
				action:   statementCompanionActions[rng.IntN(len(statementCompanionActions))],
			}
			if c.target = f.target; c.action != actWithdraw {
				c.target = rng.IntN(daemons)
			}
			out = append(out, c)
		}
	}
	return out
}

// leave makes an upstream say that it leaves. Another one takes its place at the end.
func (r *run) leave(f fault) {
	u, _ := r.upstream(f.target)
	u.SetLeaving(true)
	time.Sleep(f.duration)
	if r.site.IsRunning(u.Name) {
		r.site.Crash(u)
	}
}

// rest makes an upstream, or all of its service, ask for rest.
func (r *run) rest(f fault) {
	var told []*site.Upstream
	u, _ := r.upstream(f.target)
	for _, o := range r.upstreams() {
		if o == u || f.action == actRestAll && o.Service == u.Service {
			o.SetRest(f.rest)
			told = append(told, o)
		}
	}
	time.Sleep(f.duration)
	for _, o := range told {
		o.SetRest(0)
	}
}

// hasLinks reports whether each daemon has its own links to the upstreams. With Options.Statements, daemons
// do not read the store for each other: they would use each other's links, and upstreams could not tell
// them apart.
func (r *run) hasLinks() bool { return r.options.Links || r.options.Statements }

// sourceAddress returns the address from which the links of a daemon connect to upstreams, by which
// upstreams tell daemons apart.
func sourceAddress(daemon int) net.IP {
	const first = 11
	return net.IPv4(127, 0, 1, byte(first+daemon))
}

// forgetStatements checks what a daemon has sent so far and forgets what it was told: its process has
// ended or was frozen.
func (r *run) forgetStatements(d *daemon) {
	if r.options.Statements {
		for _, u := range r.allUpstreams() {
			r.checkStatementsTo(u, sourceAddress(d.index).String())
			u.ForgetTold(sourceAddress(d.index).String())
		}
	}
}

// checkStatements checks that no daemon has sent an upstream more than it may after the upstream said that
// it leaves or asked for rest.
func (r *run) checkStatements() {
	if !r.options.Statements {
		return
	}
	for _, u := range r.allUpstreams() {
		for _, d := range r.daemons {
			r.checkStatementsTo(u, sourceAddress(d.index).String())
		}
	}
}

// checkStatementsTo is checkStatements for one upstream and one daemon.
func (r *run) checkStatementsTo(u *site.Upstream, caller string) {
	late, inRest, from, first := u.CallsAfterStatements(caller)
	if late > 0 {
		r.addViolation("%s got %d calls for new work from %s later than %v after it said that it leaves", u.Name, late, caller, site.LeavingGrace)
	}
	if inRest > rest.Allowed {
		r.addViolation("%s got %d calls from %s in the rest that it asked for at %s, the first at %s", u.Name, inRest, caller, from.Format(clockTime), first.Format(clockTime))
	}
}

// allUpstreams returns the upstreams and those that they have replaced.
func (r *run) allUpstreams() []*site.Upstream {
	out := r.upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(out, r.replaced...)
}
