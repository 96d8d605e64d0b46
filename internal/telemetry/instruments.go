package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// OutcomeAnswered is the outcome of a request whose complete answer was delivered. The
// other outcomes are error kinds.
const OutcomeAnswered = "answered"

// The label names.
const (
	labelClass    = "class"
	labelOutcome  = "outcome"
	labelDelivery = "delivery"
	labelKind     = "kind"
	labelReason   = "reason"
	labelResult   = "result"
	labelStep     = "step"
	labelTeam     = "team"
	labelFeed     = "feed"
	labelTopic    = "topic"
	labelRank     = "rank"
	labelProof    = "proof"
	labelLimit    = "limit"
)

// Upper bounds of the histogram buckets, in seconds. They are densest around the latency
// targets.
var (
	firstTokenBuckets    = []float64{.01, .025, .05, .1, .2, .35, .5, .75, .97, 1.5, 2.5, 5, 10, 30}
	serviceCallBuckets   = []float64{.005, .01, .02, .03, .05, .075, .1, .15, .2, .3, .5, 1, 2}
	betweenTokensBuckets = []float64{.005, .01, .02, .03, .04, .05, .057, .07, .1, .2, .5, 1, 2}
)

// Instruments records a daemon's metrics. All methods are safe for concurrent use and
// do not block. Label values come from closed lists, which limits the number of time
// series: clients cannot create new ones.
type Instruments struct {
	requests             metric.Int64Counter
	refusals             metric.Int64Counter
	firstToken           metric.Float64Histogram
	betweenTokens        metric.Float64Histogram
	decisions            metric.Int64Counter
	retries              metric.Int64Counter
	retryPermits         metric.Int64Counter
	retryDaemons         metric.Int64Gauge
	retryShare           metric.Float64Gauge
	hedges               metric.Int64Counter
	teamUnits            metric.Int64Counter
	wastedPrefillTokens  metric.Int64Counter
	cancels              metric.Int64Counter
	cancelsAcked         metric.Int64Counter
	claims               metric.Int64Counter
	steps                metric.Int64Counter
	failedSends          metric.Int64Counter
	storeReads           metric.Int64Counter
	storeRereads         metric.Int64Counter
	storeRewritten       metric.Int64Counter
	storeEpoch           metric.Int64Gauge
	upstreamProbes       metric.Int64Counter
	takenUp              metric.Int64Counter
	crashedRequests      metric.Int64Gauge
	partVerdicts         metric.Int64Counter
	configurationVersion metric.Int64Gauge
	callsWaiting         metric.Int64Gauge
	callsRefusedEarly    metric.Int64Counter
	callPredicted        metric.Float64Histogram
	callTook             metric.Float64Histogram
	limitedRequests      metric.Int64Counter
	limitedUpstreams     metric.Int64Gauge
	upstreamDials        metric.Int64Counter
	upstreamStatements   metric.Int64Counter
	unreachableUpstreams metric.Int64Gauge
	detours              metric.Int64Counter
	carriedRequests      metric.Int64Counter
	carriedConnections   metric.Int64Gauge
	answerLimits         metric.Int64Counter
	clientLimits         metric.Int64Counter
	answersHeld          metric.Int64Gauge
	admissionWaiting     metric.Int64Gauge
	admissionTurns       metric.Int64Counter
	admissionReserved    metric.Int64Counter
	admissionDropped     metric.Int64Counter
	admissionLost        metric.Int64Counter

	// classOptions holds the label of each class, so that it need not be built for each
	// token.
	classOptions map[bundle.Class][]metric.RecordOption
	teams        teamLabels
}

// Discard returns instruments that record nothing.
func Discard() *Instruments {
	return newInstruments(&builder{meter: &catalogMeter{Meter: noop.NewMeterProvider().Meter(Namespace)}})
}

