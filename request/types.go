// Package request owns one request from acceptance to its single answer. It is
// the only place that may answer a caller. The state machine takes events and
// the time and returns actions; Runner performs the actions.
package request

import (
	"net/http"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Completion is an accepted request for a model.
type Completion struct {
	// ID is unique among all daemons and is shown to the caller and to engines.
	ID        string
	Team      string
	Class     bundle.Class
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Stream    bool
	Accepted  time.Time
	Deadline  time.Time
	// NonIdempotent forbids a second dispatch after one that may have been delivered.
	NonIdempotent bool
	// Key is the caller's idempotency key; empty when none was sent.
	Key string
	// SendOnce forbids a second dispatch after one that may have been delivered, but
	// claims nothing: a repeat by the caller is a request of its own.
	SendOnce bool
	// MaxSends bounds the engines to which the request itself is sent; 0 leaves it to
	// the limits. Reservations do not count, and neither does a refused send.
	MaxSends int
	// PromptTokens and AnswerTokens are the sizes that the caller stated, the second
	// as an estimate; 0 when it stated none.
	PromptTokens, AnswerTokens int
	// Waited is how long the caller has been waiting before this request, when it comes
	// back after a refusal; 0 when it does not.
	Waited time.Duration
	// Prefix holds the chained hashes of the prompt's parts where Prompt is empty.
	Prefix []uint64
	// Original is the caller's request as it came, for engines that take it so.
	Original *engineapi.Original
	// Caller names the team of a caller that is none of the bundle's; never a key, since it
	// is logged.
	Caller string
	// Priority goes before that of the class; nil leaves the class's.
	Priority *int
}

// again says whether the request may be dispatched once more after it may have run.
func (c *Completion) again() bool { return !c.NonIdempotent && !c.SendOnce }

// Call is an accepted request for a plain service.
type Call struct {
	ID       string
	Team     string
	Class    bundle.Class
	Service  string
	Method   string
	Path     string // below the service, with the raw query
	Header   http.Header
	Body     []byte
	Accepted time.Time
	Deadline time.Time
	// NonIdempotent forbids a second dispatch after one that may have been delivered.
	NonIdempotent bool
	Key           string
	// SendOnce forbids the same without a claim: the method is not idempotent, and
	// neither the bundle nor the caller says anything of this call.
	SendOnce bool
	// MaxSends bounds the replicas to which the call is sent; 0 leaves it to the limits.
	MaxSends int
	// Caller names the team of a caller that is none of the bundle's; never a key, since it
	// is logged.
	Caller string
	// Priority goes before that of the class; nil leaves the class's.
	Priority *int
}

// once says whether a dispatch that may have been delivered is the last.
func (c Call) once() bool { return c.NonIdempotent || c.SendOnce }

// Usage counts the tokens of a finished completion.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Sink receives the answer of one completion. The runner calls Token any number
// of times and then exactly one of Finish and Fail, from one goroutine. An error
// from Token means the caller is gone; the runner then cancels the work.
type Sink interface {
	// Token delivers the token at the next index.
	Token(index int, text string) error
	// Finish ends the whole answer; reason is "stop" or "length".
	Finish(reason string, usage Usage)
	// Fail ends the request with an honest error.
	Fail(err *errkind.Error)
}

// PassThroughSink is a Sink whose caller gets the engine's answer as it came.
type PassThroughSink interface {
	Sink
	// Open tells the head of the first engine's answer, before the first token.
	Open(head engineapi.Head)
	// Answer ends the request with an engine's own failure, before any token.
	Answer(a CallAnswer)
}

// CallAnswer is a plain service's answer.
type CallAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}
