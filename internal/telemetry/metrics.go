package telemetry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Namespace starts the name of every metric.
const Namespace = "corianderturn"

// Metrics owns one daemon's metrics: the instruments and the page that shows them.
type Metrics struct {
	*Instruments

	provider    *sdk.MeterProvider
	page        http.Handler
	definitions []Definition
	readings    atomic.Pointer[func() Readings]
}

// Readings are values that are read when the page is fetched.
type Readings struct {
	BundleNumber   uint64
	PeersLive      int
	InFlight       int
	CancelsPending int
	// ViewAge is the age of the load view that decisions read.
	ViewAge time.Duration
}

// NewMetrics returns metrics on a registry of their own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(
		otelprom.WithRegisterer(registry),
		otelprom.WithNamespace(Namespace),
		otelprom.WithoutScopeInfo(),
		otelprom.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, errors.Wrap(err, "set up the metrics page")
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		page:     promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	b := &builder{meter: m.provider.Meter(Namespace)}
	m.Instruments = newInstruments(b)
	m.observe(b)
	m.definitions = b.definitions
	return m, b.err
}

// Handler returns the /metrics page.
func (m *Metrics) Handler() http.Handler { return m.page }

// Definitions lists the metrics in the order of the documentation.
func (m *Metrics) Definitions() []Definition { return m.definitions }

// OnScrape sets the function that gives the readings. It is called from any
// goroutine that fetches the page; before it is set the gauges are absent.
func (m *Metrics) OnScrape(read func() Readings) { m.readings.Store(&read) }

// Close releases the metrics; the page shows nothing new afterwards.
func (m *Metrics) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "shut down metrics")
}

// observe registers the gauges.
func (m *Metrics) observe(b *builder) {
	number := b.gauge("bundle_number", "", "number of the bundle version in force")
	peers := b.gauge("peers_live", "", "peers that are alive in this daemon's view")
	inFlight := b.gauge("requests_in_flight", "", "requests accepted and not yet answered")
	pending := b.gauge("cancels_pending", "", "cancels that no engine has acknowledged yet")
	age := b.gauge("view_age", "s", "age of the load view that decisions read")
	if b.err != nil {
		return
	}
	_, b.err = b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		read := m.readings.Load()
		if read == nil {
			return nil
		}
		r := (*read)()
		o.ObserveFloat64(number, float64(r.BundleNumber))
		o.ObserveFloat64(peers, float64(r.PeersLive))
		o.ObserveFloat64(inFlight, float64(r.InFlight))
		o.ObserveFloat64(pending, float64(r.CancelsPending))
		o.ObserveFloat64(age, r.ViewAge.Seconds())
		return nil
	}, number, peers, inFlight, pending, age)
}