// newInstruments creates all instruments; b.err holds the first error.
func newInstruments(b *builder) *Instruments {
	in := &Instruments{
		requests:             b.counter("requests", "requests by class and outcome: answered, or an error kind", labelClass, labelOutcome),
		refusals:             b.counter("refusals", "requests refused without having run, by error kind", labelKind),
		firstToken:           b.histogram("first_token", "time from acceptance to the first token", firstTokenBuckets, labelClass),
		betweenTokens:        b.histogram("between_tokens", "time between two consecutive tokens of an answer", betweenTokensBuckets, labelClass),
		decisions:            b.counter("decisions", "decisions of the routing policy, by the reason of the plan or the error kind of the refusal", labelReason),
		retries:              b.counter("retries", "attempts after the first"),
		retryPermits:         b.counter("retry_permits", "retries requested from the retry budget, by result: allowed or denied", labelResult),
		retryDaemons:         b.intGauge("retry_daemons", "number of daemons among which the slack of the retry budget is divided"),
		retryShare:           b.floatGauge("retry_part", "this daemon's share of the slack of the retry budget, in retries per window"),
		hedges:               b.counter("hedges", "second dispatches of slow calls to plain services, by result: sent, and then won (the second replica's answer was taken) or lost; or denied, for the reason in the log line hedge", labelResult, labelReason),
		teamUnits:            b.counter("team_units", "quota units requested for teams with a limit, by team and result: admitted or refused; teams after the first hundred are counted as other", labelTeam, labelResult),
		wastedPrefillTokens:  b.counter("prefill_wasted_tokens", "prompt tokens prefilled for attempts that delivered no token"),
		cancels:              b.counter("cancels", "cancel requests to engines, acknowledged or not"),
		cancelsAcked:         b.counter("cancels_acked", "cancel requests that an engine acknowledged"),
		claims:               b.counter("claims", "claims of idempotency keys, by result: granted, repeated (the request was answered before), elsewhere (another daemon runs it), or an error kind", labelResult),
		steps:                b.counter("steps", "logged decisions on requests, by step; reserve and prefill count only calls that an upstream refused", labelStep),
		failedSends:          b.counter("failed_sends", "failed calls that carry a request to an upstream, by delivery (not-sent, refused, or maybe if the upstream may have run it) and by what shows that: not-connected, not-written (no byte), withheld (by this daemon), refusal (a response with the id of the call), misdirected (another process has the address) or none; foreign, ambiguous and joined count responses, to any call for a request, that were rejected because they may belong to another call: they have its id, or a connection that carried two calls with the id, or a head made of two; malformed counts those whose head is not valid in HTTP/1", labelDelivery, labelProof),
		storeReads:           b.counter("store_readings", "reads of the platform's store, by feed and result: direct, reader (through another instance) or failed; reason as in the log line store read by this instance, empty for reader", labelFeed, labelResult, labelReason),
		storeRereads:         b.counter("store_rereads", "times that this daemon replaced what it has of a feed of the platform's store, by feed and reason: start, trimmed (the store no longer keeps the next records) or restored (the store was restored from a copy)", labelFeed, labelReason),
		storeRewritten:       b.counter("store_rewritten_records", "records that this daemon appended again to a topic of the platform's store, since a restoration from a copy had lost them, by topic: quarantine or origins", labelTopic),
		storeEpoch:           b.intGauge("store_epoch", "epoch of the platform's store by its own count; it rises each time that the store is restored from a copy, and is 0 while the store tells none"),
		upstreamProbes:       b.counter("upstream_looks", "probes of upstreams on which runs lost their connection, by result: ended (crashed), lives (alive) or unsure (timed out)", labelResult),
		takenUp:              b.counter("streams_taken_up", "streams that callers took up after a broken connection, by what is known of their origin: recorded, sole-version (the caller names no try, and the service has had one version only), unknown, conflicting, restarted, moved or busy; all but the first two are refused", labelOutcome),
		partVerdicts:         b.counter("quarantine_parts", "verdicts of this daemon on parts of prompts, by result: quarantined or released", labelResult),
		crashedRequests:      b.intGauge("quarantine_requests", "requests that have crashed upstreams and have not completed since; refusals of such requests are counted by requests with the outcome crashes-upstreams"),
		limitedRequests:      b.counter("upstream_limit_requests", "decisions on requests for upstreams with a rate limit, by result: sent, lent (sent with units borrowed from another instance), left-out (an upstream was excluded because its limit was reached; counted for each such upstream) or refused", labelResult),
		limitedUpstreams:     b.intGauge("upstream_limits", "upstreams with a rate limit known to this daemon"),
		upstreamStatements:   b.counter("upstream_statements", "statements of upstreams about their own availability, by result: leaving, rest, or withheld for a call that was not sent because of one", labelResult),
		upstreamDials:        b.counter("upstream_connections", "connections opened to upstreams, by result: opened, refused, reset, timeout or other", labelResult),
		unreachableUpstreams: b.intGauge("upstreams_unreachable", "upstreams to which this daemon cannot open a connection"),
		detours:              b.counter("detours", "answers of other daemons that were asked to carry a connection to an upstream that this one cannot reach, by result: opened, unreachable (the other daemon cannot connect either), unknown (it does not know the upstream), busy or unanswered", labelResult),
		carriedRequests:      b.counter("carry_requests", "requests of other daemons to carry a connection to an upstream, by result: opened, unreachable, unknown or busy", labelResult),
		carriedConnections:   b.intGauge("carried_connections", "connections to upstreams that this daemon carries for others"),
		clientLimits:         b.counter("client_limits", "connections and requests of clients that a limit ended, by limit: connections (a new one was closed unread, since too many were open), stalled (its place was given to a new one, since it was unfinished), heads or bodies (the memory for them was used up), requests (too many were in flight)", labelLimit),
		answerLimits:         b.counter("answer_limits", "answers of upstreams that exceeded a bound, by result: size (of an answer, an event or a stream), time (in which the body of a reply or an error answer must arrive), memory (of all answers together, or of one upstream's) or refused (a request that was refused because that memory is used up)", labelResult),
		answersHeld:          b.intGauge("answers_held", "bytes of memory that the requests in progress hold for answers of upstreams"),
		admissionWaiting:     b.intGauge("admission_waiting", "requests that wait for a turn at this daemon as the coordinator of their pool, by rank; ranks over 9 are counted as other", labelRank),
		admissionTurns:       b.counter("admission_turns", "turns that this daemon gave as a coordinator, by kind: room (at an engine where a request has ended) or search, and those of both that lapsed without a result", labelKind),
		admissionReserved:    b.counter("admission_reservations", "reservations asked for with a turn of this daemon, by result: admitted or refused", labelResult),
		admissionDropped:     b.counter("admission_dropped", "messages between daemons and coordinators that were dropped, by reason: old-incarnation, unnamed, unknown-pool, duplicate, unknown-request (for a request that no longer waits) or full", labelReason),
		admissionLost:        b.counter("admission_coordinators_lost", "connections to coordinators that this daemon gave up, by reason: unreachable, closed or silent", labelReason),
		configurationVersion: b.intGauge("configuration_version", "version of the platform's configuration in force"),
		callsWaiting:         b.intGauge("service_calls_waiting", "calls to plain services that wait in this daemon for a replica with room"),
		callsRefusedEarly:    b.counter("service_calls_refused_early", "calls to plain services that were refused because of the forecast for the service, by error kind: deadline-unreachable, or overloaded after a wait", labelKind),
		callPredicted:        b.histogram("service_call_predicted", "predicted time of calls to plain services whose replicas state their pace, from when they were sent", serviceCallBuckets),
		callTook:             b.histogram("service_call", "time of the same calls until their answers", serviceCallBuckets),
		classOptions:         map[bundle.Class][]metric.RecordOption{},
	}
	for _, c := range []bundle.Class{bundle.Urgent, bundle.Draft} {
		set := attribute.NewSet(attribute.String(labelClass, string(c)))
		in.classOptions[c] = []metric.RecordOption{metric.WithAttributeSet(set)}
	}
	return in
}

