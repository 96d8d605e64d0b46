package router

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/admin"
	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/bundle/watch"
	"github.com/corianderturn/corianderturn/claims"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/supervise"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/orders"
	"github.com/corianderturn/corianderturn/peer"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/retry"
	"github.com/corianderturn/corianderturn/steward"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// platformIdleConns bounds the idle connections to one platform service. It is enough for
// 16 claim shards, each with one connection to read and one to append.
const platformIdleConns = 32

// Stream numbers (see newRand) of the random generators, one for each subsystem that uses
// randomness.
const (
	rngPeers uint64 = iota + 1
	rngWatch
	rngSteward
)

// provisionState creates the state that the subsystems share.
func (r *Router) provisionState(Options) (err error) {
	limitMemory(r.settings.Limits.MemoryMB, r.settings.Limits.ReceiveBytes())
	if r.metrics, err = telemetry.NewMetrics(); err != nil {
		return err
	}
	r.holder = board.NewHolder(board.New(board.Config{
		Stated:    func(name string, _ int64) availability.State { return r.statements.table.State(name, 0) },
		OnRestart: func(name string) { r.statements.table.Forget(name) },
	}))
	r.statements = r.newStatements()
	r.inflight = board.NewInflight()
	r.answers = answers.NewBudget(r.settings.Limits.AnswersBytes())
	r.budgets = retry.NewBuckets(retryLimits(defaultRetryRatio))
	current := func() *bundle.Version { return r.watcher.Current() }
	r.engines = upstream.NewEngines(upstream.NewHTTPClient()).WithAvailability(&byAddress{statements: r.statements, current: current}).OnLimit(r.answerLimited)
	r.instances = newInstanceWatcher(r)
	return nil
}

const (
	// defaultRetryRatio is the number of retries allowed per request until the first
	// bundle, which sets its own.
	defaultRetryRatio = 0.1
	// retryDepth is the capacity of the token bucket that limits the retries of a model or
	// plain service.
	retryDepth = 10
	// retrySlack retries in each retryWindow are allowed in addition, so that a daemon
	// with few requests can retry.
	retrySlack  = 1
	retryWindow = 5 * time.Second
)

// retryLimits returns the retry limits of one daemon for a bundle's ratio of retries to
// requests. Each daemon has these limits by itself; the retries of all daemons together are
// not bounded. A ratio of 0 disables retries.
func retryLimits(ratio float64) retry.Limits {
	if ratio <= 0 {
		return retry.Limits{Window: retryWindow}
	}
	return retry.Limits{Ratio: ratio, MaxCredit: retryDepth, Slack: retrySlack, Window: retryWindow}
}

// provisionPeers opens the listener for peers and creates the peer service.
func (r *Router) provisionPeers(o Options) error {
	p := r.settings.Peers
	tlsConfig, err := peerTLS(p.TLS)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	address := p.Advertise
	if address == "" {
		address = ln.Addr().String()
	}
	r.peersAddress = address
	r.peers = peer.New(peer.Options{
		Members: members.Config{
			Node:        r.self,
			DataCentre:  r.settings.Instance.DataCentre,
			Address:     address,
			Heartbeat:   p.Heartbeat,
			DeadAfter:   p.DeadAfter,
			FrozenAfter: p.FrozenAfter,
		},
		Listener:  ln,
		TLS:       tlsConfig,
		Seeds:     r.instances.peerSeeds,
		IsBlocked: o.Block,

		OnEvent: r.onMemberEvent,
		Logger:  r.logger,
		Rand:    r.newRand(rngPeers),
	})
	r.registerPeerHandlers()
	return nil
}

// tlsConfigurer is a section of the settings that configures TLS.
type tlsConfigurer interface {
	Configs() (server, client *tls.Config, err error)
}

// peerTLS merges the server and client configurations into one for the peer mesh, in
// which every daemon both dials and listens. It returns nil if TLS is not configured.
func peerTLS(s tlsConfigurer) (*tls.Config, error) {
	server, client, err := s.Configs()
	if err != nil || server == nil {
		return nil, err
	}
	mesh := server.Clone()
	mesh.RootCAs = client.RootCAs
	return mesh, nil
}

