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
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/admission"
	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/internal/durablelog"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/supervise"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/origin"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/reach"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/roles"
	"github.com/corianderturn/corianderturn/settings"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Attached is a daemon that runs on a platform that its users operate. It handles requests
// with the same request.Runner as Router, but takes its configuration and upstreams from
// the platform's store. It has no idempotency claims, stewards, peer mesh or signed bundles:
// what Router does with these is left to the platform.
type Attached struct {
	settings atomic.Pointer[settings.Attached]
	logger   log.Interface
	seed     uint64
	metrics  *telemetry.Metrics
	// holder holds the state of the upstreams, and inflight this daemon's requests at them.
	holder   *board.Holder
	inflight *board.Inflight
	// connect opens connections to upstreams.
	connect upstream.DialFunc
	// paths holds which upstreams this daemon can connect to, and monitor records it. detours
	// connects to the others through other daemons, and carrier carries connections for these;
	// both are nil when the settings have no relay address.
	paths   *reach.Paths
	monitor *reach.Monitor
	detours *reach.Client
	carrier *reach.Server
	// answers is the memory for what upstreams send.
	answers *answers.Budget
	bodies  *answers.Budget
	// budgets bounds retries for each model and plain service.
	budgets *retry.Budgets
	// hedges bounds the second dispatches of slow calls to each plain service.
	hedges *retry.Budgets
	// watcher reads the configuration and the registrations of upstreams from the store.
	watcher *fleet.Watcher
	// callerDeadlines estimates how long callers that retry after a refusal have waited.
	callerDeadlines *fleet.RetryDetector
	// costs holds the estimated costs of completions.
	costs *costsByService
	// completionSampleLimiter and prefillSampleLimiter limit the rate at which this daemon
	// uses samples (measurements of engines) from other daemons; see learnSamples.
	completionSampleLimiter, prefillSampleLimiter *rate.Limiter
	// store is the platform's store, and storeEpochs its epoch. group is the list of daemons that the
	// store keeps.
	store       *platform.Store
	storeEpochs *logpos.Tracker
	group       *platform.Group
	// relay sends other daemons the records that this one has read from the store; nil when
	// the settings have no relay address.
	relay *relay.Server
	// The fields from exchange to coordinator are also nil when the settings have no relay
	// address. The reader of a data centre is the daemon that reads the store for the others
	// there, its followers (see package relay).
	//
	// exchange shares known daemons, samples and rate limits with the readers of other data
	// centres.
	exchange *relay.Exchange
	// feeds reads the store, or asks the reader.
	feeds *relay.Store
	// feedCache caches the records that feeds has read.
	feedCache *relay.FeedCache
	// roster holds the known daemons and elects the reader.
	roster *relay.Roster
	// followerActivity records when followers last read through this daemon.
	followerActivity *relay.FollowerActivity
	// samples collects measurements of engines that are to be sent to other daemons.
	samples *relay.Samples
	// accrualSender sends the reader the spans of time for which the reader accrues this
	// daemon's share of rate limits (see package quota).
	accrualSender *relay.AccrualSender
	// retryBorrower borrows retries from other daemons.
	retryBorrower *relay.Borrower
	// admission lets this daemon's requests wait for turns of the coordinators of their pools, and
	// coordinator hands out the turns of the pools that this daemon coordinates.
	admission   *admission.Client
	coordinator *admission.Server
	// roles orders engines to change roles while this daemon holds the lease that permits it.
	roles *roles.Runner
	// daemonCounter counts the daemons that share the retry budget.
	daemonCounter *daemonCounter
	// teamLimits enforces the rate limits of teams.
	teamLimits *teamLimits
	// upstreamLimits enforces the rate limits that upstreams announce in their answers.
	upstreamLimits *upstreamLimits
	// statements holds what upstreams state about their own availability.
	statements *statements
	// quarantine records the requests during which upstreams crashed, and refuses a request
	// that has crashed several.
	quarantine    *quarantine.Keeper
	quarantineLog *durablelog.Log[quarantine.Record]
	// origins records at which software versions streams began.
	origins   *origin.Keeper
	originLog *durablelog.Log[origin.Record]
	// engines makes calls to engines.
	engines         *platform.Engines
	runner          *request.Runner
	drainBegan      atomic.Pointer[time.Time] // nil before
	callersListener *frontend.Listener
	readyListener   *frontend.Listener
	// metricsListener serves the metrics page; nil when the settings have no metrics address.
	metricsListener *frontend.Listener
	tree            *supervise.Tree
}

// NewAttached builds a daemon and opens its listeners. Call Run to start it.
func NewAttached(s *settings.Attached, logger log.Interface) (*Attached, error) {
	return newAttached(s, logger, upstreamTransport().Dialer())
}

