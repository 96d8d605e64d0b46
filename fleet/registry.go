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
	// confirmAfter is the age of a missing registration from which a read that still lacks it
	// shows that its upstream is gone. Upstreams that run register again at their next
	// heartbeat, which takes less.
	confirmAfter = 1500 * time.Millisecond
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
	// with every view. Of large services it lists only a subset of the upstreams, by
	// which the daemon's requests are routed (see subset). Upstreams whose registration
	// has expired are listed while their grace period lasts.
	Bundle *bundle.Version
}

// Registry holds the current configuration and the registered upstreams. It is not
// safe for concurrent use.
type Registry struct {
	config *Config
	routes *RouteTable
	teams  *TeamTable
	// upstreams are the registered upstreams by name. A Registration is immutable once
	// it has been put and may be shared with the caches of package relay.
	upstreams map[string]*Registration
	// expiredAt holds when registrations expired, by name. Their upstreams may still run.
	expiredAt   map[string]time.Time
	restoration restoration
	// readAt is when the store returned the newest registrations.
	readAt time.Time
	// serviceSizes are the numbers of upstreams by service.
	serviceSizes map[string]int
	versions     versionHistory
	subset       *subset
	viewNumber   uint64
	changed      bool
	// changedUpstreams are the names of the upstreams that changed since the last view.
	changedUpstreams map[string]bool
	lastView         View
}

