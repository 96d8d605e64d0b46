package request

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	// replacementInterval is the time after which a replacement of a stalled attempt is planned again
	// if none could be made.
	replacementInterval = 250 * time.Millisecond
	// replaceTimeout bounds how long a stalled call stays open once the decode call of its replacement
	// was sent. Two engines must not generate the same answer for longer.
	replaceTimeout = 150 * time.Millisecond
)

// The reasons in the log lines of stalls.
const (
	stallAttached     = "attached-again" // a resume call to the same engine takes the call's place
	stallReplacing    = "replacing"      // another attempt is made while the call stays open
	stallAnswered     = "answered"       // the engine goes on
	stallPaused       = "paused"         // the engine was told to pause
	stallReplaced     = "replaced"       // another engine has the call
	stallBroken       = "broken"         // the call has ended by itself
	stallRequestEnded = "request-ended"
)

// handleStall handles a stream that is silent for longer than its timeout. Its engine may be lost,
// or may go on after a moment: nothing tells them apart. So another attempt is made while the call
// stays open, and the first of the two that delivers goes on. If no other engine may produce the
// answer, the request's deadline bounds the wait.
//
// If the call were ended first, the answer would be lost whenever the next attempt fails: there is no
// engine, slot, permit or prefill for it, or its engines are silent too.
func (m *Machine) handleStall() {
	if !m.mayRetry() {
		m.stepDeadline = time.Time{}
		return
	}
	if !m.stallReported {
		m.stallReported = true
		m.addAction(Action{Kind: ActionReportFailure, Target: m.targetOf(roleDecode)})
		m.logStall(stallReplacing)
	}
	m.cause = errkind.New(errkind.UpstreamFailed, "the stream is silent")
	m.excludeBeforeStall, m.noReplyBeforeStall = m.exclude, m.noReply
	m.avoidFailed()
	stalled := m.attemptState
	m.stalled = &stalled
	m.mayHoldMemory = [roleCount]bool{}
	m.addAction(Action{Kind: ActionStall})
	m.planNextAttempt(true)
}

// replaceTimeout returns the time from the dispatch of a replacement's decode call to the end of the
// stalled call. A call that goes on at a version is sent once the stream's origin is confirmed.
func (m *Machine) replaceTimeout() time.Duration {
	if m.version != "" {
		return replaceTimeout + confirmTimeout
	}
	return replaceTimeout
}

// handleStalledEvent handles an event of the stalled attempt's call.
func (m *Machine) handleStalledEvent(now time.Time, ev Event) {
	goesOn, failed := ev.Kind == EventOpened, ev.Kind != EventOpened
	if ev.Kind == EventChunk {
		goesOn, failed = m.classifyStalledChunk(&ev.Chunk)
	}
	switch {
	case goesOn:
		m.dropReplacement()
		m.keepStalled(stallAnswered, m.limits.Stall)
		m.addAction(Action{Kind: ActionReportAnswered, Target: m.targetOf(roleDecode)})
		m.handleCallEvent(now, ev)
	case failed:
		m.endStalled(stallBroken)
	}
}

// classifyStalledChunk reports whether the stalled engine goes on with the answer, or has failed. A
// chunk that is not of this attempt or was sent before says neither.
func (m *Machine) classifyStalledChunk(c *engineapi.Chunk) (goesOn, failed bool) {
	next := len(m.tokens)
	switch {
	case c.RequestID != m.c.ID || c.Attempt != m.stalled.attempt:
		m.drops.Misrouted++
		return false, false
	case c.Error != "":
		return false, true
	case c.Done:
		whole := c.Tokens == next && (c.FinishReason == finishReasonStop || c.FinishReason == finishReasonLength)
		return whole, !whole
	case c.Imported:
		return true, false
	case c.Index < next:
		m.drops.Duplicate++
		return false, false
	}
	return c.Index == next, c.Index > next
}

// dropReplacement counts the prompt of the replacement whose prefill is in flight: its engine may have
// accepted it.
func (m *Machine) dropReplacement() {
	if m.state == StatePrefilling {
		m.arrivals.uncertain(m.lastStep)
	}
}

// keepStalled ends the current attempt and goes on with the stalled one, whose timeout starts again.
func (m *Machine) keepStalled(reason string, timeout time.Duration) {
	if m.plan == nil && !m.offersAgain {
		m.unplanned++
	}
	m.cancelOnEngines()
	m.run.settle(m.lastStep, upstream.Maybe)
	m.attemptState, m.stalled = *m.stalled, nil
	m.exclude, m.noReply = m.excludeBeforeStall, m.noReplyBeforeStall
	m.stepDeadline = m.now.Add(timeout)
	m.addAction(Action{Kind: ActionKeepStalled})
	m.logStall(reason)
}

// confirmReplacement ends the stalled call, if there is one, because the engine of the current
// attempt has accepted the request.
func (m *Machine) confirmReplacement() { m.endStalled(stallReplaced) }

// endStalled ends the stalled call if there is one.
func (m *Machine) endStalled(reason string) {
	s := m.stalled
	if s == nil {
		return
	}
	m.stalled = nil
	m.addAction(Action{Kind: ActionLogStall, Attempt: s.attempt, Target: s.targetOf(roleDecode), Silent: m.now.Sub(s.lastProgress), Reason: reason})
	m.addAction(Action{Kind: ActionEndStalled})
	for r := range roleCount {
		if s.mayHoldMemory[r] {
			a := s.release(r)
			a.Stalled = true
			m.addAction(a)
		}
	}
	if m.state == StateImporting {
		m.enterCall(m.now, StepDecode) // its timeout was that of the replacement
	}
}

// logStall logs what becomes of the current attempt's call, which has been silent.
func (m *Machine) logStall(reason string) {
	m.addAction(Action{Kind: ActionLogStall, Attempt: m.attempt, Target: m.targetOf(roleDecode), Silent: m.now.Sub(m.lastProgress), Reason: reason})
}

// logStall logs what becomes of a call that has been silent. The lines of the plans and calls that
// are to replace it have the same request and later attempts.
func (d *driver) logStall(a Action) {
	version := d.decodeReplica.Version
	if d.stalled != nil {
		version = d.stalled.decodeReplica.Version
	}
	d.r.o.Logger.WithFields(log.Fields{
		"request": d.c.ID, "class": d.c.Class, "attempt": a.Attempt, "upstream": a.Target.Name,
		"version": version, "from": d.eventsHeld(), "silent_ms": a.Silent.Milliseconds(),
		"reason": a.Reason, "bundle": d.bundleNumber,
	}).Info("stall")
}

// stall sets the resources of the attempt aside while the next one is made.
func (d *driver) stall() {
	d.removeFromPausable()
	stalled := d.attemptResources
	d.stalled = &stalled
	d.attemptResources = attemptResources{cancelCall: func() {}}
}

// keepStalled ends the current attempt and takes the stalled one's resources back.
func (d *driver) keepStalled() {
	d.endAttempt()
	d.leaveQueue()
	d.attemptResources, d.stalled = *d.stalled, nil
	d.showAttempt(d.m.Attempt(), d.m.State())
}

// endStalled releases what the stalled attempt occupies.
func (d *driver) endStalled() {
	if d.stalled == nil {
		return
	}
	current := d.attemptResources
	d.attemptResources, d.stalled = *d.stalled, nil
	d.endAttempt()
	d.attemptResources = current
}
