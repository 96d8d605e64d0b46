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

// version returns bundle version n, in which each letter of names is a serving upstream
// of pool "d". If edit is set, it changes the upstreams before use.
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

// newBoard returns a board at version 1 with the named upstreams and almost no
// ReportLag (zero would mean the default).
func newBoard(names string) *Board {
	b := New(Config{ReportLag: time.Nanosecond})
	b.SetVersion(t0, version(1, names, nil))
	return b
}

// findReplica returns the named replica if the snapshot lists it in pool "d", else nil.
func findReplica(s *policy.Snapshot, name string) *policy.Replica {
	for _, r := range s.Pool("d").Replicas() {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// listedNames returns the concatenated names of the replicas that a snapshot lists in
// pool "d".
func listedNames(b *Board, now time.Time) string {
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
		{"repeated", load(1, 5, 3), 3 * time.Second, 0, 3},
		{"newer", load(1, 6, 4), 4 * time.Second, 0, 4},
		{"restarted, sequence starts over", load(2, 1, 0), 5 * time.Second, 0, 0},
		{"late report of the previous incarnation", load(1, 9, 15), 6 * time.Second, 0, 0},
		{"newer sequence but older load", load(2, 2, 7), 7 * time.Second, 3 * time.Second, 0},
	}
	b := newBoard("a")
	for _, s := range steps {
		b.ApplyReport(after(s.at), "a", s.l, s.age)
		if got := findReplica(b.Snapshot(after(s.at)), "a").Active; got != s.want {
			t.Errorf("%s: active %d, want %d", s.name, got, s.want)
		}
	}
	if got := b.Statuses(after(6 * time.Second))[0]; got.LoadSource != LoadFromUpstream || got.LoadAge.Round(time.Millisecond) != time.Second || got.Health != HealthSlowStart {
		t.Errorf("%+v", got)
	}
	if got := findReplica(b.Snapshot(after(time.Minute)), "a").LoadAt; got.Sub(after(5*time.Second)).Abs() > time.Millisecond {
		t.Errorf("load is from %v, want 5s after t0", got)
	}
}

// Guards against applying the state of an upstream's previous process to its restarted
// one: the restarted engine would stay ejected, or be credited with prompts that it no
// longer has in its cache. It happens when an engine fails, is ejected, and registers
// again under the same name and address.
func TestRestartClearsState(t *testing.T) {
	version := func(number uint64, life int64) *bundle.Version {
		return &bundle.Version{Number: number, Bundle: &bundle.Bundle{
			Models: map[string]bundle.Model{"m": {DecodePool: "d"}},
			Pools:  map[string]bundle.Pool{"d": {Role: bundle.RoleDecode, Slots: 12}},
			Upstreams: map[string]bundle.Upstream{
				"d0": {Pool: "d", Address: "10.0.0.1:80", State: bundle.StateServing, Incarnation: life},
			},
		}}
	}
	b := New(Config{})
	b.SetVersion(t0, version(1, 1000))
	for range 3 {
		b.RecordFailure(t0, "d0")
	}
	b.SetVersion(t0, version(2, 1000))
	if n := b.Snapshot(t0).Pool("d").Len(); n != 0 {
		t.Fatalf("%d engines listed after three failures, want 0", n)
	}
	b.SetVersion(t0, version(3, 2000))
	if n := b.Snapshot(t0).Pool("d").Len(); n != 1 {
		t.Errorf("%d engines listed after the restart, want 1", n)
	}
}

// Guards against prompts that count as cached at an engine which has started again at another
// software version.
func TestAnotherVersionClearsState(t *testing.T) {
	version := func(number uint64, software string) *bundle.Version {
		return &bundle.Version{Number: number, Bundle: &bundle.Bundle{
			Models:    map[string]bundle.Model{"m": {DecodePool: "d"}},
			Pools:     map[string]bundle.Pool{"d": {Role: bundle.RoleDecode, Slots: 12}},
			Upstreams: map[string]bundle.Upstream{"d0": {Pool: "d", Address: "10.0.0.1:80", State: bundle.StateServing, Version: software}},
		}}
	}
	b := New(Config{})
	b.SetVersion(t0, version(1, "v1"))
	for range 3 {
		b.RecordFailure(t0, "d0")
	}
	b.SetVersion(t0, version(2, "v2"))
	if n := b.Snapshot(t0).Pool("d").Len(); n != 1 {
		t.Errorf("%d engines listed after the restart at another version, want 1", n)
	}
}
