package request

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// The finish reasons of a complete answer.
const (
	finishReasonStop   = "stop"
	finishReasonLength = "length"
)

// handleChunk handles one chunk of the current stream. A faulty engine or proxy may repeat or
// reorder chunks, or send chunks of another request. Only the next token of the current attempt
// becomes part of the answer, so that the caller gets each of its own tokens once and in order.
func (m *Machine) handleChunk(now time.Time, c *engineapi.Chunk) {
	if m.state != StateImporting && m.state != StateStreaming {
		m.drops.Late++
		return
	}
	if c.RequestID != m.c.ID || c.Attempt != m.attempt {
		m.drops.Misrouted++
		return
	}
	if c.Error == "" {
		m.confirmReplacement()
	}
	switch {
	case c.Error != "":
		m.handleStreamError("the engine failed: " + c.Error)
	case c.Done:
		m.handleDone(now, c)
	case c.Imported:
		m.recordProgress(now)
	default:
		m.handleToken(now, c)
	}
}

func (m *Machine) handleToken(now time.Time, c *engineapi.Chunk) {
	next := len(m.tokens)
	if c.Index < next {
		m.drops.Duplicate++
		return
	}
	if c.Index > next {
		m.handleBrokenStream(now)
		return
	}
	m.recordProgress(now)
	m.resumes = 0
	m.version = m.plan.Decode.Version
	m.run.generated()
	m.open()
	m.tokens = append(m.tokens, c.Text)
	m.addAction(Action{Kind: ActionEmit, Attempt: m.attempt, Index: c.Index, Text: c.Text})
}

// open passes the head of the engine's answer to the sink before the first token. As long as none
// has come, another engine may still answer, or the request may be refused.
func (m *Machine) open() {
	if m.head != nil && len(m.tokens) == 0 {
		m.addAction(Action{Kind: ActionOpen, Attempt: m.attempt, Target: m.targetOf(roleDecode), Head: m.head})
	}
}

// recordProgress records that the stream is alive and restarts the stall timeout.
func (m *Machine) recordProgress(now time.Time) {
	m.state = StateStreaming
	m.decodeAccepted, m.imported, m.lastProgress, m.stallReported = true, true, now, false
	m.stepDeadline = time.Time{}
	if !m.paused {
		m.stepDeadline = now.Add(m.limits.Stall)
	}
}

// handlePause handles EventPaused, which stops the stall timeout, and EventUnpaused, which
// restarts it with twice the time because an attempt that continues may have to wait for a
// slot. If the timeout continued during a pause, a paused draft would be treated as stalled and
// started again on another engine.
func (m *Machine) handlePause(now time.Time, ev Event) {
	if m.stalled != nil && ev.Attempt == m.stalled.attempt {
		m.dropReplacement()
		m.keepStalled(stallPaused, m.limits.Stall)
	}
	if ev.Attempt != m.attempt || m.state != StateStreaming {
		return
	}
	m.paused = ev.Kind == EventPaused
	m.stepDeadline = time.Time{}
	if !m.paused {
		m.stepDeadline = now.Add(2 * m.limits.Stall)
	}
}

// handleDone handles the final chunk. If its token count differs from the tokens received,
// tokens are missing and the answer is not complete.
func (m *Machine) handleDone(now time.Time, c *engineapi.Chunk) {
	if c.FinishReason != finishReasonStop && c.FinishReason != finishReasonLength {
		m.handleStreamError("the engine ended the stream: " + c.FinishReason)
		return
	}
	if c.Tokens != len(m.tokens) {
		m.handleBrokenStream(now)
		return
	}
	m.open()
	m.run.generated()
	m.usage.CompletionTokens = len(m.tokens)
	m.state = StateEnded
	m.addAction(Action{Kind: ActionFinish, Attempt: m.attempt, Target: m.targetOf(roleDecode), Reason: c.FinishReason, Usage: m.usage})
}

func (m *Machine) handleStreamError(detail string) {
	m.addAction(Action{Kind: ActionReportFailure, Target: m.targetOf(roleDecode)})
	m.retry(errkind.New(errkind.UpstreamFailed, detail), true)
}

// handleBrokenStream handles a stream that ended early, stalled, skipped a token or reported a
// wrong token count. It first resumes the stream of the same attempt, which starts no new
// work, and otherwise tries another attempt.
func (m *Machine) handleBrokenStream(now time.Time) {
	if m.state != StateImporting && m.state != StateStreaming {
		return
	}
	m.addAction(Action{Kind: ActionReportFailure, Target: m.targetOf(roleDecode)})
	if m.canResume() {
		m.resume(now)
		return
	}
	m.retry(errkind.New(errkind.UpstreamFailed, "the stream was cut"), true)
}

// canResume reports whether the stream may be read on from the same engine. A replacement's is not while
// the stalled call is open: if its engine can't be read, the stalled one may go on.
func (m *Machine) canResume() bool { return m.stalled == nil && m.resumes < m.limits.MaxResumes }

func (m *Machine) resume(now time.Time) {
	m.resumes++
	m.dispatch(now, StepResume)
}
