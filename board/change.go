package board

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// changedUpstreams returns the names of the upstreams that differ between two versions.
// It returns false if v does not list its changes relative to old, or if pools or
// policy differ as well.
func (b *Board) changedUpstreams(old, v *bundle.Version) ([]string, bool) {
	if old == nil || v.Changes == nil || v.Changes.Since != old.Number {
		return nil, false
	}
	return v.Changes.Upstreams, samePolicy(old.Bundle, v.Bundle)
}

// applyChanges updates the entries and pools of the changed upstreams only; all other
// pools stay as they are.
//
// At startup and during a rolling replacement, upstreams register one by one, each with
// a bundle version of its own. Rebuilding all pools for every version kept 295 daemons
// busy with little else in their first seconds.
func (b *Board) applyChanges(now time.Time, v *bundle.Version, changed []string) {
	names := b.names
	for _, name := range changed {
		previous := b.entries[name]
		if previous != nil {
			b.removeFromPool(previous)
			delete(b.entries, name)
		}
		if up, ok := v.Bundle.Upstreams[name]; ok {
			e := b.updatedEntry(now, name, up, v, previous)
			b.entries[name] = e
			b.addToPool(e)
		}
		if at, known := slices.BinarySearch(names, name); known != (b.entries[name] != nil) {
			names = withOrWithout(names, at, name, !known)
		}
	}
	if !slices.Equal(names, b.names) {
		b.setNames(names, v.Number)
		b.prefix = b.prefix.forEntries(b.entries)
	}
}

// updatedEntry returns entryFor of an upstream whose previous entry, if any, has been
// removed from the board.
func (b *Board) updatedEntry(now time.Time, name string, up bundle.Upstream, v *bundle.Version, previous *entry) *entry {
	if previous != nil {
		b.entries[name] = previous
	}
	return b.entryFor(now, name, up, v)
}

// withOrWithout returns a copy of the sorted names in which name is inserted at the
// given index, or the name at that index is removed.
func withOrWithout(names []string, index int, name string, insert bool) []string {
	if insert {
		return slices.Insert(slices.Clone(names), index, name)
	}
	return slices.Delete(slices.Clone(names), index, index+1)
}

func (b *Board) removeFromPool(e *entry) {
	p := b.pools[e.spec.Pool]
	at, ok := slices.BinarySearchFunc(p.members, e.name, byName)
	if ok {
		p.members = slices.Delete(p.members, at, at+1)
	}
	p.dirty = true
	if len(p.members) == 0 {
		delete(b.pools, e.spec.Pool)
		b.builtPools = maps.Clone(b.builtPools) // snapshots share the old one
		delete(b.builtPools, e.spec.Pool)
	}
}

func (b *Board) addToPool(e *entry) {
	p := b.pools[e.spec.Pool]
	if p == nil {
		p = &poolState{}
		b.pools[e.spec.Pool] = p
	}
	p.dirty = true
	at, _ := slices.BinarySearchFunc(p.members, e.name, byName)
	p.members = slices.Insert(p.members, at, e)
}

func byName(e *entry, name string) int { return cmp.Compare(e.name, name) }
