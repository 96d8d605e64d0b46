package board

import (
	"time"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// entry is the state of one upstream.
type entry struct {
	name string
	spec bundle.Upstream
	pool bundle.Pool

	// reported is set once the upstream itself has reported its load. incarnation and
	// seq are those of its last report, and previousIncarnation is the incarnation
	// before its last restart.
	reported            bool
	incarnation         uint64
	previousIncarnation uint64
	seq                 uint64

	// The last load, reported by the upstream itself or by a peer. step is the time
	// between output tokens, 0 if the upstream does not report it. linkFreeAt is when
	// its KV link becomes free, and loadAt the time at which the load was true.
	slots        int
	active       int
	queued       int
	queuedTokens int
	step         time.Duration
	linkFreeAt   time.Time
	loadAt       time.Time
	loadSource   LoadSource

	// prefillPerToken is the estimated time to compute one prompt token, 0 if unknown,
	// and prefillAt the time of its last sample.
	prefillPerToken time.Duration
	prefillAt       time.Time
	// tokenInterval is the mean time between output tokens, in nanoseconds, measured on
	// the answers that this upstream streamed. estimates is shared with the other
	// engines of the same model; nil for plain services.
	tokenInterval estimate.Mean
	estimates     *modelEstimates
	health        health
	// unansweredAt is when the upstream last failed to answer in time; zero if it has
	// answered since. answeredAt is the time of its last answer. refused is set if its
	// host refused the last connection. ejectedWithDC is set while the upstream is
	// ejected because its whole data centre is considered unreachable.
	unansweredAt, answeredAt time.Time
	refused                  bool
	ejectedWithDC            bool
	notices                  notices
	// stated is what the upstream has stated of its availability. It is a copy: the entry goes
	// with the registration, the statement does not.
	stated availability.State
	// failedHandoffs is the set of engines with which handoffs have failed since this
	// engine's last successful handoff.
	failedHandoffs map[string]bool
	// replica caches the entry's last replica; nil when it must be rebuilt.
	// replicaExpiry is when an estimate used in it expires.
	replica       *policy.Replica
	replicaExpiry time.Time
}

func (e *entry) setLoad(l engineapi.Load, at time.Time) {
	e.reported, e.incarnation, e.seq = true, l.Incarnation, l.Seq
	e.slots = l.Slots
	e.active, e.queued, e.queuedTokens = l.Active, l.Queued, l.QueuedTokens
	e.step = time.Duration(l.StepMS * float64(time.Millisecond))
	e.linkFreeAt = at.Add(time.Duration(l.LinkBusyMS) * time.Millisecond)
	e.loadAt, e.loadSource = at, LoadFromUpstream
}

// newer reports whether a load report of the same incarnation is newer than the current
// one. A repeated report (same Seq) is not newer, so the load keeps its original age.
// Seq 0 means that the engine does not number its reports.
func (e *entry) newer(l engineapi.Load, at time.Time) bool {
	if l.Seq != 0 && l.Seq <= e.seq {
		return false
	}
	return at.After(e.loadAt)
}

// serving reports whether the upstream is in state serving and has no notice that it is
// leaving. It ignores ejections, which are stored in the replica instead.
func (e *entry) serving() bool {
	return e.spec.State == bundle.StateServing && !e.notices.any() && !e.stated.Leaving
}

// asReplica returns the entry as a replica for a snapshot. It rebuilds the replica only
// if something has changed.
func (e *entry) asReplica(now time.Time, cfg Config) *policy.Replica {
	if due(e.replicaExpiry, now) {
		e.replica = nil
	}
	if due(e.prefillExpiry(), now) {
		e.prefillPerToken = 0
	}
	weight := min(e.health.weight(now, cfg), e.restWeight(now, cfg))
	if e.replica != nil && e.replica.Weight == weight {
		return e.replica
	}
	e.replicaExpiry = e.nextExpiry(now)
	step, stepMeasured := e.stepEstimate(now)
	e.replica = &policy.Replica{
		Name:               e.name,
		Address:            e.spec.Address,
		DataCentre:         e.spec.DataCentre,
		Pool:               e.spec.Pool,
		Version:            e.spec.Version,
		Incarnation:        e.spec.Incarnation,
		Slots:              e.slotCount(),
		MemoryTokens:       e.pool.MemoryTokens,
		Queues:             e.pool.Queues,
		Active:             e.active,
		Queued:             e.queued,
		QueuedTokens:       e.queuedTokens,
		Step:               step,
		StepMeasured:       stepMeasured,
		PrefillPerToken:    e.prefillEstimate(now),
		LinkBytesPerSecond: e.pool.LinkBytesPerSecond,
		LinkFreeAt:         e.linkFreeAt,
		LoadAt:             e.loadAt,
		EjectedAt:          e.health.ejectedAt,
		EjectedUntil:       e.health.ejectedUntil,
		Silent:             e.silent(),
		RestUntil:          e.stated.RestEnd,
		Weight:             weight,
	}
	return e.replica
}

// slotCount returns the number of slots that the upstream reported, limited to the
// number configured for its pool. If either is missing, it returns the other.
func (e *entry) slotCount() int {
	if e.slots <= 0 {
		return e.pool.Slots
	}
	if e.pool.Slots <= 0 {
		return e.slots
	}
	return min(e.slots, e.pool.Slots)
}

const (
	// minPrefillSample is the least number of computed tokens in a prefill that updates
	// the estimate. The duration of shorter calls is mostly overhead.
	minPrefillSample = 64
	// decreaseWeight and increaseWeight are the weights of a new sample that is below
	// or above the estimate. A call may have waited in a queue unknown to this daemon,
	// but it is never faster than the engine, so faster samples get more weight.
	decreaseWeight, increaseWeight = 0.5, 0.1
	// prefillLifetime is how long an estimate is valid after its last sample. While an
	// estimate is too high, admission control refuses the requests that would correct
	// it, so it must expire.
	prefillLifetime = 30 * time.Second
)

// updatePrefill updates the estimate of the prefill time per token. It returns false if
// the observation is too small to be used.
func (e *entry) updatePrefill(now time.Time, o PrefillResult) bool {
	if o.PrefillTokens < minPrefillSample || o.PrefillTime <= 0 {
		return false
	}
	sample := o.PrefillTime / time.Duration(o.PrefillTokens+max(0, o.TokensAhead))
	if due(e.prefillExpiry(), now) {
		e.prefillPerToken = 0
	}
	e.prefillAt = now
	if e.prefillPerToken == 0 {
		e.prefillPerToken = sample
		return true
	}
	weight := increaseWeight
	if sample < e.prefillPerToken {
		weight = decreaseWeight
	}
	e.prefillPerToken += time.Duration(weight * float64(sample-e.prefillPerToken))
	return true
}

// prefillExpiry returns when the estimate of the prefill time expires; zero if there is
// none.
func (e *entry) prefillExpiry() time.Time {
	if e.prefillPerToken == 0 {
		return time.Time{}
	}
	return e.prefillAt.Add(prefillLifetime)
}
