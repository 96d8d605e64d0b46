package request

import (
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// reportLoad passes the load that an answer carried to the observer; a zero load means that the
// answer carried none. A leaving notice is passed on as part of the load, together with the
// upstream's incarnation, a number that changes when its process restarts. An answer that is
// read late may come from a process that has been replaced, and the notice without its
// incarnation would stop new work to the new process.
func (r *Runner) reportLoad(name string, l *engineapi.Load) {
	if *l == (engineapi.Load{}) {
		return
	}
	r.o.Observer.Report(r.o.Now(), name, *l)
}

// reportRefusal passes the load and the leaving notice of a refusal to the observer.
func (r *Runner) reportRefusal(name string, err error) {
	refusal := upstream.RefusalOf(err)
	if refusal == nil {
		return
	}
	load := refusal.Load
	if load == (engineapi.Load{}) && refusal.Leaving {
		r.o.Observer.Leaving(r.o.Now(), name) // a refusal without a load names no incarnation
		return
	}
	load.Leaving = load.Leaving || refusal.Leaving
	r.reportLoad(name, &load)
}

// reportServiceAnswer passes the load and the leaving notice in a plain service's answer or
// refusal to the observer.
func (r *Runner) reportServiceAnswer(name string, answer *upstream.ServiceResponse, err error) {
	r.reportRefusal(name, err)
	if answer != nil && answer.Load != nil {
		r.reportLoad(name, answer.Load)
	}
}
