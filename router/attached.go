package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/internal/supervise"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/roles"
	"github.com/corianderturn/corianderturn/settings"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Attached is a daemon on a platform of its users: the same core as Router, fed
// with the platform's configuration and upstreams. What Router has beside it to
// agree with other daemons (claims, stewards, the peers' mesh, signed bundles) is
// the platform's there.
type Attached struct {
	settings atomic.Pointer[settings.Attached]
	logger   log.Interface
	seed     uint64
	metrics  *telemetry.Metrics
	holder   *board.Holder
	inflight *board.Inflight
	budgets  *retry.Budgets
	watcher  *fleet.Watcher
	patience *fleet.Patience
	work     *workByService
	// finished and prefilled bound what is learned from others (see learn).
	finished, prefilled *rate.Limiter
	store               *platform.Store
	group               *platform.Group
	// relay answers other daemons from what this one read of the store; nil where the
	// settings name no address.
	relay    *relay.Server
	exchange *relay.Exchange
	feeds    *relay.Store
	journal  *relay.Journal
	roster   *relay.Roster
	asked    *relay.Asked
	samples  *relay.Samples
	time     *relay.TimeKeeper
	// borrower asks other daemons for retries; nil where the settings name no address.
	borrower *relay.Borrower
	roles    *roles.Runner
	census   *census
	limits   *limits
	// upstreamLimits are the rate limits that upstreams name.
	upstreamLimits *upstreamLimits
	// quarantine tells under which requests upstreams ended.
	quarantine *quarantine.Keeper
	runner     *request.Runner
	callers    *frontend.Listener
	ready      *frontend.Listener
	// scrapes serves the metrics page; nil where the settings name no address.
	scrapes *frontend.Listener
	tree    *supervise.Tree
}

// NewAttached builds a daemon and opens its listeners; it starts nothing.
func NewAttached(s *settings.Attached, logger log.Interface) (*Attached, error) {
	a := &Attached{logger: logger, seed: s.Policy.Seed}
	a.settings.Store(s)
	if a.seed == 0 {
		a.seed = rand.Uint64()
	}
	a.bound()
	for _, step := range []func() error{a.provisionState, a.provisionFeeds, a.provisionRequests, a.provisionRoles, a.provisionListeners} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	a.tree = supervise.New(logger, supervise.DefaultLimits())
	a.tree.Add(a.watcher, a.callers, a.ready, a.roles, a.census, a.quarantine, a.limits, a.upstreamLimits)
	if a.scrapes != nil {
		a.tree.Add(a.scrapes)
	}
	if a.relay != nil {
		a.tree.Add(a.relay, a.exchange)
	}
	return a, nil
}

// memoryShare is how much of the instance's memory the heap may take; the rest is
// stacks, buffers of the kernel and the program itself.
const memoryShare = 0.7

// bound fits the process to its instance. Without a limit the collector lets the
// heap double between two runs, and a burst then ends the process.
func (a *Attached) bound() {
	const megabyte = 1 << 20
	debug.SetMemoryLimit(int64(float64(a.settings.Load().Limits.MemoryMB) * memoryShare * megabyte))
	runtime.GOMAXPROCS(a.settings.Load().Limits.Cores)
}

func (a *Attached) provisionState() (err error) {
	a.holder = board.NewHolder(board.New(board.Config{EjectUnanswered: true, EjectMax: ejectMax, DataCentre: a.settings.Load().Instance.DataCentre}))
	a.inflight = board.NewInflight()
	a.patience = fleet.NewPatience()
	a.work = newWorkByService()
	a.census = &census{a: a, began: time.Now()}
	a.finished, a.prefilled = newLearning(), newLearning()
	a.budgets = retry.NewBudgets(time.Now(), retryBounds(a.settings.Load()))
	a.limits = newLimits(a)
	if a.metrics, err = telemetry.NewMetrics(); err != nil {
		return err
	}
	a.upstreamLimits = a.newUpstreamLimits()
	return nil
}

