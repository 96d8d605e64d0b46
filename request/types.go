// Package request processes one request from its acceptance to its single answer. No other
// package answers callers for accepted requests. A state machine takes events and the current
// time and returns actions; Runner performs the actions.
//
// A request makes one or more attempts. An attempt of a completion uses one decode engine and
// usually one prefill engine, to which it makes calls of several steps (Step). The run state
// (errkind.RunState) tells the caller whether the request may have run on an upstream. A retry
// permit allows a repeated request to an upstream; permits are taken from a RetryBudget. A
// daemon is frozen while its process is stopped, for example by SIGSTOP; afterwards its data is
// stale until it is refreshed.
//
// A bundle is the configuration of all daemons; a snapshot is one bundle and the state of the
// upstreams. Urgent and draft are the two built-in classes of requests: urgent requests precede
// drafts in the queue for decode slots, and a draft may be paused so that an urgent request gets
// its slot. A caller may send an idempotency key with a request. A daemon claims the key from the
// Gate before it runs a non-idempotent request, and the resulting Grant allows the request to run,
// contains the answer of its earlier run, or names the daemon that alone may run it.
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
	// ID is unique across all daemons. It is shown to the caller and to engines.
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
	// NonIdempotent forbids another dispatch after one that may have been delivered. It
	// requires Key: the key is claimed before the request is dispatched, so that the request
	// runs at most once across all daemons.
	NonIdempotent bool
	// Key is the caller's idempotency key; empty if the caller sent none.
	Key string
	// SendOnce forbids another dispatch after one that may have been delivered, but claims no
	// key: a repeat by the caller is a new request.
	SendOnce bool
	// MaxSends bounds the number of engines that the request itself is sent to; 0 means that
	// only Limits apply. Reservations and refused dispatches do not count.
	MaxSends int
	// PromptTokens and AnswerTokens are the sizes that the caller stated, the latter as an
	// estimate; 0 if not stated.
	PromptTokens, AnswerTokens int
	// PreviousWait is how long the caller waited in earlier tries of this request that were
	// refused; 0 for a first try, and for one that takes a stream up: its caller has read meanwhile.
	PreviousWait time.Duration
	// Prefix holds the chained hashes of the prompt's blocks if Prompt is empty.
	Prefix []uint64
	// Parts names the parts of the prompt that other requests may share, in their order, if Prompt is
	// empty.
	Parts []string
	// Original is the caller's unmodified request, for engines that accept it in that form.
	Original *engineapi.CallerRequest
	// Resumes is the id of the caller's try that brought the first event of the stream that this
	// one takes up, as the caller names it; empty if it names none. FirstIndex of Original is the
	// number of events that the caller has.
	Resumes string
	// Origin is where the stream began that this request takes up; zero if it begins a stream.
	Origin Origin
	// CallerTeam is the team name of a caller whose team is not in the bundle. It is logged, so
	// it must never be the caller's API key.
	CallerTeam string
	// Priority overrides the priority of the class; nil uses that of the class.
	Priority *int
}

// TakesUp reports whether the caller has the beginning of the stream from an earlier try.
func (c *Completion) TakesUp() bool { return c.Original != nil && c.Original.FirstIndex > 0 }

// mayRunAgain reports whether the request may be dispatched again after it may have run.
func (c *Completion) mayRunAgain() bool { return !c.NonIdempotent && !c.SendOnce }

// Call is an accepted request for a plain service.
type Call struct {
	ID       string
	Team     string
	Class    bundle.Class
	Service  string
	Method   string
	Path     string // relative to the service, with the raw query
	Header   http.Header
	Body     []byte
	Accepted time.Time
	Deadline time.Time
	// NonIdempotent forbids another dispatch after one that may have been delivered. It
	// requires Key: the key is claimed before the call is dispatched, so that the call runs at
	// most once across all daemons.
	NonIdempotent bool
	Key           string
	// SendOnce forbids another dispatch after one that may have been delivered, but claims no
	// key. It is set if the method is not idempotent and neither the bundle nor the caller
	// states whether the call is idempotent.
	SendOnce bool
	// MaxSends bounds the number of replicas that the call is sent to; 0 means that only
	// Limits apply.
	MaxSends int
	// CallerTeam is the team name of a caller whose team is not in the bundle. It is logged, so
	// it must never be the caller's API key.
	CallerTeam string
	// Priority overrides the priority of the class; nil uses that of the class.
	Priority *int
}

// atMostOnce reports whether the call must not be dispatched again after a dispatch that may
// have been delivered.
func (c Call) atMostOnce() bool { return c.NonIdempotent || c.SendOnce }

// Usage counts the tokens of a finished completion.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Sink receives the answer of one completion. The runner calls Token any number of times and
// then exactly one of Finish and Fail, all from one goroutine. An error from Token means that
// the caller has left; the runner then cancels the work.
type Sink interface {
	// Token delivers the token at the next index.
	Token(index int, text string) error
	// Finish ends a complete answer; reason is "stop" or "length".
	Finish(reason string, usage Usage)
	// Fail ends the request with an error that carries the request's run state.
	Fail(err *errkind.Error)
}

// PassThroughSink is a Sink that forwards the engine's answer unchanged. The runner may call
// Answer in place of Finish or Fail.
type PassThroughSink interface {
	Sink
	// Open delivers the head of the first engine's answer, before the first token.
	Open(head engineapi.ResponseHead)
	// Answer ends the request with an engine's own error answer, before any token.
	Answer(a CallAnswer)
}

// CallAnswer is a plain service's answer, or an engine's own error answer.
type CallAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}
