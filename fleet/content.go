package fleet

import (
	"slices"

	"github.com/corianderturn/corianderturn/bundle"
)

// Each service has a pool of its name. An engine service also has a pool for each role,
// named after the service with one of these suffixes.
const (
	prefillSuffix = "/prefill"
	decodeSuffix  = "/decode"
)

// buildBundle converts the services, upstreams and routes to a bundle. The bundle is
// not signed because its contents come from the platform's store, which is trusted.
func (r *Registry) buildBundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Models:    map[string]bundle.Model{},
		Pools:     map[string]bundle.Pool{},
		Upstreams: map[string]bundle.Upstream{},
		Services:  map[string]bundle.Service{},
		Classes:   map[bundle.Class]bundle.ClassTarget{},
		Policy:    bundle.PolicyConfig{GoodputWeight: 1, WastedPrefillWeight: 1, QueueShare: queueShare},
	}
	if r.config == nil {
		return b
	}
	for name, s := range r.config.Services {
		addService(b, name, s)
	}
	for _, route := range r.config.Routes {
		b.Classes[ClassOf(route)] = bundle.ClassTarget{
			FirstTokenMillis:    route.FirstTarget.Milliseconds(),
			BetweenTokensMillis: route.GapTarget.Milliseconds(),
			DeadlineMillis:      route.Timeout.Milliseconds(),
			Priority:            route.Priority,
		}
	}
	setRanks(b, r.config.Routes)
	for name, m := range r.upstreams {
		if r.subset.selects(m) {
			b.Upstreams[name] = bundleUpstream(m)
		}
	}
	return b
}

// setRanks sets the ranks of the models whose routes differ in priority.
func setRanks(b *bundle.Bundle, routes []Route) {
	for name, m := range b.Models {
		var ranks []int
		for _, route := range routes {
			if route.leadsTo(name) {
				ranks = append(ranks, route.Priority)
			}
		}
		slices.Sort(ranks)
		if ranks = slices.Compact(ranks); len(ranks) > 1 {
			m.Ranks = ranks
			b.Models[name] = m
		}
	}
}

// leadsTo reports whether requests of the route may go to the service.
func (r *Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// ClassOf returns the class of a route's requests. Each route has a class of its own
// because each route has its own latency targets.
func ClassOf(r Route) bundle.Class { return bundle.Class(r.Name) }

func addService(b *bundle.Bundle, name string, s Service) {
	b.Services[name] = bundle.Service{Pool: name}
	b.Pools[name] = bundle.Pool{Role: bundle.RoleService, Queues: true}
	if s.Engine == nil {
		b.Models[name] = bundle.Model{DecodePool: name}
		return
	}
	e := s.Engine
	pool := bundle.Pool{
		Role:               bundle.RolePrefill,
		Slots:              e.Slots,
		LinkBytesPerSecond: e.LinkBytesPerSecond,
		HoldMillis:         e.MaxHold.Milliseconds(),
	}
	b.Pools[name+prefillSuffix] = pool
	pool.Role, pool.MemoryTokens = bundle.RoleDecode, e.MemoryTokens
	b.Pools[name+decodeSuffix] = pool
	b.Models[name] = bundle.Model{
		PrefillPool:     name + prefillSuffix,
		DecodePool:      name + decodeSuffix,
		DecodePrefills:  true,
		KVBytesPerToken: e.TokenBytes,
	}
}

// Pool returns the name of the upstream's pool.
func (r *Registration) Pool() string {
	switch r.Role {
	case RolePrefill:
		return r.Service + prefillSuffix
	case RoleDecode:
		return r.Service + decodeSuffix
	}
	return r.Service
}

func bundleUpstream(r *Registration) bundle.Upstream {
	up := bundle.Upstream{
		Pool: r.Pool(), DataCentre: r.DataCentre, Address: r.Address, State: bundle.StateServing, Incarnation: r.Born, Version: r.Version,
	}
	if r.Draining {
		up.State = bundle.StateLeaving
	}
	return up
}