// RequestDone counts the outcome of a request. It is called once for each request; err is
// nil if the complete answer was delivered.
func (in *Instruments) RequestDone(class bundle.Class, err *errkind.Error) {
	outcome := OutcomeAnswered
	if err != nil {
		outcome = string(err.Kind)
		if errkind.Answer(err).Run == errkind.NotRun {
			in.refusals.Add(context.Background(), 1, labelOption(labelKind, outcome))
		}
	}
	in.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String(labelClass, string(class)), attribute.String(labelOutcome, outcome)))
}

// FirstToken records the time from acceptance to the first token.
func (in *Instruments) FirstToken(class bundle.Class, d time.Duration) {
	in.firstToken.Record(context.Background(), d.Seconds(), in.classOptions[class]...)
}

// BetweenTokens records the time between two consecutive tokens of an answer.
func (in *Instruments) BetweenTokens(class bundle.Class, d time.Duration) {
	in.betweenTokens.Record(context.Background(), d.Seconds(), in.classOptions[class]...)
}

// Step counts a logged decision on a request. The values of step are a closed list.
func (in *Instruments) Step(step string) {
	in.steps.Add(context.Background(), 1, metric.WithAttributes(attribute.String(labelStep, step)))
}

// SendFailed counts a failed call by its upstream.Delivery, and by the upstream.Proof of it.
func (in *Instruments) SendFailed(delivery, proof string) {
	in.failedSends.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String(labelDelivery, delivery), attribute.String(labelProof, proof)))
}

