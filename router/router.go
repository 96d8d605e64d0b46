package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/bundle/watch"
	"github.com/corianderturn/corianderturn/claims"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/internal/supervise"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/peer"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/settings"
	"github.com/corianderturn/corianderturn/steward"
	"github.com/corianderturn/corianderturn/upstream"
)

// defaultDrainSlack is the time that a drain may take in addition to the drain times of the
// settings, to send the last answers and cancellations.
const defaultDrainSlack = 5 * time.Second

// Router is a daemon that coordinates with its peers itself. New sets the fields; they are
// not reassigned later.
type Router struct {
	settings *settings.Settings
	logger   log.Interface
	// statements holds what upstreams state about their own availability.
	statements *statements
	self       wire.NodeID
	seed       uint64

	metrics *telemetry.Metrics
	// holder holds the state of the upstreams, and inflight this daemon's requests at them.
	holder   *board.Holder
	inflight *board.Inflight
	// answers is the memory for what upstreams send.
	answers *answers.Budget
	// budgets bounds retries for each model and plain service.
	budgets *retry.Buckets
	peers   *peer.Service
	// watcher follows the versions of the bundle (the signed configuration).
	watcher *watch.Watcher
	// gate grants idempotency claims, so that a request with an idempotency key runs at most
	// once.
	gate    *claims.Gate
	engines *upstream.Engines
	// quarantine records the requests during which upstreams crashed, and refuses a request
	// that has crashed several.
	quarantine *quarantine.Keeper
	// upstreamLimits enforces the rate limits that plain services announce in their
	// answers. upstreamShare computes the fraction of them that this daemon may use.
	upstreamLimits *upstreamLimits
	upstreamShare  *equalShare
	runner         *request.Runner
	frontend       *frontend.Server
	tree           *supervise.Tree

	// steward does the tasks of a steward for the upstreams of which this daemon is the
	// steward.
	steward   *steward.Runner
	instances *instanceWatcher
	draining  atomic.Bool
	// peersAddress is the address at which other daemons connect to this one.
	peersAddress string
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// drainSlack is defaultDrainSlack; tests set a shorter time.
	drainSlack time.Duration
	// superseded receives a value when another process has started as a later incarnation
	// of this instance.
	superseded chan struct{}
}

// ErrSuperseded is returned by Run when another process has started as a later incarnation
// of this instance.
var ErrSuperseded = errors.New("a later incarnation of this instance is running")

// Options holds what a program passes to New besides the settings.
type Options struct {
	// Logger is required.
	Logger log.Interface
	// Block cuts the link to each peer for whose address it returns true. It is only
	// for tests of network partitions.
	Block func(address string) bool
}

// New builds a daemon and opens its listeners, so that an address in use is reported
// here. Run starts the subsystems. It should be called soon after New: a long pause counts
// as a suspension of the process, after which the daemon sends no requests until it has
// refreshed its view of the peers and of the bundle.
func New(s *settings.Settings, o Options) (*Router, error) {
	r := &Router{settings: s, logger: o.Logger, seed: s.Policy.Seed, drainSlack: defaultDrainSlack, drainRequested: make(chan struct{}), superseded: make(chan struct{}, 1)}
	if r.seed == 0 {
		r.seed = rand.Uint64()
	}
	if err := r.assignIdentity(); err != nil {
		return nil, err
	}
	steps := []func(Options) error{
		r.provisionState,
		r.provisionPeers,
		r.provisionBundle,
		r.provisionClaims,
		r.provisionLimits,
		r.provisionRequests,
		r.provisionFrontend,
		r.provisionTree,
	}
	for _, step := range steps {
		if err := step(o); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// assignIdentity sets the daemon's instance name and incarnation. The incarnation is the
// start time in nanoseconds, so that a later process of the same instance has a higher
// one without stored state.
func (r *Router) assignIdentity() error {
	name := r.settings.Instance.Name
	if name == "" {
		host, err := os.Hostname()
		if err != nil {
			return errors.Wrap(err, "read the host name")
		}
		name = host
	}
	r.self = wire.NodeID{Instance: name, Incarnation: uint64(time.Now().UnixNano())}
	return nil
}

// Self returns the daemon's name and incarnation.
func (r *Router) Self() wire.NodeID { return r.self }

// CallersAddress returns the address on which the daemon serves callers.
func (r *Router) CallersAddress() string { return r.frontend.Addr().String() }

// PeersAddress returns the address that other daemons connect to.
func (r *Router) PeersAddress() string { return r.peersAddress }

// Run serves until ctx ends or an operator requests a drain, then drains: the daemon stops
// accepting requests, finishes those in flight within the time limits of the settings, and
// only then stops its heartbeats. Without heartbeats, stewards would consider the daemon
// dead and cancel its last requests as orphaned.
func (r *Router) Run(ctx context.Context) error {
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { failed <- r.tree.Run(treeCtx) })
	defer wg.Wait()
	defer r.runner.Close()

	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	case <-r.drainRequested:
	case <-r.superseded:
		stop()
		return ErrSuperseded
	}
	err := r.drain()
	stop()
	return err
}

