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

// Gate implements request.Gate with the platform's log and bound tokens. It is a
// supervise.Service. Claim, ServeLookup and ServeAppend are safe for concurrent use.
type Gate struct {
	opts   Options
	shards []*shard
	issuer *Issuer
	// appendLimiter limits the appends of this daemon to all shards together.
	appendLimiter *rate.Limiter
}

var _ request.Gate = (*Gate)(nil)

// New returns a Gate. Claims that need the log are decided only while Run is running.
func New(opts Options) (*Gate, error) {
	opts.setDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	issuer, err := newIssuer(opts.Self, opts.TokenTTL, opts.MaxTokens, opts.AnswerBytes)
	if err != nil {
		return nil, err
	}
	issuer.isDead, issuer.now = opts.IsDead, opts.Now
	g := &Gate{opts: opts, issuer: issuer}
	g.appendLimiter = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), max(1, int(opts.AppendsPerSecond/10)))
	for i := range opts.Shards {
		g.shards = append(g.shards, newShard(i, &g.opts))
	}
	return g, nil
}

// Name implements supervise.Service.
func (g *Gate) Name() string { return "claims" }

// Issuer returns the issuer of the bound tokens that this gate accepts.
func (g *Gate) Issuer() *Issuer { return g.issuer }

// Run appends and reads records until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	for _, s := range g.shards {
		wg.Go(func() { s.appendLoop(ctx, g.appendLimiter) })
		wg.Go(func() { s.followLoop(ctx) })
	}
	wg.Wait()
	return nil
}

// Claim implements request.Gate. It waits up to Options.DecisionTimeout for a
// decision.
func (g *Gate) Claim(ctx context.Context, k request.ClaimKey) (request.Grant, *errkind.Error) {
	body := BodyDigest(k.Body[:DigestSize])
	if isToken(k.Key) {
		return g.issuer.Claim(k.Team, k.Key, body)
	}
	key := NewKey(k.Team, k.Key)
	return g.shards[key.Shard(len(g.shards))].claim(ctx, key, body, k.RequestID)
}

// ServeLookup returns the state of a key to another daemon. This daemon must follow
// the key's shard; it answers once it has read the stream up to the offset that the
// request names.
func (g *Gate) ServeLookup(ctx context.Context, get wire.ClaimGet) (wire.ClaimState, error) {
	s, key, err := g.shardForLookup(get)
	if err != nil {
		return wire.ClaimState{}, err
	}
	return s.awaitState(ctx, key, get.Through)
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

// Run implements request.Grant.
func (g *grant) Run() bool { return g.run }

// Answer implements request.Grant.
func (g *grant) Answer() *request.CallAnswer { return g.answer }

// Owner implements request.Grant.
func (g *grant) Owner() (wire.NodeID, bool) { return g.owner, g.owner != wire.NodeID{} }

// Deadline implements request.Grant.
func (g *grant) Deadline() time.Time { return g.deadline }

// Finish implements request.Grant. Only the first call has an effect.
func (g *grant) Finish(out request.Outcome) {
	if g.finish != nil {
		g.once.Do(func() { g.finish(out) })
	}
}
