package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

func TestPickService(t *testing.T) {
	rows := []struct {
		rule  string
		setup func(*testFleet, *Query)
		kind  errkind.Kind
		want  string
	}{
		{"own data centre first", func(f *testFleet, _ *Query) {}, "", "s0"},
		{"the emptier of two", func(f *testFleet, _ *Query) {
			f.moveToOneDataCentre()
			f.updatePool("s", func(r *Replica) { r.Active = 9 })
			f.replica("s1").Active = 2
			f.replica("s2").Active = 20
		}, "", "s1"},
		{"own calls count", func(f *testFleet, q *Query) {
			f.moveToOneDataCentre()
			f.replica("s0").Active = 20
			f.inflight.requests = map[string]int{"s1": 3}
		}, "", "s2"},
		{"another data centre when full", func(f *testFleet, q *Query) { f.replica("s0").Active = 20; q.Exclude = []string{"s1"} }, "", "s2"},
		{"full", func(f *testFleet, _ *Query) { f.updatePool("s", func(r *Replica) { r.Queued = 20 }) }, errkind.Overloaded, ""},
		{"all excluded", func(_ *testFleet, q *Query) { q.Exclude = []string{"s0", "s1", "s2"} }, errkind.NoUpstream, ""},
		{"unknown service", func(f *testFleet, _ *Query) { delete(f.bundle.Services, "s") }, errkind.UnknownModel, ""},
		{"bound of a team", func(f *testFleet, _ *Query) {
			f.bundle.Teams["a"] = bundle.Team{MaxInFlight: 1}
			f.inflight.teams = map[string]int{"a": 1}
		}, errkind.TeamLimit, ""},
		{"a retry is let in already", func(f *testFleet, q *Query) {
			f.bundle.Teams["a"] = bundle.Team{MaxInFlight: 1}
			f.inflight.teams = map[string]int{"a": 1}
			f.moveToOneDataCentre()
			f.replica("s0").Active = 20
			f.replica("s1").Active = 20
			q.Attempt = 2
		}, "", "s2"},
	}
	for _, row := range rows {
		t.Run(row.rule, func(t *testing.T) {
			for seed := range uint64(30) {
				f, q := newFleet(3), query(bundle.Urgent)
				row.setup(f, &q)
				p, err := reserve{}.PickService(f.snapshot(), f.inflight, "s", q, seededRand(seed))
				if p.Replica.Name != row.want || (err == nil) != (row.kind == "") || (err != nil && err.Kind != row.kind) {
					t.Fatalf("seed %d: got %q, %v", seed, p.Replica.Name, err)
				}
			}
		})
	}
}

func TestRoundRobinRotates(t *testing.T) {
	f, rr, seen := newFleet(4), &roundRobin{}, map[string]int{}
	s := f.snapshot()
	for range 8 {
		p, err := rr.PickService(s, f.inflight, "s", query(bundle.Draft), rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		seen[p.Replica.Name]++
	}
	if d := cmp.Diff(map[string]int{"s0": 2, "s1": 2, "s2": 2, "s3": 2}, seen); d != "" {
		t.Error(d)
	}
}

func TestLeastLoadedPicksLowestLoad(t *testing.T) {
	f := newFleet(5)
	f.fillDecode(4)
	f.replica("d3").Active = 1
	f.replica("d4").Active = 0
	f.inflight.requests = map[string]int{"d4": 3}
	for seed := range uint64(20) {
		if p, err := f.plan(NameLeastLoaded, query(bundle.Draft), seed); err != nil || p.Decode.Name != "d3" {
			t.Fatalf("got %s, %v", p.Decode.Name, err)
		}
	}
}
