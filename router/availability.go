package router

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/upstream"
)

// statements records and logs what upstreams state about their own availability. It implements
// upstream.Availability and is safe for concurrent use.
type statements struct {
	table *availability.Table
	// incarnation returns the registered incarnation of an upstream, 0 if it is unknown.
	incarnation func(upstream string) int64
	// onChange is called when an upstream states something new.
	onChange func(upstream string)
	metrics  *telemetry.Instruments
	logger   log.Interface
}

// newStatements returns the statements of an attached daemon, which knows none yet.
func (a *Attached) newStatements() *statements {
	return &statements{
		table:       availability.NewTable(rand.New(rand.NewPCG(a.seed, rngAvailability))),
		incarnation: a.registeredIncarnation,
		onChange:    func(name string) { a.holder.Update(func(b *board.Board) { b.RecordStatement(name) }) },
		metrics:     a.metrics.Instruments, logger: a.logger,
	}
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
	if !n.Leaving && n.Rest <= 0 {
		return
	}
	incarnation := s.incarnation(n.Upstream)
	c := s.table.Observe(availability.Statement{Upstream: n.Upstream, Incarnation: incarnation, Leaving: n.Leaving, Rest: n.Rest, At: n.Received})
	if c.Any() {
		s.onChange(n.Upstream)
	}
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

var errWithheld = errors.New("the upstream has stated that it leaves or wants no requests")

// Allow implements upstream.Availability. Plans leave out upstreams that take no work; what was planned
// before, or needs no plan, is stopped here.
func (s *statements) Allow(name string, use availability.Use) error {
	now := time.Now()
	state, ok := s.table.Allow(now, name, s.incarnation(name), use)
	if ok {
		return nil
	}
	s.metrics.UpstreamStated(telemetry.StatedWithheld)
	if use == availability.Cleanup {
		return errWithheld // it is tried again and again
	}
	s.logger.WithFields(log.Fields{
		"upstream": name, "use": use.String(), "leaving": state.Leaving, "rest_left_ms": max(0, state.RestEnd.Sub(now)).Milliseconds(),
	}).Info("call not sent: its upstream leaves or rests")
	return errWithheld
}
