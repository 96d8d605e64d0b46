package policy

import (
	"testing"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// Guards against an answer that goes on at another software version than the one that began it.
func TestPlanKeepsTheVersion(t *testing.T) {
	for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
		for seed := range uint64(50) {
			f := newFleet(40)
			f.updatePool("d", func(r *Replica) { r.Version = "v2" })
			f.updatePool("p", func(r *Replica) { r.Version = "v2" })
			for _, left := range []string{"d7", "p31"} {
				f.replica(left).Version = "v1"
			}
			q := query(bundle.Draft)
			q.Version = "v1"
			plan, err := f.plan(name, q, seed)
			if err != nil || plan.Decode.Name != "d7" || plan.Prefill.Name != "p31" {
				t.Fatalf("%s: %v, plan %s after %s", name, err, plan.Decode.Name, plan.Prefill.Name)
			}
			q.Version = "v3"
			if _, err := f.plan(name, q, seed); err == nil || err.Kind != errkind.VersionUnavailable {
				t.Fatalf("%s: version without upstreams: %v", name, err)
			}
		}
	}
}

// Guards against a KV cache of one software version that is given to a decode engine of another.
func TestPromptIsReadAtTheVersionThatDecodes(t *testing.T) {
	for _, name := range []string{NameReserve, NameRoundRobin, NameLeastLoaded} {
		for seed := range uint64(50) {
			f := newFleet(20)
			for i, r := range f.replicas {
				f.replicas[i].Version = []string{"v1", "v2"}[(i+len(r.Pool))%2]
			}
			plan, err := f.plan(name, query(bundle.Draft), seed)
			if err != nil || plan.Prefill.Version != plan.Decode.Version {
				t.Fatalf("%s: %v, prefill at %s, decode at %s", name, err, plan.Prefill.Version, plan.Decode.Version)
			}
		}
	}
	f := newFleet(4)
	f.bundle.Models["m"] = bundle.Model{PrefillPool: "p", DecodePool: "d", DecodePrefills: true}
	f.updatePool("d", func(r *Replica) { r.Version = "v1" })
	f.updatePool("p", func(r *Replica) { r.Version = "v2" })
	if plan, err := f.plan(NameReserve, query(bundle.Draft), 1); err != nil || !plan.SkipPrefill {
		t.Errorf("no prefill engine of the version: %v, %+v", err, plan)
	}
}

// Guards against new streams that fill the last engines of a version, so that its own streams find no
// room when one of them ends.
func TestNewStreamsLeaveRoomAtTheLastEnginesOfAVersion(t *testing.T) {
	f := newFleet(14)
	f.moveToOneDataCentre()
	f.bundle.Policy.UrgentHeadroom = 0
	f.updatePool("d", func(r *Replica) { r.Version = "v2"; r.Active = 16 })
	f.updatePool("p", func(r *Replica) { r.Version = "v2" })
	for _, left := range []string{"d0", "d1"} {
		f.replica(left).Version, f.replica(left).Active = "v1", 10
	}
	begins, goesOn := query(bundle.Draft), query(bundle.Draft)
	goesOn.Version = "v1"
	f.bundle.Models["m"] = bundle.Model{PrefillPool: "p", DecodePool: "d", DecodePrefills: true}
	for seed := range uint64(50) {
		if plan, err := f.plan(NameReserve, begins, seed); err != nil || plan.Decode.Version != "v2" {
			t.Fatalf("a new stream: %v, %s", err, plan.Decode.Name)
		}
		if plan, err := f.plan(NameReserve, goesOn, seed); err != nil || plan.Decode.Version != "v1" {
			t.Fatalf("a stream of v1: %v, %s", err, plan.Decode.Name)
		}
	}
	f.updatePool("d", func(r *Replica) {
		if r.Version == "v2" {
			r.Active = 20
		}
	})
	if plan, err := f.plan(NameReserve, begins, 1); err != nil || plan.Decode.Version != "v1" {
		t.Errorf("a new stream while all others are full: %v, %s", err, plan.Decode.Name)
	}
}
