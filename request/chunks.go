package request

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// The finish reasons of a whole answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// chunk takes one line of the current stream. Engines may repeat, reorder or
// mix up what they send, and a stream may be a proxy's mistake: only the next
// token of this very attempt becomes part of the answer, so that the caller
// gets its own tokens, each once and in order.
func (m *Machine) chunk(now time.Time, c *engineapi.Chunk) {
	if m.state != StateImporting && m.state != StateStreaming {
		m.drops.Late++
		return
	}
	if c.RequestID != m.c.ID || c.Attempt != m.attempt {
		m.drops.Crossed++
		return
	}
	switch {
	case c.Error != "":
		m.engineFailed("the engine failed: " + c.Error)
	case c.Done:
		m.done(now, c)
	case c.Imported:
		m.progress(now)
	default:
		m.token(now, c)
	}
}

func (m *Machine) token(now time.Time, c *engineapi.Chunk) {
	next := len(m.tokens)
	if c.Index < next {
		m.drops.Duplicate++
		return
	}
	if c.Index > next {
		m.cut(now)
		return
	}
	m.progress(now)
	m.resumes = 0
	m.run.generated()
	m.tokens = append(m.tokens, c.Text)
	m.act(Action{Kind: ActionEmit, Attempt: m.attempt, Index: c.Index, Text: c.Text})
}

// progress notes a sign of life of the stream.
func (m *Machine) progress(now time.Time) {
	m.state = StateStreaming
	m.taken, m.imported = true, true
	m.stepEnds = time.Time{}
	if !m.paused {
		m.stepEnds = now.Add(m.limits.Stall)
	}
}

// pause stops the wait for the next token, or starts it anew with twice the
// time, since a resumed stream may wait for a slot. Without it a paused draft
// would look like a stalled one and be started again elsewhere.
func (m *Machine) pause(now time.Time, ev Event) {
	if ev.Attempt != m.attempt || m.state != StateStreaming {
		return
	}
	m.paused = ev.Kind == EventPaused
	m.stepEnds = time.Time{}
	if !m.paused {
		m.stepEnds = now.Add(2 * m.limits.Stall)
	}
}

// done takes the terminal marker. A count that differs means that tokens are
// missing, however the stream looks.
func (m *Machine) done(now time.Time, c *engineapi.Chunk) {
	if c.FinishReason != finishStop && c.FinishReason != finishLength {
		m.engineFailed("the engine ended the stream: " + c.FinishReason)
		return
	}
	if c.Tokens != len(m.tokens) {
		m.cut(now)
		return
	}
	m.run.generated()
	m.usage.CompletionTokens = len(m.tokens)
	m.state = StateEnded
	m.act(Action{Kind: ActionFinish, Attempt: m.attempt, Target: m.target(roleDecode), Reason: c.FinishReason, Usage: m.usage})
}

func (m *Machine) engineFailed(detail string) {
	m.act(Action{Kind: ActionBlame, Target: m.target(roleDecode)})
	m.retry(errkind.New(errkind.UpstreamFailed, detail), true)
}

// cut handles a stream that ended, stalled, skipped or miscounted: attach again
// to the same attempt, which is no new work, else try another attempt.
func (m *Machine) cut(now time.Time) {
	if m.state != StateImporting && m.state != StateStreaming {
		return
	}
	m.act(Action{Kind: ActionBlame, Target: m.target(roleDecode)})
	if m.canResume() {
		m.resume(now)
		return
	}
	m.retry(errkind.New(errkind.UpstreamFailed, "the stream was cut"), true)
}

func (m *Machine) canResume() bool { return m.resumes < m.limits.MaxResumes }

func (m *Machine) resume(now time.Time) {
	m.resumes++
	m.dispatch(now, StepResume)
}