// onMemberEvent makes Run return when a later incarnation of this instance has joined. In
// that case this process was suspended or partitioned and the platform has replaced it.
// Stewards free the engine memory of its requests, so new requests would be cancelled.
func (r *Router) onMemberEvent(a members.Change) {
	if a.Event != members.Superseded {
		return
	}
	select {
	case r.superseded <- struct{}{}:
	default: // already signalled
	}
}

// drain finishes the requests in flight within the time limits of the settings, and waits
// until the answers to peers' calls are written.
func (r *Router) drain() error {
	r.draining.Store(true)
	r.logger.Info("draining")
	d := r.settings.Drain
	ctx, cancel := context.WithTimeout(context.Background(), d.Delay+d.Timeout+r.drainSlack)
	defer cancel()
	limit, cancelLimit := context.WithTimeout(ctx, d.Delay+d.Timeout)
	defer cancelLimit()
	// A non-idempotent call continues when its caller's context ends. The runner must
	// therefore end such calls as soon as the time limit passes: when the frontend's drain
	// times out shortly afterwards, it closes connections without an answer.
	defer context.AfterFunc(limit, r.runner.FailInFlight)()
	err := r.frontend.Drain(ctx)
	// The frontend does not wait for requests that peers forwarded, so wait for the runner
	// too, up to the same limit.
	if runnerErr := r.runner.Drain(limit); err == nil {
		err = runnerErr
	}
	r.peers.Flush(ctx)
	if err != nil {
		r.logger.WithError(err).Warn("drain timed out")
		return nil
	}
	r.logger.Info("drained")
	return nil
}

// inflightEnder ends the requests in flight when the supervision tree stops without a
// drain, at the same time as the frontend closes its connections. A non-idempotent call
// continues when its caller's context ends. If the runner did not end the call, the
// connection would be closed before the caller gets an answer.
type inflightEnder struct{ runner *request.Runner }

// Name implements supervise.Service.
func (inflightEnder) Name() string { return "flights" }

// Run implements supervise.Service.
func (f inflightEnder) Run(ctx context.Context) error {
	<-ctx.Done()
	f.runner.FailInFlight()
	return nil
}

// ready reports whether callers can be served, and if not, the reason.
func (r *Router) ready() (bool, string) {
	switch {
	case r.draining.Load():
		return false, "draining"
	case !r.watcher.Ready():
		return false, "the version in force is not known yet"
	case r.peers.Frozen(time.Now()):
		return false, "the view is not fresh after a stop of this process"
	}
	return true, ""
}

// stale reports whether this process was suspended and its view of the daemons or of the
// bundle is not up to date yet. While it is, no requests and no orders may be sent.
//
// Both views must be checked: the other daemons answer heartbeats within milliseconds
// after the process resumes, before it has learned of new bundle versions from the log or
// a peer. With an outdated bundle it would send requests to an upstream that began to leave
// minutes ago, or an outdated order to an upstream that does not check fencing numbers
// (see package orders).
func (r *Router) stale(now time.Time) bool {
	return r.peers.Frozen(now) || !r.watcher.Ready()
}

// bundle returns the bundle in force, or nil if none has been read yet.
func (r *Router) bundle() *bundle.Bundle {
	v := r.watcher.Current()
	if v == nil {
		return nil
	}
	return v.Bundle
}

// newRand returns a random generator for one subsystem. Generators with different stream
// numbers produce independent sequences from the daemon's seed.
func (r *Router) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.seed, stream))
}

// platformClient returns an HTTP client for calls to the platform's services.
func (r *Router) platformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformIdleConns}}
}
