package board

import (
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	// unreliableShare is the estimated share of wrong blocks at which a set counts as
	// unreliable. At resetShare the set is emptied. The limits are low because every
	// wrong block also affects the blocks that follow it in a prefix.
	unreliableShare, resetShare = 1.0 / 16, 1.0 / 4
)

// prefixIndex records which prefix blocks each upstream has cached. It implements
// policy.PrefixIndex.
//
// Its sources are cache events, in which an engine reports that it stored or evicted a
// block and which only the upstream's steward receives, and the prompts that this
// daemon itself sent for prefill. Each event that is lost or not yet delivered causes
// at most one error: a block that is recorded but not cached, or cached but not
// recorded. Blocks dropped to limit memory, and emptied sets, cause only errors of the
// second kind. Blocks of this daemon's own prefills stay recorded until an eviction
// event arrives, which daemons other than the steward never receive; for them the next
// prefill of such a prompt reveals the error.
//
// A prefix matches only up to its first missing block, so one wrong block can hide or
// wrongly add all blocks after it. Therefore the number of wrong blocks of each set is
// estimated, mainly from lost events. At 1/16 of the set it counts as unreliable, and
// half of each match is ignored; at 1/4 it is emptied. The estimate decays as new
// events replace blocks of the set.
//
// The map is never modified while snapshots use it. The sets are published when a
// snapshot is built: an older snapshot may therefore see a newer set, but never one
// that is being changed.
type prefixIndex struct {
	caches map[string]*replicaCache
	// changed lists the caches with changes that are not published yet.
	changed []*replicaCache
	// uses counts the calls of writableCache and serves as a clock for lastUse.
	uses uint64
}

// replicaCache is the recorded content of one upstream's prefix cache. Snapshots read
// only published.
type replicaCache struct {
	published atomic.Pointer[blockSet]

	// The fields below are used by the board alone, never by snapshots.
	set         *blockSet
	dirty       bool
	incarnation uint64
	// next is the expected sequence number of the next event; 0 before the first one.
	next uint64
	// wrongBlocks estimates how many blocks of the set are wrong. It grows by one for
	// each lost event and for each wrong block found by a prefill, and decays with each
	// event applied.
	wrongBlocks float64
	// lastUse is the value of prefixIndex.uses when the set was last changed.
	lastUse uint64
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{caches: map[string]*replicaCache{}}
}

// CachedBlocks implements policy.PrefixIndex.
func (x *prefixIndex) CachedBlocks(replica string, prefix []uint64) int {
	c := x.caches[replica]
	if c == nil {
		return 0
	}
	set := c.published.Load()
	if set == nil {
		return 0
	}
	return set.countLeading(prefix)
}

// forEntries returns an index with a cache for each of the given upstreams. It is a new
// index because snapshots may still read the map of x.
func (x *prefixIndex) forEntries(entries map[string]*entry) *prefixIndex {
	out := &prefixIndex{caches: make(map[string]*replicaCache, len(entries)), changed: x.changed, uses: x.uses}
	for name := range entries {
		c := x.caches[name]
		if c == nil {
			c = &replicaCache{}
		}
		out.caches[name] = c
	}
	return out
}

// writableCache returns the cache of an upstream with a set that may be changed, and
// marks it as changed. The upstream must be in the index.
func (x *prefixIndex) writableCache(name string, cfg Config) *replicaCache {
	c := x.caches[name]
	if c.set == nil {
		x.evictLeastRecentlyUsed(cfg.PrefixSets)
		c.set = newBlockSet(cfg.PrefixBlocks)
	}
	x.uses++
	c.lastUse = x.uses
	c.set = c.set.writable()
	x.markChanged(c)
	return c
}

// evictLeastRecentlyUsed drops the least recently changed set if the index has reached
// its limit of sets.
//
// Without the limit, a daemon that occasionally sends a prompt to another data centre
// would end up with a set for every prefill engine of the fleet. Its memory would grow
// for hours, to more than 256 MB at 3,000 engines.
func (x *prefixIndex) evictLeastRecentlyUsed(sets int) {
	var oldest string
	n := 0
	for name, c := range x.caches {
		if c.set == nil {
			continue
		}
		n++
		if oldest == "" || c.lastUse < x.caches[oldest].lastUse {
			oldest = name
		}
	}
	if n >= sets {
		x.reset(oldest)
	}
}

