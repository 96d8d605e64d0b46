package fleet

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// localSubset and remoteSubset are the least numbers of upstreams in use of a large group
	// in this daemon's data centre and in another one. Requests go to other data centres only
	// if the own one cannot take them.
	localSubset  = 128
	remoteSubset = 32
	// splitThreshold is the ratio of the upstreams in use to the least number at which a
	// group's subset is halved. It is above 2, so that a group whose size varies a little
	// keeps its subset.
	splitThreshold = 2.5
	// maxVersionGroups is the number of software versions, of the upstreams with one service, role
	// and data centre, that have groups of their own. All further versions share one group.
	maxVersionGroups = 8
)

// subset selects the upstreams that this daemon may send requests to: all upstreams of a
// small group, and a stable random part of a large one. A group consists of the upstreams
// with one service, role, data centre and software version.
//
// Load pattern: a thousand daemons with a few requests a minute each before ten thousand
// upstreams, some of which register, drain or end every second. If each daemon tracked all
// of them, its memory and the work for a change would grow with the fleet, while the
// requests that it sends reach only a small part of the upstreams.
//
// An upstream is selected if a hash of the daemon and the upstream begins with as many zero
// bits as the level of its group. The selection therefore does not depend on the other
// upstreams unless the level changes, and each upstream of a group is in about as many
// daemons' subsets. During an upgrade, the last upstreams of a version are thus in the subsets of
// all daemons, any of which may get a stream that must go on there.
type subset struct {
	instance, dataCentre string
	groups               map[groupKey]*group
	// versions holds the versions of the upstreams in the groups, by the key without a version.
	versions map[groupKey]map[string]*versionGroup
	digest   *xxhash.Digest
}

// groupKey identifies a group. version is empty for the group of further versions.
type groupKey struct {
	service    string
	role       Role
	dataCentre string
	version    string
}

// versionGroup tells whether a version has a group of its own, and counts its upstreams.
type versionGroup struct {
	own  bool
	size int
}

// group is the state of one group.
type group struct {
	// size is the number of registered upstreams that are not draining.
	size int
	// level is the number of times that the group is halved to get its subset.
	level uint
}

// newSubset returns the subset of a daemon with the given instance name and data centre.
func newSubset(instance, dataCentre string) *subset {
	return &subset{instance: instance, dataCentre: dataCentre, groups: map[groupKey]*group{}, versions: map[groupKey]map[string]*versionGroup{}, digest: xxhash.New()}
}

// keyOf returns the key of an upstream's group.
func (s *subset) keyOf(reg *Registration) groupKey {
	key := groupKey{service: reg.Service, role: reg.Role, dataCentre: reg.DataCentre}
	if v := s.versions[key][reg.Version]; v == nil || v.own {
		key.version = reg.Version
	}
	return key
}

// countVersion adds delta to the upstreams of a version. A version keeps its group while it has
// any.
func (s *subset) countVersion(reg *Registration, delta int) {
	key := groupKey{service: reg.Service, role: reg.Role, dataCentre: reg.DataCentre}
	versions := s.versions[key]
	if versions == nil {
		versions = map[string]*versionGroup{}
		s.versions[key] = versions
	}
	v := versions[reg.Version]
	if v == nil {
		v = &versionGroup{own: len(versions) < maxVersionGroups}
		versions[reg.Version] = v
	}
	if v.size += delta; v.size == 0 {
		delete(versions, reg.Version)
	}
}

// add counts a registered upstream.
func (s *subset) add(reg *Registration) { s.count(reg, 1) }

// remove reverts add.
func (s *subset) remove(reg *Registration) { s.count(reg, -1) }

// count adds delta to the size of an upstream's group, unless the upstream is draining.
func (s *subset) count(reg *Registration, delta int) {
	if reg.Draining {
		return
	}
	if delta > 0 {
		s.countVersion(reg, delta)
	}
	key := s.keyOf(reg)
	g := s.groups[key]
	if g == nil {
		g = &group{}
		s.groups[key] = g
	}
	if g.size += delta; g.size == 0 {
		delete(s.groups, key)
	}
	if delta < 0 {
		s.countVersion(reg, delta)
	}
}

// updateLevels adapts the levels to the sizes of the groups and returns the keys of the
// groups whose level has changed.
func (s *subset) updateLevels() map[groupKey]bool {
	changed := map[groupKey]bool{}
	for key, g := range s.groups {
		least := remoteSubset
		if key.dataCentre == s.dataCentre {
			least = localSubset
		}
		if g.updateLevel(least) {
			changed[key] = true
		}
	}
	return changed
}

// updateLevel adapts the level to the size and reports whether it has changed.
func (g *group) updateLevel(least int) bool {
	old := g.level
	for float64(g.size>>g.level) >= splitThreshold*float64(least) {
		g.level++
	}
	for g.level > 0 && g.size>>g.level < least {
		g.level--
	}
	return g.level != old
}

// selects reports whether an upstream is in the subset.
func (s *subset) selects(reg *Registration) bool {
	g := s.groups[s.keyOf(reg)]
	if g == nil || g.level == 0 {
		return true
	}
	const hashBits = 64
	return s.hash(reg.Name)>>(hashBits-g.level) == 0
}

// hash returns a hash of this daemon and an upstream.
func (s *subset) hash(upstream string) uint64 {
	s.digest.Reset()
	_, _ = s.digest.WriteString(s.instance + "/") // never fails
	_, _ = s.digest.WriteString(upstream)
	return s.digest.Sum64()
}