// provisionBundle creates the watcher of bundle versions.
func (r *Router) provisionBundle(Options) error {
	trust, err := bundle.TrustConfig{
		Authors:   r.settings.Bundle.Authors,
		Reviewers: r.settings.Bundle.Reviewers,
	}.Trust()
	if err != nil {
		return errors.Wrap(err, "settings: bundle")
	}
	r.watcher, err = watch.New(watch.Options{
		Log:                infra.NewLog(r.settings.Platform.LogURL, r.platformClient()),
		Trust:              trust,
		Stream:             r.settings.Bundle.Stream,
		Fetch:              r.fetchBundle,
		Rand:               r.newRand(rngWatch),
		CheckpointInterval: r.settings.Bundle.CheckpointInterval,
		Logger:             r.logger,
		Meter:              r.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	r.watcher.Subscribe(r.applyVersion)
	return nil
}

// applyVersion applies a new bundle version to the board and the retry budgets. The
// watcher calls it from one goroutine, in the order of version numbers.
func (r *Router) applyVersion(v *bundle.Version) {
	r.holder.Update(func(b *board.Board) { b.SetVersion(time.Now(), v) })
	r.budgets.Set(time.Now(), retryLimits(v.Bundle.Policy.RetryBudget))
}

// provisionClaims creates the gate of idempotency claims.
func (r *Router) provisionClaims(Options) error {
	c := r.settings.Claims
	h := &homes{peers: r.peers}
	gate, err := claims.New(claims.Options{
		Log:          infra.NewLog(r.settings.Platform.LogURL, r.platformClient()),
		Logger:       r.logger,
		Self:         r.self,
		Shards:       c.Shards,
		Lifetime:     c.KeyLifetime,
		Retention:    c.LogRetention,
		MaxKeys:      c.MaxKeys,
		AnswerLimit:  c.MaxAnswerBytes,
		Linger:       c.BatchDelay,
		IsDead:       r.isDead,
		Follow:       h.readsShard,
		LookupAtHome: h.lookupAtHome,
		AppendAtHome: h.appendAtHome,

		AppendsPerSecond: c.AppendsPerSecond,
		TokenTTL:         c.TokenLifetime,
	})
	r.gate = gate
	return err
}

// provisionRequests creates the quarantine and the runner of requests.
func (r *Router) provisionRequests(Options) error {
	r.quarantine = newQuarantineKeeper(quarantine.Options{
		Dial: quarantine.DialTCP,
		Log:  quarantineLog{infra.NewLog(r.settings.Platform.LogURL, r.platformClient()), r.logger},
		Wait: quarantineLongPoll, Retention: r.settings.Claims.LogRetention,
	}, r.metrics.Instruments, func() { r.runner.RecheckQueued() }, r.logger)
	r.runner = request.NewRunner(request.Options{
		Owner:       engineapi.Owner{Instance: r.self.Instance, Incarnation: r.self.Incarnation},
		DataCentre:  r.settings.Instance.DataCentre,
		Snapshot:    r.holder.Snapshot,
		Policy:      measuredPolicies(r.metrics),
		Inflight:    r.inflight,
		Engines:     r.engines,
		Services:    upstream.NewServices(upstream.NewHTTPClient(), r.upstreamLimits).WithAvailability(r.statements).OnLimit(r.answerLimited),
		Gate:        r.metrics.Gate(r.gate),
		Observer:    observer{r.holder, r.inflight},
		Frozen:      r.stale,
		RetryBudget: func(target string) request.RetryBudget { return r.budgets.Of(target) },
		Metrics:     requestMetrics{r.metrics.Instruments},
		Seed:        r.seed,
		Quarantine:  r.quarantine,
		Logger:      r.logger,

		UpstreamLimits: r.upstreamLimits,
	})
	return nil
}

// provisionFrontend creates the server for callers and opens its listener.
func (r *Router) provisionFrontend(Options) error {
	server, err := frontend.New(frontend.Options{
		Self:       r.self,
		Callers:    r.settings.Callers,
		Limits:     r.settings.Limits,
		Drain:      r.settings.Drain,
		Runner:     r.runner,
		Bundle:     r.bundle,
		Ready:      r.ready,
		MintToken:  r.mintToken,
		TokenOwner: claims.TokenOwner,
		Forward:    r.forward,
		Answers:    r.answers,
		Metrics:    r.metrics.Handler(),
		Outcomes:   r.metrics.Instruments,
		Limited:    r.metrics.Instruments,
		Logger:     r.logger,
	})
	if err != nil {
		return err
	}
	r.frontend = server
	r.metrics.OnScrape(r.gaugeReadings)
	return server.Listen()
}

// provisionTree creates the steward and adds all subsystems to the supervision tree.
func (r *Router) provisionTree(Options) error {
	r.steward = steward.New(steward.Options{
		Engines: r.engines,
		Peers:   r.peers,
		Board:   r.holder,
		Current: r.watcher.Current,
		Logger:  r.logger,
		Rand:    r.newRand(rngSteward),
	})
	r.tree = supervise.New(r.logger, supervise.DefaultLimits())
	r.tree.Add(r.peers, r.watcher, r.gate, r.instances, r.frontend, r.steward, r.newOrderRunner(), r.quarantine, r.upstreamLimits, r.upstreamShare, inflightEnder{r.runner})
	return r.provisionAdmin()
}

// provisionAdmin opens the listener of the administration API if the settings have an address
// for it.
func (r *Router) provisionAdmin() error {
	if r.settings.Admin.Listen == "" {
		return nil
	}
	server, err := admin.New(admin.Options{Admin: r.settings.Admin, Source: r, Limited: r.metrics.Instruments, Logger: r.logger})
	if err != nil {
		return err
	}
	r.tree.Add(server)
	return server.Listen()
}

// newOrderRunner creates the runner that sends orders to the engines of which this daemon is
// the steward.
func (r *Router) newOrderRunner() *orders.Runner {
	return orders.NewRunner(orders.Options{
		Config:     orders.DefaultConfig(),
		Engines:    r.engines,
		Current:    r.watcher.Current,
		IsSteward:  r.isSteward,
		Generation: func() uint64 { return r.peers.View().Generation() },
		Frozen:     r.stale,
		Logger:     r.logger,
	})
}

// isSteward reports whether this daemon is the steward of an upstream.
func (r *Router) isSteward(name, dataCentre string) bool {
	return r.peers.View().IsSteward(name, dataCentre)
}