// Bounds of the connections to the store and to upstreams. A silent connection is
// given up after unackedTime when bytes are on their way, and after probeTime for
// each of the probes and once more when none are. A reading that waits at the store
// is such a one: with three probes a version that came meanwhile was in force too
// late. It is a few times what a path of milliseconds needs, and short
// beside the users' deadlines.
const (
	// storeConns is one for each call that may be open at once: the readings of both feeds
	// and of the quarantine, a renewal of the lease, a look for its members, an append.
	storeConns  = 6
	dialTime    = 100 * time.Millisecond
	probeTime   = time.Second
	storeProbes = 1
	probes      = 3
	unackedTime = 1500 * time.Millisecond
	// idleTime is how long an unused connection is kept: upstreams close theirs after
	// seconds, and a request that meets the close may have run for all one knows.
	idleTime    = 900 * time.Millisecond
	perUpstream = 64
	idleConns   = 8
)

// ejectMax bounds the ejection of an upstream: a cut of seconds is to be followed by
// few seconds without its upstreams.
const ejectMax = 2 * time.Second

// readMargin is kept of the contact time for the next reading, which does not wait.
const readMargin = 200 * time.Millisecond

func (a *Attached) storeClient() *http.Client {
	const idle = 10 * time.Second
	return upstream.NewHTTPClientWith(upstream.Transport{Dial: dialTime, Idle: idle, KeepAlive: probeTime, Probes: storeProbes, Unacked: unackedTime, PerHost: storeConns, IdlePerHost: storeConns})
}

func upstreamClient() *http.Client {
	return upstream.NewHTTPClientWith(upstream.Transport{Dial: dialTime, Idle: idleTime, KeepAlive: probeTime, Probes: probes, Unacked: unackedTime, PerHost: perUpstream, IdlePerHost: idleConns})
}

func (a *Attached) adopt(now time.Time, v fleet.View) {
	a.holder.Update(func(b *board.Board) { b.SetVersion(now, v.Bundle) })
	if v.Config != nil {
		a.metrics.Configuration(v.Config.Version)
	}
}

// The bounds of one request's steps. An engine reads a prompt of a few thousand
// tokens in a tenth of a second; the bounds leave room for a full queue and stay
// under the life of a reservation. A gap of stallTime is several times what callers
// take for a late event and less than what makes them leave.
const (
	reserveTime = 150 * time.Millisecond
	prefillTime = 1200 * time.Millisecond
	importTime  = 1500 * time.Millisecond
	stallTime   = 1200 * time.Millisecond
	maxAttempts = 3
	// callPatience leaves room for all but one in a hundred answers of a replica that
	// is well, and time for another one before the users' deadlines.
	callPatience = 1.5
	maxRefusals  = 1000 // the wait for a slot is bounded by time
)

func (a *Attached) provisionRequests() error {
	hc := upstreamClient()
	self := wire.NodeID{Instance: a.settings.Load().Instance.Name, Incarnation: uint64(time.Now().UnixNano())}
	a.runner = request.NewRunner(request.Options{
		Owner:       engineapi.Owner{Instance: self.Instance, Incarnation: self.Incarnation},
		DataCentre:  a.settings.Load().Instance.DataCentre,
		Snapshot:    a.holder.Snapshot,
		Policy:      countedPolicies(a.metrics),
		Inflight:    a.inflight,
		Engines:     platform.NewEngines(hc, a.upstreamLimits),
		Services:    platform.NewServices(hc, a.upstreamLimits),
		Observer:    attachedObserver{observer{a.holder, a.inflight}, a},
		RetryBudget: a.retryBudget,
		Metrics:     attachedMetrics{requestMetrics{a.metrics.Instruments}},
		Seed:        a.seed,
		ChunkTokens: a.chunkTokens,
		Limits: request.Limits{
			MaxAttempts: maxAttempts, MaxRefusals: maxRefusals, PrefillRepeatable: true, Patient: true, CountArrivals: true, CallPatience: callPatience, RetryServerErrors: true,
			Reserve: reserveTime, Prefill: prefillTime, Import: importTime, Stall: stallTime,
		},
		UpstreamLimits: a.upstreamLimits,
		Quarantine:     a.quarantine,
		Logger:         a.logger,
	})
	return nil
}

