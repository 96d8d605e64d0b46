package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

const (
	// reregistrationGrace is how long an upstream stays in use after its registration
	// expired. By the platform's specification, every upstream that still runs registers
	// again within about two seconds of the end of a store outage.
	reregistrationGrace = 2 * time.Second
	// massExpiryShare is a share of a service's upstreams. If the registrations of more
	// than this share disappear between two reads, they count as expired, not as
	// withdrawn. Upstreams withdraw a few at a time, whereas after a failure of the store
	// all leases expire together.
	massExpiryShare = 0.5
	// queueShare is the part of the first token's latency target that a request may
	// wait for a slot. A caller that is refused after that wait has most of the target
	// left for a retry.
	queueShare = 0.125
)

// View combines the current configuration and upstreams. It is immutable.
type View struct {
	// Config is the current configuration; nil until the first one has been read.
	Config *Config
	Routes *RouteTable
	Teams  *TeamTable
	// Bundle describes services and upstreams for package board. Its number increases
	// with every view.
	Bundle *bundle.Version
	// Registrations are the registered upstreams by name, including those whose registration
	// has expired while its grace period lasts.
	Registrations map[string]Registration
}

// Registry holds the current configuration and the registered upstreams. It is not
// safe for concurrent use.
type Registry struct {
	config     *Config
	routes     *RouteTable
	teams      *TeamTable
	upstreams  map[string]*upstreamEntry
	viewNumber uint64
	changed    bool
	// changedUpstreams are the names of the upstreams that changed since the last view.
	changedUpstreams map[string]bool
	lastView         View
}

// upstreamEntry is the registry's entry for one upstream.
type upstreamEntry struct {
	Registration
	// expiredAt is when the registration expired; zero if it has not. The upstream may
	// still run.
	expiredAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{upstreams: map[string]*upstreamEntry{}, changedUpstreams: map[string]bool{}}
}

// SetConfig replaces the configuration if c is newer, and returns whether it did. An
// older version is ignored: records may arrive out of order. An error means that a
// newer version is invalid; the previous one then stays in force.
func (r *Registry) SetConfig(c *Config) (newer bool, err error) {
	if c == nil || r.config != nil && c.Version <= r.config.Version {
		return false, nil
	}
	teamTable, err := NewTeamTable(c.Teams)
	if err != nil {
		return false, err
	}
	r.config, r.routes, r.teams, r.changed = c, NewRouteTable(c.Routes), teamTable, true
	return true, nil
}

// Put adds or updates an upstream's registration.
func (r *Registry) Put(reg Registration) {
	m := r.upstreams[reg.Name]
	if m == nil {
		r.upstreams[reg.Name] = &upstreamEntry{Registration: reg}
		r.markChanged(reg.Name)
		return
	}
	previous := m.Registration
	m.Registration, m.expiredAt = reg, time.Time{}
	if previous != reg {
		r.markChanged(reg.Name)
	}
}

func (r *Registry) markChanged(name string) {
	r.changed = true
	r.changedUpstreams[name] = true
}

// HandleMissing handles registrations that have disappeared from the store. afterOutage means
// that the store was unreachable until the read that found them missing.
//
// Upstreams cannot renew their leases while the store is down. If the registry removed
// every upstream whose registration disappears in an outage, all daemons would refuse all
// requests ("no upstream") although the upstreams are healthy. Registrations that
// disappear during an outage, or together with most of their service, therefore count as
// expired, and their upstreams stay in use for reregistrationGrace. All others count as
// withdrawn, and their upstreams are removed at once, as are upstreams that were draining.
func (r *Registry) HandleMissing(now time.Time, names []string, afterOutage bool) {
	removedByService := map[string]int{}
	for _, name := range names {
		if m := r.upstreams[name]; m != nil {
			removedByService[m.Service]++
		}
	}
	for _, name := range names {
		m := r.upstreams[name]
		if m == nil {
			continue
		}
		if !m.Draining && (afterOutage || r.isMassExpiry(m.Service, removedByService[m.Service])) {
			if m.expiredAt.IsZero() {
				m.expiredAt = now
			}
			continue
		}
		delete(r.upstreams, name)
		r.markChanged(name)
	}
}

// isMassExpiry reports whether the loss of n upstreams of a service counts as expired
// leases: more than two, and more than massExpiryShare of the service.
func (r *Registry) isMassExpiry(service string, n int) bool {
	total := 0
	for _, m := range r.upstreams {
		if m.Service == service {
			total++
		}
	}
	return n > 2 && float64(n) > massExpiryShare*float64(total)
}

// Replace applies a complete list of registrations. Known registrations that are not in
// the list are passed to HandleMissing.
func (r *Registry) Replace(now time.Time, list []Registration, afterOutage bool) {
	listed := make(map[string]bool, len(list))
	for _, reg := range list {
		listed[reg.Name] = true
		r.Put(reg)
	}
	var missing []string
	for name := range r.upstreams {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	r.HandleMissing(now, missing, afterOutage)
}

// Expire removes expired upstreams that did not register again within
// reregistrationGrace. It returns when the next grace period ends; zero if none is
// running.
func (r *Registry) Expire(now time.Time) (next time.Time) {
	for name, m := range r.upstreams {
		if m.expiredAt.IsZero() {
			continue
		}
		graceEnd := m.expiredAt.Add(reregistrationGrace)
		if !now.Before(graceEnd) {
			delete(r.upstreams, name)
			r.markChanged(name)
		} else if next.IsZero() || graceEnd.Before(next) {
			next = graceEnd
		}
	}
	return next
}

// View returns a new view, or false if nothing has changed since the last call. While
// the configuration stays the same, it copies the upstreams of the last view and
// rebuilds only those that changed; the bundle then lists them in Changes.
func (r *Registry) View() (View, bool) {
	if !r.changed {
		return View{}, false
	}
	r.changed = false
	r.viewNumber++
	if r.lastView.Bundle != nil && r.lastView.Config == r.config {
		r.lastView = r.incrementalView()
	} else {
		r.lastView = r.fullView()
	}
	clear(r.changedUpstreams)
	return r.lastView, true
}

// fullView builds a view from the complete state of the registry.
func (r *Registry) fullView() View {
	v := View{Config: r.config, Routes: r.routes, Teams: r.teams, Registrations: make(map[string]Registration, len(r.upstreams))}
	for name, m := range r.upstreams {
		v.Registrations[name] = m.Registration
	}
	v.Bundle = &bundle.Version{Bundle: r.buildBundle(), Number: r.viewNumber}
	return v
}

// incrementalView builds a view from the last one and the upstreams changed since.
func (r *Registry) incrementalView() View {
	v, content := r.lastView, *r.lastView.Bundle.Bundle
	v.Registrations, content.Upstreams = maps.Clone(v.Registrations), maps.Clone(content.Upstreams)
	for name := range r.changedUpstreams {
		if m := r.upstreams[name]; m != nil {
			v.Registrations[name], content.Upstreams[name] = m.Registration, r.bundleUpstream(m)
			continue
		}
		delete(v.Registrations, name)
		delete(content.Upstreams, name)
	}
	v.Bundle = &bundle.Version{
		Bundle: &content, Number: r.viewNumber,
		Changes: &bundle.Changes{Since: r.lastView.Bundle.Number, Upstreams: slices.Sorted(maps.Keys(r.changedUpstreams))},
	}
	return v
}
