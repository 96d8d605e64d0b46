package board

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Board holds the state of all upstreams and builds snapshots of it. It is not safe for
// concurrent use; Holder adds the locking.
type Board struct {
	cfg     Config
	version *bundle.Version
	entries map[string]*entry
	// names are the sorted names of the bundle's upstreams. wire.BoardRow refers to an
	// upstream by its index in this list. namesSince is the lowest bundle number seen
	// with this list.
	names      []string
	namesSince uint64
	pools      map[string]*poolState
	estimates  map[string]*modelEstimates // by pool name
	builtPools map[string]*policy.Pool
	meanWeight float64
	prefix     *prefixIndex
	peers      peerNotices
	// unreachableDCs is the set of data centres that are considered unreachable. A data
	// centre is removed when one of its upstreams answers.
	unreachableDCs map[string]bool
	// availabilityChanged is set when an upstream may take new requests from now on or
	// no longer may, because of a notice, an ejection or a restart. The next snapshot
	// must contain such a change, while a change of load, which sets only dirty, may
	// wait a few milliseconds.
	availabilityChanged, dirty bool
	// nextChange is the next time at which a snapshot changes only because time has
	// passed, without a call that updates the board; zero for never.
	nextChange time.Time
}

// poolState holds the entries of one pool. dirty is set when the pool must be rebuilt
// for the next snapshot.
type poolState struct {
	members []*entry
	dirty   bool
	// nextChange is when the pool changes only because time has passed: an ejection
	// ends, a notice or an estimate expires, or the weight of a replica in slow start
	// has grown. Zero for never.
	nextChange time.Time
}

// New returns an empty board. Its snapshots contain no upstreams before the first
// SetVersion.
func New(cfg Config) *Board {
	return &Board{
		cfg:            cfg.withDefaults(),
		entries:        map[string]*entry{},
		pools:          map[string]*poolState{},
		builtPools:     map[string]*policy.Pool{},
		meanWeight:     1,
		prefix:         newPrefixIndex(),
		peers:          peerNotices{},
		unreachableDCs: map[string]bool{},
	}
}

// SetVersion makes v the bundle version in force. Entries of upstreams that v no longer
// contains are removed, and those of upstreams whose address or incarnation changed
// start empty; all others keep their state. A version that is not newer than the
// current one is ignored.
func (b *Board) SetVersion(now time.Time, v *bundle.Version) {
	if v == nil || (b.version != nil && v.Number <= b.version.Number) {
		return
	}
	old := b.version
	b.version = v
	b.meanWeight = policy.MeanWeight(v.Bundle)
	b.availabilityChanged, b.dirty = true, true
	if changed, ok := b.changedUpstreams(old, v); ok {
		b.applyChanges(now, v, changed)
		return
	}
	if old != nil && sameUpstreams(old.Bundle, v.Bundle) {
		return
	}
	b.estimates = estimatesByPool(v.Bundle, b.estimates)
	entries := make(map[string]*entry, len(v.Bundle.Upstreams))
	for name, up := range v.Bundle.Upstreams {
		entries[name] = b.entryFor(now, name, up, v)
	}
	b.entries = entries
	b.setNames(slices.Sorted(maps.Keys(entries)), v.Number)
	b.groupByPool()
	b.prefix = b.prefix.forEntries(entries)
}

// sameUpstreams reports whether two bundles have the same upstreams, pools and policy,
// so that entries and pools need no update. Most versions change only teams or targets;
// in a fleet of the largest supported size one arrives every two seconds.
func sameUpstreams(a, b *bundle.Bundle) bool {
	return samePolicy(a, b) && maps.Equal(a.Upstreams, b.Upstreams)
}

// samePolicy reports whether two bundles agree in everything that entries and pools are
// built from, except the upstreams themselves.
func samePolicy(a, b *bundle.Bundle) bool {
	return a.Policy.UrgentHeadroom == b.Policy.UrgentHeadroom &&
		maps.EqualFunc(a.Models, b.Models, samePools) &&
		maps.Equal(a.Pools, b.Pools)
}

