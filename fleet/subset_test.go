package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// engines returns n decode engines of a data centre.
func engines(dataCentre string, n int) []*Registration {
	out := make([]*Registration, n)
	for i := range out {
		name := fmt.Sprintf("engine-%s-%d", dataCentre, i)
		out[i] = &Registration{Name: name, Service: "llm", Address: name + ":1", DataCentre: dataCentre, Role: RoleDecode}
	}
	return out
}

// newEngineRegistry returns a registry of a daemon in dc1 with the given engines.
func newEngineRegistry(instance string, list []*Registration) *Registry {
	r := NewRegistry(instance, "dc1", testLease)
	_, _ = r.SetConfig(testConfig(3))
	for _, reg := range list {
		r.Put(reg)
	}
	return r
}

// Guards against a daemon whose state and work for each change grow with the fleet.
func TestViewIsBounded(t *testing.T) {
	for _, dataCentre := range []string{"dc1", "dc2"} {
		least := remoteSubset
		if dataCentre == "dc1" {
			least = localSubset
		}
		for _, n := range []int{1000, 2000, 4000, 8000} {
			got := float64(len(servingUpstreams(t, newEngineRegistry("daemon", engines(dataCentre, n)))))
			spread := 4 * math.Sqrt(float64(least)) // of a random selection
			if got < float64(least)-spread || got > splitThreshold*float64(least)+spread {
				t.Errorf("%s: %v of %d upstreams in the view, least %d", dataCentre, got, n, least)
			}
		}
	}
}

// Guards against small services of which a daemon uses only a part.
func TestSmallGroupsAreWhole(t *testing.T) {
	list := append(engines("dc1", splitThreshold*localSubset-1), engines("dc2", splitThreshold*remoteSubset-1)...)
	if got := servingUpstreams(t, newEngineRegistry("daemon", list)); len(got) != len(list) {
		t.Errorf("%d of %d upstreams in the view", len(got), len(list))
	}
}

// Guards against upstreams that few daemons use while others get all the load.
func TestSubsetsCoverUpstreamsEvenly(t *testing.T) {
	const daemons = 200
	list, uses := engines("dc1", 1250), map[string]int{}
	for i := range daemons {
		for name := range servingUpstreams(t, newEngineRegistry(fmt.Sprintf("front-%d", i), list)) {
			uses[name]++
		}
	}
	mean := daemons / 4.0 // the group is halved twice
	for _, reg := range list {
		if got := float64(uses[reg.Name]); math.Abs(got-mean) > 5*math.Sqrt(mean) {
			t.Errorf("%s is in %v subsets, mean %v", reg.Name, got, mean)
		}
	}
}

// Guards against a subset that changes whenever an upstream comes or goes, which costs caches,
// loads and connections, and against one that stays small when most of its group drains.
func TestSubsetIsStableAndWidens(t *testing.T) {
	list := engines("dc1", 2000)
	r := newEngineRegistry("daemon", list[:1900])
	before := servingUpstreams(t, r)
	for _, reg := range list[1900:] {
		r.Put(reg)
	}
	after := servingUpstreams(t, r)
	for name := range before {
		if !after[name] {
			t.Errorf("%s left the subset when others came", name)
		}
	}
	for _, reg := range list[localSubset:] {
		draining := *reg
		draining.Draining = true
		r.Put(&draining)
	}
	if got := len(servingUpstreams(t, r)); got != localSubset {
		t.Errorf("%d of %d upstreams in the view after the others drained", got, localSubset)
	}
}

// Guards against a new view, and work for it in every daemon, for each change of the fleet.
func TestChangesOutsideSubsetMakeNoView(t *testing.T) {
	list := engines("dc2", 4000)
	r := newEngineRegistry("daemon", list)
	selected := servingUpstreams(t, r)
	views := 0
	for _, reg := range list {
		changed := *reg
		changed.Address += "0"
		r.Put(&changed)
		v, ok := r.View()
		if !ok {
			continue
		}
		views++
		if got := v.Bundle.Changes.Upstreams; len(got) != 1 || !selected[got[0]] {
			t.Fatalf("changes %v", got)
		}
	}
	if views != len(selected) {
		t.Errorf("%d views for %d changes, of which %d are in the subset", views, len(list), len(selected))
	}
}

// Guards against upstreams that the view misses or keeps when the size of a group changes.
func TestIncrementalViewFollowsSubset(t *testing.T) {
	list := engines("dc1", 1400)
	r := newEngineRegistry("daemon", list[:10])
	r.View()
	check := func(step string) {
		t.Helper()
		r.View()
		got := r.lastView.Bundle.Bundle
		if d := cmp.Diff(r.fullView().Bundle.Bundle, got); d != "" {
			t.Fatalf("%s: %s", step, d)
		}
	}
	for i, reg := range list {
		r.Put(reg)
		if i%50 == 0 {
			check(fmt.Sprintf("%d upstreams", i))
		}
	}
	for i := 0; i < len(list); i += 50 {
		var names []string
		for _, reg := range list[i : i+50] {
			names = append(names, reg.Name)
		}
		r.HandleMissing(t0, names, false)
		r.Expire(t0.Add(time.Hour))
		check(fmt.Sprintf("without the first %d", i+50))
	}
}

// Guards against a version whose last upstreams most daemons do not use, so that its streams cannot
// go on there.
func TestLastUpstreamsOfAVersionAreInUse(t *testing.T) {
	list := engines("dc1", 4000)
	list[17].Version, list[3100].Version = "v1", "v1"
	for daemon := range 20 {
		got := servingUpstreams(t, newEngineRegistry(fmt.Sprint("daemon", daemon), list))
		for _, name := range []string{list[17].Name, list[3100].Name} {
			if !got[name] {
				t.Fatalf("daemon %d does not use %s", daemon, name)
			}
		}
	}
}

// Guards against a view that grows with the versions that upstreams claim to have.
func TestManyVersionsAreBounded(t *testing.T) {
	list := engines("dc1", 8000)
	for i, reg := range list {
		reg.Version = fmt.Sprint("v", i%2000)
	}
	r := newEngineRegistry("daemon", list)
	if got := len(servingUpstreams(t, r)); got > 4*localSubset {
		t.Errorf("%d upstreams in the view", got)
	}
	for _, reg := range list {
		r.remove(reg)
	}
	if len(r.subset.groups) > 0 || len(r.subset.versions[groupKey{service: "llm", role: RoleDecode, dataCentre: "dc1"}]) > 0 {
		t.Errorf("%d groups are left", len(r.subset.groups))
	}
}
