package engine

import (
	"net/http"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// reserve reserves a slot and KV memory for an attempt. Repeating the call while
// the reservation exists succeeds without a change.
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
	if ref := c.checkCapacity(now, req.KVBytes); ref != nil {
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

// checkCapacity refuses a decode when no slot or not enough KV memory is free.
func (c *core) checkCapacity(now time.Time, kvBytes int64) *refusal {
	if c.slotsUsed() >= c.cfg.Slots {
		return c.refuse(now, http.StatusServiceUnavailable, "every slot is taken")
	}
	if c.usedBytes()+kvBytes > c.cfg.MemoryBytes {
		return c.refuse(now, http.StatusServiceUnavailable, "memory is full")
	}
	return nil
}

// startDecode starts the import of the KV cache into a reservation. Without a
// reservation it takes a free slot, so that scheduling policies that do not
// reserve can be compared.
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
		if ref := c.checkCapacity(now, 0); ref != nil {
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

// finishImport starts generating from the KV cache that has arrived. The import
// fails if the cache is larger than its reservation and the rest does not fit
// into memory.
func (c *core) finishImport(now time.Time, d *decode, kv kvDescriptor) {
	if c.decodes[d.WorkID] != d {
		return
	}
	if kv.KVBytes > d.kvBytes && c.usedBytes()-d.kvBytes+kv.KVBytes > c.cfg.MemoryBytes {
		c.failImport(now, d, "import: memory is full")
		return
	}
	d.imported = true
	d.promptHash = kv.PromptHash
	d.contextTokens = kv.Generated
	d.kvBytes = max(d.kvBytes, kv.KVBytes)
	d.endIndex = d.FromIndex + max(0, answerLength(d, kv)-kv.Generated)
	d.state = decodeRunning
	if d.pauseRequested {
		d.state = decodePaused
	}
	if d.nextIndex() >= d.endIndex {
		c.finishDecode(now, d)
	}
	d.notify()
	c.scheduleStep(now)
}

// failImport frees a decode whose KV cache could not be imported.
func (c *core) failImport(now time.Time, d *decode, reason string) {
	if c.decodes[d.WorkID] != d {
		return
	}
	c.stats.ImportFailures++
	d.failure = reason
	c.freeDecode(now, d)
}

// stepDecodes completes the decode steps that are due. Each step adds one token
// to every decode that was running at its start; decodes that start running
// during a step join the next one.
func (c *core) stepDecodes(now time.Time) {
	for !c.nextStep.IsZero() && !c.nextStep.After(now) {
		at := c.nextStep
		active := 0
		for _, d := range c.decodes {
			if d.state != decodeRunning || !d.inCurrentStep {
				continue
			}
			active++
			if d.generateToken() {
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
		c.scheduleStep(catchUpStart(at, now, maxCatchUpSteps*c.stepTime()))
	}
}

// scheduleStep starts the next decode step unless one is in progress or no
// decode runs.
func (c *core) scheduleStep(now time.Time) {
	c.resumeWaiting()
	if !c.nextStep.IsZero() {
		return
	}
	for _, d := range c.decodes {
		d.inCurrentStep = d.state == decodeRunning
	}
	if c.countDecodes(decodeRunning) > 0 {
		c.nextStep = now.Add(c.stepTime())
	}
}

// resumeWaiting gives free slots to resumed decodes, by priority and then by age.
func (c *core) resumeWaiting() {
	for c.slotsUsed() < c.cfg.Slots {
		var best *decode
		for _, d := range c.decodes {
			if d.state != decodeWaiting {
				continue
			}
			if best == nil || d.Priority > best.Priority || d.Priority == best.Priority && d.createdAt.Before(best.createdAt) {
				best = d
			}
		}
		if best == nil {
			return
		}
		best.state = decodeRunning
	}
}

// pause frees the slot of a decode and keeps its KV memory. A decode that is
// still importing pauses when the import finishes.
func (c *core) pause(id engineapi.WorkID) engineapi.CancelReply {
	found := false
	for _, d := range c.decodes {
		if !matchesAttempt(id, d.WorkID) || d.state == decodeFinished || d.state == decodeReserved {
			continue
		}
		found = true
		d.pauseRequested = true
		if d.state == decodeRunning || d.state == decodeWaiting {
			d.state = decodePaused
			d.inCurrentStep = false
		}
	}
	c.resumeWaiting()
	return engineapi.CancelReply{Found: found, Incarnation: c.incarnation}
}

// resume continues a paused decode as soon as a slot is free.
func (c *core) resume(now time.Time, id engineapi.WorkID) engineapi.CancelReply {
	found := false
	for _, d := range c.decodes {
		if !matchesAttempt(id, d.WorkID) || d.state == decodeFinished || d.state == decodeReserved {
			continue
		}
		found = true
		d.pauseRequested = false
		if d.state == decodePaused {
			d.state = decodeWaiting
		}
	}
	c.scheduleStep(now)
	return engineapi.CancelReply{Found: found, Incarnation: c.incarnation}
}

// finishDecode frees the slot of a complete decode. Its tokens and KV memory are
// kept for Config.Linger.
func (c *core) finishDecode(now time.Time, d *decode) {
	d.state = decodeFinished
	d.finishedAt = now
	d.finishReason = finishReasonOf(d)
}

// cancelDecode frees a decode. Its stream ends as cancelled unless it was complete.
func (c *core) cancelDecode(now time.Time, d *decode) {
	if d.state != decodeFinished {
		d.finishReason = finishCancelled
	}
	c.freeDecode(now, d)
}

// freeDecode frees the slot and memory of d, cancels its import and wakes the
// readers of its stream.
func (c *core) freeDecode(now time.Time, d *decode) {
	delete(c.decodes, d.WorkID)
	if d.cancelImport != nil {
		d.cancelImport()
	}
	d.state = decodeFinished
	close(d.freed)
	d.notify()
	c.scheduleStep(now)
}

// expireDecodes frees finished streams after Config.Linger and, with
// Config.HonourHold, reservations whose hold time has passed.
func (c *core) expireDecodes(now time.Time) {
	for _, d := range c.decodes {
		if t := c.decodeExpiry(d); !t.IsZero() && !t.After(now) {
			c.freeDecode(now, d)
		}
	}
}

// decodeExpiry returns when d is to be freed; zero means that no time is set.
func (c *core) decodeExpiry(d *decode) time.Time {
	switch d.state {
	case decodeReserved:
		return d.holdUntil
	case decodeFinished:
		return d.finishedAt.Add(c.cfg.Linger)
	default:
		return time.Time{}
	}
}

// countDecodes returns the number of decodes in a state.
func (c *core) countDecodes(state decodeState) int {
	n := 0
	for _, d := range c.decodes {
		if d.state == state {
			n++
		}
	}
	return n
}

// slotsUsed returns the number of slots in use, including reserved ones.
func (c *core) slotsUsed() int {
	n := 0
	for _, d := range c.decodes {
		if d.state.holdsSlot() {
			n++
		}
	}
	return n
}

// stepTime returns the time between tokens for the decodes that run now.
func (c *core) stepTime() time.Duration {
	step := c.cfg.step(c.countDecodes(decodeRunning))
	if c.faults.SlowStep > 0 {
		step = time.Duration(float64(step) * c.faults.SlowStep)
	}
	return step
}

// decodeLoad fills in the load of a decode engine. Active counts all slots in
// use, including reserved ones; StepMS is the current time between tokens.
func (c *core) decodeLoad(out *engineapi.Load) {
	out.Slots = c.cfg.Slots
	out.Active = c.slotsUsed()
	out.Queued = c.countDecodes(decodeWaiting)
	out.StepMS = float64(c.stepTime()) / float64(time.Millisecond)
}
