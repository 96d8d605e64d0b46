// Package engineapi holds the messages of the engines' published HTTP and JSON
// interface. All durations are in milliseconds and all sizes in bytes. Every
// call that makes an engine hold memory names its owner, so that the memory
// can be freed when the owner is gone.
package engineapi

import (
	"net/http"
	"time"
)

// The paths of the interface.
const (
	PathReserve = "/v1/reserve" // POST ReserveRequest -> ReserveReply; decode engines
	PathPrefill = "/v1/prefill" // POST PrefillRequest -> PrefillReply; prefill engines
	PathExport  = "/v1/export"  // GET ?request=&attempt= -> KV bytes, paced by the link; prefill engines
	PathDecode  = "/v1/decode"  // POST DecodeRequest -> stream of Chunk, one JSON object a line; decode engines
	PathStream  = "/v1/stream"  // GET ?request=&attempt=&from= -> stream of Chunk from that index
	PathCancel  = "/v1/cancel"  // POST CancelRequest -> CancelReply
	PathPause   = "/v1/pause"   // POST CancelRequest -> CancelReply; decode keeps memory, stops generating
	PathResume  = "/v1/resume"  // POST CancelRequest -> CancelReply
	PathHeld    = "/v1/held"    // GET -> HeldReply
	PathLoad    = "/v1/load"    // GET -> Load (lagged)
	PathEvents  = "/v1/events"  // GET ?from= -> EventsReply (late, with gaps)
	PathOrders  = "/v1/orders"  // POST Order -> OrderReply
	PathState   = "/v1/state"   // GET -> State
)

// Owner identifies the daemon that holds memory on an engine.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// WorkID identifies one attempt of one request.
type WorkID struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// Original is the caller's own HTTP request, for engines that take it as it came
// instead of a prompt. It is shared by all calls of a request and never changed.
type Original struct {
	Method string
	// Path is the path with the raw query.
	Path   string
	Header http.Header
	Body   []byte
	// FirstIndex is the index of the first token that the caller asked for; more
	// than 0 when it resumes an answer of which it has the beginning.
	FirstIndex int
}

// Envelope is what a call needs besides its message where the transport carries
// it in another way than JSON. Engines of the project's own interface ignore it.
type Envelope struct {
	// Upstream is the name of the engine that is meant: its address may belong to
	// another one by now.
	Upstream string
	// Deadline is when nobody waits for the answer any more.
	Deadline time.Time
	Original *Original
}

// Head is the beginning of an engine's own HTTP answer, for callers who get it as
// it came.
type Head struct {
	Status int
	Header http.Header
}

// ReserveRequest asks a decode engine to keep a slot free.
type ReserveRequest struct {
	WorkID
	Envelope Envelope `json:"-"`
	// Tokens is the memory to reserve, in tokens, and Headroom how much more must be free
	// beside it for the reservation to be granted.
	Tokens   int    `json:"-"`
	Headroom int    `json:"-"`
	Owner    Owner  `json:"owner"`
	Model    string `json:"model"`
	Priority int    `json:"priority"`
	KVBytes  int64  `json:"kv_bytes"`
	HoldMS   int64  `json:"hold_ms"`
}

// ReserveReply confirms a slot. A full engine answers 503 with a Refusal instead.
type ReserveReply struct {
	// Reservation names the reserved slot where the engine names it itself.
	Reservation string `json:"-"`
	Load        Load   `json:"load"`
}

// Refusal is the body of a definitive refusal (status 409, 429 or 503): the
// engine did nothing for the request.
type Refusal struct {
	Reason string `json:"reason"`
	// RetryAfterMS is when to come back; 0 means unknown.
	RetryAfterMS int64 `json:"retry_after_ms"`
	Leaving      bool  `json:"leaving"`
	Load         Load  `json:"load"`
}

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
// The engine keeps the result for export until ExpiresInMS of the reply.
type PrefillRequest struct {
	WorkID
	Envelope Envelope `json:"-"`
	Owner    Owner    `json:"owner"`
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`
	Prompt   string   `json:"prompt"`
	Priority int      `json:"priority"`
	// Generated are the tokens an earlier attempt already delivered; they are
	// part of the context to compute.
	Generated []string `json:"generated,omitempty"`
}

// PrefillReply says the KV cache is ready for export.
type PrefillReply struct {
	// Handle names the result where the engine names it itself.
	Handle       string `json:"-"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	ExpiresInMS  int64  `json:"expires_in_ms"`
	Load         Load   `json:"load"`
}

