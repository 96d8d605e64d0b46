package board

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// HealthState is what a daemon makes of an upstream's calls.
type HealthState string

// The health states.
const (
	HealthOK        HealthState = "ok"
	HealthEjected   HealthState = "ejected"
	HealthReturning HealthState = "returning"
)

// LoadSource says who told the last known load of an upstream.
type LoadSource string

// The load sources. LoadFromUpstream covers loads carried by answers and loads
// that this daemon polled as steward.
const (
	LoadUnknown      LoadSource = ""
	LoadFromUpstream LoadSource = "upstream"
	LoadFromPeer     LoadSource = "peer"
)

// Status is one upstream as operators see it.
type Status struct {
	Name string
	Spec bundle.Upstream
	// Leaving says that it gets no new work because of a notice from Source, the
	// one that told first, or because of the bundle's own state.
	Leaving bool
	Source  LeavingSource
	Health  HealthState
	// Slots, Active and Queued are its last known load, LoadAge and LoadSource
	// its age and who told it.
	Slots, Active, Queued int
	LoadAge               time.Duration
	LoadSource            LoadSource
}

// Upstreams returns the state of every upstream of the bundle in force, by name.
func (b *Board) Upstreams(now time.Time) []Status {
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
		LoadSource: e.source,
	}
	if e.source != LoadUnknown {
		s.LoadAge = max(0, now.Sub(e.loadAt))
	}
	e.expireNotices(now, cfg)
	s.Source, s.Leaving = e.notices.first()
	if e.spec.State == bundle.StateLeaving {
		s.Source, s.Leaving = FromBundle, true
	}
	return s
}

// state returns the health for operators.
func (h *health) state(now time.Time, cfg Config) HealthState {
	switch {
	case now.Before(h.notBefore):
		return HealthEjected
	case h.weight(now, cfg) < 1:
		return HealthReturning
	}
	return HealthOK
}