// The results of applying the rate limit of an upstream to a request.
const (
	LimitSent     = "sent"
	LimitBorrowed = "lent"     // sent with units borrowed from another instance
	LimitLeftOut  = "left-out" // the upstream was excluded from the request's plan
	LimitRefused  = "refused"  // the limits of all upstreams left for the request were reached
)

// LimitDecisions counts n decisions with a result, one of the constants above. For
// LimitLeftOut, n is the number of excluded upstreams; otherwise it is 1.
func (in *Instruments) LimitDecisions(result string, n int) {
	in.limitedRequests.Add(context.Background(), int64(n), labelOption(labelResult, result))
}

// SetLimitedUpstreams sets the number of upstreams with a rate limit.
func (in *Instruments) SetLimitedUpstreams(n int) {
	in.limitedUpstreams.Record(context.Background(), int64(n))
}

// The results of UpstreamStated.
const (
	StatedLeaving  = "leaving"  // an upstream stated for the first time that it leaves
	StatedRest     = "rest"     // an upstream asked for rest
	StatedWithheld = "withheld" // a call was not sent because of a statement
)

// UpstreamStated counts a statement of an upstream about its availability, by a result from the
// constants above.
func (in *Instruments) UpstreamStated(result string) {
	in.upstreamStatements.Add(context.Background(), 1, labelOption(labelResult, result))
}

// UpstreamDialed counts a connection to an upstream by its result, the text of a reach.Failure.
func (in *Instruments) UpstreamDialed(result string) {
	in.upstreamDials.Add(context.Background(), 1, labelOption(labelResult, result))
}

// SetUnreachableUpstreams sets the number of upstreams to which connections fail.
func (in *Instruments) SetUnreachableUpstreams(n int) {
	in.unreachableUpstreams.Record(context.Background(), int64(n))
}

// DetourOpened counts an answer of a daemon that was asked to carry a connection.
func (in *Instruments) DetourOpened(result string) {
	in.detours.Add(context.Background(), 1, labelOption(labelResult, result))
}

// ConnectionCarried counts a request to carry a connection by the answer of this daemon.
func (in *Instruments) ConnectionCarried(result string) {
	in.carriedRequests.Add(context.Background(), 1, labelOption(labelResult, result))
}

// SetCarriedConnections sets the number of connections that this daemon carries for others.
func (in *Instruments) SetCarriedConnections(n int) {
	in.carriedConnections.Record(context.Background(), int64(n))
}

// AnswersRefused is the result of AnswerLimited for a request that was refused because the memory for answers is
// used up. The other results are those of package platform.
const AnswersRefused = "refused"

// AnswerLimited counts an answer of an upstream that exceeded a bound, or a request that was refused.
func (in *Instruments) AnswerLimited(result string) {
	in.answerLimits.Add(context.Background(), 1, labelOption(labelResult, result))
}

// ClientLimited counts a connection or request that a limit ended. limit is one of those of package frontend.
func (in *Instruments) ClientLimited(limit string) {
	in.clientLimits.Add(context.Background(), 1, labelOption(labelLimit, limit))
}

// SetAnswersHeld sets the number of bytes that are held for answers of upstreams.
func (in *Instruments) SetAnswersHeld(n int64) {
	in.answersHeld.Record(context.Background(), n)
}

