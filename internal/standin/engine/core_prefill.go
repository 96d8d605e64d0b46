package engine

import (
	"net/http"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// maxPrefillCatchUp is the largest delay in processing the end of a prefill for
// which the next prefill still starts at that end. After a longer delay it
// starts at the time of processing.
const maxPrefillCatchUp = 50 * time.Millisecond

// addPrefill queues a prompt. Repeating the call for an attempt returns its
// existing prefill.
func (c *core) addPrefill(now time.Time, req engineapi.PrefillRequest) (*prefill, *refusal) {
	if ref := c.admit(now, req.WorkID, RolePrefill, req.Model, req.Adapter); ref != nil {
		return nil, ref
	}
	if p := c.prefills[req.WorkID]; p != nil {
		return p, nil
	}
	p := newPrefill(now, req, c.cfg.KVPerToken)
	if len(c.prefillQueue) >= c.cfg.PrefillQueue {
		return nil, c.refuse(now, http.StatusServiceUnavailable, "prefill queue is full")
	}
	if c.usedBytes()+p.kvBytes > c.cfg.MemoryBytes {
		return nil, c.refuse(now, http.StatusServiceUnavailable, "memory is full")
	}
	c.stats.Prefills++
	c.prefills[p.WorkID] = p
	c.prefillQueue = append(c.prefillQueue, p)
	if c.runningPrefill == nil {
		c.startPrefill(now)
	}
	return p, nil
}

// startPrefill runs the queued prompt with the highest priority, the oldest
// among equals.
func (c *core) startPrefill(now time.Time) {
	c.runningPrefill = nil
	if len(c.prefillQueue) == 0 {
		return
	}
	best := 0
	for i, p := range c.prefillQueue {
		if p.Priority > c.prefillQueue[best].Priority {
			best = i
		}
	}
	p := c.prefillQueue[best]
	c.prefillQueue = append(c.prefillQueue[:best], c.prefillQueue[best+1:]...)
	p.state = prefillRunning
	p.cachedTokens = min(c.cache.cachedPrefix(p.prefixBlocks)*engineapi.BlockTokens, p.promptTokens)
	p.finishAt = now.Add(c.prefillTime(p.promptTokens - p.cachedTokens))
	c.runningPrefill = p
}

// prefillTime returns the time to compute the given number of tokens.
func (c *core) prefillTime(tokens int) time.Duration {
	return c.cfg.scaled(time.Duration(tokens) * c.cfg.PrefillPerToken)
}

// finishPrefills completes the prefills that are due by now and starts the next.
func (c *core) finishPrefills(now time.Time) {
	for c.runningPrefill != nil && !c.runningPrefill.finishAt.After(now) {
		p := c.runningPrefill
		p.state = prefillReady
		p.expiresAt = now.Add(c.cfg.PrefillTTL)
		c.stats.PrefillTokens += p.promptTokens - p.cachedTokens
		c.stats.CachedTokens += p.cachedTokens
		c.cache.store(now, p.Model, p.prefixBlocks)
		close(p.ready)
		c.startPrefill(catchUpStart(p.finishAt, now, maxPrefillCatchUp))
	}
}

// expirePrefills frees results past their time to live, unless an export of them
// is in progress.
func (c *core) expirePrefills(now time.Time) {
	for _, p := range c.prefills {
		if p.state == prefillReady && p.activeExports == 0 && !p.expiresAt.After(now) {
			c.stats.Expired++
			c.expiredPrefills.add(p.WorkID)
			c.freePrefill(now, p, true)
		}
	}
}

// freePrefill frees the memory of p and removes it from the queue. If wasted is
// set, no decode engine has imported the result, and its computed tokens count
// as wasted. The tokens that a running prefill has computed always do.
func (c *core) freePrefill(now time.Time, p *prefill, wasted bool) {
	delete(c.prefills, p.WorkID)
	close(p.freed)
	if wasted && p.state == prefillReady {
		c.stats.WastedTokens += p.promptTokens - p.cachedTokens
	}
	for i, q := range c.prefillQueue {
		if q == p {
			c.prefillQueue = append(c.prefillQueue[:i], c.prefillQueue[i+1:]...)
			break
		}
	}
	if c.runningPrefill == p {
		done := c.prefillTime(p.promptTokens-p.cachedTokens) - p.finishAt.Sub(now)
		c.stats.WastedTokens += int(float64(done) / max(float64(c.cfg.scaled(c.cfg.PrefillPerToken)), 1))
		c.startPrefill(now)
	}
}

// beginExport starts the transfer of a ready result. Its status is 410 for an
// expired result, and 404 for one that is unknown or not ready.
func (c *core) beginExport(id engineapi.WorkID) (*prefill, int) {
	p := c.prefills[id]
	switch {
	case p == nil && c.expiredPrefills.contains(id):
		return nil, http.StatusGone
	case p == nil || p.state != prefillReady:
		return nil, http.StatusNotFound
	}
	p.activeExports++
	c.pendingExportBytes += p.kvBytes
	return p, http.StatusOK
}

// endExport ends a transfer, of which unsent bytes remain, and releases their
// share of the link. A complete transfer frees the result.
func (c *core) endExport(now time.Time, p *prefill, unsent int64, complete bool) {
	p.activeExports--
	c.pendingExportBytes -= unsent
	if !complete || c.prefills[p.WorkID] != p {
		return
	}
	c.stats.Exports++
	c.freePrefill(now, p, false)
}

// prefillLoad fills in the load of a prefill engine, which has one slot.
// QueuedTokens includes the tokens of the running prompt that are not computed
// yet.
func (c *core) prefillLoad(now time.Time, out *engineapi.Load) {
	out.Slots = 1
	out.Queued = len(c.prefillQueue)
	for _, p := range c.prefillQueue {
		out.QueuedTokens += p.promptTokens
	}
	if c.runningPrefill == nil {
		return
	}
	out.Active = 1
	left := c.runningPrefill.finishAt.Sub(now)
	out.QueuedTokens += int(float64(left) / max(float64(c.cfg.scaled(c.cfg.PrefillPerToken)), 1))
}