func (x *prefixIndex) markChanged(c *replicaCache) {
	if !c.dirty {
		c.dirty = true
		x.changed = append(x.changed, c)
	}
}

// reset removes all recorded blocks of an upstream and the sequence number of its next
// event.
func (x *prefixIndex) reset(name string) {
	if c := x.caches[name]; c != nil {
		c.set, c.wrongBlocks = nil, 0
		c.next, c.incarnation = 0, 0
		x.markChanged(c)
	}
}

// publish makes the current sets visible to snapshots.
func (x *prefixIndex) publish() {
	for _, c := range x.changed {
		c.dirty = false
		if c.set != nil {
			c.set.frozen = true
		}
		c.published.Store(c.set)
	}
	x.changed = x.changed[:0]
}

// CacheEvents applies cache events of an upstream. They must be sorted by sequence
// number, but may be late, repeated or incomplete.
func (b *Board) CacheEvents(_ time.Time, upstream string, r engineapi.EventsReply) {
	known := b.prefix.caches[upstream]
	if known == nil || known.skipUnchanged(r) {
		return
	}
	c := b.prefix.writableCache(upstream, b.cfg)
	if c.incarnation != r.Incarnation && c.incarnation != 0 {
		b.prefix.reset(upstream)
		c = b.prefix.writableCache(upstream, b.cfg)
	}
	c.incarnation = r.Incarnation
	for _, ev := range r.Events {
		c.apply(ev)
	}
	c.advance(r.Next)
	c.updateReliability(b.cfg.PrefixBlocks)
	b.dirty = true
}

// skipUnchanged reports whether a reply contains nothing to apply. If the upstream has
// no set, it stores the position of the next event, so that no set is ever allocated
// for an engine without prefix caching.
func (c *replicaCache) skipUnchanged(r engineapi.EventsReply) bool {
	if len(r.Events) > 0 {
		return false
	}
	if c.set == nil {
		c.next, c.incarnation = r.Next, r.Incarnation
		return true
	}
	return r.Incarnation == c.incarnation && r.Next <= c.next
}

// EventsFrom returns the sequence number of the first cache event to request from an
// upstream.
func (b *Board) EventsFrom(upstream string) uint64 {
	if c := b.prefix.caches[upstream]; c != nil {
		return c.next
	}
	return 0
}

func (c *replicaCache) apply(ev engineapi.CacheEvent) {
	if ev.Seq < c.next {
		return
	}
	c.advance(ev.Seq)
	c.next = ev.Seq + 1
	if ev.Evicted {
		c.set.evict(ev.Block)
	} else {
		c.set.store(ev.Block)
	}
	c.wrongBlocks -= c.wrongBlocks / float64(c.set.capacity())
}

// advance sets the expected sequence number to seq and counts the skipped events as
// lost. Events before the first one received do not count: the set was empty then, so
// they cannot have made any of it wrong.
func (c *replicaCache) advance(seq uint64) {
	if seq <= c.next {
		return
	}
	if c.next != 0 {
		c.wrongBlocks += float64(seq - c.next)
	}
	c.next = seq
}

// updateReliability sets or clears the set's unreliable flag, or replaces the set by an
// empty one, depending on the estimated share of wrong blocks.
func (c *replicaCache) updateReliability(blocks int) {
	share := c.wrongBlocks / float64(max(1, c.set.count))
	if share >= resetShare {
		c.set, c.wrongBlocks = newBlockSet(blocks), 0
		return
	}
	c.set.unreliable = share >= unreliableShare
}

// recordPrompt adds the blocks of a prompt that the replica has just computed.
// cachedTokens is how many of its tokens the replica had cached before; if more blocks
// were recorded, the excess counts as wrong.
func (c *replicaCache) recordPrompt(prefix []uint64, cachedTokens, blocks int) {
	held := cachedTokens / engineapi.BlockTokens
	if recorded := c.set.countLeading(prefix); recorded > held {
		c.wrongBlocks += float64(recorded - held)
		c.updateReliability(blocks)
	}
	for _, block := range prefix {
		c.set.store(block)
	}
}
