// Package engineapi defines the messages of the engines' HTTP and JSON interface. Durations
// are in milliseconds and sizes in bytes unless a field says otherwise. Every call that
// makes an engine hold memory states the owner of the memory, so that it can be freed if the
// owner fails.
package engineapi

import (
	"net/http"
	"time"
)

// The paths of the calls, with their messages and, for some, the kind of engine that serves
// them.
const (
	PathReserve = "/v1/reserve" // POST ReserveRequest -> ReserveReply; decode engines
	PathPrefill = "/v1/prefill" // POST PrefillRequest -> PrefillReply; prefill engines
	PathExport  = "/v1/export"  // GET ?request=&attempt= -> bytes of the KV cache, at the rate of the link; prefill engines
	PathDecode  = "/v1/decode"  // POST DecodeRequest -> stream of Chunk, one JSON object per line; decode engines
	PathStream  = "/v1/stream"  // GET ?request=&attempt=&from= -> stream of Chunk, starting at index from
	PathCancel  = "/v1/cancel"  // POST CancelRequest -> CancelReply
	PathPause   = "/v1/pause"   // POST CancelRequest -> CancelReply; the decode engine stops generating and keeps the memory
	PathResume  = "/v1/resume"  // POST CancelRequest -> CancelReply
	PathHeld    = "/v1/held"    // GET -> HeldReply
	PathLoad    = "/v1/load"    // GET -> Load, which lags behind the real load
	PathEvents  = "/v1/events"  // GET ?from= -> EventsReply, delayed and possibly incomplete
	PathOrders  = "/v1/orders"  // POST Order -> OrderReply
	PathState   = "/v1/state"   // GET -> State
)

// Owner identifies the daemon for which an engine holds memory.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// WorkID identifies one attempt of one request.
type WorkID struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// CallerRequest is the caller's HTTP request, for engines that take it unchanged instead of a
// prompt. All calls for a request share one CallerRequest, which must not be modified.
type CallerRequest struct {
	Method string
	// Path is the path with the raw query.
	Path   string
	Header http.Header
	Body   []byte
	// FirstIndex is the index of the first token that the caller asks for. It is greater
	// than 0 if the caller already has the beginning of the answer and resumes it.
	FirstIndex int
}

// CallMetadata has the metadata of a call that is not part of its JSON message. Clients of other
// interfaces send it in HTTP headers; it is not sent to engines with this interface.
type CallMetadata struct {
	// Upstream is the name of the engine that the call is for. An engine with another name
	// may have taken over the address.
	Upstream string
	// Deadline is when the caller stops waiting for the answer.
	Deadline      time.Time
	CallerRequest *CallerRequest
}

// HeaderCallID is the header with the id of a call, which no other call has. An engine repeats it in its
// response, so that a response that it sends twice does not count as that of another call.
const HeaderCallID = "X-Call-Id"

// ResponseHead is the status and header of an engine's HTTP response, to be passed on to the caller
// unchanged.
type ResponseHead struct {
	Status int
	Header http.Header
}

// ReserveRequest reserves a slot and KV cache memory on a decode engine.
type ReserveRequest struct {
	WorkID
	Envelope CallMetadata `json:"-"`
	// Tokens is the memory to reserve, in tokens. Headroom is the memory, in tokens, that must
	// be free in addition for the reservation to be granted.
	Tokens   int    `json:"-"`
	Headroom int    `json:"-"`
	Owner    Owner  `json:"owner"`
	Model    string `json:"model"`
	Priority int    `json:"priority"`
	KVBytes  int64  `json:"kv_bytes"`
	HoldMS   int64  `json:"hold_ms"`
	// OnReply, if not nil, is called after each reply of the engine but the last one, where a
	// reservation takes several calls.
	OnReply func() `json:"-"`
}

// ReserveReply confirms a reservation. A full engine responds with status 503 and a Refusal
// instead.
type ReserveReply struct {
	// Reservation is the id that the engine gave the reservation; empty if WorkID identifies it.
	Reservation string `json:"-"`
	Load        Load   `json:"load"`
}

// Refusal is the body of a response with status 409, 429 or 503. It guarantees that the
// engine did not execute the request.
type Refusal struct {
	Reason string `json:"reason"`
	// RetryAfterMS, with status 503, is the time for which the engine wants no calls from this daemon;
	// 0 means that it asks for none.
	RetryAfterMS int64 `json:"retry_after_ms"`
	Leaving      bool  `json:"leaving"`
	Load         Load  `json:"load"`
}

// AsksForRest reports whether the engine wants no requests from this daemon for RetryAfterMS. It returns
// false for nil.
func (r *Refusal) AsksForRest() bool { return r != nil && r.RetryAfterMS > 0 }

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
// The engine keeps the result for export until ExpiresInMS of the reply.
type PrefillRequest struct {
	WorkID
	Envelope CallMetadata `json:"-"`
	Owner    Owner        `json:"owner"`
	Model    string       `json:"model"`
	Adapter  string       `json:"adapter,omitempty"`
	Prompt   string       `json:"prompt"`
	Priority int          `json:"priority"`
	// Generated are the tokens that earlier attempts delivered to the caller. The KV cache is
	// computed for the prompt and these tokens.
	Generated []string `json:"generated,omitempty"`
}

