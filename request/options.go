package request

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Inflight counts the calls that this daemon has in flight. board.Inflight implements it.
type Inflight interface {
	policy.Inflight
	// Begin counts one call on an upstream, and the tokens that it computes or holds there,
	// until done is called.
	Begin(upstream string, tokens int) (done func())
	// Book reserves an upstream's KV link for a transfer of duration d that starts at the
	// given time.
	Book(upstream string, from time.Time, d time.Duration)
	// AddPausable adds delta to the number of an upstream's drafts that may be paused.
	AddPausable(upstream string, delta int)
	// BeginTeam counts one request of a team until done is called.
	BeginTeam(team string) (done func())
}

// Observer receives the load reports and outcomes of calls to upstreams. Implementations are
// safe for concurrent use and do not block.
type Observer interface {
	// Report receives the load that an upstream's answer carried.
	Report(now time.Time, upstream string, l engineapi.Load)
	// Prefilled receives the measurements of a finished prefill.
	Prefilled(now time.Time, upstream string, o PrefillObservation)
	// Failed reports a call that failed without a definitive refusal.
	Failed(now time.Time, upstream string)
	// PrefillTimedOut reports that a prefill for a model was given up at its timeout.
	PrefillTimedOut(now time.Time, model string)
	// Unanswered reports that an upstream did not respond to a call that it must answer at
	// once. reached is set if its host refused the connection, which shows that the network path
	// works.
	Unanswered(now time.Time, upstream string, reached bool)
	// Answered reports that an upstream responded, with whatever result.
	Answered(now time.Time, upstream string)
	// Succeeded reports that a call was answered.
	Succeeded(now time.Time, upstream string)
	// Finished reports a complete answer and its resource use on the decode engine.
	Finished(now time.Time, f FinishObservation)
	// Full reports that an upstream refused a reservation for lack of room.
	Full(now time.Time, upstream string)
	// HandedOff reports whether a decode engine that had granted a reservation accepted a
	// prefill engine's result.
	HandedOff(now time.Time, prefill, decode string, accepted bool)
	// PromptRefused reports that a prefill engine refused a prompt.
	PromptRefused(now time.Time, upstream string)
	// Leaving reports that an upstream announced that it takes no new work, without sending
	// its load. A leaving notice within a load goes to Report only.
	Leaving(now time.Time, upstream string)
}

// PrefillObservation holds the measurements of one prefill.
type PrefillObservation struct {
	// PromptTokens is the length of the prompt, CachedTokens the part of it that the engine
	// had cached, and AheadTokens the tokens that the plan expected to be computed first.
	PromptTokens, CachedTokens, AheadTokens int
	// Took is the duration of the call.
	Took time.Duration
	// Prefix holds the block hashes of the prompt; it must not be changed.
	Prefix []uint64
}

// FinishObservation holds the measurements of one complete answer.
type FinishObservation struct {
	Model string
	// Upstream is the decode engine that finished the answer.
	Upstream string
	// PromptTokens and AnswerTokens are the actual lengths of prompt and answer;
	// ExpectedTokens is the expected length of the answer.
	PromptTokens, AnswerTokens, ExpectedTokens int
	// Held is the time from the decode call to the end.
	Held time.Duration
	// PerToken is the mean time between two tokens; 0 if unknown.
	PerToken time.Duration
}

