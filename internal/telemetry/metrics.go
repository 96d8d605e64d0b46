package telemetry

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Namespace is the prefix of all metric names.
const Namespace = "corianderturn"

// Metrics holds the metrics of one daemon: the instruments and the /metrics page.
type Metrics struct {
	*Instruments

	provider *sdk.MeterProvider
	meter    *catalogMeter
	handler  http.Handler
	onScrape atomic.Pointer[func() ScrapeValues]
}

// ScrapeValues are the values that are read when the /metrics page is fetched. Those of type
// uint64 are counters.
type ScrapeValues struct {
	// PeersLive is the number of live peers in this daemon's membership view.
	PeersLive int
	// InFlight is the number of requests in flight on this daemon.
	InFlight int
	// ViewAge is the age of the oldest load report among the upstreams that accept new
	// requests and have reported a load.
	ViewAge time.Duration
	// These are the fields of the same names in peer.Stats.
	BytesIn, BytesOut, FramesIn, FramesOut, Dropped uint64
	// Sweeps and SweepCancels are Sweeps and Cancels of steward.Stats.
	Sweeps, SweepCancels uint64
}

// NewMetrics returns metrics with their own registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(
		otelprom.WithRegisterer(registry),
		otelprom.WithoutScopeInfo(),
		otelprom.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, errors.Wrap(err, "set up the metrics page")
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	m.meter = &catalogMeter{Meter: m.provider.Meter(Namespace)}
	b := &builder{meter: m.meter}
	m.Instruments = newInstruments(b)
	m.registerObservables(b)
	return m, b.err
}

// Handler returns the /metrics page.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Meter returns the meter with which other packages create their own instruments. Their
// names must begin with Namespace and a dot.
func (m *Metrics) Meter() metric.Meter { return m.meter }

// Definitions returns the definitions of all metrics created so far.
func (m *Metrics) Definitions() []Definition {
	m.meter.mu.Lock()
	defer m.meter.mu.Unlock()
	return slices.Clone(m.meter.definitions)
}

// OnScrape sets the function that returns the readings. It is called when the /metrics
// page is fetched, possibly by several goroutines at once. Until it is set, the page
// lacks these metrics.
func (m *Metrics) OnScrape(read func() ScrapeValues) { m.onScrape.Store(&read) }

// Close shuts down the meter provider; the page is not updated any more.
func (m *Metrics) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "shut down metrics")
}

// registerObservables creates the instruments whose values are read at each scrape.
func (m *Metrics) registerObservables(b *builder) {
	peers := b.observableGauge("peers_live", "", "live peers in this daemon's membership view")
	inFlight := b.observableGauge("requests_in_flight", "", "requests accepted and not yet finished")
	age := b.observableGauge("view_age", "s", "age of the oldest load report among the upstreams that accept new requests")
	in := b.observableCounter("control_received", "By", "bytes received from peers")
	out := b.observableCounter("control_sent", "By", "bytes sent to peers")
	framesIn := b.observableCounter("control_received_frames", "", "messages received from peers")
	framesOut := b.observableCounter("control_sent_frames", "", "messages sent to peers")
	dropped := b.observableCounter("control_dropped", "", "messages to peers dropped because the send queue was full")
	sweeps := b.observableCounter("sweeps", "", "listings of the memory that an engine holds for requests, made to free the memory of daemons that have died")
	swept := b.observableCounter("sweep_cancels", "", "cancel requests of sweeps that an engine acknowledged, freeing the memory of a daemon that has died")
	if b.err != nil {
		return
	}
	_, b.err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		read := m.onScrape.Load()
		if read == nil {
			return nil
		}
		r := (*read)()
		o.ObserveFloat64(peers, float64(r.PeersLive))
		o.ObserveFloat64(inFlight, float64(r.InFlight))
		o.ObserveFloat64(age, r.ViewAge.Seconds())
		o.ObserveInt64(in, int64(r.BytesIn))
		o.ObserveInt64(out, int64(r.BytesOut))
		o.ObserveInt64(framesIn, int64(r.FramesIn))
		o.ObserveInt64(framesOut, int64(r.FramesOut))
		o.ObserveInt64(dropped, int64(r.Dropped))
		o.ObserveInt64(sweeps, int64(r.Sweeps))
		o.ObserveInt64(swept, int64(r.SweepCancels))
		return nil
	}, peers, inFlight, age, in, out, framesIn, framesOut, dropped, sweeps, swept)
}
