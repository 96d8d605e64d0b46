package router

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
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
		Engines: platform.NewOrders(upstreamClient(), a.settings.Load().Instance.Name, a.upstreamLimits),
		View:    a.watcher.View,
		Work:    a.work.of,
		TTL:     leaseTTL,
		Quiet:   a.settings.Load().Orders.Quiet,
		Every:   leaseEvery,
		Call:    orderCall,

		Bootstrap: bootstrap,
		Candidate: a.candidate,
		Joined:    a.census.noteJoin,
		Logger:    a.logger,
		Now:       time.Now,
	})
	return nil
}

// candidate says whether this daemon may come to hold the lease: those that read the
// store are the ones that hear most of the others.
func (a *Attached) candidate() bool { return a.feeds == nil || a.feeds.Reads() }

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
	v, tokens := o.a.watcher.View(), p.PromptTokens-p.CachedTokens
	if v == nil || p.AheadTokens != 0 || tokens <= 0 {
		return
	}
	service := v.Members[upstream].Service
	o.a.work.of(service).Prefilled(now, tokens, p.Took)
	o.a.saw(now, estimate.Sample{Model: service, ReadPerToken: p.Took / time.Duration(tokens)})
}

func (o attachedObserver) PrefillLost(now time.Time, model string) {
	o.a.saw(now, estimate.Sample{Model: model, ReadLost: true})
}

func (o attachedObserver) Finished(now time.Time, f request.FinishObservation) {
	o.observer.Finished(now, f)
	o.a.work.of(f.Model).Finished(now, roles.Sample{Prompt: f.PromptTokens, Answer: f.AnswerTokens, Held: f.Held})
	o.a.saw(now, estimate.Sample{
		Model: f.Model, PromptTokens: f.PromptTokens, ExpectedTokens: f.ExpectedTokens, AnswerTokens: f.AnswerTokens,
		Held: f.Held, PerToken: f.PerToken,
	})
}

// saw passes on what this daemon has seen of engines.
func (a *Attached) saw(now time.Time, s estimate.Sample) {
	if a.samples != nil {
		a.samples.Saw(now, s)
	}
}

// What others have seen is taken at most at learnRate a second, with learnBurst at once.
// Estimates rest on the last two hundred samples or so: those of a whole fleet would all be
// of the last second, and a burst, in which every prompt waits for others, would double
// what a prompt is taken to cost. At this rate they are of the last half minute.
const (
	learnRate  = 6
	learnBurst = 24
)

// newLearning returns the limiter of samples of one kind.
func newLearning() *rate.Limiter { return rate.NewLimiter(learnRate, learnBurst) }

// learn takes what other daemons have seen of engines, as if this one had.
func (a *Attached) learn(list []estimate.Sample) {
	now := time.Now()
	for _, s := range list {
		if s.ReadLost || s.ReadPerToken > 0 {
			a.runner.LearnPrefill(now, s.Model, s.ReadLost)
		}
	}
	list = slices.DeleteFunc(list, func(s estimate.Sample) bool {
		if s.Held > 0 {
			return !a.finished.AllowN(now, 1)
		}
		return !a.prefilled.AllowN(now, 1)
	})
	for _, s := range list {
		work := a.work.of(s.Model)
		work.Finished(now, roles.Sample{Prompt: s.PromptTokens, Answer: s.AnswerTokens, Held: s.Held})
		work.Prefilled(now, 1, s.ReadPerToken)
		a.runner.LearnAnswer(now, s.Model, s.AnswerTokens, s.ExpectedTokens)
	}
	a.holder.Update(func(b *board.Board) {
		for _, s := range list {
			b.Shown(now, s.Model, s.PerToken, s.ReadPerToken)
		}
	})
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
