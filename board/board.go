package board

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Board is not safe for concurrent use; Holder wraps it.
type Board struct {
	cfg     Config
	version *bundle.Version
	entries map[string]*entry
	// names are the bundle's upstreams in order, the index of wire.BoardRow, and
	// namesSince the lowest version known to have had the same ones.
	names      []string
	namesSince uint64
	pools      map[string]*poolState
	learned    map[string]*learned // by pool
	built      map[string]*policy.Pool
	meanWeight float64
	prefix     *prefixIndex
	peers      peerNotices
	// cutOff names the data centres that were taken as cut off and not heard of since.
	cutOff map[string]bool
	// urgent is set by changes of who may take new work: those must be seen by
	// the next decision, while a change of load may wait a few milliseconds.
	urgent, dirty bool
	// wake is the next time at which a snapshot changes without an event.
	wake time.Time
}

// poolState is one pool and whether its part of the next snapshot must be built.
type poolState struct {
	members []*entry
	dirty   bool
	// wake is when the pool changes without an event: an ejection or a notice ends,
	// or a weight has grown.
	wake time.Time
}

// New returns an empty board. Nothing can be planned on its snapshots before
// SetVersion.
func New(cfg Config) *Board {
	return &Board{
		cfg:        cfg.withDefaults(),
		entries:    map[string]*entry{},
		pools:      map[string]*poolState{},
		built:      map[string]*policy.Pool{},
		meanWeight: 1,
		prefix:     newPrefixIndex(),
		peers:      peerNotices{},
		cutOff:     map[string]bool{},
	}
}

// SetVersion puts a bundle version in force. Upstreams which are gone are
// forgotten, and so are those whose address changed; the others keep what is
// known of them. A version that is not newer is ignored.
func (b *Board) SetVersion(now time.Time, v *bundle.Version) {
	if v == nil || (b.version != nil && v.Number <= b.version.Number) {
		return
	}
	old := b.version
	b.version = v
	b.meanWeight = policy.MeanWeight(v.Bundle)
	b.urgent, b.dirty = true, true
	if changed, ok := b.changedOnly(old, v); ok {
		b.change(now, v, changed)
		return
	}
	if old != nil && sameUpstreams(old.Bundle, v.Bundle) {
		return
	}
	b.learned = learnedByPool(v.Bundle, b.learned)
	entries := make(map[string]*entry, len(v.Bundle.Upstreams))
	for name, up := range v.Bundle.Upstreams {
		entries[name] = b.entryFor(now, name, up, v)
	}
	b.entries = entries
	b.setNames(slices.Sorted(maps.Keys(entries)), v.Number)
	b.sortPools()
	b.prefix = b.prefix.keep(entries)
}

// sameUpstreams says that two versions differ in nothing that entries and pools
// are made of. Most versions change teams or targets only, and come every two
// seconds at the design size.
func sameUpstreams(a, b *bundle.Bundle) bool {
	return samePolicy(a, b) && maps.Equal(a.Upstreams, b.Upstreams)
}

// samePolicy says that two versions differ in nothing but upstreams that entries and
// pools are made of.
func samePolicy(a, b *bundle.Bundle) bool {
	return a.Policy.UrgentHeadroom == b.Policy.UrgentHeadroom &&
		maps.EqualFunc(a.Models, b.Models, samePools) &&
		maps.Equal(a.Pools, b.Pools)
}

func samePools(a, b bundle.Model) bool {
	return a.DecodePool == b.DecodePool && a.PrefillPool == b.PrefillPool
}

// entryFor returns the entry of an upstream under a new version. One that has another
// address or was started again knows nothing of before, and neither is anything known of
// it.
func (b *Board) entryFor(now time.Time, name string, up bundle.Upstream, v *bundle.Version) *entry {
	e := b.entries[name]
	if e == nil || e.spec.Address != up.Address || e.spec.Life != up.Life {
		e = &entry{name: name, spec: up}
		b.prefix.forget(name)
	}
	if e.spec != up && up.State == bundle.StateServing {
		e.notices.clear()
	}
	e.spec = up
	e.pool = v.Bundle.Pools[up.Pool]
	e.learned = b.learned[up.Pool]
	e.replica = nil
	e.expireNotices(now, b.cfg)
	return e
}

func (b *Board) setNames(names []string, number uint64) {
	if !slices.Equal(names, b.names) {
		b.names, b.namesSince = names, number
	}
}

func (b *Board) sortPools() {
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
	b.built = map[string]*policy.Pool{}
}

// touch marks what is known of e as changed; urgent when it may or may not take
// new work from now on.
func (b *Board) touch(e *entry, urgent bool) {
	e.replica = nil
	b.pools[e.spec.Pool].dirty = true
	b.dirty = true
	b.urgent = b.urgent || urgent
}

