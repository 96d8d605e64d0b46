package board

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// changedOnly returns the upstreams in which a version differs from the one in force, when
// the version tells them and nothing else that entries are made of differs.
func (b *Board) changedOnly(old, v *bundle.Version) ([]string, bool) {
	if old == nil || v.Changes == nil || v.Changes.Since != old.Number {
		return nil, false
	}
	return v.Changes.Upstreams, samePolicy(old.Bundle, v.Bundle)
}

// change puts a version in force that differs in few upstreams. The pools of the others
// are neither sorted nor built anew.
//
// Load pattern: registrations that come one by one, each with a version of its own, at a
// start or while upstreams are replaced in turn. With everything built anew for each, 295
// daemons did little else in their first seconds.
func (b *Board) change(now time.Time, v *bundle.Version, changed []string) {
	names := b.names
	for _, name := range changed {
		before := b.entries[name]
		if before != nil {
			b.leavePool(before)
			delete(b.entries, name)
		}
		if up, ok := v.Bundle.Upstreams[name]; ok {
			e := b.changedEntry(now, name, up, v, before)
			b.entries[name] = e
			b.joinPool(e)
		}
		if at, known := slices.BinarySearch(names, name); known != (b.entries[name] != nil) {
			names = withName(names, at, name, !known)
		}
	}
	if !slices.Equal(names, b.names) {
		b.setNames(names, v.Number)
		b.prefix = b.prefix.keep(b.entries)
	}
}

// changedEntry is entryFor of an upstream whose entry was taken out of the board.
func (b *Board) changedEntry(now time.Time, name string, up bundle.Upstream, v *bundle.Version, before *entry) *entry {
	if before != nil {
		b.entries[name] = before
	}
	return b.entryFor(now, name, up, v)
}

// withName returns a copy of sorted names with one more, or without one.
func withName(names []string, at int, name string, more bool) []string {
	if more {
		return slices.Insert(slices.Clone(names), at, name)
	}
	return slices.Delete(slices.Clone(names), at, at+1)
}

func (b *Board) leavePool(e *entry) {
	p := b.pools[e.spec.Pool]
	at, ok := slices.BinarySearchFunc(p.members, e.name, byName)
	if ok {
		p.members = slices.Delete(p.members, at, at+1)
	}
	p.dirty = true
	if len(p.members) == 0 {
		delete(b.pools, e.spec.Pool)
		delete(b.built, e.spec.Pool)
	}
}

func (b *Board) joinPool(e *entry) {
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
