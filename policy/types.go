// Package policy decides where a request runs: admission, the choice of decode and prefill
// engines, the reservation of slots and link time, the choice of replicas of plain services, and
// retries. It does no I/O and reads no clock. Its inputs are a Snapshot, a Query with the
// current time and a random source; its result is a Plan or a refusal.
//
// A completion is served in two phases: a prefill engine computes the prompt, and a decode
// engine, to which the resulting KV cache is transferred over a link, generates the answer. A
// slot is an engine's capacity for one running request. Requests are of class urgent or draft;
// the headroom is the share of the decode slots that drafts may not use. A replica that keeps
// failing is ejected, that is, gets no requests for a while. A plain service is an HTTP service
// that runs no model engine.
//
// While all replicas of a pool are ejected, those that may only have been silent for a moment are
// half-open: they get a few requests on trial, and an answer ends their ejection.
//
// Package board builds the snapshots. They are immutable and may be read by any number of
// goroutines. The requests that this daemon has in flight change faster than snapshots do and
// are read through Inflight.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// Replica is the state of one upstream in a snapshot.
type Replica struct {
	Name       string
	Address    string
	DataCentre string
	Pool       string
	// Version is the version of the upstream's software; empty if the platform reports none.
	// Incarnation distinguishes successive runs of its process; 0 if the platform reports none.
	Version     string
	Incarnation int64
	// Slots is the number of requests that the upstream can run at once.
	Slots int
	// Queues is set when the upstream queues requests that find no free slot.
	Queues bool
	// MemoryTokens is the memory for running requests, in tokens; 0 means that only Slots
	// limits them.
	MemoryTokens int
	// Active and Queued are the last reported numbers of running and queued requests.
	// QueuedTokens is the number of prompt tokens waiting for prefill.
	Active       int
	Queued       int
	QueuedTokens int
	// Step is the time between tokens. StepMeasured is set when it was reported or measured;
	// otherwise it is a default, which must not cause a refusal.
	Step         time.Duration
	StepMeasured bool
	// PrefillPerToken is the learned prefill time of one uncached prompt token; 0 while it
	// has not been learned.
	PrefillPerToken time.Duration
	// LinkBytesPerSecond is the rate of the link for KV transfers; 0 means unlimited.
	LinkBytesPerSecond int64
	// LinkFreeAt is when the link has finished the transfers booked on it.
	LinkFreeAt time.Time
	// LoadAt is the time of the last reported load; zero when none was received.
	LoadAt time.Time
	// EjectedAt and EjectedUntil are the beginning and the end of the ejection after failures; zero
	// when not ejected. Silent is set unless the replica's host refused the last connection. A
	// silent replica may get requests on trial during its ejection; see Pool.
	EjectedAt, EjectedUntil time.Time
	Silent                  bool
	// RestUntil is the end of the time for which the upstream wants no requests; zero if there is none.
	RestUntil time.Time
	// Weight is 1 for a healthy replica and less while it is ramped up after an ejection or a
	// restart.
	Weight float64
}

// Query holds the properties of a request that a decision depends on.
type Query struct {
	RequestID    string
	Team         string
	Class        bundle.Class
	Model        string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	// AnswerTokens is the expected length of the answer, learned from other requests. It is
	// 0 while that has not been learned; then only MaxTokens bounds the answer.
	AnswerTokens int
	// MemoryTokens is the memory, in tokens, that the request is expected to need on its decode
	// engine.
	MemoryTokens int
	// Prefix holds the hashes of the prompt's blocks of tokens. Each hash also covers all
	// earlier blocks.
	Prefix []uint64
	// Now is the time of the decision, and Deadline the time by which the whole answer is due.
	Now      time.Time
	Deadline time.Time
	// Accepted is the time from which the target for the first token and the wait for a slot are
	// measured: when the request was accepted, less the time that the client had waited before
	// if it retries after a refusal. For a later attempt of the daemon it is the start of that
	// attempt. Zero means Now.
	Accepted time.Time
	// MayWait is set when the caller of Plan or PickService can hold the request until a slot is free.
	// QueuedAhead is the number of requests waiting for the same pool or plain service ahead of it.
	MayWait     bool
	QueuedAhead int
	// Retried is set when the client retries after a refusal, or the daemon after a failed
	// attempt. RefusalStreak is the number of reservations that engines have refused since the
	// request last waited.
	Retried       bool
	RefusalStreak int
	// Admission says whether the request may ask for a slot. Engine is the decode engine that its turn
	// names; empty if it names none. ExpectedWait is the time until a request of its rank is admitted,
	// over all daemons; 0 if unknown.
	Admission    Admission
	Engine       string
	ExpectedWait time.Duration
	// Version is the only software version at which the request may run, because upstreams of that
	// version have begun its answer; empty if any may run it.
	Version string
	// Attempt counts from 1. Exclude lists the upstreams on which this request has failed. NoReply lists
	// the decode engines that did not reply to its reservations in time, one entry for each call; they
	// are asked again if no other engine is left.
	Attempt int
	Exclude []string
	NoReply []string
	// DataCentre is the daemon's own data centre.
	DataCentre string
	// Priority overrides the priority of the class unless it is nil.
	Priority *int
	// Forecast predicts the times of calls to the plain service; nil if there is none.
	Forecast *Forecast
}

