package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// item names what an order changes: the role, a model, or a model's adapter.
type item string

const itemRole item = "role"

func itemOf(o engineapi.Order) item {
	switch o.Kind {
	case engineapi.OrderLoadModel:
		return item(o.Model)
	case engineapi.OrderLoadAdapter:
		return item(o.Model + "/" + o.Adapter)
	default:
		return itemRole
	}
}

// pending is an order that is being carried out.
type pending struct {
	order    engineapi.Order
	doneAt   time.Time
	fetching bool // waits for the weight store
}

// configuration is what the engine serves and the orders that change it.
type configuration struct {
	cfg      *Config
	role     string
	models   map[string]string
	adapters map[string]string
	any      bool // serves every model: none was configured
	pending  map[item]*pending
	fences   map[item]uint64
	fence    uint64
}

func newConfiguration(cfg *Config) configuration {
	c := configuration{
		cfg:      cfg,
		role:     cfg.Role,
		models:   maps.Clone(cfg.Models),
		adapters: maps.Clone(cfg.Adapters),
		any:      len(cfg.Models) == 0,
		pending:  make(map[item]*pending),
		fences:   make(map[item]uint64),
	}
	if c.models == nil {
		c.models = make(map[string]string)
	}
	if c.adapters == nil {
		c.adapters = make(map[string]string)
	}
	return c
}

func (c *configuration) serves(model, adapter string) bool {
	if c.any {
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

// give takes an order. It returns the load to fetch from the weight store, if any.
func (c *configuration) give(now time.Time, o engineapi.Order) (engineapi.OrderReply, *pending) {
	key := itemOf(o)
	if reason := orderFault(o); reason != "" {
		return engineapi.OrderReply{Fence: c.fences[key], Reason: reason}, nil
	}
	if c.cfg.CheckFence && o.Fence < c.fences[key] {
		return engineapi.OrderReply{Fence: c.fences[key], Reason: "fence is old"}, nil
	}
	c.fences[key] = max(c.fences[key], o.Fence)
	c.fence = max(c.fence, o.Fence)
	reply := engineapi.OrderReply{Accepted: true, Fence: c.fences[key]}
	if p := c.pending[key]; p != nil && sameEnd(p.order, o) {
		return reply, nil
	}
	delete(c.pending, key)
	if c.holds(o) {
		return reply, nil
	}
	p := &pending{order: o, doneAt: now.Add(c.cfg.scaled(c.cfg.OrderTime))}
	p.fetching = c.cfg.WeightStore != "" && o.Kind != engineapi.OrderSetRole
	c.pending[key] = p
	if !p.fetching {
		return reply, nil
	}
	return reply, p
}

// orderFault returns why an order is malformed, or "".
func orderFault(o engineapi.Order) string {
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

// sameEnd reports whether two orders of one item want the same end state.
func sameEnd(a, b engineapi.Order) bool {
	return a.Version == b.Version && a.Role == b.Role
}

// holds reports whether the end state that o wants is there already.
func (c *configuration) holds(o engineapi.Order) bool {
	switch o.Kind {
	case engineapi.OrderLoadModel:
		return c.models[o.Model] == o.Version
	case engineapi.OrderLoadAdapter:
		return c.adapters[string(itemOf(o))] == o.Version
	default:
		return c.role == o.Role
	}
}

// fetched ends the fetch of p. A failed fetch drops the order: whoever gave it
// reads the state back and gives it again.
func (c *configuration) fetched(now time.Time, p *pending, ok bool) {
	key := itemOf(p.order)
	if c.pending[key] != p {
		return
	}
	if !ok {
		delete(c.pending, key)
		return
	}
	p.fetching = false
	c.finish(now)
}

// finish puts the orders that are done into force.
func (c *configuration) finish(now time.Time) {
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

func (c *configuration) deadline() time.Time {
	var next time.Time
	for _, p := range c.pending {
		if !p.fetching && (next.IsZero() || p.doneAt.Before(next)) {
			next = p.doneAt
		}
	}
	return next
}

func (c *configuration) state(incarnation uint64) engineapi.State {
	out := engineapi.State{
		Incarnation: incarnation,
		Role:        c.role,
		Models:      maps.Clone(c.models),
		Adapters:    maps.Clone(c.adapters),
		Loading:     []string{},
		Fence:       c.fence,
	}
	for key := range c.pending {
		out.Loading = append(out.Loading, string(key))
	}
	slices.Sort(out.Loading)
	return out
}
