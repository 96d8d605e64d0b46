package board

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

var t0 = time.Unix(1_800_000_000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

// version returns bundle version n with serving upstreams of pool "d", changed by
// edit.
func version(n uint64, names string, edit func(map[string]bundle.Upstream)) *bundle.Version {
	ups := map[string]bundle.Upstream{}
	for _, r := range names {
		ups[string(r)] = bundle.Upstream{Pool: "d", DataCentre: "dc0", Address: "127.0.0.1:" + string(r), State: bundle.StateServing}
	}
	if edit != nil {
		edit(ups)
	}
	return &bundle.Version{Number: n, Bundle: &bundle.Bundle{
		Upstreams: ups,
		Pools:     map[string]bundle.Pool{"d": {Role: bundle.RoleDecode, Slots: 20}},
	}}
}

// newBoard returns a board with version 1 over the named upstreams, no report lag.
func newBoard(names string) *Board {
	b := New(Config{ReportLag: time.Nanosecond})
	b.SetVersion(t0, version(1, names, nil))
	return b
}

// find returns the replica a snapshot offers for new work, or nil.
func find(s *policy.Snapshot, name string) *policy.Replica {
	for _, r := range s.Pool("d").Replicas() {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// offered returns the names a snapshot offers, in order.
func offered(b *Board, now time.Time) string {
	out := ""
	for _, r := range b.Snapshot(now).Pool("d").Replicas() {
		out += r.Name
	}
	return out
}

func load(incarnation, seq uint64, active int) engineapi.Load {
	return engineapi.Load{Incarnation: incarnation, Seq: seq, Slots: 20, Active: active, StepMS: 30}
}

func TestNewestReportWins(t *testing.T) {
	steps := []struct {
		name string
		l    engineapi.Load
		at   time.Duration
		age  time.Duration
		want int
	}{
		{"first", load(1, 5, 3), time.Second, 0, 3},
		{"older sequence", load(1, 4, 9), 2 * time.Second, 0, 3},
		{"told again", load(1, 5, 3), 3 * time.Second, 0, 3},
		{"newer", load(1, 6, 4), 4 * time.Second, 0, 4},
		{"new life starts over", load(2, 1, 0), 5 * time.Second, 0, 0},
		{"late report of the former life", load(1, 9, 15), 6 * time.Second, 0, 0},
		{"newer sequence but truly older", load(2, 2, 7), 7 * time.Second, 3 * time.Second, 0},
	}
	b := newBoard("a")
	for _, s := range steps {
		b.Report(after(s.at), "a", s.l, s.age)
		if got := find(b.Snapshot(after(s.at)), "a").Active; got != s.want {
			t.Errorf("%s: active %d, want %d", s.name, got, s.want)
		}
	}
	if got := b.Upstreams(after(6 * time.Second))[0]; got.LoadSource != LoadFromUpstream || got.LoadAge.Round(time.Millisecond) != time.Second || got.Health != HealthReturning {
		t.Errorf("%+v", got)
	}
	if got := find(b.Snapshot(after(time.Minute)), "a").LoadAt; got.Sub(after(5*time.Second)).Abs() > time.Millisecond {
		t.Errorf("load is of %v", got)
	}
}

// Symptom: an engine that was started again is left alone, or is believed to hold prompts
// that it has lost.
// Sequence: it fails, is ejected, and registers again under its name and address, as
// another life.
// Cause: what was known of a name was taken for that of its present life.
func TestAnotherLifeOfANameIsUnknown(t *testing.T) {
	version := func(number uint64, life int64) *bundle.Version {
		return &bundle.Version{Number: number, Bundle: &bundle.Bundle{
			Models: map[string]bundle.Model{"m": {DecodePool: "d"}},
			Pools:  map[string]bundle.Pool{"d": {Role: bundle.RoleDecode, Slots: 12}},
			Upstreams: map[string]bundle.Upstream{
				"d0": {Pool: "d", Address: "10.0.0.1:80", State: bundle.StateServing, Life: life},
			},
		}}
	}
	b := New(Config{})
	b.SetVersion(t0, version(1, 1000))
	for range 3 {
		b.Failed(t0, "d0")
	}
	b.SetVersion(t0, version(2, 1000))
	if n := b.Snapshot(t0).Pool("d").Len(); n != 0 {
		t.Fatalf("%d engines after three failures", n)
	}
	b.SetVersion(t0, version(3, 2000))
	if n := b.Snapshot(t0).Pool("d").Len(); n != 1 {
		t.Errorf("%d engines after the restart", n)
	}
}
