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

// Namespace starts the name of every metric.
const Namespace = "corianderturn"

// Metrics owns one daemon's metrics: the instruments and the page that shows them.
type Metrics struct {
	*Instruments

	provider *sdk.MeterProvider
	meter    *catalogMeter
	page     http.Handler
	readings atomic.Pointer[func() Readings]
}

// Readings are values that are read when the page is fetched. Those of type
// uint64 only grow.
type Readings struct {
	PeersLive int
	InFlight  int
	// ViewAge is the age of the oldest known load of an upstream that takes new work.
	ViewAge time.Duration
	// These are what peer.Stats counts.
	BytesIn, BytesOut, FramesIn, FramesOut, Dropped uint64
	// Sweeps and SweepCancels are what steward.Stats counts.
	Sweeps, SweepCancels uint64
}

// NewMetrics returns metrics on a registry of their own.
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
		page:     promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	m.meter = &catalogMeter{Meter: m.provider.Meter(Namespace)}
	b := &builder{meter: m.meter}
	m.Instruments = newInstruments(b)
	m.observe(b)
	return m, b.err
}

// Handler returns the /metrics page.
func (m *Metrics) Handler() http.Handler { return m.page }

// Meter is for packages that make instruments of their own; their names begin
// with Namespace and a dot.
func (m *Metrics) Meter() metric.Meter { return m.meter }

// Definitions lists the metrics made so far.
func (m *Metrics) Definitions() []Definition {
	m.meter.mu.Lock()
	defer m.meter.mu.Unlock()
	return slices.Clone(m.meter.definitions)
}

// OnScrape sets the function that gives the readings. It is called from any
// goroutine that fetches the page; before it is set the readings are absent.
func (m *Metrics) OnScrape(read func() Readings) { m.readings.Store(&read) }

// Close releases the metrics; the page shows nothing new afterwards.
func (m *Metrics) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "shut down metrics")
}

// observe registers what is read when the page is fetched.
func (m *Metrics) observe(b *builder) {
	peers := b.gauge("peers_live", "", "peers that are alive in this daemon's view")
	inFlight := b.gauge("requests_in_flight", "", "requests accepted and not yet answered")
	age := b.gauge("view_age", "s", "age of the oldest known load among the upstreams that take new work")
	in := b.total("control_received", "By", "bytes received from peers")
	out := b.total("control_sent", "By", "bytes sent to peers")
	framesIn := b.total("control_received_frames", "", "messages received from peers")
	framesOut := b.total("control_sent_frames", "", "messages sent to peers")
	dropped := b.total("control_dropped", "", "messages to peers that a full queue lost")
	sweeps := b.total("sweeps", "", "reads of what an engine holds, to free memory of dead owners")
	swept := b.total("sweep_cancels", "", "holds of dead owners that a sweep freed")
	if b.err != nil {
		return
	}
	_, b.err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		read := m.readings.Load()
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