// NewRegistry returns an empty registry of a daemon with the given instance name and data
// centre. lease is how long the store keeps a registration that its upstream does not renew.
func NewRegistry(instance, dataCentre string, lease time.Duration) *Registry {
	return &Registry{
		upstreams: map[string]*Registration{}, expiredAt: map[string]time.Time{}, serviceSizes: map[string]int{}, restoration: newRestoration(lease),
		versions: versionHistory{services: map[string]map[string]*versionSpan{}},
		subset:   newSubset(instance, dataCentre), changedUpstreams: map[string]bool{},
	}
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

// Put adds or updates an upstream's registration, which must not be modified afterwards.
func (r *Registry) Put(reg *Registration) {
	delete(r.expiredAt, reg.Name)
	previous := r.upstreams[reg.Name]
	if previous != nil && previous.SameState(reg) {
		r.upstreams[reg.Name] = reg
		return
	}
	if previous != nil {
		r.remove(previous)
	}
	r.upstreams[reg.Name] = reg
	r.serviceSizes[reg.Service]++
	r.versions.add(reg, 1)
	r.subset.add(reg)
	r.markChanged(reg.Name)
}

// Receive adds or updates an upstream's registration that the store has returned, unless it may be out
// of date because the store was restored from a copy. It must not be modified afterwards.
func (r *Registry) Receive(now time.Time, reg *Registration) {
	if r.restoration.hold(now, r.upstreams[reg.Name], reg) {
		delete(r.expiredAt, reg.Name) // the store has it
		return
	}
	r.Put(reg)
}

// BeginEpoch notes that what the store returns from now on is of a copy from which it was restored, and
// of what was written since.
func (r *Registry) BeginEpoch(now time.Time) { r.restoration.begin(now) }

// Held returns the number of registrations that the store has and that are not used yet.
func (r *Registry) Held() int { return len(r.restoration.held) }

// depart removes the registration of an upstream that has gone.
func (r *Registry) depart(now time.Time, reg *Registration) {
	r.restoration.recordDeparture(now, reg)
	r.remove(reg)
}

// remove removes a registration.
func (r *Registry) remove(reg *Registration) {
	delete(r.upstreams, reg.Name)
	delete(r.expiredAt, reg.Name)
	r.serviceSizes[reg.Service]--
	r.versions.add(reg, -1)
	r.subset.remove(reg)
	r.markChanged(reg.Name)
}

func (r *Registry) markChanged(name string) {
	r.changed = true
	r.changedUpstreams[name] = true
}

// Registration returns the registration of an upstream; ok is false if there is none.
func (r *Registry) Registration(name string) (reg Registration, ok bool) {
	m := r.upstreams[name]
	if m == nil {
		return reg, false
	}
	return *m, true
}

// Registrations returns the registrations of all upstreams of a service.
func (r *Registry) Registrations(service string) []Registration {
	out := make([]Registration, 0, r.serviceSizes[service])
	for _, m := range r.upstreams {
		if m.Service == service {
			out = append(out, *m)
		}
	}
	return out
}

// Missing counts the registrations that HandleMissing has handled.
type Missing struct {
	Withdrawn int // upstreams removed at once
	Expired   int // upstreams that stay in use for reregistrationGrace
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
func (r *Registry) HandleMissing(now time.Time, names []string, afterOutage bool) (handled Missing) {
	missing := make([]*Registration, 0, len(names))
	missingByService, sizes := map[string]int{}, maps.Clone(r.serviceSizes)
	for _, name := range names {
		r.restoration.withdraw(name)
		if m := r.upstreams[name]; m != nil {
			missing = append(missing, m)
			missingByService[m.Service]++
		}
	}
	for _, m := range missing {
		if m.Draining || !afterOutage && !isMassExpiry(missingByService[m.Service], sizes[m.Service]) {
			r.depart(now, m)
			handled.Withdrawn++
			continue
		}
		if r.expiredAt[m.Name].IsZero() {
			r.expiredAt[m.Name] = now
			handled.Expired++
		}
	}
	return handled
}

// isMassExpiry reports whether the loss of n upstreams of a service, which had total,
// counts as expired leases: more than two, and more than massExpiryShare of the service.
func isMassExpiry(n, total int) bool {
	return n > 2 && float64(n) > massExpiryShare*float64(total)
}

// Replace applies a complete list of registrations, which must not be modified afterwards.
// Known registrations that are not in the list are passed to HandleMissing.
func (r *Registry) Replace(now time.Time, list []*Registration, afterOutage bool) Missing {
	listed := make(map[string]bool, len(list))
	for _, reg := range list {
		listed[reg.Name] = true
		r.Receive(now, reg)
	}
	var missing []string
	for name := range r.upstreams {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	return r.HandleMissing(now, missing, afterOutage)
}

// RecordRead records that the store returned registrations at the given time. afterOutage
// means that the store was unreachable until then. Grace periods then begin anew, because
// upstreams cannot register while the store is unreachable.
func (r *Registry) RecordRead(at time.Time, afterOutage bool) {
	r.readAt = at
	if !afterOutage {
		return
	}
	for name := range r.expiredAt {
		r.expiredAt[name] = at
	}
}

// Expire removes expired upstreams that did not register again within
// reregistrationGrace, and puts held registrations to use that have outlived their leases. It returns
// when the next grace period or lease ends; zero if there is none.
//
// An upstream is removed only if a read has confirmed that it is still missing. If the store
// is unavailable again before its upstreams have registered, no read tells, and all daemons
// would drop running upstreams for the rest of the second outage.
func (r *Registry) Expire(now time.Time) (next time.Time) {
	released, next := r.restoration.release(now)
	for _, reg := range released {
		r.Put(reg)
	}
	for name, at := range r.expiredAt {
		graceEnd := at.Add(reregistrationGrace)
		switch {
		case now.Before(graceEnd):
			next = earliest(next, graceEnd)
		case !r.readAt.Before(at.Add(confirmAfter)):
			r.depart(now, r.upstreams[name])
		}
	}
	return next
}

// ConfirmationDue returns when the next read is due that confirms which expired upstreams are
// still missing; zero if none is.
func (r *Registry) ConfirmationDue() (due time.Time) {
	for _, at := range r.expiredAt {
		if confirmAt := at.Add(confirmAfter); r.readAt.Before(confirmAt) {
			due = earliest(due, confirmAt)
		}
	}
	return due
}

// earliest returns the earlier of two times; a zero time counts as none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// View returns a new view, or false if nothing has changed for requests since the last
// call. While the configuration stays the same, it copies the upstreams of the last view
// and rebuilds only those that changed; the bundle then lists them in Changes.
func (r *Registry) View() (View, bool) {
	if !r.changed {
		return View{}, false
	}
	r.changed = false
	r.markChangedGroups()
	defer clear(r.changedUpstreams)
	if r.lastView.Bundle == nil || r.lastView.Config != r.config {
		r.viewNumber++
		r.lastView = r.fullView()
		return r.lastView, true
	}
	changed := r.changedInView()
	if len(changed) == 0 {
		return View{}, false
	}
	r.viewNumber++
	r.lastView = r.incrementalView(changed)
	return r.lastView, true
}

// markChangedGroups updates the subset and marks the upstreams of all groups whose subset
// has another level now.
func (r *Registry) markChangedGroups() {
	groups := r.subset.updateLevels()
	if len(groups) == 0 {
		return
	}
	for name, m := range r.upstreams {
		if groups[r.subset.keyOf(m)] {
			r.changedUpstreams[name] = true
		}
	}
}

// changedInView returns the sorted names of the changed upstreams that the last view lists
// or the next one is to list.
func (r *Registry) changedInView() []string {
	last := r.lastView.Bundle.Bundle.Upstreams
	var out []string
	for name := range r.changedUpstreams {
		next, selected := r.selected(name)
		if previous, listed := last[name]; listed != selected || selected && previous != bundleUpstream(next) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// selected returns the registration of an upstream; ok is false if it is not registered or
// not in the subset.
func (r *Registry) selected(name string) (reg *Registration, ok bool) {
	reg = r.upstreams[name]
	return reg, reg != nil && r.subset.selects(reg)
}

// fullView builds a view from the complete state of the registry.
func (r *Registry) fullView() View {
	return View{
		Config: r.config, Routes: r.routes, Teams: r.teams,
		Bundle: &bundle.Version{Bundle: r.buildBundle(), Number: r.viewNumber},
	}
}

// incrementalView builds a view from the last one and the upstreams changed since.
func (r *Registry) incrementalView(changed []string) View {
	v, content := r.lastView, *r.lastView.Bundle.Bundle
	content.Upstreams = maps.Clone(content.Upstreams)
	for _, name := range changed {
		if m, ok := r.selected(name); ok {
			content.Upstreams[name] = bundleUpstream(m)
			continue
		}
		delete(content.Upstreams, name)
	}
	v.Bundle = &bundle.Version{
		Bundle: &content, Number: r.viewNumber,
		Changes: &bundle.Changes{Since: r.lastView.Bundle.Number, Upstreams: changed},
	}
	return v
}
