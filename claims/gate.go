package claims

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// Gate implements request.Gate on the platform's log and on bound tokens. It is
// a supervise.Service; Claim and ServeGet may be called from any goroutine.
type Gate struct {
	opts   Options
	shards []*shard
	tokens *Minter
	// budget bounds this daemon's appends over all shards.
	budget *rate.Limiter
}

var _ request.Gate = (*Gate)(nil)

// New returns a Gate; its claims wait until Run is called.
func New(opts Options) (*Gate, error) {
	opts.setDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	tokens, err := newMinter(opts.Self, opts.TokenTTL, opts.MaxTokens, opts.AnswerBytes)
	if err != nil {
		return nil, err
	}
	tokens.dead, tokens.now = opts.Dead, opts.Now
	g := &Gate{opts: opts, tokens: tokens}
	g.budget = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), max(1, int(opts.AppendsPerSecond/10)))
	for i := range opts.Shards {
		g.shards = append(g.shards, newShard(i, &g.opts))
	}
	return g, nil
}

// Name implements supervise.Service.
func (g *Gate) Name() string { return "claims" }

// Minter mints the bound tokens that this gate accepts.
func (g *Gate) Minter() *Minter { return g.tokens }

// Run appends and reads claims until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	for _, s := range g.shards {
		wg.Go(func() { s.appendLoop(ctx, g.budget) })
		wg.Go(func() { s.followLoop(ctx) })
	}
	wg.Wait()
	return nil
}

// Claim implements request.Gate. It waits for the log up to DecideWithin.
func (g *Gate) Claim(ctx context.Context, k request.ClaimKey) (request.Grant, *errkind.Error) {
	body := Body(k.Body[:DigestSize])
	if isToken(k.Key) {
		return g.tokens.Claim(k.Team, k.Key, body)
	}
	key := NewKey(k.Team, k.Key)
	return g.shards[key.Shard(len(g.shards))].claim(ctx, key, body, k.RequestID)
}

// ServeGet answers another daemon's question for a key of a shard that this
// daemon follows, once it has read as far as asked.
func (g *Gate) ServeGet(ctx context.Context, get wire.ClaimGet) (wire.ClaimState, error) {
	s, key, err := g.route(get)
	if err != nil {
		return wire.ClaimState{}, err
	}
	return s.serve(ctx, key, get.Through)
}

// grant implements request.Grant.
type grant struct {
	run      bool
	answer   *request.CallAnswer
	owner    wire.NodeID
	deadline time.Time
	finish   func(request.Outcome)
	once     sync.Once
}

func (g *grant) Run() bool { return g.run }

func (g *grant) Answer() *request.CallAnswer { return g.answer }

func (g *grant) Owner() (wire.NodeID, bool) { return g.owner, g.owner != wire.NodeID{} }

func (g *grant) Deadline() time.Time { return g.deadline }

func (g *grant) Finish(out request.Outcome) {
	if g.finish != nil {
		g.once.Do(func() { g.finish(out) })
	}
}