// Metrics receives the runner's counts and timings. Implementations are safe for concurrent
// use.
type Metrics interface {
	// Ended records the end of a request; kind is empty for a complete answer.
	Ended(class bundle.Class, kind errkind.Kind, run errkind.RunState, took time.Duration)
	// FirstToken and NextToken record the time that the caller waited for a token.
	FirstToken(class bundle.Class, wait time.Duration)
	NextToken(class bundle.Class, wait time.Duration)
	// Retried records a second or later attempt.
	Retried(class bundle.Class)
	// Permitted records whether the retry budget granted a request for permits.
	Permitted(allowed bool)
	// Hedged records a step of hedging a slow call: sent, won, lost, or denied for a reason.
	Hedged(result, reason string)
	// WastedPrefill records prompt tokens that were computed for an attempt that delivered no
	// token.
	WastedPrefill(tokens int)
	// CallsWaiting sets the number of calls to plain services that wait in this daemon, and
	// CallRefusedEarly records one that was refused because of the forecast for its service.
	CallsWaiting(n int)
	CallRefusedEarly(kind errkind.Kind)
	// CallPredicted records the predicted and the actual time of a call to a plain service.
	CallPredicted(predicted, took time.Duration)
	// Dropped records chunks that did not become part of an answer.
	Dropped(d Drops)
	// SendFailed records a failed call by its upstream.Delivery, and by the upstream.Proof of it.
	SendFailed(delivery, proof string)
	// Decided records a decision by its step; Decision.Step lists the possible values.
	Decided(step string)
	// Cancelled records the end of a cancel: how many tries it took, how long, and whether it
	// was acknowledged or left to the steward's sweep.
	Cancelled(tries int, took time.Duration, acknowledged bool)
}

// Engines makes calls to engines. upstream.Engines implements it for the project's own engine
// protocol. Implementations are safe for concurrent use; their errors are *upstream.CallError.
type Engines interface {
	Reserve(ctx context.Context, addr string, r engineapi.ReserveRequest) (engineapi.ReserveReply, error)
	Prefill(ctx context.Context, addr string, r engineapi.PrefillRequest) (engineapi.PrefillReply, error)
	Decode(ctx context.Context, addr string, r engineapi.DecodeRequest) (upstream.ChunkStream, error)
	// Stream resumes the stream of a running attempt from a token index on.
	Stream(ctx context.Context, addr string, w engineapi.WorkID, from int) (upstream.ChunkStream, error)
	// Pause suspends a running attempt, and Unpause continues it.
	Pause(ctx context.Context, addr string, w engineapi.WorkID) (engineapi.CancelReply, error)
	Unpause(ctx context.Context, addr string, r engineapi.CancelRequest) error
	// Release frees the slot and memory that an attempt holds on an engine; a nil error means
	// that the engine acknowledged it.
	Release(ctx context.Context, addr string, r engineapi.CancelRequest) error
}

// Services makes calls to plain services. upstream.Services implements it. Implementations are
// safe for concurrent use; their errors are *upstream.CallError.
type Services interface {
	Call(ctx context.Context, addr string, c upstream.ServiceCall) (*upstream.ServiceResponse, error)
}

// Options configure a Runner. Snapshot, Policy, Inflight, Engines, Services and Logger are
// required; the other fields may be zero.
type Options struct {
	// Owner identifies this daemon process to engines.
	Owner      engineapi.Owner
	DataCentre string
	// Snapshot returns the newest snapshot, or nil before the first bundle.
	Snapshot func() *policy.Snapshot
	// Policy returns the policy with the given name.
	Policy   func(name string) (policy.Policy, bool)
	Inflight Inflight
	Engines  Engines
	Services Services
	// Gate ensures that non-idempotent requests run at most once; without it they are refused.
	Gate     Gate
	Observer Observer
	// Frozen reports whether this process was stopped (as by SIGSTOP) and its data has not been
	// refreshed since.
	Frozen func(now time.Time) bool
	// RetryBudget returns the retry budget of a model or plain service.
	RetryBudget func(target string) RetryBudget
	// HedgeBudget returns the budget of second dispatches of slow calls to a plain service, or nil if its
	// slow calls are not hedged.
	HedgeBudget func(service string) RetryBudget
	Metrics     Metrics
	// ChunkTokens returns how many tokens one chunk of a model's stream holds; if it is nil,
	// each chunk holds one token.
	ChunkTokens func(model string) int
	Now         func() time.Time
	// Seed seeds each request's random source, together with the request's id.
	Seed   uint64
	Limits Limits
	Cancel CancelLimits
	// ConnectTime returns how much longer than usual it may take to connect to an upstream now, for
	// example because the connection goes through another daemon. Nil means no longer.
	ConnectTime func(addr string) time.Duration
	// NoForecast reports whether replicas of plain services are chosen without forecasts; nil means
	// that forecasts are used.
	NoForecast func() bool
	// UpstreamLimits enforces the rate limits that upstreams announce; without it they are
	// ignored.
	UpstreamLimits UpstreamLimits
	// Quarantine records failed runs and identifies requests that crash upstreams.
	Quarantine Quarantine
	// Admission admits requests that wait for a decode slot in turns over all daemons. Without it,
	// this daemon's own queue orders them.
	Admission Admission
	// Origins records at which software version streams begin.
	Origins Origins
	Logger  log.Interface
}

