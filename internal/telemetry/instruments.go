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

// OutcomeAnswered is the outcome of a request that got its whole answer; the
// other outcomes are error kinds.
const OutcomeAnswered = "answered"

// The label names.
const (
	labelClass   = "class"
	labelOutcome = "outcome"
	labelKind    = "kind"
	labelReason  = "reason"
	labelResult  = "result"
)

// Buckets around the latency targets, in seconds.
var (
	firstTokenBuckets    = []float64{.01, .025, .05, .1, .2, .35, .5, .75, .97, 1.5, 2.5, 5, 10, 30}
	betweenTokensBuckets = []float64{.005, .01, .02, .03, .04, .05, .057, .07, .1, .2, .5, 1, 2}
)

// Instruments counts what happens. All methods are safe for concurrent use and
// do not block. Label values come from closed lists, so that no caller can
// make the page grow.
type Instruments struct {
	requests       metric.Int64Counter
	refusals       metric.Int64Counter
	firstToken     metric.Float64Histogram
	betweenTokens  metric.Float64Histogram
	decisions      metric.Int64Counter
	retries        metric.Int64Counter
	prefills       metric.Int64Counter
	prefillsWasted metric.Int64Counter
	cancels        metric.Int64Counter
	cancelsAcked   metric.Int64Counter
	claims         metric.Int64Counter
	controlIn      metric.Int64Counter
	controlOut     metric.Int64Counter
	sweeps         metric.Int64Counter
	swept          metric.Int64Counter

	// byClass saves building the label on each token.
	byClass map[bundle.Class][]metric.RecordOption
}

// Discard returns instruments that count nothing.
func Discard() *Instruments {
	return newInstruments(&builder{meter: noop.NewMeterProvider().Meter(Namespace)})
}

func newInstruments(b *builder) *Instruments {
	in := &Instruments{
		requests:       b.counter("requests", "", "requests by class and outcome: answered, or an error kind", labelClass, labelOutcome),
		refusals:       b.counter("refusals", "", "requests refused without having run, by error kind", labelKind),
		firstToken:     b.histogram("first_token", "s", "time from acceptance to the first token", firstTokenBuckets, labelClass),
		betweenTokens:  b.histogram("between_tokens", "s", "time between two tokens of one answer", betweenTokensBuckets, labelClass),
		decisions:      b.counter("decisions", "", "routing decisions by reason", labelReason),
		retries:        b.counter("retries", "", "attempts after the first"),
		prefills:       b.counter("prefills", "", "prefills that engines computed"),
		prefillsWasted: b.counter("prefills_wasted", "", "prefills whose result no decode engine used"),
		cancels:        b.counter("cancels", "", "cancels that had to reach an engine"),
		cancelsAcked:   b.counter("cancels_acked", "", "cancels that an engine acknowledged, or that its restart settled"),
		claims:         b.counter("claims", "", "idempotency keys claimed, by result", labelResult),
		controlIn:      b.counter("control_received", "By", "bytes received from peers"),
		controlOut:     b.counter("control_sent", "By", "bytes sent to peers"),
		sweeps:         b.counter("sweeps", "", "reads of what an engine holds, to free memory of dead owners"),
		swept:          b.counter("swept_holds", "", "holds of dead owners that a sweep freed"),
		byClass:        map[bundle.Class][]metric.RecordOption{},
	}
	for _, c := range []bundle.Class{bundle.Urgent, bundle.Draft} {
		set := attribute.NewSet(attribute.String(labelClass, string(c)))
		in.byClass[c] = []metric.RecordOption{metric.WithAttributeSet(set)}
	}
	return in
}

// RequestDone counts a request's one outcome; err is nil for a whole answer.
func (in *Instruments) RequestDone(class bundle.Class, err *errkind.Error) {
	outcome := OutcomeAnswered
	if err != nil {
		outcome = string(err.Kind)
		if errkind.Answer(err).Run == errkind.NotRun {
			in.refusals.Add(context.Background(), 1, label(labelKind, outcome))
		}
	}
	in.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String(labelClass, string(class)), attribute.String(labelOutcome, outcome)))
}

// FirstToken records the time from acceptance to the first token.
func (in *Instruments) FirstToken(class bundle.Class, d time.Duration) {
	in.firstToken.Record(context.Background(), d.Seconds(), in.byClass[class]...)
}

// BetweenTokens records the time between two tokens of one answer.
func (in *Instruments) BetweenTokens(class bundle.Class, d time.Duration) {
	in.betweenTokens.Record(context.Background(), d.Seconds(), in.byClass[class]...)
}

// Decision counts a routing decision; reason is a word of package policy.
func (in *Instruments) Decision(reason string) {
	in.decisions.Add(context.Background(), 1, label(labelReason, reason))
}

// Retry counts an attempt after the first.
func (in *Instruments) Retry() { in.retries.Add(context.Background(), 1) }

// Prefill counts a computed prefill.
func (in *Instruments) Prefill() { in.prefills.Add(context.Background(), 1) }

// PrefillWasted counts a prefill whose result no decode engine used.
func (in *Instruments) PrefillWasted() { in.prefillsWasted.Add(context.Background(), 1) }

// Cancel counts a cancel that has to reach an engine.
func (in *Instruments) Cancel() { in.cancels.Add(context.Background(), 1) }

// CancelAcked counts a cancel that is settled.
func (in *Instruments) CancelAcked() { in.cancelsAcked.Add(context.Background(), 1) }

// Claim counts a claim; result is a word of package claims.
func (in *Instruments) Claim(result string) {
	in.claims.Add(context.Background(), 1, label(labelResult, result))
}

// ControlReceived counts bytes received from peers.
func (in *Instruments) ControlReceived(bytes int64) {
	in.controlIn.Add(context.Background(), bytes)
}

// ControlSent counts bytes sent to peers.
func (in *Instruments) ControlSent(bytes int64) {
	in.controlOut.Add(context.Background(), bytes)
}

// Sweep counts one read of what an engine holds, and the holds it freed.
func (in *Instruments) Sweep(freed int) {
	in.sweeps.Add(context.Background(), 1)
	in.swept.Add(context.Background(), int64(freed))
}

func label(name, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(name, value))
}
