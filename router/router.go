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

// drainSlack is added to the settings' drain times for the last answers and
// cancels to get out.
const drainSlack = 5 * time.Second

// Router is one daemon. Its fields are set by New and not changed later.
type Router struct {
	settings *settings.Settings
	logger   log.Interface
	self     wire.NodeID
	seed     uint64

	metrics    *telemetry.Metrics
	holder     *board.Holder
	inflight   *board.Inflight
	budgets    *retry.Buckets
	peers      *peer.Service
	watcher    *watch.Watcher
	gate       *claims.Gate
	engines    *upstream.Engines
	quarantine *quarantine.Keeper
	// upstreamLimits are the rate limits that plain services name, and share this daemon's
	// part of them.
	upstreamLimits *upstreamLimits
	share          *ownShare
	runner         *request.Runner
	frontend       *frontend.Server
	tree           *supervise.Tree

	steward   *steward.Runner
	instances *instanceWatch
	draining  atomic.Bool
	// peersAddress is where other daemons reach this one.
	peersAddress string
	// drainAsked is closed when an operator asks for a drain.
	drainAsked chan struct{}
	drainOnce  sync.Once
	// slack is drainSlack, or less in tests.
	slack time.Duration
	// superseded gets a value when a later incarnation of this instance lives.
	superseded chan struct{}
}

// ErrSuperseded is returned by Run when a later incarnation of the instance lives.
var ErrSuperseded = errors.New("a later incarnation of this instance lives")

// Options are what a program may add to the settings.
type Options struct {
	// Logger is required.
	Logger log.Interface
	// Block, when it returns true for a peer's address, cuts the link to it; for
	// tests of cut networks only.
	Block func(address string) bool
}

// New builds a daemon. It opens the listeners, so that an address in use is
// reported here, and starts nothing. Call Run soon: a daemon that stood still
// after New begins as if it had been frozen.
func New(s *settings.Settings, o Options) (*Router, error) {
	r := &Router{settings: s, logger: o.Logger, seed: s.Policy.Seed, slack: drainSlack, drainAsked: make(chan struct{}), superseded: make(chan struct{}, 1)}
	if r.seed == 0 {
		r.seed = rand.Uint64()
	}
	if err := r.identify(); err != nil {
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

// identify names this life of this daemon. The incarnation is the time of the
// start in nanoseconds, so that a later life of the same instance has a higher
// one without anything kept between them.
func (r *Router) identify() error {
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

// CallersAddress returns the address of the callers' listener.
func (r *Router) CallersAddress() string { return r.frontend.Addr().String() }

// PeersAddress returns the address that other daemons connect to.
func (r *Router) PeersAddress() string { return r.peersAddress }

// Run serves until ctx ends or an operator asks for a drain, then drains: the daemon stops accepting, finishes
// what is in flight within the settings' limits, and only then stops its
// heartbeats, so that no steward takes its last requests for orphans.
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
	case <-r.drainAsked:
	case <-r.superseded:
		stop()
		return ErrSuperseded
	}
	err := r.drain()
	stop()
	return err
}

// memberEvent ends the daemon once it hears of its own later incarnation: it
// was frozen or cut off, the platform replaced it, and stewards now free its
// engine memory. Serving on would only start work that is cancelled.
func (r *Router) memberEvent(a members.Action) {
	if a.Event != members.Superseded {
		return
	}
	select {
	case r.superseded <- struct{}{}:
	default: // told already
	}
}

func (r *Router) drain() error {
	r.draining.Store(true)
	r.logger.Info("draining")
	d := r.settings.Drain
	ctx, cancel := context.WithTimeout(context.Background(), d.Delay+d.Timeout+r.slack)
	defer cancel()
	limit, cancelLimit := context.WithTimeout(ctx, d.Delay+d.Timeout)
	defer cancelLimit()
	// A non-idempotent call goes on when its caller's context ends. Were the
	// runner told of the limit only after the frontend has given up, the caller's
	// connection would be closed under the call, without an answer.
	defer context.AfterFunc(limit, r.runner.EndFlight)()
	err := r.frontend.Drain(ctx)
	// What peers forwarded is not the frontend's to wait for, and has as long.
	if restErr := r.runner.Drain(limit); err == nil {
		err = restErr
	}
	r.peers.Flush(ctx)
	if err != nil {
		r.logger.WithError(err).Warn("drained at its limit")
		return nil
	}
	r.logger.Info("drained")
	return nil
}

// flights ends what is in flight when the tree ends without a drain, at the same
// moment as the frontend gives its callers up: a non-idempotent call goes on
// without its caller, whose connection would be closed without an answer.
type flights struct{ runner *request.Runner }

// Name implements supervise.Service.
func (flights) Name() string { return "flights" }

// Run implements supervise.Service.
func (f flights) Run(ctx context.Context) error {
	<-ctx.Done()
	f.runner.EndFlight()
	return nil
}

// ready says whether callers can be served and why not.
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

// stale says that nothing may be dispatched or ordered: this process was stopped,
// and its view of the daemons or of the bundle is not fresh yet.
//
// What goes wrong: the daemons' echoes come back within milliseconds of a thaw,
// before the log or a peer has told which versions came meanwhile. One would
// notice new work on an upstream that has been leaving for minutes, or an old
// order on one that ignores fencing numbers.
func (r *Router) stale(now time.Time) bool {
	return r.peers.Frozen(now) || !r.watcher.Ready()
}

func (r *Router) bundle() *bundle.Bundle {
	v := r.watcher.Current()
	if v == nil {
		return nil
	}
	return v.Bundle
}

// source returns a random source of its own for one subsystem.
func (r *Router) source(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.seed, stream))
}

func (r *Router) platformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConns}}
}
