package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// plays are the runs of CI: a short one, and each that ever broke a promise, with a
// line on its cause. The schedule follows from the seed, the length and the daemons.
var plays = []Options{
	{Seed: 1, Length: 4 * time.Second, Daemons: 2, Callers: 6},
	// SIGHUP ended a process that had just begun and was not set up for it yet.
	{Seed: 101, Length: 8 * time.Second, Daemons: 3, Callers: 6},
	// Each life had its whole part of the retries again, and all were killed while the
	// engines refused.
	{Seed: 2, Length: 8 * time.Second, Daemons: 3, Callers: 24, Herd: true},
	// What a daemon learned of a request that ends upstreams ended with the attempt, the life
	// and the daemon.
	{Seed: 700, Length: 12 * time.Second, Daemons: 3, Callers: 12, Fatal: true},
	// Upstreams that name limits while daemons are killed, stand still and start again.
	{Seed: 1000, Length: 12 * time.Second, Daemons: 3, Callers: 16, Limits: true},
	// A limit of all daemons through kills, freezes and restarts, and keys that come and go.
	{Seed: 900, Length: 6 * time.Second, Daemons: 3, Callers: 16, Teams: true},
}

// Symptom: a promise broken by faults that no single test combines.
// Sequence: the schedule of the seed: signals, harmed connections, upstreams and a store
// that misbehave, overlapping.
// Cause: stands beside the seed.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "corianderturn")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/corianderturn").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, o := range plays {
		dir, seed := t.TempDir(), o.Seed
		o.Bin, o.Dir = bin, dir
		r, err := Run(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		if r.Whole == 0 {
			t.Errorf("seed %d: nobody was served", seed)
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if t.Failed() {
			logDaemons(t, dir)
			t.Fatalf("schedule: %q", r.Schedule)
		}
	}
}

// logDaemons shows the end of each daemon's log.
func logDaemons(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Log(err)
			continue
		}
		const most = 4000
		t.Logf("%s: ...%s", filepath.Base(name), text[max(0, len(text)-most):])
	}
}

func TestSameSeedSameSchedule(t *testing.T) {
	for name, draw := range map[string]func(uint64, time.Duration, int, int) []fault{"schedule": schedule, "herd": herd, "limits": limitSeries} {
		a, b := draw(7, time.Minute, 3, 7), draw(7, time.Minute, 3, 7)
		if diff := cmp.Diff(a, b, cmp.AllowUnexported(fault{})); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if other := draw(8, time.Minute, 3, 7); len(other) == 0 || cmp.Equal(a, other, cmp.AllowUnexported(fault{})) {
			t.Errorf("%s: another seed gives the same", name)
		}
	}
}
