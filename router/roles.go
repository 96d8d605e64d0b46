package router

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/roles"
)

// Timing of the lease that allows its holder to order engines to change roles. The lease is renewed
// several times within its TTL, so that one failed renewal does not lose it.
const (
	leaseTTL      = 3 * time.Second
	leaseInterval = 700 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// bootstrapDelay is the time after the first start of the whole system in which no
	// orders are sent. Within about two renewals one daemon holds the lease, and it must
	// then have held the lease for leaseTTL before it sends orders.
	bootstrapDelay = 5 * time.Second
)

// provisionRoles creates the runner that orders engines between the prefill and decode roles.
func (a *Attached) provisionRoles() error {
	var bootstrap time.Duration
	if a.settings.Load().Orders.Bootstrap {
		bootstrap = bootstrapDelay
	}
	a.roles = roles.NewRunner(roles.Options{
		Group:           a.group,
		Engines:         platform.NewEngineOrders(a.directClient(), a.settings.Load().Instance.Name, a.upstreamLimits).WithAvailability(a.statements).WithAnswers(a.answers, a.answerLimited),
		View:            a.watcher.View,
		Registrations:   a.engineRegistrations,
		Costs:           a.costs.get,
		TTL:             leaseTTL,
		QuietPeriod:     a.settings.Load().Orders.QuietPeriod,
		RenewalInterval: leaseInterval,
		CallTimeout:     orderTimeout,

		Bootstrap: bootstrap,
		Candidate: a.leaseCandidate,
		OnJoin:    a.daemonCounter.noteGeneration,
		Logger:    a.logger,
		Now:       time.Now,
	})
	return nil
}

// engineRegistrations returns the registrations of a service, with Draining set where the engine itself has
// said that it leaves. Ordered to another role, it would only lose its work.
func (a *Attached) engineRegistrations(service string) []fleet.Registration {
	list := a.watcher.Registrations(service)
	for i := range list {
		m := &list[i]
		m.Draining = m.Draining || a.statements.table.State(m.Name, m.Born).Leaving
	}
	return list
}

// leaseCandidate reports whether this daemon may acquire the lease. Only daemons that
// read the store themselves may, since they get the most samples from other daemons.
func (a *Attached) leaseCandidate() bool { return a.feeds == nil || a.feeds.ReadsStore() }

// costsByService holds the estimated costs of the completions of each service. It is safe for
// concurrent use.
type costsByService struct {
	mu        sync.Mutex
	byService map[string]*roles.CostEstimator
}

func newCostsByService() *costsByService {
	return &costsByService{byService: map[string]*roles.CostEstimator{}}
}

// get returns the cost estimator of a service and creates it if needed.
func (w *costsByService) get(service string) *roles.CostEstimator {
	w.mu.Lock()
	defer w.mu.Unlock()
	costs := w.byService[service]
	if costs == nil {
		costs = roles.NewCostEstimator()
		w.byService[service] = costs
	}
	return costs
}

// classStream is the metric label of the latencies of all streams. A label for each route
// would make the number of time series grow with the configuration.
const classStream bundle.Class = "stream"

// attachedMetrics records the latencies of tokens under classStream instead of the request's
// class.
type attachedMetrics struct{ requestMetrics }

func (m attachedMetrics) FirstToken(_ bundle.Class, wait time.Duration) {
	m.requestMetrics.FirstToken(classStream, wait)
}

func (m attachedMetrics) NextToken(_ bundle.Class, wait time.Duration) {
	m.requestMetrics.NextToken(classStream, wait)
}

// attachedObserver is an observer that also estimates the costs of completions and sends its
// samples to other daemons.
type attachedObserver struct {
	observer
	a *Attached
}

// Unanswered records that an upstream did not answer in time, unless the call went, or would have
// gone, through another daemon: that says little about the upstream, and a daemon that is cut off
// would leave out one engine after the other.
func (o attachedObserver) Unanswered(now time.Time, upstream string, reached bool) {
	if reg, ok := o.a.watcher.Registration(upstream); ok && o.a.paths.NeedsDetour(now, reg.Address) {
		return
	}
	o.observer.Unanswered(now, upstream, reached)
}

