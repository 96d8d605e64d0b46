package request

import (
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// heard passes a piggybacked load on; a zero one was not sent.
func (r *Runner) heard(name string, l *engineapi.Load) {
	if *l == (engineapi.Load{}) {
		return
	}
	now := r.o.Now()
	r.o.Observer.Report(now, name, *l)
	if l.Leaving {
		r.o.Observer.Leaving(now, name)
	}
}

// heardRefusal passes on what a refusal tells of the upstream.
func (r *Runner) heardRefusal(name string, err error) {
	refusal := upstream.RefusalOf(err)
	if refusal == nil {
		return
	}
	r.heard(name, &refusal.Load)
	if refusal.Leaving && !refusal.Load.Leaving {
		r.o.Observer.Leaving(r.o.Now(), name)
	}
}

// heardOf passes on what a plain service's answer or refusal tells.
func (r *Runner) heardOf(name string, answer *upstream.ServiceAnswer, err error) {
	r.heardRefusal(name, err)
	if answer != nil && answer.Load != nil {
		r.heard(name, answer.Load)
	}
}
