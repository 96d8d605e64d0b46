package request

import (
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// heard passes a piggybacked load on; a zero one was not sent. That the upstream
// is leaving goes on as part of the load, with the incarnation that said so: an
// answer that is read late may be that of a former life, and the notice alone
// would keep the new one idle for good.
func (r *Runner) heard(name string, l *engineapi.Load) {
	if *l == (engineapi.Load{}) {
		return
	}
	r.o.Observer.Report(r.o.Now(), name, *l)
}

// heardRefusal passes on what a refusal tells of the upstream.
func (r *Runner) heardRefusal(name string, err error) {
	refusal := upstream.RefusalOf(err)
	if refusal == nil {
		return
	}
	load := refusal.Load
	if load == (engineapi.Load{}) && refusal.Leaving {
		r.o.Observer.Leaving(r.o.Now(), name) // of no known life
		return
	}
	load.Leaving = load.Leaving || refusal.Leaving
	r.heard(name, &load)
}

// heardOf passes on what a plain service's answer or refusal tells.
func (r *Runner) heardOf(name string, answer *upstream.ServiceAnswer, err error) {
	r.heardRefusal(name, err)
	if answer != nil && answer.Load != nil {
		r.heard(name, answer.Load)
	}
}