func samePools(a, b bundle.Model) bool {
	return a.DecodePool == b.DecodePool && a.PrefillPool == b.PrefillPool
}

// entryFor returns the entry of an upstream, updated to a new bundle version. An
// upstream that is new, restarted (its Incarnation or Version differs) or has another address gets
// an empty entry, because its earlier load, health and cache say nothing about it.
func (b *Board) entryFor(now time.Time, name string, up bundle.Upstream, v *bundle.Version) *entry {
	e := b.entries[name]
	if e == nil || e.spec.Address != up.Address || e.spec.Incarnation != up.Incarnation || e.spec.Version != up.Version {
		e = &entry{name: name, spec: up}
		b.prefix.reset(name)
	}
	if e.spec != up && up.State == bundle.StateServing {
		e.notices.clearOthers()
	}
	e.spec = up
	e.stated = b.cfg.Stated(name, up.Incarnation)
	e.pool = v.Bundle.Pools[up.Pool]
	e.estimates = b.estimates[up.Pool]
	e.replica = nil
	e.expireNotices(now, b.cfg)
	return e
}

func (b *Board) setNames(names []string, number uint64) {
	if !slices.Equal(names, b.names) {
		b.names, b.namesSince = names, number
	}
}

func (b *Board) groupByPool() {
	b.pools = map[string]*poolState{}
	for _, name := range b.names {
		e := b.entries[name]
		p := b.pools[e.spec.Pool]
		if p == nil {
			p = &poolState{dirty: true}
			b.pools[e.spec.Pool] = p
		}
		p.members = append(p.members, e)
	}
	b.builtPools = map[string]*policy.Pool{}
}

// markChanged marks e for inclusion in the next snapshot. availability says that e may
// take new requests from now on or no longer may.
func (b *Board) markChanged(e *entry, availability bool) {
	e.replica = nil
	b.pools[e.spec.Pool].dirty = true
	b.dirty = true
	b.availabilityChanged = b.availabilityChanged || availability
}

// ApplyReport applies a load report that came from the upstream itself, either with an
// answer or because this daemon polls it as its steward. age is the time since the
// report was made. A report that is not newer than the current one is ignored.
func (b *Board) ApplyReport(now time.Time, upstream string, l engineapi.Load, age time.Duration) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	restarted := e.reported && l.Incarnation != e.incarnation
	if restarted && l.Incarnation == e.previousIncarnation {
		return
	}
	if restarted {
		b.resetAfterRestart(now, e)
	}
	if l.Leaving {
		b.MarkLeaving(now, upstream, FromUpstream)
	}
	if now.Add(-max(0, age)).After(e.health.ejectedAt) {
		b.endSilence(now, e)
	}
	at := now.Add(-max(0, age) - b.cfg.ReportLag)
	if e.reported && !restarted && !e.newer(l, at) {
		return
	}
	e.setLoad(l, at)
	b.markChanged(e, restarted)
}

// resetAfterRestart clears what applied only to an upstream's previous incarnation:
// leaving notices, failures and cached prefixes. The upstream goes through a slow start
// because its caches are empty.
func (b *Board) resetAfterRestart(now time.Time, e *entry) {
	e.previousIncarnation = e.incarnation
	e.loadAt = time.Time{}
	e.notices.clear()
	e.health, e.stated = health{rampStart: now}, availability.State{}
	b.cfg.OnRestart(e.name)
	clear(e.failedHandoffs)
	b.prefix.reset(e.name)
}

// RecordFailure records a failed call to an upstream. Only failures that are not caused by the
// request count: a refused or broken connection, a timeout, an internal error.
func (b *Board) RecordFailure(now time.Time, upstream string) {
	if e := b.entries[upstream]; e != nil && e.health.recordFailure(now, b.cfg) {
		b.markChanged(e, true)
	}
}

// RecordSuccess records a successful call to an upstream.
func (b *Board) RecordSuccess(now time.Time, upstream string) {
	if e := b.entries[upstream]; e != nil {
		b.markAnswered(now, e)
		e.health.recordSuccess(now, b.cfg)
	}
}

