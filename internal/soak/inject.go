package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// injectSchedule injects each fault at its time and waits for all of them to end. Faults may
// overlap.
func (r *run) injectSchedule(ctx context.Context, faults []fault) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.start))):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.injectFault(f)
		}()
	}
}

// injectFault injects one fault and returns when it has ended.
func (r *run) injectFault(f fault) {
	defer r.addExcuse(f, time.Now())
	switch f.action {
	case actKill, actTerm, actPause, actHup:
		r.recordDisturbance(r.daemons[f.target])
		if ended := r.daemons[f.target].injectSignal(f); ended || f.action == actPause {
			r.forgetStatements(r.daemons[f.target])
		}
		r.recordDisturbance(r.daemons[f.target])
	case actKillAll:
		r.killAllDaemons()
	case actShedAll:
		r.shedService(f)
	case actStoreDown:
		r.site.Store.SetDown(true)
		r.recordDisturbance(nil)
		time.Sleep(f.duration)
		r.site.Store.SetDown(false)
		r.recordDisturbance(nil)
	case actDropHistory:
		r.site.Store.DropHistory()
		r.recordDisturbance(nil)
	case actPublishConfig:
		r.publishConfig()
	case actWithdraw:
		u, _ := r.upstream(f.target)
		r.site.Withdraw(u.Name)
		time.Sleep(f.duration)
		if r.site.IsRunning(u.Name) {
			r.site.Register(u, "in_service")
		}
	case actSilence, actSilenceAll, actSilenceVersion, actLateEvents:
		r.silence(f)
	case actRestore:
		r.restore(f)
	case actDepart:
		r.depart(f)
	case actLeave:
		r.leave(f)
	case actRest, actRestAll:
		r.rest(f)
	case actLimit:
		r.reportLimit(f)
	case actUpgrade:
		r.upgrade(f)
	case actLink:
		r.links[f.target].inject(f.linkMode, f.duration)
	case actReset:
		_, p := r.upstream(f.target)
		p.resetConnections()
	case actStall, actStallResponses, actDelay:
		modes := map[action]proxyMode{actStall: stalled, actStallResponses: responsesStalled, actDelay: delayed}
		_, p := r.upstream(f.target)
		p.setMode(modes[f.action])
		time.Sleep(f.duration)
		p.setMode(transparent)
	default:
		u, _ := r.upstream(f.target)
		u.SetFaults(upstreamFaults[f.action])
		time.Sleep(f.duration)
		u.SetFaults(site.Faults{})
	}
}

// killAllDaemons kills and restarts all daemons at the same time.
func (r *run) killAllDaemons() {
	var wg sync.WaitGroup
	for _, d := range r.daemons {
		wg.Go(func() {
			r.injectFault(fault{action: actKill, target: d.index})
		})
	}
	wg.Wait()
}

// shedService makes all upstreams of the target's service reject requests for the duration of
// the fault.
func (r *run) shedService(f fault) {
	all := r.upstreams()
	service := all[f.target].Service
	for _, u := range all {
		if u.Service == service {
			u.SetFaults(upstreamFaults[actShed])
		}
	}
	time.Sleep(f.duration)
	for _, u := range all {
		if u.Service == service {
			u.SetFaults(site.Faults{})
		}
	}
}

// upstreamFaults maps actions to the faults that the simulated upstreams inject. Reset closes
// connections without a response, Cut closes a stream after this number of events, Dark never
// responds, Unframed sends neither a length nor chunks, Full refuses reservations, and LapsedHandles treats prefill results as expired.
var upstreamFaults = map[action]site.Faults{
	actShed: {Shed: true}, actLoseResponses: {Reset: true}, actCutStreams: {Cut: 2},
	actUnframed: {Unframed: true}, actUnframedCrash: {Unframed: true, CrashAt: 2},
	actRepeat: site.RepeatedAnswers(repeatShare, false, shedShare), actRepeatLate: site.RepeatedAnswers(repeatShare, true, shedShare),
	actCutAnswers:  site.CutAnswers(cutShare),
	actEndlessLine: {Endless: site.EndlessLine}, actEndlessAnswer: {Endless: site.EndlessAnswer},
	actSlowRefusal: {Endless: site.SlowRefusal}, actSlowError: {Endless: site.SlowError},
	actUnresponsive: {Dark: true}, actRefuseReservations: {Full: true}, actExpirePrefills: {LapsedHandles: true},
}

// The shares of answers that are sent twice or cut, and of requests that are refused meanwhile.
const (
	repeatShare = 0.2
	cutShare    = 0.2
	shedShare   = 0.45
)

// injectSignal sends the fault's signal to the daemon's process, and restarts the daemon if the
// process exits, which it returns.
func (d *daemon) injectSignal(f fault) (ended bool) {
	d.faultMu.Lock() // signals do not overlap, as if one process supervisor sent them
	defer d.faultMu.Unlock()
	switch f.action {
	case actHup:
		if !d.exitsBeforeReady(d.signal(syscall.SIGHUP)) {
			return false
		}
		// The process had not installed its signal handler yet, so SIGHUP ended it. The platform
		// would restart it.
	case actPause:
		d.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		d.signal(syscall.SIGCONT)
		return false
	case actKill:
		<-d.signal(syscall.SIGKILL)
	default:
		<-d.signal(syscall.SIGTERM)
	}
	if err := d.start(); err != nil {
		panic(err) // the run cannot continue without the daemon
	}
	return true
}

// exitsBeforeReady waits until the process exits or passes the readiness check, and reports whether it
// has exited. A process that is ready has installed its signal handler.
func (d *daemon) exitsBeforeReady(done <-chan struct{}) (exited bool) {
	waitFor(context.Background(), func() bool {
		select {
		case <-done:
			exited = true
			return true
		default:
			return d.ready()
		}
	})
	return exited
}

// clearFaults ends all faults of the store, the upstreams and the proxies.
func (r *run) clearFaults() {
	r.site.Store.SetDown(false)
	for _, l := range r.links {
		l.clear()
	}
	for i := range r.upstreams() {
		u, p := r.upstream(i)
		u.SetFaults(site.Faults{})
		p.setMode(transparent)
		r.endDeparture(u.Name)
		if r.site.IsRunning(u.Name) {
			r.site.Register(u, "in_service")
		}
	}
}