// Report takes a load that an upstream itself told, in an answer or to this
// daemon as its steward; age is how long ago that was. A report that is not
// newer than what is known is ignored.
func (b *Board) Report(now time.Time, upstream string, l engineapi.Load, age time.Duration) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	restarted := e.heard && l.Incarnation != e.incarnation
	if restarted && l.Incarnation == e.former {
		return
	}
	if restarted {
		b.restart(now, e)
	}
	if l.Leaving {
		b.Leaving(now, upstream, FromUpstream)
	}
	at := now.Add(-max(0, age) - b.cfg.ReportLag)
	if e.heard && !restarted && !e.newer(l, at) {
		return
	}
	e.setLoad(l, at)
	b.touch(e, restarted)
}

// restart forgets what was true of an upstream's former life: notices that it is
// leaving, its failures and its cache. It returns slowly, its caches being cold.
func (b *Board) restart(now time.Time, e *entry) {
	e.former = e.incarnation
	e.loadAt = time.Time{}
	e.notices.clear()
	e.health = health{recovering: now}
	clear(e.spoilt)
	b.prefix.forget(e.name)
}

// Failed takes the failure of a call to an upstream that does not tell a
// request's fault: a connection refused or broken, a timeout, an internal error.
func (b *Board) Failed(now time.Time, upstream string) {
	if e := b.entries[upstream]; e != nil && e.health.failed(now, b.cfg) {
		b.touch(e, true)
	}
}

// Succeeded takes the success of a call to an upstream.
func (b *Board) Succeeded(now time.Time, upstream string) {
	if e := b.entries[upstream]; e != nil {
		b.answered(now, e)
		e.health.succeeded(now, b.cfg)
	}
}

// Observation is what one prefill showed of an engine.
type Observation struct {
	// PrefillTokens are the prompt tokens that were computed, without the cached.
	PrefillTokens int
	// AheadTokens is the plan's AheadTokens: the prompt tokens that were computed
	// before these while the call waited.
	AheadTokens int
	// PrefillTime is how long the prefill call took.
	PrefillTime time.Duration
	// Prefix holds the block hashes of the prompt, which the engine now holds, and
	// CachedTokens is what it held before. Both may be left out.
	Prefix       []uint64
	CachedTokens int
}

// Observed takes what a finished prefill showed: the engine's speed, and that it
// holds the prompt's blocks. The second is what most daemons know of a cache,
// since events reach only the engine's steward.
func (b *Board) Observed(now time.Time, upstream string, o Observation) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	if len(o.Prefix) > 0 {
		b.prefix.of(upstream, b.cfg).observed(o.Prefix, o.CachedTokens, b.cfg.PrefixBlocks)
		b.dirty = true
	}
	if e.learnPrefill(now, o) {
		b.touch(e, false)
	}
	if o.AheadTokens == 0 && o.PrefillTokens >= minLearnTokens {
		b.learnModel(now, e, func(l *learned) { l.prefill.Add(now, o.PrefillTime/time.Duration(o.PrefillTokens)) })
	}
	b.answered(now, e)
	e.health.succeeded(now, b.cfg)
}

// Snapshot returns what is known as an immutable snapshot. Pools that did not
// change since the last one are shared with it.
func (b *Board) Snapshot(now time.Time) *policy.Snapshot {
	content, number := &bundle.Bundle{}, uint64(0)
	if b.version != nil {
		content, number = b.version.Bundle, b.version.Number
	}
	b.buildPools(now, content.Policy.UrgentHeadroom)
	b.prefix.publish()
	b.urgent, b.dirty = false, false
	return policy.AssembleSnapshot(content, number, now, b.built, b.prefix, b.meanWeight)
}

func (b *Board) buildPools(now time.Time, headroom float64) {
	cloned := false
	b.wake = time.Time{}
	for name, p := range b.pools {
		if p.dirty || due(p.wake, now) {
			if !cloned {
				b.built = maps.Clone(b.built)
				cloned = true
			}
			b.built[name] = p.build(now, b.cfg, headroom)
		}
		b.wake = earlier(b.wake, p.wake)
	}
}

func (p *poolState) build(now time.Time, cfg Config, headroom float64) *policy.Pool {
	list := make([]*policy.Replica, 0, len(p.members))
	p.dirty, p.wake = false, time.Time{}
	for _, e := range p.members {
		if e.expireNotices(now, cfg); !e.takesNewWork() {
			p.wake = earlier(p.wake, e.notices.lapses(cfg))
			continue
		}
		list = append(list, e.asReplica(now, cfg))
		p.wake = earlier(p.wake, earlier(e.health.changes(now, cfg), e.lapses))
	}
	return policy.NewPool(list, now, headroom)
}

// due says whether a set time has come.
func due(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// earlier returns the earlier of two times, of which zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