// StreamTakenUp counts a stream that a caller takes up. outcome tells what is known of its origin,
// the text of an origin.Outcome.
func (in *Instruments) StreamTakenUp(outcome string) {
	in.takenUp.Add(context.Background(), 1, labelOption(labelOutcome, outcome))
}

// UpstreamProbe counts a probe of an upstream on which runs lost their connection. sign
// is its result, the text of a quarantine.ProbeResult.
func (in *Instruments) UpstreamProbe(sign string) {
	in.upstreamProbes.Add(context.Background(), 1, labelOption(labelResult, sign))
}

// PartVerdict counts that a part of prompts was quarantined or released.
func (in *Instruments) PartVerdict(quarantined bool) {
	result := "released"
	if quarantined {
		result = "quarantined"
	}
	in.partVerdicts.Add(context.Background(), 1, labelOption(labelResult, result))
}

// SetQuarantineRequests sets the number of requests that have crashed upstreams and have not
// completed since.
func (in *Instruments) SetQuarantineRequests(n int) {
	in.crashedRequests.Record(context.Background(), int64(n))
}

// Retry counts an attempt after the first.
func (in *Instruments) Retry() { in.retries.Add(context.Background(), 1) }

// The results of a request to the retry budget.
const (
	permitAllowed = "allowed"
	permitDenied  = "denied"
)

// RetryPermit counts a retry that the retry budget allowed or denied.
func (in *Instruments) RetryPermit(allowed bool) {
	result := permitDenied
	if allowed {
		result = permitAllowed
	}
	in.retryPermits.Add(context.Background(), 1, labelOption(labelResult, result))
}

// SetCallsWaiting sets the number of calls to plain services that wait in this daemon.
func (in *Instruments) SetCallsWaiting(n int) { in.callsWaiting.Record(context.Background(), int64(n)) }

// CallRefusedEarly counts a call to a plain service that was refused because of a forecast.
func (in *Instruments) CallRefusedEarly(kind errkind.Kind) {
	in.callsRefusedEarly.Add(context.Background(), 1, labelOption(labelKind, string(kind)))
}

// CallPredicted records the predicted and the actual time of an answered call to a plain service.
func (in *Instruments) CallPredicted(predicted, took time.Duration) {
	in.callPredicted.Record(context.Background(), predicted.Seconds())
	in.callTook.Record(context.Background(), took.Seconds())
}

// SetRetryShare sets the number of daemons among which the slack of the retry budget is
// divided, and this daemon's share of it in retries per window.
func (in *Instruments) SetRetryShare(daemons int, part float64) {
	in.retryDaemons.Record(context.Background(), int64(daemons))
	in.retryShare.Record(context.Background(), part)
}

// Hedge counts a step of hedging a slow call: sent, won, lost, or denied for a reason.
func (in *Instruments) Hedge(result, reason string) {
	in.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.String(labelResult, result), attribute.String(labelReason, reason)))
}

// TeamAdmitted counts the quota units of an admitted request of a team with a limit.
func (in *Instruments) TeamAdmitted(team string, units float64) {
	in.countTeamUnits(team, "admitted", units)
}

// TeamRefused counts the quota units of a refused request of a team with a limit.
func (in *Instruments) TeamRefused(team string, units float64) {
	in.countTeamUnits(team, "refused", units)
}

// countTeamUnits adds units under the team's label and a result.
func (in *Instruments) countTeamUnits(team, result string, units float64) {
	in.teamUnits.Add(context.Background(), int64(units), metric.WithAttributes(
		attribute.String(labelTeam, in.teams.labelFor(team)), attribute.String(labelResult, result)))
}

// PrefillWasted counts the prompt tokens of a prefill whose result was not used.
func (in *Instruments) PrefillWasted(tokens int) {
	in.wastedPrefillTokens.Add(context.Background(), int64(tokens))
}

// Cancel counts a cancel request to an engine, acknowledged or not.
func (in *Instruments) Cancel() { in.cancels.Add(context.Background(), 1) }

// CancelAcked counts a cancel request that an engine acknowledged.
func (in *Instruments) CancelAcked() { in.cancelsAcked.Add(context.Background(), 1) }

// labelOption returns the option for a measurement with a single label.
func labelOption(name, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(name, value))
}