// newAttached is NewAttached with the function that opens connections to upstreams.
func newAttached(s *settings.Attached, logger log.Interface, connect upstream.DialFunc) (*Attached, error) {
	a := &Attached{logger: logger, seed: s.Policy.Seed, connect: connect}
	a.settings.Store(s)
	if a.seed == 0 {
		a.seed = rand.Uint64()
	}
	a.limitResources()
	for _, step := range []func() error{a.provisionState, a.provisionFeeds, a.provisionRequests, a.provisionRoles, a.provisionListeners} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	a.tree = supervise.New(logger, supervise.DefaultLimits())
	a.tree.Add(a.watcher, a.callersListener, a.readyListener, a.roles, a.daemonCounter, a.quarantine, a.quarantineLog, a.origins, a.originLog, a.teamLimits, a.upstreamLimits)
	if a.metricsListener != nil {
		a.tree.Add(a.metricsListener)
	}
	if a.relay != nil {
		a.tree.Add(a.relay, a.exchange)
	}
	return a, nil
}

const (
	// heapShare is the fraction of the instance's memory that is set as the Go memory limit at the most. The rest is
	// a reserve for stacks, kernel buffers and the program itself.
	heapShare = 0.7
	// programBytes is what the pages of the program and the stacks of its threads hold. A small instance has more of
	// it than the reserve leaves beside the kernel's buffers.
	programBytes = 28 << 20
)

// limitMemory sets the Go memory limit of an instance with so many megabytes; see memoryLimit.
func limitMemory(megabytes int, received int64) {
	debug.SetMemoryLimit(memoryLimit(megabytes, received))
}

// memoryLimit returns the Go memory limit in bytes. received is the memory that the kernel may hold for what callers
// have sent, in bytes.
func memoryLimit(megabytes int, received int64) int64 {
	const megabyte = 1 << 20
	share := int64(float64(megabytes) * heapShare * megabyte)
	rest := int64(megabytes)*megabyte - programBytes - received
	return max(min(share, rest), share/2)
}

// limitResources sets the Go memory limit and GOMAXPROCS from the instance's limits.
// Without a memory limit the garbage collector lets the heap double between two cycles, so
// that the process runs out of memory in a burst of requests.
func (a *Attached) limitResources() {
	limits := a.settings.Load().Limits
	limitMemory(limits.MemoryMB, limits.ReceiveBytes())
	runtime.GOMAXPROCS(a.settings.Load().Limits.Cores)
}

// provisionState creates the state that the subsystems share.
func (a *Attached) provisionState() (err error) {
	a.holder = board.NewHolder(board.New(board.Config{
		EjectUnanswered: true, EjectMax: maxEjection, DataCentre: a.settings.Load().Instance.DataCentre,
		Stated: func(name string, incarnation int64) availability.State {
			return a.statements.table.State(name, incarnation)
		},
	}))
	a.inflight = board.NewInflight()
	a.answers = answers.NewBudget(a.settings.Load().Limits.AnswersBytes())
	a.bodies = answers.NewBudget(a.settings.Load().Limits.BodiesBytes())
	a.callerDeadlines = fleet.NewRetryDetector()
	a.costs = newCostsByService()
	a.daemonCounter = &daemonCounter{a: a, startedAt: time.Now()}
	a.completionSampleLimiter, a.prefillSampleLimiter = newSampleLimiter(), newSampleLimiter()
	a.budgets = retry.NewBudgets(time.Now(), retryBounds(a.settings.Load()))
	a.hedges = retry.NewBudgets(time.Now(), hedgeBounds(a.settings.Load()))
	a.teamLimits = newTeamLimits(a)
	if a.metrics, err = telemetry.NewMetrics(); err != nil {
		return err
	}
	a.statements = a.newStatements()
	a.provisionReach()
	a.upstreamLimits = a.newUpstreamLimits()
	return nil
}

// Timeouts and limits of the connections to the store and to upstreams. A connection on
// which the other side is silent is closed after unackedTimeout or upstreamUnackedTimeout if
// sent bytes are unacknowledged, and otherwise after probeInterval times the number of keep-alive probes
// plus one. Nothing is sent during a long poll at the store. With three probes, the loss of
// such a connection was noticed too late to apply a new version in time, so the store's
// connections use one probe. The timeouts are several times the round trip of a network
// path (milliseconds), and short compared with the callers' deadlines.
const (
	// storeConns allows one connection for each call that may be open at once: the long
	// polls of the two feeds and of the quarantine log, a lease renewal, a lookup of the
	// group's members, an append and the two reads that prove a version to be the only one.
	storeConns     = 8
	dialTimeout    = 100 * time.Millisecond
	probeInterval  = time.Second
	storeProbes    = 1
	upstreamProbes = 3
	// unackedTimeout applies to the store. A TCP_USER_TIMEOUT also decides when keep-alive
	// probes give up, whatever their count, so the one of upstreams is as long as their probes
	// take: a stream goes on after a silence that its caller waits for.
	unackedTimeout         = 1500 * time.Millisecond
	upstreamUnackedTimeout = (upstreamProbes + 1) * probeInterval
	// upstreamIdleTimeout is how long an unused connection is kept. Upstreams close idle
	// connections after seconds; if a request is sent just as the upstream closes the
	// connection, it is unknown whether the request ran.
	upstreamIdleTimeout = 900 * time.Millisecond
	connsPerUpstream    = 64
	// idleConns bounds the idle connections to each upstream.
	idleConns = 8
)

