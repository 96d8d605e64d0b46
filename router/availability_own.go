package router

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream"
)

// newStatements returns the statements of a Router, which knows none yet. That an engine or a service
// leaves is part of its load reports and kept by the board; only rests are kept here. The board tells
// when an upstream has started again, so that incarnations are not compared.
func (r *Router) newStatements() *statements {
	return &statements{
		table:       availability.NewTable(rand.New(rand.NewPCG(r.seed, rngAvailability))),
		incarnation: func(string) int64 { return 0 },
		onChange:    func(name string) { r.holder.Update(func(b *board.Board) { b.RecordStatement(name) }) },
		metrics:     r.metrics.Instruments, logger: r.logger,
	}
}

// byAddress is an upstream.Availability that knows upstreams by their addresses in the bundle in force. It
// is safe for concurrent use.
type byAddress struct {
	statements *statements
	// current returns the bundle version in force, or nil.
	current func() *bundle.Version
	index   atomic.Pointer[addressIndex]
}

// addressIndex holds the names of the upstreams of a bundle version by their addresses.
type addressIndex struct {
	number uint64
	names  map[string]string
}

// ObserveAvailability implements upstream.Availability.
func (b *byAddress) ObserveAvailability(n upstream.AvailabilityNotice) {
	if name := b.name(n.Upstream); name != "" {
		n.Upstream = name
		b.statements.ObserveAvailability(n)
	}
}

// Allow implements upstream.Availability.
func (b *byAddress) Allow(address string, use availability.Use) error {
	if b.statements.table.Empty() {
		return nil
	}
	name := b.name(address)
	if name == "" {
		return nil
	}
	return b.statements.Allow(name, use)
}

// name returns the name of the upstream at an address, empty if there is none.
func (b *byAddress) name(address string) string {
	v := b.current()
	if v == nil {
		return ""
	}
	index := b.index.Load()
	if index == nil || index.number != v.Number {
		index = &addressIndex{number: v.Number, names: make(map[string]string, len(v.Bundle.Upstreams))}
		for name, u := range v.Bundle.Upstreams {
			index.names[u.Address] = name
		}
		b.index.Store(index)
	}
	return index.names[address]
}
