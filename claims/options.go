package claims

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// Log is the part of the platform's log that this package uses. infra.Log
// implements it.
type Log interface {
	Append(ctx context.Context, stream string, records ...[]byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (infraapi.ReadReply, error)
}

// HomeLookupFunc asks a home of a shard, which is a daemon that follows the shard, for the
// state of a key. The home answers with Gate.ServeLookup.
type HomeLookupFunc func(ctx context.Context, shard int, get wire.ClaimGet) (wire.ClaimState, error)

// Options configure a Gate. Zero values select the defaults given below.
type Options struct {
	// Log contains the streams of all shards. It is required.
	Log Log
	// Logger writes the log lines of this package. Default log.Log.
	Logger log.Interface
	// Self is this incarnation of the daemon. Its incarnation number must never
	// have been used before by this instance.
	Self wire.NodeID
	// Shards is the number of streams. It must be the same for all daemons, and
	// must not change while keys are remembered. Default 4.
	Shards int
	// Lifetime is how long a key is remembered after its last claim. Default 1 h.
	Lifetime time.Duration
	// Retention is how long the log keeps records. It must be at least Lifetime,
	// plus the marker interval (a quarter of Lifetime), plus twice Margin. Default
	// 2 h.
	Retention time.Duration
	// MaxClockSkew is the largest difference expected between two clocks. Default 1 min.
	MaxClockSkew time.Duration
	// DecisionTimeout limits how long a claim waits for a decision. Default 3 s.
	DecisionTimeout time.Duration
	// GrantTTL is how long after its arrival a request may be dispatched. Default
	// 1 min.
	GrantTTL time.Duration
	// StaleAfter is the age at which a claim without a result counts as lost: the
	// outcome of its request is then unknown. Default 10 min.
	StaleAfter time.Duration
	// MaxWaiting is the largest number of claims per shard that wait for a
	// decision. The lookups of other daemons that wait, and their records that wait to be
	// appended, are each limited to the same number. Default 1024.
	MaxWaiting int
	// MaxKeys is the largest number of keys held per followed shard. Default
	// 100,000.
	MaxKeys int
	// AnswerLimit is the size, in bytes, up to which an answer is written to the
	// log. Default 4 KiB.
	AnswerLimit int
	// AnswerBytes limits the answers cached in memory. It applies separately to the
	// answers read from each followed shard, to the answers of this daemon's own
	// claims on each shard, and to the answers of bound tokens. Default 4 MiB.
	AnswerBytes int
	// Linger is the shortest time between two appends to a shard. Default 10 ms.
	Linger time.Duration
	// AppendsPerSecond limits the appends of this daemon to all shards together.
	// Default 40, with which seven daemons together stay below 300 per second.
	AppendsPerSecond float64
	// TokenTTL is how long a bound token can be used after it was issued. Default
	// 10 min.
	TokenTTL time.Duration
	// MaxTokens is the largest number of bound tokens remembered as used. Default
	// 100,000.
	MaxTokens int
	// Follow reports whether this daemon should read a shard; nil means that it
	// reads all. It is called again about every second.
	Follow func(shard int) bool
	// LookupAtHome looks a key up at a home of a shard that this daemon does not follow. It
	// is required if Follow is set.
	LookupAtHome HomeLookupFunc
	// AppendAtHome sends records for a shard that this daemon does not follow to a home of
	// the shard, which appends them together with those of other daemons. If nil,
	// this daemon appends them itself.
	AppendAtHome HomeAppendFunc
	// IsDead reports whether an incarnation is known to have ended; nil means that
	// none ever is.
	IsDead func(wire.NodeID) bool
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time
}

// Limits and intervals that are not configurable.
const (
	markersPerLifetime  = 4                      // markers per Lifetime in a stream without other records
	maxBatchClaims      = 256                    // claims, results or forwarded records per append
	maxBatchAnswers     = 256 << 10              // bytes of answers or forwarded records per append
	maxResults          = 4096                   // results per shard that wait to be appended
	resultLinger        = 200 * time.Millisecond // wait of a result to share a record with a claim
	maxReadRecords      = 512                    // records per read
	readWait            = 5 * time.Second        // longest wait of a read for new records
	appendTimeout       = 2 * time.Second        // for one append
	flushTimeout        = time.Second            // for the last append at shutdown
	maxIdleWait         = 5 * time.Second        // sleep of the append loop when no append is scheduled
	followCheckInterval = time.Second            // between calls of Options.Follow while it returns false
)

func (o *Options) setDefaults() {
	setDefault(&o.Shards, 4)
	setDefault(&o.Lifetime, time.Hour)
	setDefault(&o.Retention, 2*time.Hour)
	setDefault(&o.MaxClockSkew, time.Minute)
	setDefault(&o.DecisionTimeout, 3*time.Second)
	setDefault(&o.GrantTTL, time.Minute)
	setDefault(&o.StaleAfter, 10*time.Minute)
	setDefault(&o.MaxWaiting, 1024)
	setDefault(&o.MaxKeys, 100_000)
	setDefault(&o.AnswerLimit, 4<<10)
	setDefault(&o.AnswerBytes, 4<<20)
	setDefault(&o.Linger, 10*time.Millisecond)
	setDefault(&o.AppendsPerSecond, 40)
	setDefault(&o.TokenTTL, 10*time.Minute)
	setDefault(&o.MaxTokens, 100_000)
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.IsDead == nil {
		o.IsDead = func(wire.NodeID) bool { return false }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// setDefault sets v to d if v is zero.
func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// validate rejects missing options and options with which a key could be granted
// twice.
func (o *Options) validate() error {
	marker := o.Lifetime / markersPerLifetime
	switch {
	case o.Log == nil:
		return errors.New("claims: no log")
	case o.Self.Instance == "":
		return errors.New("claims: no instance name")
	case o.Shards < 1:
		return errors.New("claims: shards must be at least 1")
	case o.AppendAtHome != nil && o.Follow == nil:
		return errors.New("claims: AppendAtHome is set although every shard is followed")
	case o.Follow != nil && o.LookupAtHome == nil:
		return errors.New("claims: Follow is set but there is no way to ask the homes of other shards: LookupAtHome is not set")
	case o.Retention < o.Lifetime+marker+2*o.MaxClockSkew:
		return errors.Errorf("claims: keys that live for %s need a log that keeps records for at least %s, not %s",
			o.Lifetime, o.Lifetime+marker+2*o.MaxClockSkew, o.Retention)
	case o.GrantTTL+2*o.MaxClockSkew > o.Lifetime:
		return errors.Errorf("claims: a grant of %s must end at least two clock margins of %s before the key lifetime of %s",
			o.GrantTTL, o.MaxClockSkew, o.Lifetime)
	}
	return nil
}

// machineConfig returns the configuration of the Machine of each shard.
func (o *Options) machineConfig() machineConfig {
	return machineConfig{
		Index:          IndexConfig{Lifetime: o.Lifetime, Margin: o.MaxClockSkew, MaxKeys: o.MaxKeys, AnswerBytes: o.AnswerBytes},
		GrantTTL:       o.GrantTTL,
		StaleAfter:     o.StaleAfter,
		MaxWaiting:     o.MaxWaiting,
		Linger:         o.Linger,
		ResultLinger:   resultLinger,
		MarkerInterval: o.Lifetime / markersPerLifetime,
		MaxBatchClaims: maxBatchClaims, MaxBatchAnswerBytes: maxBatchAnswers, MaxResults: maxResults,
		AnswerLimit: o.AnswerLimit, AnswerBytes: o.AnswerBytes,
	}
}
