package router

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/admin"
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

// platformConns bounds the idle connections to one platform service: a reader
// and an appender for each claim shard at the usual number of shards.
const platformConns = 32

// The streams of the daemon's seed, one for each subsystem that draws.
const (
	streamPeers uint64 = iota + 1
	streamWatch
	streamSteward
)

func (r *Router) provisionState(Options) (err error) {
	r.holder = board.NewHolder(board.New(board.Config{}))
	r.inflight = board.NewInflight()
	r.budgets = retry.NewBuckets(retryLimits(defaultRetryRatio))
	r.engines = upstream.NewEngines(upstream.NewHTTPClient())
	r.instances = newInstanceWatch(r)
	r.metrics, err = telemetry.NewMetrics()
	return err
}

const (
	// defaultRetryRatio holds until a bundle states its own.
	defaultRetryRatio = 0.1
	// retryDepth is the most retries that may be saved up for a target.
	retryDepth = 10
	// retrySlack in each retryWindow lets a quiet daemon retry at all.
	retrySlack  = 1
	retryWindow = 5 * time.Second
)

// retryLimits returns the limits of each daemon for a bundle's ratio; they promise nothing
// about all daemons together. A ratio of 0 allows none ever.
func retryLimits(ratio float64) retry.Limits {
	if ratio <= 0 {
		return retry.Limits{Window: retryWindow}
	}
	return retry.Limits{Ratio: ratio, Depth: retryDepth, Slack: retrySlack, Window: retryWindow}
}

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
		Listener: ln,
		TLS:      tlsConfig,
		Seeds:    r.instances.peerSeeds,
		Block:    o.Block,

		OnEvent: r.memberEvent,
		Logger:  r.logger,
		Rand:    r.source(streamPeers),
	})
	r.handlePeers()
	return nil
}

type tlsSource interface {
	Configs() (server, client *tls.Config, err error)
}

// peerTLS joins the two sides into the one configuration of a mesh, in which
// every daemon both dials and listens.
func peerTLS(s tlsSource) (*tls.Config, error) {
	server, client, err := s.Configs()
	if err != nil || server == nil {
		return nil, err
	}
	joint := server.Clone()
	joint.RootCAs = client.RootCAs
	return joint, nil
}

func (r *Router) provisionBundle(Options) error {
	trust, err := bundle.TrustConfig{
		Authors:   r.settings.Bundle.Authors,
		Reviewers: r.settings.Bundle.Reviewers,
	}.Trust()
	if err != nil {
		return errors.Wrap(err, "settings: bundle")
	}
	r.watcher, err = watch.New(watch.Options{
		Log:             infra.NewLog(r.settings.Platform.LogURL, r.platformClient()),
		Trust:           trust,
		Stream:          r.settings.Bundle.Stream,
		Fetch:           r.fetchBundle,
		Rand:            r.source(streamWatch),
		CheckpointEvery: r.settings.Bundle.CheckpointEvery,
		Logger:          r.logger,
		Meter:           r.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	r.watcher.Subscribe(r.adopt)
	return nil
}

// adopt puts a version in force in every subsystem that is told of versions;
// the watcher calls it from one goroutine, in the order of numbers.
func (r *Router) adopt(v *bundle.Version) {
	r.holder.Update(func(b *board.Board) { b.SetVersion(time.Now(), v) })
	r.budgets.Set(time.Now(), retryLimits(v.Bundle.Policy.RetryBudget))
}

func (r *Router) provisionClaims(Options) error {
	c := r.settings.Claims
	h := &homes{peers: r.peers}
	gate, err := claims.New(claims.Options{
		Log:         infra.NewLog(r.settings.Platform.LogURL, r.platformClient()),
		Logger:      r.logger,
		Self:        r.self,
		Shards:      c.Shards,
		Lifetime:    c.KeyLifetime,
		Retention:   c.LogRetention,
		MaxKeys:     c.MaxKeys,
		AnswerLimit: c.MaxAnswerBytes,
		Linger:      c.BatchDelay,
		Dead:        r.dead,
		Follow:      h.follow,
		Ask:         h.ask,
		Relay:       h.relay,

		AppendsPerSecond: c.AppendsPerSecond,
		TokenTTL:         c.TokenLifetime,
	})
	r.gate = gate
	return err
}

func (r *Router) provisionRequests(Options) error {
	r.quarantine = newQuarantine(quarantine.Options{
		Log:  quarantineLog{infra.NewLog(r.settings.Platform.LogURL, r.platformClient()), r.logger},
		Wait: quarantineWait, Kept: r.settings.Claims.LogRetention,
	}, r.metrics.Instruments, r.logger)
	r.runner = request.NewRunner(request.Options{
		Owner:       engineapi.Owner{Instance: r.self.Instance, Incarnation: r.self.Incarnation},
		DataCentre:  r.settings.Instance.DataCentre,
		Snapshot:    r.holder.Snapshot,
		Policy:      countedPolicies(r.metrics),
		Inflight:    r.inflight,
		Engines:     r.engines,
		Services:    upstream.NewServices(upstream.NewHTTPClient(), r.upstreamLimits),
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
		Metrics:    r.metrics.Handler(),
		Outcomes:   r.metrics.Instruments,
		Logger:     r.logger,
	})
	if err != nil {
		return err
	}
	r.frontend = server
	r.metrics.OnScrape(r.readings)
	return server.Listen()
}

func (r *Router) provisionTree(Options) error {
	r.steward = steward.New(steward.Options{
		Engines: r.engines,
		Peers:   r.peers,
		Board:   r.holder,
		Current: r.watcher.Current,
		Logger:  r.logger,
		Rand:    r.source(streamSteward),
	})
	r.tree = supervise.New(r.logger, supervise.DefaultLimits())
	r.tree.Add(r.peers, r.watcher, r.gate, r.instances, r.frontend, r.steward, r.newOrders(), r.quarantine, r.upstreamLimits, r.share, flights{r.runner})
	return r.provisionAdmin()
}

// provisionAdmin adds the administration listener when the settings name an address.
func (r *Router) provisionAdmin() error {
	if r.settings.Admin.Listen == "" {
		return nil
	}
	server, err := admin.New(admin.Options{Admin: r.settings.Admin, Source: r, Logger: r.logger})
	if err != nil {
		return err
	}
	r.tree.Add(server)
	return server.Listen()
}

func (r *Router) newOrders() *orders.Runner {
	return orders.NewRunner(orders.Options{
		Config:     orders.DefaultConfig(),
		Engines:    r.engines,
		Current:    r.watcher.Current,
		Mine:       r.mine,
		Generation: func() uint64 { return r.peers.View().Generation() },
		Frozen:     r.stale,
		Logger:     r.logger,
	})
}

// mine says whether this daemon is the steward of an upstream now.
func (r *Router) mine(name, dataCentre string) bool {
	return r.peers.View().Mine(name, dataCentre)
}
