// Package orders brings each upstream to the state that the bundle in force
// wants: its role, its models and its adapters. Planner decides without I/O;
// Runner reads states and sends orders over the network.
//
// An order states a wanted end state of one item and carries the bundle's
// number as its fencing number. Some upstreams refuse an order whose number is
// below one they have seen; others ignore the number, so an order of an old
// version that arrives late undoes a newer one there. Planner therefore never
// counts an order as done because it was accepted: an item is in its wanted
// state only while a reading of the upstream's own state says so, and readings
// go on for as long as the version is in force.
package orders

import (
	"maps"
	"slices"
	"strings"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Wanted is the end state that a bundle asks of one upstream.
type Wanted struct {
	Address    string
	DataCentre string
	Role       bundle.PoolRole
	// Models maps a model to its version, Adapters an adapter to the version of
	// its model.
	Models   map[string]string
	Adapters map[AdapterName]string
}

// AdapterName names an adapter of a model.
type AdapterName struct {
	Model   string
	Adapter string
}

// StateKey returns the adapter's key in engineapi.State.
func (a AdapterName) StateKey() string { return a.Model + "/" + a.Adapter }

func compareAdapters(a, b AdapterName) int { return strings.Compare(a.StateKey(), b.StateKey()) }

// WantedBy returns what b asks of each upstream that takes orders, by name.
// Plain services take none; a leaving upstream keeps what it has.
// Upstreams of a pool share their maps, which must not be changed.
func WantedBy(b *bundle.Bundle) map[string]Wanted {
	out := make(map[string]Wanted, len(b.Upstreams))
	pools := make(map[string]Wanted, len(b.Pools))
	for name, pool := range b.Pools {
		pools[name] = wantedOf(b, name, pool.Role)
	}
	for name, u := range b.Upstreams {
		pool := b.Pools[u.Pool]
		if pool.Role == bundle.RoleService || u.State == bundle.StateLeaving {
			continue
		}
		w := pools[u.Pool]
		w.Address, w.DataCentre = u.Address, u.DataCentre
		out[name] = w
	}
	return out
}

// wantedOf returns what b asks of every upstream of a pool.
func wantedOf(b *bundle.Bundle, pool string, role bundle.PoolRole) Wanted {
	w := Wanted{
		Role:     role,
		Models:   make(map[string]string),
		Adapters: make(map[AdapterName]string),
	}
	for model, m := range b.Models {
		if m.PrefillPool != pool && m.DecodePool != pool {
			continue
		}
		w.Models[model] = m.Version
		for _, adapter := range m.Adapters {
			w.Adapters[AdapterName{Model: model, Adapter: adapter}] = m.Version
		}
	}
	return w
}

func (w Wanted) equal(o Wanted) bool {
	return w.Address == o.Address && w.DataCentre == o.DataCentre && w.Role == o.Role &&
		maps.Equal(w.Models, o.Models) && maps.Equal(w.Adapters, o.Adapters)
}

// missing returns the orders that would bring state to w, roles first, then
// models, then adapters of models that are loaded, each in order of name.
// Items that the upstream says it is loading are left out.
func (w Wanted) missing(state engineapi.State, fence uint64) []engineapi.Order {
	var out []engineapi.Order
	if state.Role != string(w.Role) {
		out = append(out, engineapi.Order{Fence: fence, Kind: engineapi.OrderSetRole, Role: string(w.Role)})
	}
	for _, model := range slices.Sorted(maps.Keys(w.Models)) {
		version := w.Models[model]
		if state.Models[model] == version || slices.Contains(state.Loading, model) {
			continue
		}
		out = append(out, engineapi.Order{Fence: fence, Kind: engineapi.OrderLoadModel, Model: model, Version: version})
	}
	for _, a := range slices.SortedFunc(maps.Keys(w.Adapters), compareAdapters) {
		version, key := w.Adapters[a], a.StateKey()
		ready := state.Models[a.Model] == w.Models[a.Model]
		if !ready || state.Adapters[key] == version || slices.Contains(state.Loading, key) {
			continue
		}
		out = append(out, engineapi.Order{
			Fence: fence, Kind: engineapi.OrderLoadAdapter, Model: a.Model, Adapter: a.Adapter, Version: version,
		})
	}
	return out
}
