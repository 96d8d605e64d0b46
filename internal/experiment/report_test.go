package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// TestPlanHasEveryCellInEachRepeat checks that each repeat has one segment for every cell,
// that is every arm under each load, and that only the segments of fault cells have a fault.
func TestPlanHasEveryCellInEachRepeat(t *testing.T) {
	f := Deployments()[0]
	seen := map[Cell]int{}
	for _, s := range planSegments(MeasureOptions{Runs: 2}, f, DeploymentWorkload(nil), 100) {
		seen[s.cell]++
		if (s.fault != nil) != (s.cell.Fault != "") {
			t.Errorf("%v: fault %v", s.cell, s.fault)
		}
		if s.cell.Load == LoadUrgentOnly && (s.workload.Mix.Draft != 0 || s.workload.Rate >= 140) {
			t.Errorf("the segment with urgent requests only has the mix %v at %v/s", s.workload.Mix, s.workload.Rate)
		}
	}
	want := 3*3 + 1 + 5 + 4*2 // arms times loads, urgent requests only, ablations, faults times two arms
	if len(seen) != want {
		t.Errorf("%d cells, want %d", len(seen), want)
	}
	for c, n := range seen {
		if n != 2 {
			t.Errorf("%v is measured %d times, want 2", c, n)
		}
	}
}

func TestReportRoundTrip(t *testing.T) {
	dir := t.TempDir()
	res := &Results{
		Runs: 2, Scale: 1,
		Deployments: []DeploymentResults{{Name: "f", Capacity: Capacity{PeakRate: 100}, Overhead: Overhead{Calls: 1, Daemon: loadgen.Quantiles{P99: 0.5}}}},
		Samples: Samples{
			testSample(ReserveArm, 0, 40, 5), testSample("least-loaded", 0, 20, 100), testSample("round-robin", 0, 10, 200),
			{Cell: Cell{Deployment: "f", Load: "peak", Arm: "broken"}, Note: "did not start"},
		},
	}
	res.computeVerdicts()
	if err := res.Write(dir); err != nil {
		t.Fatal(err)
	}
	again, err := ReadResults(dir)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := again.Verdict().String(), "measure: goodput x2.00 wasted-prefill x0.05 urgent-p95 x0.50"; got != want {
		t.Errorf("after reading back %q, want %q", got, want)
	}
	page, err := os.ReadFile(filepath.Join(dir, FileReport))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| wasted prefill under 1% | 0.50% | yes |", "| goodput at the peak at least 1.5 times the best baseline | x2.00 | yes |",
		"saturating within 1.2 times its value without drafts | xNaN | no |", "did not start", again.Verdict().String(),
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report does not say %q", want)
		}
	}
	for _, chart := range []string{"f-goodput.svg", "f-wasted.svg", "f-urgent.svg", "f-faults.svg"} {
		if _, err := os.Stat(filepath.Join(dir, chart)); err != nil {
			t.Error(err)
		}
	}
}