// target returns the targets of the query's class, with its priority overridden by the query's.
func (q *Query) target(b *bundle.Bundle) bundle.ClassTarget {
	t := b.Classes[q.Class]
	if q.Priority != nil {
		t.Priority = *q.Priority
	}
	return t
}

// Plan describes where an attempt runs and why.
type Plan struct {
	Decode  Replica
	Prefill Replica
	// CachedTokens is the expected number of prompt tokens cached on the prefill engine.
	CachedTokens int
	// TokensAhead is the expected number of prompt tokens that the prefill engine processes
	// before this prompt. The caller passes it on in board.PrefillResult.
	TokensAhead int
	// FirstToken and BetweenTokens are the predicted latencies.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Transfer is the duration of the KV cache transfer. The caller books it on the links of
	// both engines, with board.Inflight, before prefill starts.
	Transfer time.Duration
	// TransferAt is when the transfer is expected to start.
	TransferAt time.Time
	// Connect is how much longer than usual connections to the engines may take. The caller of Plan
	// sets it.
	Connect time.Duration
	// ReplyDelay is how much longer than usual an engine's reply to a reservation may take. The
	// caller of Plan sets it.
	ReplyDelay time.Duration
	// Priority is the scheduling priority sent to the engines.
	Priority int
	// PauseDraft is set when Decode is full: the caller must pause one of its own drafts there
	// before it reserves, and resume it when this request has ended. If none is left to pause,
	// the caller plans again with Decode excluded.
	PauseDraft bool
	// Wait, when positive, means that no slot is free but the request is still expected to meet
	// its targets. The plan then names no engines. The caller plans again when one of its own
	// slots is free, and after Wait at the latest.
	Wait time.Duration
	// MayWait is how long the request may wait in all from now; 0 if only its targets limit the wait.
	// It is set with Wait.
	MayWait time.Duration
	// InTime is the time after which an answer that gets its slot is predicted to miss the target for
	// the first token, counted from Query.Accepted; negative if it is predicted to miss it in any case,
	// 0 if there is no target. It is set with Wait.
	InTime time.Duration
	// SkipReserve is set to send the request without a reservation, and SkipPrefill to let the
	// decode engine prefill the prompt itself.
	SkipReserve, SkipPrefill bool
	// PrefillFirst is set when prefill starts before a decode slot is reserved.
	PrefillFirst bool
	// Candidates is the number of replicas that the decision examined.
	Candidates int
	// LoadAge is the age of the chosen decode replica's reported load.
	LoadAge time.Duration
	// Reason is a short identifier of why these engines were chosen, for logs and metrics.
	Reason string
}

// ServicePlan describes which replica of a plain service gets a call.
type ServicePlan struct {
	Replica    Replica
	Candidates int
	LoadAge    time.Duration
	Reason     string
	// Predicted is the forecast for the call; zero if the replica was picked without one.
	Predicted Prediction
	// Wait, when positive, means that no replica is expected to begin the call in time now, but one
	// may later. The plan then names no replica. The caller plans again when a replica has stated its
	// load, and after Wait at the latest.
	Wait time.Duration
}

// Inflight provides the requests that this daemon has in flight. Implementations are safe for
// concurrent use, and a dispatched request must be visible to the next decision. Package board
// implements it.
type Inflight interface {
	// Upstream returns the number of this daemon's requests on an upstream that started after
	// since, and their tokens: on a prefill engine the prompt tokens waiting for prefill, on a
	// decode engine the memory that they are expected to need. Policies pass the time of the
	// last reported load, so that no request is counted twice.
	Upstream(name string, since time.Time) (requests, tokens int)
	// Full reports whether an upstream recently refused a reservation or a prompt of this daemon.
	Full(name string, now time.Time) bool
	// LinkFree returns the earliest time, not before from, at which this daemon's own bookings
	// leave the upstream's KV link free for the duration d.
	LinkFree(name string, from time.Time, d time.Duration) time.Time
	// Pausable returns the number of this daemon's own drafts on an upstream that can be paused.
	Pausable(name string) int
	// Team returns the number of the team's requests in flight on this daemon, the number of all
	// teams' requests, and the number of teams that have any.
	Team(name string) (team, total, teams int)
}

// Policy is a load balancing policy. Implementations are safe for concurrent use. Only the
// round-robin policy is stateful: it has a cursor.
type Policy interface {
	// Name returns the policy's name in bundles.
	Name() string
	// Plan returns where the next attempt of a completion runs, or a refusal with its kind and
	// a retry delay. A plan has no alternatives: when an attempt fails, the caller plans again
	// with the failed upstream in q.Exclude.
	Plan(s *Snapshot, in Inflight, q Query, rng *rand.Rand) (Plan, *errkind.Error)
	// PickService returns the replica for one call to a plain service.
	PickService(s *Snapshot, in Inflight, service string, q Query, rng *rand.Rand) (ServicePlan, *errkind.Error)
}

// The names of the policies in bundles.
const (
	NameReserve     = "reserve"
	NameRoundRobin  = "round-robin"
	NameLeastLoaded = "least-loaded"
)

var byName = map[string]Policy{
	NameReserve:     reserve{},
	NameRoundRobin:  &roundRobin{},
	NameLeastLoaded: leastLoaded{},
}

// ByName returns the policy with the given name; the empty name selects "reserve".
func ByName(name string) (Policy, bool) {
	if name == "" {
		name = NameReserve
	}
	p, ok := byName[name]
	return p, ok
}
