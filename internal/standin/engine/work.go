package engine

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// finishCancelled is the finish reason of a cancelled attempt.
const finishCancelled = "cancelled"

// prefillState is the state of a prefill.
type prefillState int

const (
	prefillQueued prefillState = iota
	prefillRunning
	prefillReady
)

// prefill is one prompt on a prefill engine, from its arrival until its result is
// exported, has expired or is cancelled.
type prefill struct {
	engineapi.PrefillRequest
	state         prefillState
	createdAt     time.Time
	finishAt      time.Time // set while running
	expiresAt     time.Time // set once ready
	promptHash    answer.Hash
	prefixBlocks  []uint64 // hashes of the prompt's whole blocks
	promptTokens  int      // with the generated tokens of earlier attempts
	cachedTokens  int      // tokens found in the prefix cache
	kvBytes       int64
	activeExports int           // exports in progress; the result does not expire during one
	ready         chan struct{} // closed once ready
	freed         chan struct{} // closed when the memory is freed
}

// newPrefill returns a queued prefill with the given KV memory per token, in bytes.
func newPrefill(now time.Time, req engineapi.PrefillRequest, kvPerToken int64) *prefill {
	p := &prefill{
		PrefillRequest: req,
		createdAt:      now,
		promptHash:     contextHash(req),
		prefixBlocks:   engineapi.PrefixBlocks(req.Model, req.Prompt),
		promptTokens:   engineapi.CountTokens(req.Prompt) + len(req.Generated),
		ready:          make(chan struct{}),
		freed:          make(chan struct{}),
	}
	p.kvBytes = int64(p.promptTokens) * kvPerToken
	return p
}

// contextHash returns the hash of the prompt, or a different hash if the generated
// tokens are not the beginning of the prompt's answer. A real model that is given
// a wrong context continues with wrong tokens; the different hash has the same
// effect.
func contextHash(req engineapi.PrefillRequest) answer.Hash {
	hash := answer.HashPrompt(req.Prompt)
	for i, text := range req.Generated {
		if text != answer.TokenForHash(req.Model, req.Adapter, hash, i) {
			return ^hash
		}
	}
	return hash
}

// kvDescriptor describes an exported KV cache. It is all that a decode engine
// needs to continue the answer.
type kvDescriptor struct {
	engineapi.WorkID
	Model      string      `json:"model"`
	Adapter    string      `json:"adapter"`
	PromptHash answer.Hash `json:"prompt_hash"`
	Generated  int         `json:"generated"` // number of generated tokens in the context
	KVBytes    int64       `json:"kv_bytes"`
	// Fatal is set if the prompt contains Config.CrashText.
	Fatal bool `json:"fatal,omitempty"`
}

// descriptor returns the description of the KV cache that p produces.
func (p *prefill) descriptor() kvDescriptor {
	return kvDescriptor{
		WorkID:     p.WorkID,
		Model:      p.Model,
		Adapter:    p.Adapter,
		PromptHash: p.promptHash,
		Generated:  len(p.Generated),
		KVBytes:    p.kvBytes,
	}
}

// held returns the entry of p in the list of held memory.
func (p *prefill) held(now time.Time) engineapi.Held {
	kind := engineapi.HeldPrefill
	if p.state == prefillReady {
		kind = engineapi.HeldExport
	}
	return engineapi.Held{
		WorkID: p.WorkID,
		Owner:  p.Owner,
		Kind:   kind,
		Bytes:  p.kvBytes,
		AgeMS:  now.Sub(p.createdAt).Milliseconds(),
	}
}

// decodeState is the state of a decode.
type decodeState int

const (
	decodeReserved decodeState = iota
	decodeImporting
	decodeRunning
	decodeWaiting // resumed and waiting for a free slot
	decodePaused
	decodeFinished
)

// holdsSlot reports whether a decode in this state uses a slot of the batch.
func (s decodeState) holdsSlot() bool {
	return s == decodeReserved || s == decodeImporting || s == decodeRunning
}

// decode is one reservation or stream on a decode engine.
type decode struct {
	engineapi.DecodeRequest
	state          decodeState
	createdAt      time.Time
	holdUntil      time.Time // expiry of a reservation; zero means none
	finishedAt     time.Time
	kvBytes        int64
	imported       bool
	pauseRequested bool // a decode that is importing pauses when the import finishes
	inCurrentStep  bool // was running at the start of the current decode step
	promptHash     answer.Hash
	contextTokens  int // generated tokens that are part of the imported KV cache
	endIndex       int // index after the last token of the answer
	tokens         []string
	finishReason   string
	failure        string        // why the import failed; empty if it did not
	changed        chan struct{} // closed and replaced at each change
	freed          chan struct{} // closed when the memory is freed
	cancelImport   func()        // nil before the import starts
}

// newDecode returns a decode in state decodeReserved.
func newDecode(now time.Time, req engineapi.DecodeRequest) *decode {
	return &decode{
		DecodeRequest: req,
		createdAt:     now,
		changed:       make(chan struct{}),
		freed:         make(chan struct{}),
	}
}

// notify wakes the readers of the stream.
func (d *decode) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// generateToken appends the next token and reports whether the answer is complete.
func (d *decode) generateToken() bool {
	if n := d.nextIndex(); n < d.endIndex {
		at := n - d.FromIndex + d.contextTokens
		d.tokens = append(d.tokens, answer.TokenForHash(d.Model, d.Adapter, d.promptHash, at))
	}
	return d.nextIndex() >= d.endIndex
}

// nextIndex returns the index of the next token to generate.
func (d *decode) nextIndex() int { return d.FromIndex + len(d.tokens) }

// held returns the entry of d in the list of held memory.
func (d *decode) held(now time.Time) engineapi.Held {
	kind := engineapi.HeldDecode
	if d.state == decodeReserved {
		kind = engineapi.HeldReservation
	}
	return engineapi.Held{
		WorkID: d.WorkID,
		Owner:  d.Owner,
		Kind:   kind,
		Bytes:  d.kvBytes,
		AgeMS:  now.Sub(d.createdAt).Milliseconds(),
	}
}

// answerLength returns the number of tokens of the whole answer, including those
// that earlier attempts generated.
func answerLength(d *decode, kv kvDescriptor) int {
	return answer.LengthForHash(kv.PromptHash, d.MaxTokens)
}

// finishReasonOf returns the finish reason of a decode that is complete.
func finishReasonOf(d *decode) string {
	return answer.FinishReason(d.endIndex, d.MaxTokens)
}