func (a *Attached) provisionListeners() error {
	s := a.settings.Load()
	front := platform.NewFront(platform.FrontOptions{
		Runner: a.runner, View: a.watcher.View, Quota: a.limits, Draining: a.Draining, Waited: a.waited, Outcomes: a.metrics.Instruments,
		BodyTimeout: s.Callers.BodyTimeout, WriteTimeout: s.Callers.WriteTimeout, Logger: a.logger,
	})
	const reserved = 264 // descriptors for files, the store and upstreams
	conns := max(16, (s.Limits.Descriptors-reserved)/2)
	a.callers = frontend.NewListener("callers", s.Callers.Listen, conns, front, a.logger)
	a.ready = frontend.NewListener("ready", s.Ready.Listen, idleConns, a.probes(), a.logger)
	listeners := []*frontend.Listener{a.callers, a.ready}
	if s.Metrics.Listen != "" {
		a.scrapes = frontend.NewListener("metrics", s.Metrics.Listen, idleConns, a.metricsPage(), a.logger)
		listeners = append(listeners, a.scrapes)
	}
	for _, l := range listeners {
		if err := l.Listen(); err != nil {
			return err
		}
	}
	return nil
}

func (a *Attached) waited(route string, deadline time.Duration) time.Duration {
	return a.patience.Waited(time.Now(), route, deadline)
}

// probes serves the platform's balancer.
func (a *Attached) probes() http.Handler {
	r := httprouter.New()
	r.GET(platform.PathReady, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !a.watcher.Ready() || a.Draining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (a *Attached) metricsPage() http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, "/metrics", a.metrics.Handler())
	return r
}

// Reload takes settings that were read again, or why they could not be. What can
// change while the daemon runs is changed: the retry budgets, the bounds of limits and the grace. Everything
// else holds from the next start on.
func (a *Attached) Reload(s *settings.Attached, err error) {
	if err != nil {
		a.logger.WithError(err).Error("settings not reloaded: those in force stay")
		return
	}
	before := a.settings.Load()
	a.settings.Store(s)
	a.budgets.Set(time.Now(), retryBounds(s))
	a.logger.WithField("changed", !reflect.DeepEqual(before, s)).Info("settings reloaded")
}

// Draining says that the daemon is on its way to the end.
func (a *Attached) Draining() bool { return a.callers.Draining() }

// CallersAddress returns the address of the callers' listener.
func (a *Attached) CallersAddress() net.Addr { return a.callers.Addr() }

// exitTime is kept of the grace for the last answers and the exit itself.
const exitTime = 500 * time.Millisecond

// Run serves until ctx ends, then drains within the grace: the daemon reports
// itself not ready, asks callers to reconnect elsewhere, finishes what it has, and
// ends what is left at the limit by an honest answer.
func (a *Attached) Run(ctx context.Context) error {
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { failed <- a.tree.Run(treeCtx) })
	defer wg.Wait()
	defer a.runner.Close()
	a.logger.WithFields(log.Fields{"instance": a.settings.Load().Instance.Name, "callers": a.callers.Addr().String()}).Info("started")
	select {
	case err := <-failed:
		return errors.Wrap(err, "a subsystem failed for good")
	case <-ctx.Done():
	}
	a.drain()
	stop()
	a.logger.Info("stopped")
	return nil
}

func (a *Attached) drain() {
	a.logger.WithField("grace_ms", a.settings.Load().Drain.Grace.Milliseconds()).Info("draining")
	limit, cancel := context.WithTimeout(context.Background(), a.settings.Load().Drain.Grace-exitTime)
	defer cancel()
	defer context.AfterFunc(limit, a.runner.EndFlight)()
	if err := a.callers.Drain(limit, a.settings.Load().Drain.Notice); err != nil {
		a.logger.WithError(err).Warn("drained at its limit")
	}
	if err := a.runner.Drain(limit); err != nil {
		a.logger.WithError(err).Warn("requests ended by the limit")
	}
}
