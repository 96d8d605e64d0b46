package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// inject plays the schedule; faults overlap.
func (r *run) inject(ctx context.Context, faults []fault) {
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(f.at))):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.strike(f)
		}()
	}
}

func (r *run) strike(f fault) {
	switch f.act {
	case actKill, actTerm, actPause, actHup:
		r.disturb(r.daemons[f.target])
		r.daemons[f.target].strike(f)
		r.disturb(r.daemons[f.target])
	case actKillAll:
		r.killAll()
	case actShedAll:
		r.shedAll(f)
	case actStore:
		r.site.Store.SetDown(true)
		r.disturb(nil)
		time.Sleep(f.lasts)
		r.site.Store.SetDown(false)
		r.disturb(nil)
	case actHistory:
		r.site.Store.DropHistory()
		r.disturb(nil)
	case actConfig:
		r.configure()
	case actWithdraw:
		u, _ := r.upstream(f.target)
		r.site.Withdraw(u.Name)
		time.Sleep(f.lasts)
		if r.site.Lives(u.Name) {
			r.site.Register(u, "in_service")
		}
	case actLimit:
		r.nameLimit(f)
	case actReset:
		_, p := r.upstream(f.target)
		p.reset()
	case actSilent, actOneWay, actDelay:
		modes := map[action]proxyMode{actSilent: silent, actOneWay: oneWay, actDelay: delaying}
		_, p := r.upstream(f.target)
		p.set(modes[f.act])
		time.Sleep(f.lasts)
		p.set(passing)
	default:
		u, _ := r.upstream(f.target)
		u.SetFaults(upstreamFaults[f.act])
		time.Sleep(f.lasts)
		u.SetFaults(site.Faults{})
	}
}

func (r *run) killAll() {
	var wg sync.WaitGroup
	for _, d := range r.daemons {
		wg.Go(func() {
			r.disturb(d)
			d.strike(fault{act: actKill})
			r.disturb(d)
		})
	}
	wg.Wait()
}

// shedAll lets all upstreams of the target's service refuse for the time.
func (r *run) shedAll(f fault) {
	all := r.upstreams()
	service := all[f.target].Service
	for _, u := range all {
		if u.Service == service {
			u.SetFaults(upstreamFaults[actShed])
		}
	}
	time.Sleep(f.lasts)
	for _, u := range all {
		if u.Service == service {
			u.SetFaults(site.Faults{})
		}
	}
}

var upstreamFaults = map[action]site.Faults{
	actShed: {Shed: true}, actLost: {Reset: true}, actCut: {Cut: 2},
	actDark: {Dark: true}, actFull: {Full: true}, actLapse: {LapsedHandles: true},
}

// settleTime is how long a process that got SIGHUP is watched for its end.
const settleTime = 100 * time.Millisecond

// strike signals the process. A new one is started when it has ended.
func (d *daemon) strike(f fault) {
	d.faults.Lock() // one signal after the other, as from one supervisor
	defer d.faults.Unlock()
	switch f.act {
	case actHup:
		select {
		case <-d.signal(syscall.SIGHUP):
			// It came before the process was set up for it; the platform starts it anew.
		case <-time.After(settleTime):
			return
		}
	case actPause:
		d.signal(syscall.SIGSTOP)
		time.Sleep(f.lasts)
		d.signal(syscall.SIGCONT)
		return
	case actKill:
		<-d.signal(syscall.SIGKILL)
	default:
		<-d.signal(syscall.SIGTERM)
	}
	if err := d.start(); err != nil {
		panic(err) // the run cannot go on without the program
	}
}

// heal ends all faults of the site.
func (r *run) heal() {
	r.site.Store.SetDown(false)
	for i := range r.upstreams() {
		u, p := r.upstream(i)
		u.SetFaults(site.Faults{})
		p.set(passing)
		if r.site.Lives(u.Name) {
			r.site.Register(u, "in_service")
		}
	}
}
