package board

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

// Guards against two errors in the choice between an engine's own token interval and
// that of its model. If each engine used only its own, small differences in load would
// send most requests to one idle engine; if each used only the model's, a slow engine
// would get as many requests as the others. Here one engine is three times as slow as
// the rest.
func TestStepEstimateIsTheModelsExceptForOutliers(t *testing.T) {
	const ms = time.Millisecond
	b := New(Config{})
	v := version(1, "abc", nil)
	v.Bundle.Models = map[string]bundle.Model{"m": {DecodePool: "d"}}
	b.SetVersion(t0, v)
	step := func(name string) (time.Duration, bool) {
		r := findReplica(b.Snapshot(after(time.Second)), name)
		return r.Step, r.StepMeasured
	}
	if got, seen := step("a"); got != 0 || seen {
		t.Errorf("step before any answer: %v, seen %v", got, seen)
	}
	for range 20 {
		b.RecordTokenInterval(t0, "a", 10*ms)
		b.RecordTokenInterval(t0, "b", 11*ms)
	}
	a, seen := step("a")
	if c, _ := step("c"); c < a*95/100 || c > a*105/100 || !seen || a < 10*ms || a > 11*ms {
		t.Errorf("step of a: %v; of c, which has no samples: %v; seen %v", a, c, seen)
	}
	for range 4 {
		b.RecordTokenInterval(t0, "c", 30*ms)
	}
	if c, _ := step("c"); c < 29*ms || c > 31*ms {
		t.Errorf("step of c, which is three times as slow: %v", c)
	}
	if a, _ := step("a"); a > 12*ms {
		t.Errorf("step of a with one slow engine in the pool: %v", a)
	}
	if r := findReplica(b.Snapshot(after(time.Minute)), "a"); r.StepMeasured {
		t.Error("an expired estimate still counts as measured")
	}
}

// Guards against rebuilding the replicas of all engines for every answer. With 12,000
// engines an answer ends every few milliseconds, nearly always with the same token
// interval, and a daemon would be busy with nothing else.
func TestInsignificantChangeRebuildsNoOtherReplicas(t *testing.T) {
	b := New(Config{})
	v := version(1, "ab", nil)
	v.Bundle.Models = map[string]bundle.Model{"m": {DecodePool: "d"}}
	b.SetVersion(t0, v)
	for range 10 {
		b.RecordTokenInterval(t0, "a", 10*time.Millisecond)
	}
	before := findReplica(b.Snapshot(t0), "b")
	b.RecordTokenInterval(t0, "a", 10*time.Millisecond+100*time.Microsecond)
	if findReplica(b.Snapshot(t0), "b") != before {
		t.Error("the replica of b was rebuilt after an insignificant change")
	}
	for range 60 {
		b.RecordTokenInterval(t0, "a", 14*time.Millisecond)
	}
	if got := findReplica(b.Snapshot(t0), "b").Step; got < 13*time.Millisecond {
		t.Errorf("the step of b is still %v", got)
	}
}
