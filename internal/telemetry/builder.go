package telemetry

import (
	"strings"
	"sync"

	"go.opentelemetry.io/otel/metric"
)

// Definition describes one metric for the generated documentation.
type Definition struct {
	// Name is the metric's name in the Prometheus text format.
	Name string
	// Type is "counter", "histogram" or "gauge".
	Type string
	// Unit is "seconds", "bytes" or empty for a plain number.
	Unit string
	// Doc is the help text.
	Doc string
	// Labels lists the label names. It is empty for instruments created directly with
	// Metrics.Meter.
	Labels []string
}

// catalogMeter is a Meter that records the definition of each instrument created with
// it. The documentation is generated from these definitions.
type catalogMeter struct {
	metric.Meter

	mu          sync.Mutex
	definitions []Definition
}

// The values of Definition.Type.
const (
	typeCounter   = "counter"
	typeGauge     = "gauge"
	typeHistogram = "histogram"
)

// Int64Counter implements metric.Meter.
func (c *catalogMeter) Int64Counter(name string, opts ...metric.Int64CounterOption) (metric.Int64Counter, error) {
	cfg := metric.NewInt64CounterConfig(opts...)
	c.addDefinition(name, typeCounter, cfg.Unit(), cfg.Description())
	return c.Meter.Int64Counter(name, opts...)
}

// Int64ObservableCounter implements metric.Meter.
func (c *catalogMeter) Int64ObservableCounter(name string, opts ...metric.Int64ObservableCounterOption) (metric.Int64ObservableCounter, error) {
	cfg := metric.NewInt64ObservableCounterConfig(opts...)
	c.addDefinition(name, typeCounter, cfg.Unit(), cfg.Description())
	return c.Meter.Int64ObservableCounter(name, opts...)
}

// Int64Gauge implements metric.Meter.
func (c *catalogMeter) Int64Gauge(name string, opts ...metric.Int64GaugeOption) (metric.Int64Gauge, error) {
	cfg := metric.NewInt64GaugeConfig(opts...)
	c.addDefinition(name, typeGauge, cfg.Unit(), cfg.Description())
	return c.Meter.Int64Gauge(name, opts...)
}

// Float64Gauge implements metric.Meter.
func (c *catalogMeter) Float64Gauge(name string, opts ...metric.Float64GaugeOption) (metric.Float64Gauge, error) {
	cfg := metric.NewFloat64GaugeConfig(opts...)
	c.addDefinition(name, typeGauge, cfg.Unit(), cfg.Description())
	return c.Meter.Float64Gauge(name, opts...)
}

// Float64ObservableGauge implements metric.Meter.
func (c *catalogMeter) Float64ObservableGauge(name string, opts ...metric.Float64ObservableGaugeOption) (metric.Float64ObservableGauge, error) {
	cfg := metric.NewFloat64ObservableGaugeConfig(opts...)
	c.addDefinition(name, typeGauge, cfg.Unit(), cfg.Description())
	return c.Meter.Float64ObservableGauge(name, opts...)
}

// Float64Histogram implements metric.Meter.
func (c *catalogMeter) Float64Histogram(name string, opts ...metric.Float64HistogramOption) (metric.Float64Histogram, error) {
	cfg := metric.NewFloat64HistogramConfig(opts...)
	c.addDefinition(name, typeHistogram, cfg.Unit(), cfg.Description())
	return c.Meter.Float64Histogram(name, opts...)
}

// unitNames maps OpenTelemetry units to those that the Prometheus exporter appends to
// names.
var unitNames = map[string]string{"s": "seconds", "By": "bytes"}

// addDefinition records an instrument under the name that the Prometheus exporter gives
// it.
func (c *catalogMeter) addDefinition(name, kind, unit, doc string) {
	exported := strings.ReplaceAll(name, ".", "_")
	if unitName := unitNames[unit]; unitName != "" {
		exported += "_" + unitName
	}
	if kind == typeCounter {
		exported += "_total"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.definitions = append(c.definitions, Definition{Name: exported, Type: kind, Unit: unitNames[unit], Doc: doc})
}

// setLabels sets the labels of the definition that was added last.
func (c *catalogMeter) setLabels(labels []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.definitions[len(c.definitions)-1].Labels = labels
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter *catalogMeter
	err   error
}

func (b *builder) counter(name, doc string, labels ...string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(Namespace+"."+name, metric.WithDescription(doc))
	b.finish(err, labels)
	return c
}

// observableCounter creates a counter whose value is read at each scrape.
func (b *builder) observableCounter(name, unit, doc string) metric.Int64ObservableCounter {
	c, err := b.meter.Int64ObservableCounter(Namespace+"."+name, metric.WithUnit(unit), metric.WithDescription(doc))
	b.finish(err, nil)
	return c
}

// histogram creates a histogram of durations in seconds.
func (b *builder) histogram(name, doc string, buckets []float64, labels ...string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(Namespace+"."+name, metric.WithUnit("s"), metric.WithDescription(doc),
		metric.WithExplicitBucketBoundaries(buckets...))
	b.finish(err, labels)
	return h
}

// observableGauge creates a gauge whose value is read at each scrape.
func (b *builder) observableGauge(name, unit, doc string) metric.Float64ObservableGauge {
	g, err := b.meter.Float64ObservableGauge(Namespace+"."+name, metric.WithUnit(unit), metric.WithDescription(doc))
	b.finish(err, nil)
	return g
}

func (b *builder) intGauge(name, doc string, labels ...string) metric.Int64Gauge {
	g, err := b.meter.Int64Gauge(Namespace+"."+name, metric.WithDescription(doc))
	b.finish(err, labels)
	return g
}

func (b *builder) floatGauge(name, doc string) metric.Float64Gauge {
	g, err := b.meter.Float64Gauge(Namespace+"."+name, metric.WithDescription(doc))
	b.finish(err, nil)
	return g
}

// finish stores the labels of the instrument created last, and err if it is the first
// error.
func (b *builder) finish(err error, labels []string) {
	b.meter.setLabels(labels)
	if b.err == nil {
		b.err = err
	}
}