// PrefillResult is the result of one prefill call.
type PrefillResult struct {
	// PrefillTokens is the number of prompt tokens computed, excluding cached ones.
	PrefillTokens int
	// TokensAhead is the plan's TokensAhead: the prompt tokens of other requests that
	// the engine computed first while the call waited.
	TokensAhead int
	// PrefillTime is the duration of the prefill call, including time in the engine's
	// queue.
	PrefillTime time.Duration
	// Prefix holds the hashes of the prompt's blocks, all of which the engine has
	// cached now. CachedTokens is how many of the prompt's tokens it had cached before
	// the call. Both are optional.
	Prefix       []uint64
	CachedTokens int
}

// RecordPrefill records a finished prefill: it updates the estimate of the engine's speed
// and adds the prompt's blocks to the engine's prefix set. For most daemons the latter
// is the only source for the prefix set, because cache events are sent only to the
// engine's steward.
func (b *Board) RecordPrefill(now time.Time, upstream string, o PrefillResult) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	if len(o.Prefix) > 0 {
		b.prefix.writableCache(upstream, b.cfg).recordPrompt(o.Prefix, o.CachedTokens, b.cfg.PrefixBlocks)
		b.dirty = true
	}
	if e.updatePrefill(now, o) {
		b.markChanged(e, false)
	}
	if o.TokensAhead == 0 && o.PrefillTokens >= minPrefillSample {
		b.updateEstimates(now, e, func(l *modelEstimates) { l.prefill.Add(now, o.PrefillTime/time.Duration(o.PrefillTokens)) })
	}
	b.markAnswered(now, e)
	e.health.recordSuccess(now, b.cfg)
}

// Snapshot returns an immutable snapshot of the board. Pools that have not changed
// since the previous snapshot are shared with it.
func (b *Board) Snapshot(now time.Time) *policy.Snapshot {
	content, number := &bundle.Bundle{}, uint64(0)
	if b.version != nil {
		content, number = b.version.Bundle, b.version.Number
	}
	b.buildPools(now, content.Policy.UrgentHeadroom)
	b.prefix.publish()
	b.availabilityChanged, b.dirty = false, false
	return policy.AssembleSnapshot(content, number, now, b.builtPools, b.prefix, b.meanWeight)
}

func (b *Board) buildPools(now time.Time, headroom float64) {
	cloned := false
	b.nextChange = time.Time{}
	for name, p := range b.pools {
		if p.dirty || due(p.nextChange, now) {
			if !cloned {
				b.builtPools = maps.Clone(b.builtPools)
				cloned = true
			}
			b.builtPools[name] = p.build(now, b.cfg, headroom)
		}
		b.nextChange = earlier(b.nextChange, p.nextChange)
	}
}

func (p *poolState) build(now time.Time, cfg Config, headroom float64) *policy.Pool {
	list := make([]*policy.Replica, 0, len(p.members))
	p.dirty, p.nextChange = false, time.Time{}
	for _, e := range p.members {
		if e.expireNotices(now, cfg); !e.serving() {
			p.nextChange = earlier(p.nextChange, e.notices.peerExpiry(cfg))
			continue
		}
		list = append(list, e.asReplica(now, cfg))
		p.nextChange = earlier(p.nextChange, earlier(e.health.nextChange(now, cfg), e.replicaExpiry))
		p.nextChange = earlier(p.nextChange, e.nextRestChange(now, cfg))
	}
	return policy.NewPool(list, now, headroom)
}

// RecordStatement records that an upstream has stated something of its availability. Snapshots respect
// it from then on.
func (b *Board) RecordStatement(upstream string) {
	if e := b.entries[upstream]; e != nil {
		e.stated = b.cfg.Stated(upstream, e.spec.Incarnation)
		b.markChanged(e, true)
	}
}

// due reports whether t is set and has been reached.
func due(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// earlier returns the earlier of two times. The zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