// DecodeRequest turns a reservation into a running stream: the decode engine
// imports the KV cache from Source and generates.
type DecodeRequest struct {
	WorkID
	Envelope Envelope `json:"-"`
	// Reservation and Handle are those of the replies before.
	Reservation string `json:"-"`
	Handle      string `json:"-"`
	Owner       Owner  `json:"owner"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	// Source is the prefill engine's address, host:port.
	Source    string `json:"source"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// FromIndex is the index of the first token to generate: the number of
	// tokens that earlier attempts delivered.
	FromIndex int `json:"from_index"`
}

// Chunk is one line of a decode stream.
type Chunk struct {
	WorkID
	// Index is the token's position in the whole answer, from 0.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// Imported is set on the first line, once the KV cache has arrived; it has no token.
	Imported bool `json:"imported,omitempty"`
	// Done is set on the last line; it has no token. Tokens is the length of the
	// whole answer, counted from index 0.
	Done         bool   `json:"done,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop", "length" or "cancelled"
	Error        string `json:"error,omitempty"`
	Load         *Load  `json:"load,omitempty"`
}

// CancelRequest frees, pauses or resumes one attempt's work. Attempt < 0 means every attempt.
type CancelRequest struct {
	WorkID
	// Reservation and Handle are what the engine holds for the attempt, as it named
	// them; empty where it names nothing, or nothing is held any more.
	Reservation string `json:"-"`
	Handle      string `json:"-"`
}

// CancelReply acknowledges. Found says whether the engine held such work; a
// cancel of work it does not hold is acknowledged too, and a later arrival of
// that work's own reserve, prefill or decode call is refused.
type CancelReply struct {
	Found       bool   `json:"found"`
	Incarnation uint64 `json:"incarnation"`
}

// HeldKind says what form held memory has.
type HeldKind string

// The kinds of held memory.
const (
	HeldReservation HeldKind = "reservation"
	HeldPrefill     HeldKind = "prefill"
	HeldExport      HeldKind = "export"
	HeldDecode      HeldKind = "decode"
)

// Held is one piece of memory an engine holds.
type Held struct {
	WorkID
	Owner Owner    `json:"owner"`
	Kind  HeldKind `json:"kind"`
	Bytes int64    `json:"bytes"`
	AgeMS int64    `json:"age_ms"`
}

// HeldReply lists everything an engine holds.
type HeldReply struct {
	Incarnation uint64 `json:"incarnation"`
	Held        []Held `json:"held"`
}

// Load is an engine's own view of its load.
type Load struct {
	// Incarnation changes when the engine restarts; Seq grows with each report.
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
	Slots       int    `json:"slots"`
	Active      int    `json:"active"`
	Queued      int    `json:"queued"`
	// QueuedTokens is the prompt tokens that wait for prefill.
	QueuedTokens int `json:"queued_tokens"`
	// StepMS is the current time between tokens.
	StepMS float64 `json:"step_ms"`
	// LinkBusyMS is how long the KV link is booked from now.
	LinkBusyMS int64 `json:"link_busy_ms"`
	Leaving    bool  `json:"leaving"`
}

// CacheEvent says that a prefix block was stored or evicted.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block"`
	Model string `json:"model"`
	// Evicted is true for an eviction, false for a store.
	Evicted bool `json:"evicted"`
}

// EventsReply holds the events from a sequence number on; a jump in Seq is a gap.
type EventsReply struct {
	Incarnation uint64       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
}

// OrderKind says what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order states the wanted end state of one item. An engine that checks fences
// refuses an order whose Fence is below the highest it has seen for the item.
type Order struct {
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// OrderReply is the answer to an order.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Fence    uint64 `json:"fence"`
	Reason   string `json:"reason,omitempty"`
}

// State is what an engine serves now, for reading an order back.
type State struct {
	Incarnation uint64            `json:"incarnation"`
	Role        string            `json:"role"`
	Models      map[string]string `json:"models"`   // model -> version
	Adapters    map[string]string `json:"adapters"` // model/adapter -> version
	Loading     []string          `json:"loading"`
	Fence       uint64            `json:"fence"`
}
