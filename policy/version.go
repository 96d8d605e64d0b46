package policy

import (
	"slices"
	"time"
)

// OfVersion returns the members of the pool whose software has a version, and the pool itself if
// version is empty. It returns nil if there are no such members, ejected ones included.
//
// Load pattern: an upgrade, in which a few upstreams of a version are left among many others. A
// sample of the whole pool would mostly contain none of them.
func (p *Pool) OfVersion(version string) *Pool {
	switch {
	case p == nil, version == "":
		return p
	case p.versions != nil:
		return p.versions[version]
	case p.version == version:
		return p
	}
	return nil
}

// splitByVersion builds the pools of the single versions if the replicas have several.
func (p *Pool) splitByVersion(replicas []*Replica, at time.Time) {
	if len(replicas) == 0 {
		return
	}
	p.version = replicas[0].Version
	if !slices.ContainsFunc(replicas, func(r *Replica) bool { return r.Version != p.version }) {
		return
	}
	lists := map[string][]*Replica{}
	for _, r := range replicas {
		lists[r.Version] = append(lists[r.Version], r)
	}
	p.versions = make(map[string]*Pool, len(lists))
	for version, list := range lists {
		p.versions[version] = NewPool(list, at, p.headroom)
	}
}

// fewEngines is the number of engines of a version up to which requests that begin streams leave room
// there.
const fewEngines = 3

// mixed reports whether the members have several versions.
func (p *Pool) mixed() bool { return len(p.versions) > 0 }

// roomToLeave returns how many slots of a member are left for streams that must go on at its version.
// If one of n engines of a version ends, its streams fit in an n-th of the slots of all.
//
// Load pattern: an upgrade whose last engines of a version get all streams that began there, while
// requests that begin streams fill every engine alike.
func (p *Pool) roomToLeave(r *Replica) int {
	n := p.versions[r.Version].Len()
	if n == 0 || n > fewEngines || r.Slots <= 0 {
		return 0
	}
	return r.Slots / max(n, 2)
}
