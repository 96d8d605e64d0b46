package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// prefixCache is an LRU cache of the blocks of prompt prefixes, with a log of its
// events. All adapters of a model share their blocks here, whereas real engines
// keep the blocks of each adapter apart.
type prefixCache struct {
	maxBlocks    int
	publishDelay time.Duration
	dropRate     float64
	rng          *rand.Rand
	blocks       map[uint64]*list.Element
	lru          *list.List   // elements of type block, most recently used first
	nextSeq      uint64       // sequence number of the next event
	events       []cacheEvent // by sequence number, at most maxCacheEvents
}

// block is a cached block of prompt tokens, identified by the hash of the prefix
// that it ends.
type block struct {
	hash  uint64
	model string
}

// cacheEvent is an event and the time at which it occurred.
type cacheEvent struct {
	engineapi.CacheEvent
	at time.Time
}

func newPrefixCache(cfg *Config, rng *rand.Rand) *prefixCache {
	return &prefixCache{
		maxBlocks:    cfg.CacheBlocks,
		publishDelay: cfg.EventDelay,
		dropRate:     cfg.EventDrop,
		rng:          rng,
		blocks:       make(map[uint64]*list.Element),
		lru:          list.New(),
		nextSeq:      1,
	}
}

// cachedPrefix returns the number of leading blocks that are in the cache.
func (c *prefixCache) cachedPrefix(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if c.blocks[h] == nil {
			break
		}
		n++
	}
	return n
}

// store adds the blocks of a prompt and evicts the least recently used ones. It
// touches the last block first, so that the end of a prompt is evicted before
// its beginning.
func (c *prefixCache) store(now time.Time, model string, hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(now, block{hash: hashes[i], model: model})
	}
	for c.lru.Len() > c.maxBlocks {
		last := c.lru.Back()
		b := c.lru.Remove(last).(block)
		delete(c.blocks, b.hash)
		c.emit(now, b, true)
	}
}

// touch adds a block or marks it as the most recently used.
func (c *prefixCache) touch(now time.Time, b block) {
	if e := c.blocks[b.hash]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[b.hash] = c.lru.PushFront(b)
	c.emit(now, b, false)
}

// emit assigns the next sequence number to an event and keeps the event for
// publication unless it is dropped at random. A dropped event also uses a
// number, so that readers can detect the gap.
func (c *prefixCache) emit(now time.Time, b block, evicted bool) {
	e := cacheEvent{at: now}
	e.CacheEvent = engineapi.CacheEvent{Seq: c.nextSeq, Block: b.hash, Model: b.model, Evicted: evicted}
	c.nextSeq++
	if c.rng.Float64() < c.dropRate {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// read returns the events from sequence number from on that are at least
// publishDelay old, and the sequence number at which the next read is to start.
func (c *prefixCache) read(now time.Time, from uint64) ([]engineapi.CacheEvent, uint64) {
	out := []engineapi.CacheEvent{}
	next := from
	for _, e := range c.events {
		if now.Sub(e.at) < c.publishDelay {
			break
		}
		if e.Seq < from {
			continue
		}
		out = append(out, e.CacheEvent)
		next = e.Seq + 1
	}
	return out, max(next, 1)
}