// applyDefaults checks the required options and sets defaults for the others.
func (o *Options) applyDefaults() error {
	if o.Snapshot == nil || o.Policy == nil || o.Inflight == nil || o.Engines == nil || o.Services == nil || o.Logger == nil {
		return errors.New("request: Snapshot, Policy, Inflight, Engines, Services and Logger are required")
	}
	if o.Observer == nil {
		o.Observer = noopObserver{}
	}
	if o.Frozen == nil {
		o.Frozen = func(time.Time) bool { return false }
	}
	if o.RetryBudget == nil {
		o.RetryBudget = func(string) RetryBudget { return unlimitedBudget{} }
	}
	if o.HedgeBudget == nil {
		o.HedgeBudget = func(string) RetryBudget { return nil }
	}
	if o.Metrics == nil {
		o.Metrics = noopMetrics{}
	}
	if o.Quarantine == nil {
		o.Quarantine = noQuarantine{}
	}
	if o.Origins == nil {
		o.Origins = noOrigins{}
	}
	if o.Admission == nil {
		o.Admission = noAdmission{}
	}
	if o.ConnectTime == nil {
		o.ConnectTime = func(string) time.Duration { return 0 }
	}
	if o.NoForecast == nil {
		o.NoForecast = func() bool { return false }
	}
	if o.UpstreamLimits == nil {
		o.UpstreamLimits = noUpstreamLimits{}
	}
	if o.ChunkTokens == nil {
		o.ChunkTokens = func(string) int { return 1 }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	if o.Cancel == (CancelLimits{}) {
		o.Cancel = DefaultCancelLimits()
	}
	return nil
}

type noopObserver struct{}

func (noopObserver) Report(time.Time, string, engineapi.Load)        {}
func (noopObserver) Prefilled(time.Time, string, PrefillObservation) {}
func (noopObserver) Failed(time.Time, string)                        {}
func (noopObserver) Answered(time.Time, string)                      {}
func (noopObserver) PrefillTimedOut(time.Time, string)               {}
func (noopObserver) Unanswered(time.Time, string, bool)              {}
func (noopObserver) Succeeded(time.Time, string)                     {}
func (noopObserver) Finished(time.Time, FinishObservation)           {}
func (noopObserver) Full(time.Time, string)                          {}
func (noopObserver) HandedOff(time.Time, string, string, bool)       {}
func (noopObserver) PromptRefused(time.Time, string)                 {}
func (noopObserver) Leaving(time.Time, string)                       {}

type unlimitedBudget struct{}

func (unlimitedBudget) OnFirstAttempt(time.Time)    {}
func (unlimitedBudget) Allow(time.Time, int) bool   { return true }
func (unlimitedBudget) Remaining(time.Time) float64 { return math.Inf(1) }

type noopMetrics struct{}

func (noopMetrics) Ended(bundle.Class, errkind.Kind, errkind.RunState, time.Duration) {}
func (noopMetrics) FirstToken(bundle.Class, time.Duration)                            {}
func (noopMetrics) NextToken(bundle.Class, time.Duration)                             {}
func (noopMetrics) Retried(bundle.Class)                                              {}
func (noopMetrics) Hedged(string, string)                                             {}
func (noopMetrics) WastedPrefill(int)                                                 {}
func (noopMetrics) Permitted(bool)                                                    {}
func (noopMetrics) SendFailed(string, string)                                         {}
func (noopMetrics) Decided(string)                                                    {}
func (noopMetrics) Dropped(Drops)                                                     {}
func (noopMetrics) CallsWaiting(int)                                                  {}
func (noopMetrics) CallRefusedEarly(errkind.Kind)                                     {}
func (noopMetrics) CallPredicted(time.Duration, time.Duration)                        {}
func (noopMetrics) Cancelled(int, time.Duration, bool)                                {}
