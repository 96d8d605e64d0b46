package router

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/upstream"
)

// statements records and logs what upstreams state about their own availability. It implements
// upstream.Availability and is safe for concurrent use.
type statements struct {
	table *availability.Table
	// incarnation returns the registered incarnation of an upstream, 0 if it is unknown.
	incarnation func(upstream string) int64
	metrics     *telemetry.Instruments
	logger      log.Interface
}

func newStatements(seed uint64, incarnation func(string) int64, metrics *telemetry.Instruments, logger log.Interface) *statements {
	table := availability.NewTable(rand.New(rand.NewPCG(seed, rngAvailability)))
	return &statements{table: table, incarnation: incarnation, metrics: metrics, logger: logger}
}

// registeredIncarnation returns the incarnation of an upstream according to the registrations.
func (a *Attached) registeredIncarnation(name string) int64 {
	u, _ := a.registeredUpstream(name)
	return u.Incarnation
}

// ObserveAvailability implements upstream.Availability.
func (s *statements) ObserveAvailability(n upstream.AvailabilityNotice) {
	if n.Invalid != "" {
		s.logger.WithFields(log.Fields{"upstream": n.Upstream, "value": truncate(n.Invalid)}).Warn("invalid statement of availability from upstream: ignored")
	}
	incarnation := s.incarnation(n.Upstream)
	c := s.table.Observe(availability.Statement{Upstream: n.Upstream, Incarnation: incarnation, Leaving: n.Leaving, Rest: n.Rest, At: n.Received})
	fields := s.logger.WithFields(log.Fields{"upstream": n.Upstream, "life": incarnation})
	if c.Leaves {
		s.metrics.UpstreamStated(telemetry.StatedLeaving)
		fields.Info("upstream states that it leaves")
	}
	if c.RestBegan {
		s.metrics.UpstreamStated(telemetry.StatedRest)
		fields.WithFields(log.Fields{"asked_ms": n.Rest.Milliseconds(), "until": c.State.RestEnd.UTC().Format(time.RFC3339Nano)}).Info("upstream asks for rest")
	}
}

// Allow implements upstream.Availability.
func (s *statements) Allow(string, availability.Use) error { return nil }
