package telemetry

import (
	"strings"
	"sync"

	"go.opentelemetry.io/otel/metric"
)

// Definition describes one metric for the documentation.
type Definition struct {
	// Name is the name on the page.
	Name string
	// Type is "counter", "histogram" or "gauge".
	Type string
	// Unit is "seconds", "bytes" or empty for a plain count.
	Unit string
	Doc  string
	// Labels names the labels, where they are known.
	Labels []string
}

// catalogMeter keeps the definition of each instrument that is made with it,
// so that the documentation cannot differ from the code.
type catalogMeter struct {
	metric.Meter

	mu          sync.Mutex
	definitions []Definition
}

// The types of the definitions.
const (
	typeCounter   = "counter"
	typeGauge     = "gauge"
	typeHistogram = "histogram"
)

// Int64Counter implements metric.Meter.
func (c *catalogMeter) Int64Counter(name string, opts ...metric.Int64CounterOption) (metric.Int64Counter, error) {
	cfg := metric.NewInt64CounterConfig(opts...)
	c.define(name, typeCounter, cfg.Unit(), cfg.Description())
	return c.Meter.Int64Counter(name, opts...)
}

// Int64ObservableCounter implements metric.Meter.
func (c *catalogMeter) Int64ObservableCounter(name string, opts ...metric.Int64ObservableCounterOption) (metric.Int64ObservableCounter, error) {
	cfg := metric.NewInt64ObservableCounterConfig(opts...)
	c.define(name, typeCounter, cfg.Unit(), cfg.Description())
	return c.Meter.Int64ObservableCounter(name, opts...)
}

// Int64Gauge implements metric.Meter.
func (c *catalogMeter) Int64Gauge(name string, opts ...metric.Int64GaugeOption) (metric.Int64Gauge, error) {
	cfg := metric.NewInt64GaugeConfig(opts...)
	c.define(name, typeGauge, cfg.Unit(), cfg.Description())
	return c.Meter.Int64Gauge(name, opts...)
}

// Float64ObservableGauge implements metric.Meter.
func (c *catalogMeter) Float64Gauge(name string, opts ...metric.Float64GaugeOption) (metric.Float64Gauge, error) {
	cfg := metric.NewFloat64GaugeConfig(opts...)
	c.define(name, typeGauge, cfg.Unit(), cfg.Description())
	return c.Meter.Float64Gauge(name, opts...)
}

func (c *catalogMeter) Float64ObservableGauge(name string, opts ...metric.Float64ObservableGaugeOption) (metric.Float64ObservableGauge, error) {
	cfg := metric.NewFloat64ObservableGaugeConfig(opts...)
	c.define(name, typeGauge, cfg.Unit(), cfg.Description())
	return c.Meter.Float64ObservableGauge(name, opts...)
}

// Float64Histogram implements metric.Meter.
func (c *catalogMeter) Float64Histogram(name string, opts ...metric.Float64HistogramOption) (metric.Float64Histogram, error) {
	cfg := metric.NewFloat64HistogramConfig(opts...)
	c.define(name, typeHistogram, cfg.Unit(), cfg.Description())
	return c.Meter.Float64Histogram(name, opts...)
}

var unitWord = map[string]string{"s": "seconds", "By": "bytes"}

// define gives the name that the Prometheus exporter makes of an instrument's.
func (c *catalogMeter) define(name, kind, unit, doc string) {
	full := strings.ReplaceAll(name, ".", "_")
	if word := unitWord[unit]; word != "" {
		full += "_" + word
	}
	if kind == typeCounter {
		full += "_total"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.definitions = append(c.definitions, Definition{Name: full, Type: kind, Unit: unitWord[unit], Doc: doc})
}

// label sets the labels of the definition made last.
func (c *catalogMeter) label(labels []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.definitions[len(c.definitions)-1].Labels = labels
}

// builder makes instruments; the first error ends it.
type builder struct {
	meter *catalogMeter
	err   error
}

func (b *builder) counter(name, doc string, labels ...string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(Namespace+"."+name, metric.WithDescription(doc))
	b.note(err, labels)
	return c
}

func (b *builder) total(name, unit, doc string) metric.Int64ObservableCounter {
	c, err := b.meter.Int64ObservableCounter(Namespace+"."+name, metric.WithUnit(unit), metric.WithDescription(doc))
	b.note(err, nil)
	return c
}

func (b *builder) histogram(name, doc string, buckets []float64, labels ...string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(Namespace+"."+name, metric.WithUnit("s"), metric.WithDescription(doc),
		metric.WithExplicitBucketBoundaries(buckets...))
	b.note(err, labels)
	return h
}

func (b *builder) gauge(name, unit, doc string) metric.Float64ObservableGauge {
	g, err := b.meter.Float64ObservableGauge(Namespace+"."+name, metric.WithUnit(unit), metric.WithDescription(doc))
	b.note(err, nil)
	return g
}

func (b *builder) value(name, doc string) metric.Int64Gauge {
	g, err := b.meter.Int64Gauge(Namespace+"."+name, metric.WithDescription(doc))
	b.note(err, nil)
	return g
}

func (b *builder) fraction(name, doc string) metric.Float64Gauge {
	g, err := b.meter.Float64Gauge(Namespace+"."+name, metric.WithDescription(doc))
	b.note(err, nil)
	return g
}

func (b *builder) note(err error, labels []string) {
	b.meter.label(labels)
	if b.err == nil {
		b.err = err
	}
}
