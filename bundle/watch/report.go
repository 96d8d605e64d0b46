package watch

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/corianderturn/corianderturn/bundle"
)

// metrics are the watcher's instruments.
type metrics struct {
	number    metric.Int64Gauge
	verdicts  metric.Int64Counter
	conflicts metric.Int64Counter
	thaws     metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	m := &metrics{}
	var errs [4]error
	m.number, errs[0] = meter.Int64Gauge("corianderturn.bundle.number",
		metric.WithDescription("Number of the bundle version in force."))
	m.verdicts, errs[1] = meter.Int64Counter("corianderturn.bundle.verdicts",
		metric.WithDescription("Bundle records evaluated, by source and verdict."))
	m.conflicts, errs[2] = meter.Int64Counter("corianderturn.bundle.conflicts",
		metric.WithDescription("Conflicts: heartbeats, log records or peers' records with another record than the adopted one for the same number; must stay 0."))
	m.thaws, errs[3] = meter.Int64Counter("corianderturn.bundle.thaws",
		metric.WithDescription("Times that this process was found to have been suspended."))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "watch: instruments")
		}
	}
	return m, nil
}

// adopted records the number of a new version in force.
func (m *metrics) adopted(number uint64) { m.number.Record(context.Background(), int64(number)) }

// report logs the verdicts on records and the detection of a freeze, and counts
// them in the metrics.
func (w *Watcher) report(act actions) {
	ctx := context.Background()
	if act.wasFrozen {
		w.metrics.thaws.Add(ctx, 1)
		w.opts.Logger.Warn("process was frozen; the bundle version must be confirmed again")
	}
	for _, j := range act.results {
		w.metrics.verdicts.Add(ctx, 1, metric.WithAttributes(
			attribute.String("source", j.source), attribute.String("verdict", j.verdict.String())))
		w.reportResult(ctx, j)
	}
}

// reportResult logs the verdict on one record and counts a conflict.
func (w *Watcher) reportResult(ctx context.Context, j recordResult) {
	line := w.opts.Logger.WithField("source", j.source).WithField("offset", j.offset).WithField("verdict", j.verdict.String())
	if j.err != nil {
		line = line.WithError(j.err)
	}
	switch {
	case errors.Is(j.err, bundle.ErrConflict):
		w.metrics.conflicts.Add(ctx, 1)
		line.Error("bundle record conflicts with an adopted one")
	case j.verdict == bundle.Invalid, j.verdict == bundle.Unsupported:
		line.Warn("bundle record rejected")
	default:
		line.Debug("bundle record evaluated")
	}
}

// reportHistory logs the first read that shows that the log has lost records.
func (w *Watcher) reportHistory(err error) {
	if err == nil || w.historyLost {
		return
	}
	w.historyLost = true
	w.opts.Logger.WithError(err).Error("the log has lost records, versions are adopted from peers only")
}

// reportConflict reports a peer that has another record than this daemon for the
// number in force here.
func (w *Watcher) reportConflict(n heartbeat) {
	w.metrics.conflicts.Add(context.Background(), 1)
	w.opts.Logger.WithField("peer", n.from.Instance).WithField("number", n.number).Error("peer has another version for this number")
}
