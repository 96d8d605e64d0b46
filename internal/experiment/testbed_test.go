package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// TestSegmentWithRealProcesses runs one short segment against real processes, during which a
// replica is killed and restarted. It guards against figures that are read from a wrong
// metric or counter, which would be 0.
func TestSegmentWithRealProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	bin := t.TempDir()
	if err := testbed.Build(ctx, bin, testbed.ProgramDaemon, testbed.ProgramStandIn); err != nil {
		t.Fatal(err)
	}
	bed, err := StartTestbed(ctx, bin, FleetSize{DataCentres: 2, Daemons: 2, Prefill: 1, Decode: 2, Services: 1, Teams: 2, Scale: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	r := &runner{
		opts:       MeasureOptions{Seed: 1, Segment: time.Second, Warmup: 200 * time.Millisecond, Timeout: 30 * time.Second, MaxInFlight: 500},
		deployment: Deployments()[0], bed: bed, client: loadgen.NewClient(500), targets: ScaledTargets(2),
	}
	defer r.client.CloseIdleConnections()
	w := DeploymentWorkload(bed.Teams())
	w.Rate, w.CancelShare = 30, 0
	killed := Faults()[0]
	got := r.runSegment(ctx, segment{cell: Cell{Arm: ReserveArm}, arm: Arms()[0], workload: w, fault: &killed})
	if got.Note != "" || got.Report == nil {
		t.Fatalf("the segment was not measured: %s", got.Note)
	}
	if !got.Report.Passed() {
		t.Errorf("faults %+v, ledger %+v", got.Report.Faults, got.Report.Ledger)
	}
	if got.Report.AnsweredCompletions == 0 || got.Engines.Prefills == 0 || got.Engines.PrefillTokens == 0 || got.Report.Ledger.Keys == 0 {
		t.Errorf("a counter is 0: engines %+v, ledger %+v", got.Engines, got.Report.Ledger)
	}
	if p := bed.Bundle().Policy; p.Name != ReserveArm || p.GoodputWeight != r.deployment.GoodputWeight || bed.Bundle().Classes[bundle.Draft].FirstTokenMillis != 485 {
		t.Errorf("the arm's policy or targets are not in the published bundle: policy %+v", p)
	}
	o := fleetObserver{bed: bed, client: r.client}
	seen, err := o.read(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range seen.daemon {
		if u.ControlIn == 0 || u.FramesOut == 0 || u.Resident == 0 {
			t.Errorf("a counter of a daemon is 0: %+v", u)
		}
	}
	if len(seen.daemon) != 2 || seen.log.Appends == 0 {
		t.Errorf("read %d daemons and %d log appends, want 2 daemons and some appends", len(seen.daemon), seen.log.Appends)
	}
}
