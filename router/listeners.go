package router

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/sync/semaphore"

	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/platform"
)

// provisionListeners opens the listeners for callers, readiness checks and metrics.
func (a *Attached) provisionListeners() error {
	s := a.settings.Load()
	report := a.limitReporter("callers")
	front := platform.NewCallerHandler(platform.CallerHandlerOptions{
		Runner: a.runner, View: a.watcher.View, Origin: a.findOrigin, Begin: a.beginAnswers, Bodies: a.bodies, Body: frontend.GrowingBody, BodyRefused: func() { report.Report(frontend.LimitBodies) },
		InFlight: semaphore.NewWeighted(s.Limits.MaxInFlight()), InFlightRefused: func() { report.Report(frontend.LimitRequests) },
		Quota: a.teamLimits, Draining: a.Draining, EndsSoon: a.endsSoon, RecordDeadline: a.estimateCallerWait, Outcomes: a.metrics.Instruments,
		BodyTimeout: s.Callers.BodyTimeout, WriteTimeout: s.Callers.WriteTimeout, Logger: a.logger,
	})
	a.callersListener = frontend.NewListener(frontend.ListenerOptions{
		Name: "callers", Address: s.Callers.Listen, MaxConns: maxCallerConns(s.Limits.Descriptors), ReceiveBytes: s.Limits.ReceiveBytes(), Handler: front,
		Heads: frontend.NewHeadBudget(s.Limits.HeadsBytes()), Refuse: http.HandlerFunc(front.RefuseHead), Keep: platform.RefusalHeaders, Report: report,
	})
	a.readyListener = a.shortListener("ready", s.Ready.Listen, a.readinessHandler())
	listeners := []*frontend.Listener{a.callersListener, a.readyListener}
	if s.Metrics.Listen != "" {
		a.metricsListener = a.shortListener("metrics", s.Metrics.Listen, a.metricsHandler())
		listeners = append(listeners, a.metricsListener)
	}
	for _, l := range listeners {
		if err := l.Listen(); err != nil {
			return err
		}
	}
	return nil
}

// maxCallerConns returns the number of callers' connections for a number of file descriptors. A request takes two.
func maxCallerConns(descriptors int) int {
	const reserved = 384 // for files, the store, upstreams and the other listeners
	return max(16, (descriptors-reserved)/2)
}

// limitReporter returns a reporter of the clients' requests that a listener ends.
func (a *Attached) limitReporter(listener string) *frontend.LimitReporter {
	return frontend.NewLimitReporter(listener, a.metrics.Instruments, a.logger)
}

// statusHandler returns a handler that answers with a status only.
func statusHandler(status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
}

// shortListener returns a listener for short requests, which the platform sends.
func (a *Attached) shortListener(name, address string, h http.Handler) *frontend.Listener {
	const (
		maxConns     = 32
		timeout      = 3 * time.Second
		receiveBytes = 256 << 10
		headsBytes   = 2 << 20 // the largest head that callers may send
	)
	return frontend.NewListener(frontend.ListenerOptions{
		Name: name, Address: address, MaxConns: maxConns, Timeout: timeout, ReceiveBytes: receiveBytes, Short: true, Handler: h,
		Heads: frontend.NewSingleHeadBudget(headsBytes), Refuse: statusHandler(http.StatusServiceUnavailable), Report: a.limitReporter(name),
	})
}

// readinessHandler answers the readiness checks of the platform's load balancer.
func (a *Attached) readinessHandler() http.Handler {
	r := httprouter.New()
	r.GET(platform.PathReady, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !a.watcher.Ready() || a.Draining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// metricsHandler serves the metrics page.
func (a *Attached) metricsHandler() http.Handler {
	r := httprouter.New()
	page := a.metrics.Handler()
	r.HandlerFunc(http.MethodGet, "/metrics", func(w http.ResponseWriter, req *http.Request) {
		a.metrics.SetAnswersHeld(a.answers.Held())
		page.ServeHTTP(w, req)
	})
	return r
}
