package claims

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Log is the part of the platform's log that claims need; infra.Log has it.
type Log interface {
	Append(ctx context.Context, stream string, records ...[]byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (infraapi.ReadReply, error)
}

// AskFunc asks a home of a shard, a daemon that follows it, for the state of a
// key. The home's answer comes from Gate.ServeGet.
type AskFunc func(ctx context.Context, shard int, get wire.ClaimGet) (wire.ClaimState, error)

// Options set a Gate up. Zero values take the defaults named.
type Options struct {
	Log    Log
	Logger log.Interface
	// Self is this incarnation. Its number must never have been used before by
	// this instance.
	Self wire.NodeID
	// Shards is the number of streams; the same for all daemons, and never
	// changed while keys are remembered. Default 4.
	Shards int
	// Lifetime is how long keys are remembered. Default 1 h.
	Lifetime time.Duration
	// Retention is how long the log keeps records. It must cover Lifetime, a
	// quarter of it for markers, and two Margins. Default 2 h.
	Retention time.Duration
	// Margin is the largest difference of two clocks. Default 1 min.
	Margin time.Duration
	// DecideWithin bounds the wait for a decision. Default 3 s.
	DecideWithin time.Duration
	// GrantTTL is how long after its claim a request may be dispatched. Default 1 min.
	GrantTTL time.Duration
	// Stale is the age at which a key without a result counts as lost. Default 10 min.
	Stale time.Duration
	// MaxWaiting bounds the undecided claims of a shard. Default 1024.
	MaxWaiting int
	// MaxKeys bounds the keys kept for a followed shard. Default 100,000.
	MaxKeys int
	// AnswerLimit is the longest answer kept on the log, in bytes. Default 4 KiB.
	AnswerLimit int
	// AnswerBytes bounds the answers in memory: per followed shard those on the
	// log, and per shard those of this daemon's own. Default 4 MiB.
	AnswerBytes int
	// Linger is the least time between two appends to a shard. Default 10 ms.
	Linger time.Duration
	// AppendsPerSecond bounds this daemon's appends to all shards. Default 40:
	// seven daemons stay below 300.
	AppendsPerSecond float64
	// TokenTTL is how long a bound token can be used. Default 10 min.
	TokenTTL time.Duration
	// MaxTokens bounds the bound tokens in use. Default 100,000.
	MaxTokens int
	// Follow says which shards this daemon reads; nil means all. It is asked
	// again about every second.
	Follow func(shard int) bool
	// Ask reaches the home of a shard that this daemon does not follow; required
	// when Follow is set.
	Ask AskFunc
	// Relay hands what is to be appended to a shard that this daemon does not
	// follow to the shard's home, which appends for many daemons at once; nil
	// means that this daemon appends itself.
	Relay RelayFunc
	// Dead says that an incarnation is known to have ended; nil means never known.
	Dead func(wire.NodeID) bool
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Fixed sizes.
const (
	markersPerLifetime = 4
	maxBatchClaims     = 256
	maxBatchAnswers    = 256 << 10 // bytes
	maxResults         = 4096
	resultLinger       = 200 * time.Millisecond
	readMax            = 512 // records per read
	readWait           = 5 * time.Second
	appendTimeout      = 2 * time.Second
	flushTimeout       = time.Second
	idleWait           = 5 * time.Second
	followCheck        = time.Second
)

func (o *Options) setDefaults() {
	orDefault(&o.Shards, 4)
	orDefault(&o.Lifetime, time.Hour)
	orDefault(&o.Retention, 2*time.Hour)
	orDefault(&o.Margin, time.Minute)
	orDefault(&o.DecideWithin, 3*time.Second)
	orDefault(&o.GrantTTL, time.Minute)
	orDefault(&o.Stale, 10*time.Minute)
	orDefault(&o.MaxWaiting, 1024)
	orDefault(&o.MaxKeys, 100_000)
	orDefault(&o.AnswerLimit, 4<<10)
	orDefault(&o.AnswerBytes, 4<<20)
	orDefault(&o.Linger, 10*time.Millisecond)
	orDefault(&o.AppendsPerSecond, 40)
	orDefault(&o.TokenTTL, 10*time.Minute)
	orDefault(&o.MaxTokens, 100_000)
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Dead == nil {
		o.Dead = func(wire.NodeID) bool { return false }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// validate refuses settings under which a key could be granted twice.
func (o *Options) validate() error {
	marker := o.Lifetime / markersPerLifetime
	switch {
	case o.Log == nil:
		return errors.New("claims: no log")
	case o.Self.Instance == "":
		return errors.New("claims: no instance name")
	case o.Shards < 1:
		return errors.New("claims: shards must be at least 1")
	case o.Relay != nil && o.Follow == nil:
		return errors.New("claims: records are to be relayed and every shard is followed")
	case o.Follow != nil && o.Ask == nil:
		return errors.New("claims: shards are not all followed and there is no way to ask their homes")
	case o.Retention < o.Lifetime+marker+2*o.Margin:
		return errors.Errorf("claims: keys kept for %s need a log that keeps records for %s, not %s",
			o.Lifetime, o.Lifetime+marker+2*o.Margin, o.Retention)
	case o.GrantTTL+2*o.Margin > o.Lifetime:
		return errors.Errorf("claims: a grant of %s must end two margins of %s before the key's %s",
			o.GrantTTL, o.Margin, o.Lifetime)
	}
	return nil
}

func (o *Options) machine() machineConfig {
	return machineConfig{
		Index:        IndexConfig{Lifetime: o.Lifetime, Margin: o.Margin, MaxKeys: o.MaxKeys, AnswerBytes: o.AnswerBytes},
		GrantTTL:     o.GrantTTL,
		Stale:        o.Stale,
		MaxWaiting:   o.MaxWaiting,
		Linger:       o.Linger,
		ResultLinger: resultLinger,
		MarkEvery:    o.Lifetime / markersPerLifetime,
		MaxBatch:     maxBatchClaims, MaxBatchBytes: maxBatchAnswers, MaxResults: maxResults,
		AnswerLimit: o.AnswerLimit, AnswerBytes: o.AnswerBytes,
	}
}