// Leaving records that another upstream answered at the address of an upstream, or that it has started
// again: it gets no requests until it registers. What an upstream says of itself goes to statements.
func (o attachedObserver) Leaving(now time.Time, upstream string) {
	o.holder.Update(func(b *board.Board) { b.MarkLeaving(now, upstream, board.FromAddress) })
}

func (o attachedObserver) Prefilled(now time.Time, upstream string, p request.PrefillObservation) {
	o.observer.Prefilled(now, upstream, p)
	tokens := p.PromptTokens - p.CachedTokens
	if p.AheadTokens != 0 || tokens <= 0 {
		return
	}
	reg, ok := o.a.watcher.Registration(upstream)
	if !ok {
		return
	}
	service := reg.Service
	o.a.costs.get(service).AddPrefill(now, tokens, p.Took)
	o.a.addSample(now, estimate.Sample{Model: service, PrefillPerToken: p.Took / time.Duration(tokens)})
}

func (o attachedObserver) PrefillTimedOut(now time.Time, model string) {
	o.a.addSample(now, estimate.Sample{Model: model, PrefillTimedOut: true})
}

func (o attachedObserver) Finished(now time.Time, f request.FinishObservation) {
	o.observer.Finished(now, f)
	o.a.costs.get(f.Model).AddCompletion(now, roles.Sample{Prompt: f.PromptTokens, Answer: f.AnswerTokens, DecodeTime: f.Held})
	o.a.addSample(now, estimate.Sample{
		Model: f.Model, PromptTokens: f.PromptTokens, ExpectedTokens: f.ExpectedTokens, AnswerTokens: f.AnswerTokens,
		Held: f.Held, PerToken: f.PerToken,
	})
}

// addSample queues a sample of an engine's performance to be sent to other daemons.
func (a *Attached) addSample(now time.Time, s estimate.Sample) {
	if a.samples != nil {
		a.samples.AddOwn(now, s)
	}
}

// Rate limit of the samples that are used from other daemons, in samples a second.
// Estimates use about the last 200 samples. Without a limit, these would all be from the
// last second in a large fleet, and a burst of requests, in which every prompt waits for
// others, would double the estimated cost of a prompt. At learnRate the last 200 samples
// cover half a minute.
const (
	learnRate  = 6
	learnBurst = 24
)

// newSampleLimiter returns the rate limiter for one kind of samples of other daemons.
func newSampleLimiter() *rate.Limiter { return rate.NewLimiter(learnRate, learnBurst) }

// learnSamples updates this daemon's estimates from samples of other daemons.
func (a *Attached) learnSamples(list []estimate.Sample) {
	now := time.Now()
	for _, s := range list {
		if s.PrefillTimedOut || s.PrefillPerToken > 0 {
			a.runner.RecordPrefill(now, s.Model, s.PrefillTimedOut)
		}
	}
	list = slices.DeleteFunc(list, func(s estimate.Sample) bool {
		if s.Held > 0 {
			return !a.completionSampleLimiter.AllowN(now, 1)
		}
		return !a.prefillSampleLimiter.AllowN(now, 1)
	})
	for _, s := range list {
		costs := a.costs.get(s.Model)
		costs.AddCompletion(now, roles.Sample{Prompt: s.PromptTokens, Answer: s.AnswerTokens, DecodeTime: s.Held})
		costs.AddPrefill(now, 1, s.PrefillPerToken)
		a.runner.RecordAnswer(now, s.Model, s.AnswerTokens, s.ExpectedTokens)
	}
	a.holder.Update(func(b *board.Board) {
		for _, s := range list {
			b.AddRemoteSample(now, s.Model, s.PerToken, s.PrefillPerToken)
		}
	})
}

// chunkTokens returns the number of tokens in one event of a service's streams.
func (a *Attached) chunkTokens(service string) int {
	if v := a.watcher.View(); v != nil && v.Config != nil {
		if e := v.Config.Services[service].Engine; e != nil {
			return e.EventTokens
		}
	}
	return 1
}
