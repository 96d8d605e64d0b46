package telemetry

import (
	"go.opentelemetry.io/otel/metric"
)

// Definition describes one metric for the documentation.
type Definition struct {
	// Name is the name on the page.
	Name string
	// Type is "counter", "histogram" or "gauge".
	Type string
	// Unit is "s", "bytes" or empty for a plain count.
	Unit string
	Doc  string
	// Labels names the labels.
	Labels []string
}

// builder creates instruments and keeps their definitions, so that the
// documentation cannot differ from the code. The first error ends it.
type builder struct {
	meter       metric.Meter
	definitions []Definition
	err         error
}

var unitSuffix = map[string]string{"s": "_seconds", "By": "_bytes"}

var unitWord = map[string]string{"s": "seconds", "By": "bytes"}

func (b *builder) define(name, kind, unit, doc string, labels []string) {
	full := Namespace + "_" + name + unitSuffix[unit]
	if kind == "counter" {
		full += "_total"
	}
	b.definitions = append(b.definitions, Definition{full, kind, unitWord[unit], doc, labels})
}

func (b *builder) counter(name, unit, doc string, labels ...string) metric.Int64Counter {
	b.define(name, "counter", unit, doc, labels)
	c, err := b.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(doc))
	b.note(err)
	return c
}

func (b *builder) histogram(name, unit, doc string, buckets []float64, labels ...string) metric.Float64Histogram {
	b.define(name, "histogram", unit, doc, labels)
	h, err := b.meter.Float64Histogram(name, metric.WithUnit(unit), metric.WithDescription(doc),
		metric.WithExplicitBucketBoundaries(buckets...))
	b.note(err)
	return h
}

func (b *builder) gauge(name, unit, doc string) metric.Float64ObservableGauge {
	b.define(name, "gauge", unit, doc, nil)
	g, err := b.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(doc))
	b.note(err)
	return g
}

func (b *builder) note(err error) {
	if b.err == nil {
		b.err = err
	}
}
