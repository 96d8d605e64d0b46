package router

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/roles"
)

// The lease of those who order engines. It is renewed several times in its life, so
// that one lost call does not end it.
const (
	leaseTTL   = 3 * time.Second
	leaseEvery = 700 * time.Millisecond
	orderCall  = 600 * time.Millisecond
	// firstOrders is how long after a first start of the whole system orders open: the
	// store deals the lease out to its last holder within about two renewals, and that
	// one must have held it for leaseTTL by then.
	firstOrders = 5 * time.Second
)

func (a *Attached) provisionRoles() error {
	var bootstrap time.Duration
	if a.settings.Load().Orders.Bootstrap {
		bootstrap = firstOrders
	}
	a.roles = roles.NewRunner(roles.Options{
		Group:   a.group,
		Engines: platform.NewOrders(upstreamClient(), a.settings.Load().Instance.Name),
		View:    a.watcher.View,
		Work:    a.work.of,
		TTL:     leaseTTL,
		Quiet:   a.settings.Load().Orders.Quiet,
		Every:   leaseEvery,
		Call:    orderCall,

		Bootstrap: bootstrap,
		Joined:    a.countDaemons,
		Logger:    a.logger,
		Now:       time.Now,
	})
	return nil
}

// countTime is how long after its start a daemon counts the others: all start
// together, and later ones are few.
const countTime = 10 * time.Second

// countDaemons takes the group's generation, which grows with each daemon that joins
// and so is at least their number soon after the start. The shared slack of retries
// is divided by it; too high a count only makes this daemon's part smaller.
//
// What goes wrong with a fixed number: ten times as many daemons, each with the part
// of a tenth, send ten times the retries that upstreams are to be spared.
func (a *Attached) countDaemons(generation uint64) {
	known := a.daemons.Load()
	if time.Since(a.started) > countTime && known > 0 || int64(generation) <= known {
		return
	}
	a.daemons.Store(int64(generation))
	a.setBudgets()
}

// slackShare is how much of the shared slack is divided; the rest is for daemons that
// restart and have forgotten what they sent within the window. Assumed.
const slackShare = 0.8

// setBudgets divides the shared retries by the daemons that are known of.
func (a *Attached) setBudgets() {
	r := a.settings.Load().Retries
	daemons := max(float64(r.Daemons), float64(a.daemons.Load())/slackShare)
	a.budgets.Set(r.Ratio, r.Slack/daemons, r.Window)
}

// workByService learns the costs of each service's completions. It is safe for
// concurrent use.
type workByService struct {
	mu sync.Mutex
	by map[string]*roles.Work
}

func newWorkByService() *workByService { return &workByService{by: map[string]*roles.Work{}} }

func (w *workByService) of(service string) *roles.Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	work := w.by[service]
	if work == nil {
		work = roles.NewWork()
		w.by[service] = work
	}
	return work
}

// streams labels the latencies of all streams: a label for each route would grow with
// the configuration.
const streams bundle.Class = "stream"

// attachedMetrics labels by the kind of route.
type attachedMetrics struct{ requestMetrics }

func (m attachedMetrics) FirstToken(_ bundle.Class, wait time.Duration) {
	m.requestMetrics.FirstToken(streams, wait)
}

func (m attachedMetrics) NextToken(_ bundle.Class, wait time.Duration) {
	m.requestMetrics.NextToken(streams, wait)
}

// attachedObserver also learns what completions cost.
type attachedObserver struct {
	observer
	a *Attached
}

func (o attachedObserver) Prefilled(now time.Time, upstream string, p request.PrefillObservation) {
	o.observer.Prefilled(now, upstream, p)
	if v := o.a.watcher.View(); v != nil && p.AheadTokens == 0 {
		o.a.work.of(v.Members[upstream].Service).Prefilled(now, p.PromptTokens-p.CachedTokens, p.Took)
	}
}

func (o attachedObserver) Finished(now time.Time, f request.FinishObservation) {
	o.observer.Finished(now, f)
	o.a.work.of(f.Model).Finished(now, roles.Sample{Prompt: f.PromptTokens, Answer: f.AnswerTokens, Held: f.Held})
}

// chunkTokens returns how many tokens one event of a service's streams holds.
func (a *Attached) chunkTokens(service string) int {
	if v := a.watcher.View(); v != nil && v.Config != nil {
		if e := v.Config.Services[service].Engine; e != nil {
			return e.EventTokens
		}
	}
	return 1
}
