package engine

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// finishCancelled ends the stream of a cancelled attempt.
const finishCancelled = "cancelled"

// prefillState says how far a prefill is.
type prefillState int

const (
	prefillQueued prefillState = iota
	prefillRunning
	prefillReady
)

// prefill is one prompt on a prefill engine, from its arrival until its result
// was exported, expired or cancelled.
type prefill struct {
	engineapi.PrefillRequest
	state    prefillState
	since    time.Time
	finishAt time.Time // while running
	expires  time.Time // once ready
	hash     answer.Hash
	blocks   []uint64
	tokens   int
	cached   int
	kvBytes  int64
	exports  int           // transfers in progress; they keep an expired result alive
	ready    chan struct{} // closed once ready
	gone     chan struct{} // closed when the memory is freed
}

func newPrefill(now time.Time, req engineapi.PrefillRequest, kvPerToken int64) *prefill {
	p := &prefill{
		PrefillRequest: req,
		since:          now,
		hash:           contextHash(req),
		blocks:         engineapi.PrefixBlocks(req.Model, req.Prompt),
		tokens:         engineapi.CountTokens(req.Prompt) + len(req.Generated),
		ready:          make(chan struct{}),
		gone:           make(chan struct{}),
	}
	p.kvBytes = int64(p.tokens) * kvPerToken
	return p
}

// contextHash returns the prompt's hash, or another one when the generated
// tokens are not those of the prompt's answer: a model that is given a wrong
// context goes on with wrong tokens, and so does this one.
func contextHash(req engineapi.PrefillRequest) answer.Hash {
	hash := answer.HashPrompt(req.Prompt)
	for i, text := range req.Generated {
		if text != answer.TokenOf(req.Model, req.Adapter, hash, i) {
			return ^hash
		}
	}
	return hash
}

// export is the content of a KV cache as far as the decode engine needs it.
type export struct {
	engineapi.WorkID
	Model      string      `json:"model"`
	Adapter    string      `json:"adapter"`
	PromptHash answer.Hash `json:"prompt_hash"`
	Generated  int         `json:"generated"`
	KVBytes    int64       `json:"kv_bytes"`
}

func (p *prefill) export() export {
	return export{
		WorkID:     p.WorkID,
		Model:      p.Model,
		Adapter:    p.Adapter,
		PromptHash: p.hash,
		Generated:  len(p.Generated),
		KVBytes:    p.kvBytes,
	}
}

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
		AgeMS:  now.Sub(p.since).Milliseconds(),
	}
}

// decodeState says how far a decode is.
type decodeState int

const (
	decodeReserved decodeState = iota
	decodeImporting
	decodeRunning
	decodeWaiting // resumed, but no slot is free
	decodePaused
	decodeFinished
)

// holdsSlot reports whether a decode in this state takes a slot of the batch.
func (s decodeState) holdsSlot() bool {
	return s == decodeReserved || s == decodeImporting || s == decodeRunning
}

// decode is one reservation or stream on a decode engine.
type decode struct {
	engineapi.DecodeRequest
	state      decodeState
	since      time.Time
	holdUntil  time.Time // of a reservation; zero means for ever
	finishedAt time.Time
	kvBytes    int64
	imported   bool
	pauseWish  bool // pause asked for while importing
	inStep     bool // part of the step in progress
	hash       answer.Hash
	context    int // tokens generated before this attempt
	end        int // length of the whole answer
	tokens     []string
	finish     string
	failure    string
	changed    chan struct{} // closed and replaced at each change
	gone       chan struct{} // closed when the memory is freed
	abort      func()        // ends the import; may be nil
}

func newDecode(now time.Time, req engineapi.DecodeRequest) *decode {
	return &decode{
		DecodeRequest: req,
		since:         now,
		changed:       make(chan struct{}),
		gone:          make(chan struct{}),
	}
}

func (d *decode) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// generate adds the next token and reports whether the answer is complete.
func (d *decode) generate() bool {
	if n := d.next(); n < d.end {
		at := n - d.FromIndex + d.context
		d.tokens = append(d.tokens, answer.TokenOf(d.Model, d.Adapter, d.hash, at))
	}
	return d.next() >= d.end
}

// next returns the index of the next token to generate.
func (d *decode) next() int { return d.FromIndex + len(d.tokens) }

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
		AgeMS:  now.Sub(d.since).Milliseconds(),
	}
}

// answerEnd returns the length of the whole answer that d is to give.
func answerEnd(d *decode, kv export) int {
	return answer.LengthOf(kv.PromptHash, d.MaxTokens)
}

func finishReason(d *decode) string {
	return answer.FinishReason(d.end, d.MaxTokens)
}