// PrefillReply confirms that the KV cache is ready for export.
type PrefillReply struct {
	// Handle is the id that the engine gave the result; empty if WorkID identifies it.
	Handle       string `json:"-"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	ExpiresInMS  int64  `json:"expires_in_ms"`
	Load         Load   `json:"load"`
}

// DecodeRequest starts the generation in a reserved slot. The decode engine imports the KV
// cache from Source and streams the generated tokens.
type DecodeRequest struct {
	WorkID
	Envelope CallMetadata `json:"-"`
	// Reservation and Handle are those of the ReserveReply and the PrefillReply.
	Reservation string `json:"-"`
	Handle      string `json:"-"`
	Owner       Owner  `json:"owner"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	// Source is the prefill engine's address, host:port.
	Source    string `json:"source"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// FromIndex is the index of the first token to generate, which is the number of tokens
	// that earlier attempts delivered.
	FromIndex int `json:"from_index"`
}

// Chunk is one line of a decode stream. Unless Imported or Done is set, it has one token.
type Chunk struct {
	WorkID
	// Index is the token's position in the whole answer, starting at 0.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// Imported is set on the first line, which is sent when the KV cache was imported and has
	// no token.
	Imported bool `json:"imported,omitempty"`
	// Done is set on the last line, which has no token. Tokens is then the number of tokens of
	// the whole answer, counted from index 0.
	Done         bool   `json:"done,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop", "length" or "cancelled"
	Error        string `json:"error,omitempty"`
	Load         *Load  `json:"load,omitempty"`
}

// CancelRequest cancels, pauses or resumes the work of one attempt, or of all attempts of
// the request if Attempt is negative.
type CancelRequest struct {
	WorkID
	// Reservation and Handle are the ids that the engine gave to what it holds for the
	// attempt; empty if it gave none or holds nothing any more.
	Reservation string `json:"-"`
	Handle      string `json:"-"`
	// Upstream is the name of the engine.
	Upstream string `json:"-"`
}

// CancelReply acknowledges a CancelRequest. Found reports whether the engine had the work.
// An engine also acknowledges the cancel of work that it does not have, and then refuses
// reserve, prefill and decode calls for that work that arrive later.
type CancelReply struct {
	Found       bool   `json:"found"`
	Incarnation uint64 `json:"incarnation"`
}

// HeldKind is the purpose of memory that an engine holds.
type HeldKind string

// The kinds of held memory.
const (
	HeldReservation HeldKind = "reservation" // reserved for a decode call
	HeldPrefill     HeldKind = "prefill"     // prefill is running
	HeldExport      HeldKind = "export"      // result of a prefill, ready for export
	HeldDecode      HeldKind = "decode"      // decode is running
)

// Held is a block of memory that an engine holds for one attempt.
type Held struct {
	WorkID
	Owner Owner    `json:"owner"`
	Kind  HeldKind `json:"kind"`
	Bytes int64    `json:"bytes"`
	AgeMS int64    `json:"age_ms"`
}

// HeldReply lists all memory that an engine holds for requests.
type HeldReply struct {
	Incarnation uint64 `json:"incarnation"`
	Held        []Held `json:"held"`
}

// Load is an engine's report of its load.
type Load struct {
	// Incarnation changes when the engine restarts. Seq increases with each report.
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
	Slots       int    `json:"slots"`
	Active      int    `json:"active"`
	Queued      int    `json:"queued"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int `json:"queued_tokens"`
	// StepMS is the current time between two tokens of a stream.
	StepMS float64 `json:"step_ms"`
	// LinkBusyMS is how long the link for transfers of KV caches will be busy with the
	// transfers that are already accepted.
	LinkBusyMS int64 `json:"link_busy_ms"`
	Leaving    bool  `json:"leaving"`
	// Pace is the present duration of work on the machine of a plain service's replica, in percent of
	// the usual one; 0 if the replica does not state it. Engines with this interface have none.
	Pace int `json:"-"`
}

// CacheEvent reports that a block was added to the prefix cache or evicted from it.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block"`
	Model string `json:"model"`
	// Evicted is true if the block was evicted and false if it was added.
	Evicted bool `json:"evicted"`
}

// EventsReply lists the events from a sequence number on. A gap in Seq means that events were
// lost.
type EventsReply struct {
	Incarnation uint64       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
}

// OrderKind is the type of an order.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order states the desired state of one item: a model, an adapter or the role. Fence is a
// fencing token. An engine that checks it refuses an order whose Fence is lower than the
// highest that it has received for the item.
type Order struct {
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// OrderReply is the response to an order.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Fence    uint64 `json:"fence"`
	Reason   string `json:"reason,omitempty"`
}

// State is what an engine serves now. It is read to check whether orders took effect.
type State struct {
	Incarnation uint64            `json:"incarnation"`
	Role        string            `json:"role"`
	Models      map[string]string `json:"models"`   // model -> version
	Adapters    map[string]string `json:"adapters"` // model/adapter -> version
	Loading     []string          `json:"loading"`
	Fence       uint64            `json:"fence"`
}
