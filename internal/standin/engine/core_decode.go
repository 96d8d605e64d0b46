package engine

import (
	"net/http"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// reserve keeps a slot and memory. Repeating the call for an attempt that is
// still reserved confirms it.
func (c *core) reserve(now time.Time, req engineapi.ReserveRequest) *refusal {
	if ref := c.admit(now, req.WorkID, RoleDecode, req.Model, ""); ref != nil {
		return ref
	}
	if d := c.decodes[req.WorkID]; d != nil {
		if d.state == decodeReserved {
			return nil
		}
		return c.refuse(now, http.StatusConflict, "attempt is already decoding")
	}
	if ref := c.room(now, req.KVBytes); ref != nil {
		return ref
	}
	c.stats.Reserves++
	d := newDecode(now, engineapi.DecodeRequest{WorkID: req.WorkID, Owner: req.Owner, Model: req.Model, Priority: req.Priority})
	d.kvBytes = req.KVBytes
	if c.cfg.HonourHold && req.HoldMS > 0 {
		d.holdUntil = now.Add(time.Duration(req.HoldMS) * time.Millisecond)
	}
	c.decodes[d.WorkID] = d
	return nil
}

func (c *core) room(now time.Time, kvBytes int64) *refusal {
	if c.slotsUsed() >= c.cfg.Slots {
		return c.refuse(now, http.StatusServiceUnavailable, "every slot is taken")
	}
	if c.usedBytes()+kvBytes > c.cfg.MemoryBytes {
		return c.refuse(now, http.StatusServiceUnavailable, "memory is full")
	}
	return nil
}

// startDecode turns a reservation into an import; without one it takes a free
// slot, so that policies that do not reserve can be compared.
func (c *core) startDecode(now time.Time, req engineapi.DecodeRequest) (*decode, *refusal) {
	d := c.decodes[req.WorkID]
	if d != nil && d.state != decodeReserved {
		return nil, c.refuse(now, http.StatusConflict, "attempt is already decoding")
	}
	if d != nil && c.faults.Refuse {
		return nil, c.refuse(now, http.StatusServiceUnavailable, "refused by fault control")
	}
	if d == nil {
		if ref := c.admit(now, req.WorkID, RoleDecode, req.Model, req.Adapter); ref != nil {
			return nil, ref
		}
		if ref := c.room(now, 0); ref != nil {
			return nil, ref
		}
		d = newDecode(now, req)
		c.decodes[d.WorkID] = d
	}
	c.stats.Decodes++
	d.DecodeRequest = req
	d.state = decodeImporting
	return d, nil
}

// imported makes a decode run on the KV cache that arrived. A cache that is
// larger than what was reserved for it may find no memory.
func (c *core) imported(now time.Time, d *decode, kv export) {
	if c.decodes[d.WorkID] != d {
		return
	}
	if kv.KVBytes > d.kvBytes && c.usedBytes()-d.kvBytes+kv.KVBytes > c.cfg.MemoryBytes {
		c.importFailed(now, d, "import: memory is full")
		return
	}
	d.imported = true
	d.hash = kv.PromptHash
	d.context = kv.Generated
	d.kvBytes = max(d.kvBytes, kv.KVBytes)
	d.end = d.FromIndex + max(0, answerEnd(d, kv)-kv.Generated)
	d.state = decodeRunning
	if d.pauseWish {
		d.state = decodePaused
	}
	if d.next() >= d.end {
		c.finishDecode(now, d)
	}
	d.notify()
	c.schedule(now)
}

// importFailed ends a decode whose KV cache did not arrive.
func (c *core) importFailed(now time.Time, d *decode, reason string) {
	if c.decodes[d.WorkID] != d {
		return
	}
	c.stats.ImportFailures++
	d.failure = reason
	c.freeDecode(now, d)
}

// stepDecodes runs the batch: at the end of each step every decode that was in
// it since its start gets one token; those that came later join the next step.
func (c *core) stepDecodes(now time.Time) {
	for !c.nextStep.IsZero() && !c.nextStep.After(now) {
		at := c.nextStep
		active := 0
		for _, d := range c.decodes {
			if d.state != decodeRunning || !d.inStep {
				continue
			}
			active++
			if d.generate() {
				c.finishDecode(at, d)
			}
			d.notify()
		}
		if active > 0 {
			c.stats.Steps++
		}
		c.stats.Tokens += active
		c.stats.MaxActive = max(c.stats.MaxActive, active)
		c.nextStep = time.Time{}
		c.schedule(makeUp(at, now, maxLagSteps*c.stepTime()))
	}
}

// schedule fixes the time of the next step when something runs and none is set.
func (c *core) schedule(now time.Time) {
	c.promote()
	if !c.nextStep.IsZero() {
		return
	}
	for _, d := range c.decodes {
		d.inStep = d.state == decodeRunning
	}
	if c.count(decodeRunning) > 0 {
		c.nextStep = now.Add(c.stepTime())
	}
}

// promote gives free slots to resumed decodes, the highest priority first.
func (c *core) promote() {
	for c.slotsUsed() < c.cfg.Slots {
		var best *decode
		for _, d := range c.decodes {
			if d.state != decodeWaiting {
				continue
			}
			if best == nil || d.Priority > best.Priority || d.Priority == best.Priority && d.since.Before(best.since) {
				best = d
			}
		}
		if best == nil {
			return
		}
		best.state = decodeRunning
	}
}

// pause frees the slot of a decode and keeps its memory.
func (c *core) pause(id engineapi.WorkID) engineapi.CancelReply {
	found := false
	for _, d := range c.decodes {
		if !covers(id, d.WorkID) || d.state == decodeFinished || d.state == decodeReserved {
			continue
		}
		found = true
		d.pauseWish = true
		if d.state == decodeRunning || d.state == decodeWaiting {
			d.state = decodePaused
			d.inStep = false
		}
	}
	c.promote()
	return engineapi.CancelReply{Found: found, Incarnation: c.incarnation}
}

// resume lets a paused decode go on as soon as a slot is free.
func (c *core) resume(now time.Time, id engineapi.WorkID) engineapi.CancelReply {
	found := false
	for _, d := range c.decodes {
		if !covers(id, d.WorkID) || d.state == decodeFinished || d.state == decodeReserved {
			continue
		}
		found = true
		d.pauseWish = false
		if d.state == decodePaused {
			d.state = decodeWaiting
		}
	}
	c.schedule(now)
	return engineapi.CancelReply{Found: found, Incarnation: c.incarnation}
}

// finishDecode frees the slot and keeps the tokens and the memory for Linger.
func (c *core) finishDecode(now time.Time, d *decode) {
	d.state = decodeFinished
	d.finishedAt = now
	d.finish = finishReason(d)
}

func (c *core) cancelDecode(now time.Time, d *decode) {
	if d.state != decodeFinished {
		d.finish = finishCancelled
	}
	c.freeDecode(now, d)
}

// freeDecode frees the memory of d and tells its readers.
func (c *core) freeDecode(now time.Time, d *decode) {
	delete(c.decodes, d.WorkID)
	if d.abort != nil {
		d.abort()
	}
	d.state = decodeFinished
	close(d.gone)
	d.notify()
	c.schedule(now)
}

// expireDecodes frees lingering streams and, when configured, reservations
// whose hold has passed.
func (c *core) expireDecodes(now time.Time) {
	for _, d := range c.decodes {
		if t := c.decodeDeadline(d); !t.IsZero() && !t.After(now) {
			c.freeDecode(now, d)
		}
	}
}

func (c *core) decodeDeadline(d *decode) time.Time {
	switch d.state {
	case decodeReserved:
		return d.holdUntil
	case decodeFinished:
		return d.finishedAt.Add(c.cfg.Linger)
	default:
		return time.Time{}
	}
}

func (c *core) count(state decodeState) int {
	n := 0
	for _, d := range c.decodes {
		if d.state == state {
			n++
		}
	}
	return n
}

func (c *core) slotsUsed() int {
	n := 0
	for _, d := range c.decodes {
		if d.state.holdsSlot() {
			n++
		}
	}
	return n
}

func (c *core) stepTime() time.Duration {
	step := c.cfg.step(c.count(decodeRunning))
	if c.faults.SlowStep > 0 {
		step = time.Duration(float64(step) * c.faults.SlowStep)
	}
	return step
}

// decodeLoad fills in the load of a decode engine. Active counts every slot
// that is taken, reserved ones too; StepMS is the time of the step as it is now.
func (c *core) decodeLoad(out *engineapi.Load) {
	out.Slots = c.cfg.Slots
	out.Active = c.slotsUsed()
	out.Queued = c.count(decodeWaiting)
	out.StepMS = float64(c.stepTime()) / float64(time.Millisecond)
}
