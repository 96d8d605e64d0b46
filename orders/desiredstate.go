// Package orders reconciles each upstream with the current bundle: its role, its models
// and its adapters. Planner does no I/O; Runner reads the states of upstreams and sends
// orders over the network.
//
// The steward of an upstream is the one daemon that sends it orders. Stewards change as daemons
// join and leave; each such change has a generation number.
//
// An order states the desired state of one item (a role, a model or an adapter) and
// carries the number of the bundle as its fencing number. Some upstreams refuse an order
// whose number is lower than the highest they have received. Others ignore the number, so that a
// delayed order from an old bundle undoes a newer one there. Planner therefore does not
// count an order as carried out when it is accepted: an item is in its desired state only
// if the upstream reports so, and upstreams are read for as long as the bundle is current.
package orders

import (
	"maps"
	"slices"
	"strings"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// DesiredState is the desired state of one upstream according to a bundle.
type DesiredState struct {
	Address    string
	DataCentre string
	Role       bundle.PoolRole
	// Models maps each model to its version, Adapters each adapter to the version of its
	// model.
	Models   map[string]string
	Adapters map[AdapterName]string
}

// AdapterName identifies an adapter of a model.
type AdapterName struct {
	Model   string
	Adapter string
}

// StateKey returns the adapter's key in engineapi.State.
func (a AdapterName) StateKey() string { return a.Model + "/" + a.Adapter }

func compareAdapters(a, b AdapterName) int { return strings.Compare(a.StateKey(), b.StateKey()) }

// DesiredStates returns the desired state of each upstream that gets orders, by name. Upstreams
// of plain services and leaving upstreams get none. The maps are shared by the upstreams
// of a pool and must not be modified.
func DesiredStates(b *bundle.Bundle) map[string]DesiredState {
	out := make(map[string]DesiredState, len(b.Upstreams))
	pools := make(map[string]DesiredState, len(b.Pools))
	for name, pool := range b.Pools {
		pools[name] = poolDesiredState(b, name, pool.Role)
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

// poolDesiredState returns the desired state of the upstreams of a pool, without address
// and data centre.
func poolDesiredState(b *bundle.Bundle, pool string, role bundle.PoolRole) DesiredState {
	w := DesiredState{
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

func (w DesiredState) equal(o DesiredState) bool {
	return w.Address == o.Address && w.DataCentre == o.DataCentre && w.Role == o.Role &&
		maps.Equal(w.Models, o.Models) && maps.Equal(w.Adapters, o.Adapters)
}

// missingOrders returns the orders that lead from state to w: first the role, then models,
// then adapters of models that are loaded, each sorted by name. Items that the upstream
// reports as being loaded are left out.
func (w DesiredState) missingOrders(state engineapi.State, fence uint64) []engineapi.Order {
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
