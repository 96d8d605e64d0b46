package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// prefixCache is the engine's prefix cache and the log of its events. Blocks of
// all adapters of a model are shared, which real engines would keep apart.
type prefixCache struct {
	limit  int
	delay  time.Duration
	drop   float64
	rng    *rand.Rand
	blocks map[uint64]*list.Element
	recent *list.List // of block, most recently used first
	next   uint64
	events []cacheEvent
}

type block struct {
	hash  uint64
	model string
}

type cacheEvent struct {
	engineapi.CacheEvent
	at time.Time
}

func newPrefixCache(cfg *Config, rng *rand.Rand) *prefixCache {
	return &prefixCache{
		limit:  cfg.CacheBlocks,
		delay:  cfg.EventDelay,
		drop:   cfg.EventDrop,
		rng:    rng,
		blocks: make(map[uint64]*list.Element),
		recent: list.New(),
		next:   1,
	}
}

// cached returns how many leading blocks are in the cache.
func (c *prefixCache) cached(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if c.blocks[h] == nil {
			break
		}
		n++
	}
	return n
}

// store adds the blocks of a prompt. The last block is touched first, so that a
// prompt's tail is evicted before its head.
func (c *prefixCache) store(now time.Time, model string, hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(now, block{hash: hashes[i], model: model})
	}
	for c.recent.Len() > c.limit {
		last := c.recent.Back()
		b := c.recent.Remove(last).(block)
		delete(c.blocks, b.hash)
		c.emit(now, b, true)
	}
}

func (c *prefixCache) touch(now time.Time, b block) {
	if e := c.blocks[b.hash]; e != nil {
		c.recent.MoveToFront(e)
		return
	}
	c.blocks[b.hash] = c.recent.PushFront(b)
	c.emit(now, b, false)
}

// emit numbers an event and, unless it is dropped, keeps it for publication. A
// dropped event uses up its number, which is how a reader notices the gap.
func (c *prefixCache) emit(now time.Time, b block, evicted bool) {
	e := cacheEvent{at: now}
	e.CacheEvent = engineapi.CacheEvent{Seq: c.next, Block: b.hash, Model: b.model, Evicted: evicted}
	c.next++
	if c.rng.Float64() < c.drop {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// read returns the events from a sequence number on that are old enough to be
// published, and the sequence number to read from next.
func (c *prefixCache) read(now time.Time, from uint64) ([]engineapi.CacheEvent, uint64) {
	out := []engineapi.CacheEvent{}
	next := from
	for _, e := range c.events {
		if now.Sub(e.at) < c.delay {
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
