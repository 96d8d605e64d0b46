package board

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// HealthState is the state of an upstream's outlier ejection.
type HealthState string

// The health states. HealthSlowStart is the slow start after an ejection or a restart.
const (
	HealthOK        HealthState = "ok"
	HealthEjected   HealthState = "ejected"
	HealthSlowStart HealthState = "returning"
)

// LoadSource is the origin of the last load of an upstream.
type LoadSource string

// The load sources. LoadFromUpstream covers loads that came with answers and those that
// this daemon polled as the upstream's steward.
const (
	LoadUnknown      LoadSource = ""
	LoadFromUpstream LoadSource = "upstream"
	LoadFromPeer     LoadSource = "peer"
)

// Status is the state of one upstream as shown to operators.
type Status struct {
	Name string
	Spec bundle.Upstream
	// Leaving says that the upstream gets no new requests, because of a notice or of
	// its state in the bundle. Source is the origin of the oldest notice, or FromBundle
	// if the state is the reason.
	Leaving bool
	Source  LeavingSource
	Health  HealthState
	// RestUntil is the end of the time for which the upstream wants no requests; zero if there is none.
	RestUntil time.Time
	// Slots, Active and Queued are the last reported load, LoadAge its age and
	// LoadSource its origin.
	Slots, Active, Queued int
	LoadAge               time.Duration
	LoadSource            LoadSource
}

// Statuses returns the status of every upstream of the bundle in force, sorted by
// name.
func (b *Board) Statuses(now time.Time) []Status {
	out := make([]Status, 0, len(b.names))
	for _, name := range b.names {
		out = append(out, b.entries[name].status(now, b.cfg))
	}
	return out
}

func (e *entry) status(now time.Time, cfg Config) Status {
	s := Status{
		Name:       e.name,
		Spec:       e.spec,
		Health:     e.health.state(now, cfg),
		Slots:      e.slotCount(),
		Active:     e.active,
		Queued:     e.queued,
		LoadSource: e.loadSource,
	}
	if e.loadSource != LoadUnknown {
		s.LoadAge = max(0, now.Sub(e.loadAt))
	}
	if e.stated.Resting(now) {
		s.RestUntil = e.stated.RestEnd
	}
	e.expireNotices(now, cfg)
	s.Source, s.Leaving = e.notices.earliest()
	if !s.Leaving && e.stated.Leaving {
		s.Source, s.Leaving = FromUpstream, true
	}
	if e.spec.State == bundle.StateLeaving {
		s.Source, s.Leaving = FromBundle, true
	}
	return s
}

// state returns the health state shown to operators.
func (h *health) state(now time.Time, cfg Config) HealthState {
	switch {
	case h.ejected(now):
		return HealthEjected
	case h.weight(now, cfg) < 1:
		return HealthSlowStart
	}
	return HealthOK
}