// maxEjection bounds how long an upstream is ejected, so that upstreams behind a network
// partition get requests again within seconds of its end.
const maxEjection = 2 * time.Second

// contactMargin is the time that a long poll which times out leaves for the next read, which
// does not wait for new records. Both reads together must end within the settings'
// store.contact time.
const contactMargin = 200 * time.Millisecond

// storeClient returns an HTTP client for calls to the store.
func (a *Attached) storeClient() *http.Client {
	const idleTimeout = 10 * time.Second
	return upstream.NewHTTPClientWith(upstream.TransportConfig{Dial: dialTimeout, Idle: idleTimeout, KeepAlive: probeInterval, Probes: storeProbes, UserTimeout: unackedTimeout, PerHost: storeConns, IdlePerHost: storeConns})
}

// applyView applies a new view of the configuration and the upstreams.
func (a *Attached) applyView(now time.Time, v fleet.View) {
	a.holder.Update(func(b *board.Board) { b.SetVersion(now, v.Bundle) })
	if v.Config != nil {
		a.metrics.SetConfigurationVersion(v.Config.Version)
	}
	a.paths.ForgetGone(func() map[string]bool {
		addresses := make(map[string]bool, len(v.Bundle.Bundle.Upstreams))
		for _, u := range v.Bundle.Bundle.Upstreams {
			addresses[u.Address] = true
		}
		return addresses
	})
}

// Limits of one request. An engine prefills a prompt of a few thousand tokens in a tenth
// of a second; the step timeouts leave room for a full prefill queue and are shorter than
// the lifetime of a reservation. stallTimeout bounds the gap between two events of a
// stream: it is several times the gap that callers count as late, and shorter than the
// gap after which they disconnect.
const (
	reserveTimeout = 150 * time.Millisecond
	prefillTimeout = 1200 * time.Millisecond
	importTimeout  = 1500 * time.Millisecond
	stallTimeout   = 1200 * time.Millisecond
	maxAttempts    = 3
	// firstTryTimeoutFactor is the timeout of the first try of an idempotent call, as a multiple
	// of its class's target for the first byte. 99 in 100 answers of a healthy replica
	// arrive within it, and it leaves time for a second try before the callers' deadlines.
	firstTryTimeoutFactor = 1.5
	maxRefusals           = 1000 // high, because the deadline already bounds the wait for a slot
)

// provisionRequests creates the runner of requests.
func (a *Attached) provisionRequests() error {
	hc := a.upstreamClient()
	self := wire.NodeID{Instance: a.settings.Load().Instance.Name, Incarnation: uint64(time.Now().UnixNano())}
	observe := observer{a.holder, a.inflight}
	a.engines = platform.NewEngines(hc, a.upstreamLimits).WithAvailability(a.statements).WithProcesses(processes{a}).ProbeWith(a.probeUpstream).WithAnswers(a.answers, a.answerLimited).
		OnLateReply(func(name string, after time.Duration) {
			observe.Answered(time.Now(), name)
			a.runner.RecordReservationReply(time.Now(), after)
		})
	a.runner = request.NewRunner(request.Options{
		Owner:       engineapi.Owner{Instance: self.Instance, Incarnation: self.Incarnation},
		DataCentre:  a.settings.Load().Instance.DataCentre,
		Snapshot:    a.holder.Snapshot,
		Policy:      measuredPolicies(a.metrics),
		Inflight:    a.inflight,
		Engines:     a.engines,
		Services:    platform.NewServices(hc, a.upstreamLimits).WithAvailability(a.statements).WithProcesses(processes{a}).ProbeWith(a.probeUpstream).WithAnswers(a.answers, a.answerLimited),
		Observer:    attachedObserver{observe, a},
		RetryBudget: a.retryBudgetOf,
		HedgeBudget: a.hedgeBudgetOf,
		NoForecast:  func() bool { return a.settings.Load().Services.Forecast == settings.ForecastOff },
		Metrics:     attachedMetrics{requestMetrics{a.metrics.Instruments}},
		Seed:        a.seed,
		ChunkTokens: a.chunkTokens,
		Limits: request.Limits{
			MaxAttempts: maxAttempts, MaxRefusals: maxRefusals, PrefillRepeatable: true, ReofferPrefills: true, CountArrivals: true, CallTimeoutFactor: firstTryTimeoutFactor, RetryServerErrors: true,
			Reserve: reserveTimeout, Prefill: prefillTimeout, Import: importTimeout, Stall: stallTimeout,
		},
		UpstreamLimits: a.upstreamLimits,
		Quarantine:     a.quarantine,
		Admission:      a.requestAdmission(),
		Origins:        streamOrigins{a},
		ConnectTime:    a.connectTime,
		Logger:         a.logger,
	})
	return nil
}

