package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// orderTarget identifies what an order changes: "role", a model's name, or
// "model/adapter".
type orderTarget string

const targetRole orderTarget = "role"

// targetOf returns the target of an order.
func targetOf(o engineapi.Order) orderTarget {
	switch o.Kind {
	case engineapi.OrderLoadModel:
		return orderTarget(o.Model)
	case engineapi.OrderLoadAdapter:
		return orderTarget(o.Model + "/" + o.Adapter)
	default:
		return targetRole
	}
}

// pendingOrder is an accepted order that has not completed.
type pendingOrder struct {
	order    engineapi.Order
	doneAt   time.Time // earliest time of completion
	fetching bool      // the weights are still being read from the weight store
}

// deployment is the engine's role, its loaded models and adapters, and the
// pending orders that change them.
type deployment struct {
	cfg          *Config
	role         string
	models       map[string]string // versions by model
	adapters     map[string]string // versions by "model/adapter"
	anyModel     bool              // every model is served, because none is configured
	pending      map[orderTarget]*pendingOrder
	targetFences map[orderTarget]uint64 // highest fencing number accepted for each target
	highestFence uint64                 // over all targets
}

// newDeployment returns the deployment that cfg describes, without orders.
func newDeployment(cfg *Config) deployment {
	c := deployment{
		cfg:          cfg,
		role:         cfg.Role,
		models:       maps.Clone(cfg.Models),
		adapters:     maps.Clone(cfg.Adapters),
		anyModel:     len(cfg.Models) == 0,
		pending:      make(map[orderTarget]*pendingOrder),
		targetFences: make(map[orderTarget]uint64),
	}
	if c.models == nil {
		c.models = make(map[string]string)
	}
	if c.adapters == nil {
		c.adapters = make(map[string]string)
	}
	return c
}

// serves reports whether the model, and the adapter unless it is empty, are
// loaded.
func (c *deployment) serves(model, adapter string) bool {
	if c.anyModel {
		return true
	}
	if _, ok := c.models[model]; !ok {
		return false
	}
	if adapter == "" {
		return true
	}
	_, ok := c.adapters[model+"/"+adapter]
	return ok
}

// acceptOrder validates an order and makes it pending unless its target already
// has the desired state. The returned order is nil unless its weights are to be
// fetched from the weight store.
func (c *deployment) acceptOrder(now time.Time, o engineapi.Order) (engineapi.OrderReply, *pendingOrder) {
	key := targetOf(o)
	if reason := validateOrder(o); reason != "" {
		return engineapi.OrderReply{Fence: c.targetFences[key], Reason: reason}, nil
	}
	if c.cfg.CheckFence && o.Fence < c.targetFences[key] {
		return engineapi.OrderReply{Fence: c.targetFences[key], Reason: "fence is old"}, nil
	}
	c.targetFences[key] = max(c.targetFences[key], o.Fence)
	c.highestFence = max(c.highestFence, o.Fence)
	reply := engineapi.OrderReply{Accepted: true, Fence: c.targetFences[key]}
	if p := c.pending[key]; p != nil && sameDesiredState(p.order, o) {
		return reply, nil
	}
	delete(c.pending, key)
	if c.isApplied(o) {
		return reply, nil
	}
	p := &pendingOrder{order: o, doneAt: now.Add(c.cfg.scaled(c.cfg.OrderTime))}
	p.fetching = c.cfg.WeightStore != "" && o.Kind != engineapi.OrderSetRole
	c.pending[key] = p
	if !p.fetching {
		return reply, nil
	}
	return reply, p
}

// validateOrder returns the reason why an order is invalid, or "".
func validateOrder(o engineapi.Order) string {
	switch o.Kind {
	case engineapi.OrderLoadModel:
		if o.Model == "" || o.Version == "" {
			return "model and version are required"
		}
	case engineapi.OrderLoadAdapter:
		if o.Model == "" || o.Adapter == "" || o.Version == "" {
			return "model, adapter and version are required"
		}
	case engineapi.OrderSetRole:
		if o.Role != RolePrefill && o.Role != RoleDecode {
			return "role must be prefill or decode"
		}
	default:
		return "unknown kind of order"
	}
	return ""
}

// sameDesiredState reports whether two orders for the same target request the
// same version and role.
func sameDesiredState(a, b engineapi.Order) bool {
	return a.Version == b.Version && a.Role == b.Role
}

// isApplied reports whether the state that o requests is already reached.
func (c *deployment) isApplied(o engineapi.Order) bool {
	switch o.Kind {
	case engineapi.OrderLoadModel:
		return c.models[o.Model] == o.Version
	case engineapi.OrderLoadAdapter:
		return c.adapters[string(targetOf(o))] == o.Version
	default:
		return c.role == o.Role
	}
}

// finishFetch records the end of the fetch of p's weights. A failed fetch drops
// the order: its sender is expected to read the state and to send it again.
func (c *deployment) finishFetch(now time.Time, p *pendingOrder, ok bool) {
	key := targetOf(p.order)
	if c.pending[key] != p {
		return
	}
	if !ok {
		delete(c.pending, key)
		return
	}
	p.fetching = false
	c.applyCompleted(now)
}

// applyCompleted applies the pending orders whose time has passed and whose
// weights are fetched.
func (c *deployment) applyCompleted(now time.Time) {
	for key, p := range c.pending {
		if p.fetching || p.doneAt.After(now) {
			continue
		}
		delete(c.pending, key)
		switch p.order.Kind {
		case engineapi.OrderLoadModel:
			c.models[p.order.Model] = p.order.Version
		case engineapi.OrderLoadAdapter:
			c.adapters[string(key)] = p.order.Version
		case engineapi.OrderSetRole:
			c.role = p.order.Role
		}
	}
}

// nextDeadline returns when the next pending order completes; zero means that
// none waits for a time.
func (c *deployment) nextDeadline() time.Time {
	var next time.Time
	for _, p := range c.pending {
		if !p.fetching && (next.IsZero() || p.doneAt.Before(next)) {
			next = p.doneAt
		}
	}
	return next
}

// state returns the engine's state for the state API.
func (c *deployment) state(incarnation uint64) engineapi.State {
	out := engineapi.State{
		Incarnation: incarnation,
		Role:        c.role,
		Models:      maps.Clone(c.models),
		Adapters:    maps.Clone(c.adapters),
		Loading:     []string{},
		Fence:       c.highestFence,
	}
	for key := range c.pending {
		out.Loading = append(out.Loading, string(key))
	}
	slices.Sort(out.Loading)
	return out
}
