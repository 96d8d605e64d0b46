package board

import (
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	// maxSuspect is the number of gaps after which nothing of a set is believed
	// and it is cleared.
	maxSuspect = 3
	// trustEvents is how many events without a gap win back half the trust.
	trustEvents = 256
)

// prefixIndex is the prefix index of all upstreams. It implements
// policy.PrefixIndex.
//
// Error. Let believed be the blocks of a replica in the index and real those in
// its cache. Each lost or not yet delivered event makes the two differ by at
// most one block, and each block dropped for want of memory by one more that is
// real and not believed; nothing else does, apart from blocks that this daemon's
// own prefills showed and whose eviction was never told. As a prefix is a chain,
// one wrong block may hide or feign all that follow it. So a gap halves what the
// index tells of a replica, and the third clears it.
//
// The map is immutable. A set is replaced when a snapshot is built, so that an
// older snapshot may see a newer set, never a set while it changes.
type prefixIndex struct {
	caches map[string]*replicaCache
}

// replicaCache is what is believed of one replica's cache.
type replicaCache struct {
	public atomic.Pointer[blockSet]

	// The rest belongs to the board.
	set         *blockSet
	dirty       bool
	incarnation uint64
	// next is the sequence number expected of the next event; 0 before the first.
	next uint64
	// clean counts events since the last gap.
	clean int
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
	set := c.public.Load()
	if set == nil {
		return 0
	}
	return set.leading(prefix)
}

// keep returns an index over the given upstreams, with a cache for each, so that
// its map never changes while snapshots read it.
func (x *prefixIndex) keep(entries map[string]*entry) *prefixIndex {
	out := &prefixIndex{caches: make(map[string]*replicaCache, len(entries))}
	for name := range entries {
		c := x.caches[name]
		if c == nil {
			c = &replicaCache{}
		}
		out.caches[name] = c
	}
	return out
}

// of returns the cache of an upstream that the board knows, ready to be changed.
func (x *prefixIndex) of(name string, blocks int) *replicaCache {
	c := x.caches[name]
	if c.set == nil {
		c.set = newBlockSet(blocks)
	}
	c.set = c.set.writable()
	c.dirty = true
	return c
}

// forget drops what is believed of an upstream's cache.
func (x *prefixIndex) forget(name string) {
	if c := x.caches[name]; c != nil {
		c.clear()
		c.next, c.incarnation = 0, 0
	}
}

// publish shows the present sets to snapshots.
func (x *prefixIndex) publish() {
	for _, c := range x.caches {
		if !c.dirty {
			continue
		}
		c.dirty = false
		if c.set != nil {
			c.set.frozen = true
		}
		c.public.Store(c.set)
	}
}

func (c *replicaCache) clear() {
	c.set, c.dirty, c.clean = nil, true, 0
}

// CacheEvents takes cache events of an upstream, in the order of their sequence
// numbers, late, repeated or with gaps.
func (b *Board) CacheEvents(_ time.Time, upstream string, r engineapi.EventsReply) {
	if b.entries[upstream] == nil {
		return
	}
	c := b.prefix.of(upstream, b.cfg.PrefixBlocks)
	if c.incarnation != r.Incarnation && c.incarnation != 0 {
		c.clear()
		c.next = 0
		c = b.prefix.of(upstream, b.cfg.PrefixBlocks)
	}
	c.incarnation = r.Incarnation
	for _, ev := range r.Events {
		c.apply(ev, b.cfg.PrefixBlocks)
	}
	c.reach(r.Next, b.cfg.PrefixBlocks)
	b.dirty = true
}

// EventsFrom returns the sequence number from which to ask an upstream for
// cache events.
func (b *Board) EventsFrom(upstream string) uint64 {
	if c := b.prefix.caches[upstream]; c != nil {
		return c.next
	}
	return 0
}

func (c *replicaCache) apply(ev engineapi.CacheEvent, blocks int) {
	if ev.Seq < c.next {
		return
	}
	c.reach(ev.Seq, blocks)
	c.next = ev.Seq + 1
	if ev.Evicted {
		c.set.evict(ev.Block)
	} else {
		c.set.store(ev.Block)
	}
	c.trust()
}

// reach moves on to seq and takes what was skipped as a gap. The events before
// the first one heard are not a gap: nothing is believed yet that they could
// make wrong.
func (c *replicaCache) reach(seq uint64, blocks int) {
	if seq <= c.next {
		return
	}
	lost := seq - c.next
	first := c.next == 0
	c.next = seq
	if first {
		return
	}
	c.clean = 0
	c.set.suspect++
	if c.set.suspect >= maxSuspect || lost >= uint64(blocks) {
		c.set = newBlockSet(blocks)
	}
}

// trust wins back half of the trust after enough events without a gap.
func (c *replicaCache) trust() {
	c.clean++
	if c.clean < trustEvents || c.set.suspect == 0 {
		return
	}
	c.clean = 0
	c.set.suspect--
}

// observed takes a prompt that the replica has just computed, of which it held
// cachedTokens before. When that is less than believed, the belief was wrong
// from there on; the blocks are there now all the same.
func (c *replicaCache) observed(prefix []uint64, cachedTokens int) {
	believed := c.set.leading(prefix)
	for _, block := range prefix {
		c.set.store(block)
	}
	if cachedTokens < believed*engineapi.BlockTokens {
		c.set.suspect = min(c.set.suspect+1, maxSuspect-1)
		c.clean = 0
	}
}
