package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// ciRuns are the runs for CI: a short one, regression tests for faults that soak runs have
// found, and one for each of RateLimits and Teams. Seed, FaultDuration and Daemons determine the
// schedule.
var ciRuns = []Options{
	// Guards against answers that are cut because sound upstreams are silent, besides other faults.
	{Seed: 7, FaultDuration: 4 * time.Second, Daemons: 2, Callers: 12, Silences: true},
	// Guards against a SIGHUP that ends a starting process because it has not installed its
	// signal handler yet.
	{Seed: 101, FaultDuration: 8 * time.Second, Daemons: 3, Callers: 6},
	// Guards against exceeding the retry budget: each restarted daemon had its full share of the
	// budget again, while all daemons were killed repeatedly and the engines rejected requests.
	{Seed: 2, FaultDuration: 8 * time.Second, Daemons: 3, Callers: 24, CorrelatedFaults: true},
	// Guards against forgetting the crashes that a fatal request has caused: a daemon recorded
	// them only for one attempt, lost them at a restart and did not share them with others.
	{Seed: 700, FaultDuration: 12 * time.Second, Daemons: 3, Callers: 12, FatalRequests: true},
	// Upstreams report rate limits while daemons are killed, paused and restarted.
	{Seed: 1000, FaultDuration: 12 * time.Second, Daemons: 3, Callers: 16, RateLimits: true},
	// A team's quota is shared by all daemons while they are killed, paused and restarted, and
	// keys of teams are added and removed.
	{Seed: 900, FaultDuration: 6 * time.Second, Daemons: 3, Callers: 16, Teams: true},
	// Daemons lose their links to the upstreams, some or all at once, and carry connections for
	// each other while they are killed, paused and restarted.
	{Seed: 1100, FaultDuration: 8 * time.Second, Daemons: 3, Callers: 12, Links: true},
	// Engines restart at several software versions, back and forth, and callers take their streams
	// up, while daemons are killed, paused and restarted and the store is away.
	{Seed: 1200, FaultDuration: 8 * time.Second, Daemons: 3, Callers: 8, Versions: true},
	// Parts of prompts crash engines, in requests of which no two are alike, while daemons are killed,
	// paused and restarted and the store is away.
	{Seed: 1300, FaultDuration: 12 * time.Second, Daemons: 3, Callers: 6, FatalParts: true},
	// Upstreams send without end, at 20 MB/s, or answers whose bodies trickle.
	{Seed: 1600, FaultDuration: 6 * time.Second, Daemons: 3, Callers: 12, Endless: true},
	// The store comes back from copies, which lack versions, withdrawals and records of origins. Guards
	// against records that are written twice when an append fails after a restoration.
	{Seed: 5, FaultDuration: 12 * time.Second, Daemons: 11, Callers: 12, Restores: true},
	// Upstreams crash in answers with neither a length nor chunks.
	{Seed: 1400, FaultDuration: 6 * time.Second, Daemons: 3, Callers: 12, Unframed: true},
	// Upstreams refuse some requests and send some answers twice, or only in part. Guards against requests that run
	// twice, or are refused and run, because of the refusal of another request.
	{Seed: 1700, FaultDuration: 6 * time.Second, Daemons: 3, Callers: 24, Answers: true},
	// All upstreams reject requests and send answers again, late, the whole time, as in a burst. Guards against refusals
	// of other requests that count as one's own, which single troubled upstreams show far less often.
	{Seed: 1800, FaultDuration: 4 * time.Second, Daemons: 3, Callers: 30, Planned: true, Copies: Copies{Share: 0.2, Rejections: 0.45, Rejecting: RejectAll}},
	// Upstreams say that they leave or ask for rest, beside lapses of their registrations, outages of the
	// store, versions, SIGHUP and restarts.
	{Seed: 3104, FaultDuration: 6 * time.Second, Daemons: 3, Callers: 12, Statements: true},
	// Most new connections go to one daemon at a time, more than it may have open.
	{Seed: 1500, FaultDuration: 6 * time.Second, Daemons: 3, Callers: 30, Skew: true},
}

// Guards against violations of the daemons' guarantees under combinations of faults that no
// other test covers: signals, TCP faults, and faults of upstreams and of the store that overlap
// as the seed determines. See ciRuns for the fault that each run guards against.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "corianderturn")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/corianderturn").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, o := range ciRuns {
		dir, seed := t.TempDir(), o.Seed
		o.Bin, o.Dir = bin, dir
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r, err := Run(t.Context(), o)
			if err != nil {
				logDaemons(t, dir)
				t.Fatal(err)
			}
			if r.Answered == 0 {
				t.Error("nobody was served")
			}
			for _, v := range r.Violations {
				t.Error(v)
			}
			if t.Failed() {
				logDaemons(t, dir)
				t.Fatalf("schedule: %q", r.Schedule)
			}
		})
	}
}

// logDaemons logs the end of each daemon's log file.
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
	for name, draw := range map[string]func(uint64, time.Duration, int, int) []fault{"schedule": faultSchedule, "herd": correlatedFaults, "limits": limitFaults, "links": linkFaults, "versions": versionFaults, "stale daemons": staleDaemonFaults, "unframed": unframedFaults, "endless": endlessFaults, "answers": answerFaults, "silences": silenceFaults, "restores": restoreFaults} {
		a, b := draw(7, time.Minute, 3, 7), draw(7, time.Minute, 3, 7)
		if diff := cmp.Diff(a, b, cmp.AllowUnexported(fault{})); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if other := draw(8, time.Minute, 3, 7); len(other) == 0 || cmp.Equal(a, other, cmp.AllowUnexported(fault{})) {
			t.Errorf("%s: another seed gives the same", name)
		}
	}
}