// estimateCallerWait estimates how long a caller has already waited since its first attempt.
// A caller that retries after a refusal states a deadline that is shorter by this time.
func (a *Attached) estimateCallerWait(route string, deadline time.Duration) time.Duration {
	return a.callerDeadlines.RecordDeadline(time.Now(), route, deadline)
}

// Reload applies settings that were read again, or logs the error of reading them. Only
// the retry and hedge budgets, the accuracy bounds of team limits, the forecasts of plain services
// and the drain's grace period change while the daemon runs; all other settings take effect at the
// next start.
func (a *Attached) Reload(s *settings.Attached, err error) {
	if err != nil {
		a.logger.WithError(err).Error("settings reload failed: previous settings kept")
		return
	}
	previous := a.settings.Load()
	a.settings.Store(s)
	a.budgets.Set(time.Now(), retryBounds(s))
	a.hedges.Set(time.Now(), hedgeBounds(s))
	a.logger.WithField("changed", !reflect.DeepEqual(previous, s)).Info("settings reloaded")
}

// Draining reports whether the daemon has begun to drain.
func (a *Attached) Draining() bool { return a.callersListener.Draining() }

// endsSoon reports whether the daemon has drained for so long that a request which comes now could
// be cut at the end of the grace period.
func (a *Attached) endsSoon() bool {
	began := a.drainBegan.Load()
	return began != nil && lateInDrain(time.Since(*began), a.settings.Load().Drain.Grace)
}

// lateInDrain reports whether requests are no longer served after a part of the drain's grace period.
func lateInDrain(elapsed, grace time.Duration) bool {
	return elapsed > time.Duration(frontend.ServingShare*float64(grace))
}

// CallersAddress returns the address on which the daemon serves callers.
func (a *Attached) CallersAddress() net.Addr { return a.callersListener.Addr() }

// exitMargin is the part of the drain's grace period that is left to send the last
// answers and to exit.
const exitMargin = 500 * time.Millisecond

// Run serves until ctx ends, then drains within the grace period: the daemon reports
// itself not ready, closes callers' kept-alive connections after their next answer,
// finishes the requests in flight, and answers those that are left at the end of the
// grace period with an error that says whether they ran.
func (a *Attached) Run(ctx context.Context) error {
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { failed <- a.tree.Run(treeCtx) })
	defer wg.Wait()
	defer a.runner.Close()
	if a.admission != nil {
		defer a.admission.Close()
	}
	a.logger.WithFields(log.Fields{"instance": a.settings.Load().Instance.Name, "callers": a.callersListener.Addr().String()}).Info("started")
	select {
	case err := <-failed:
		return errors.Wrap(err, "subsystem failed permanently")
	case <-ctx.Done():
	}
	a.drain()
	stop()
	a.logger.Info("stopped")
	return nil
}

// drain stops accepting callers and waits for the requests in flight, at most for the
// grace period less exitMargin.
func (a *Attached) drain() {
	began := time.Now()
	a.drainBegan.Store(&began)
	a.logger.WithField("grace_ms", a.settings.Load().Drain.Grace.Milliseconds()).Info("draining")
	drainCtx, cancel := context.WithTimeout(context.Background(), a.settings.Load().Drain.Grace-exitMargin)
	defer cancel()
	defer context.AfterFunc(drainCtx, a.runner.FailInFlight)()
	if err := a.callersListener.Drain(drainCtx, a.settings.Load().Drain.Notice); err != nil {
		a.logger.WithError(err).Warn("drain timed out")
	}
	if err := a.runner.Drain(drainCtx); err != nil {
		a.logger.WithError(err).Warn("requests cancelled at the drain timeout")
	}
	if a.carrier == nil {
		return
	}
	if err := a.carrier.Drain(drainCtx); err != nil {
		a.logger.WithError(err).Warn("carried connections cut at the drain timeout")
	}
}
