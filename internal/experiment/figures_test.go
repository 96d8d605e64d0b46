package experiment

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/corianderturn/corianderturn/internal/loadgen"
)

func TestFitLine(t *testing.T) {
	tests := []struct {
		name   string
		points []XY
		want   Fit
	}{
		{"exact", []XY{{1, 5}, {2, 7}, {3, 9}, {4, 11}}, Fit{Slope: 2, Intercept: 3, R2: 1}},
		{"flat", []XY{{1, 4}, {2, 4}, {5, 4}}, Fit{Intercept: 4, R2: 1}},
		// The residuals are +1, -1, -1, +1 at x = 0..3: the sum of their squares is 4,
		// that of the deviations of x is 5, and the slope's variance is 4 / (4-2) / 5.
		{"scattered", []XY{{0, 1}, {1, 0}, {2, 1}, {3, 4}}, Fit{Slope: 1, Intercept: 0, SlopeError: math.Sqrt(0.4), R2: 5.0 / 9}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got, err := FitLine(tc.points)
			if err != nil {
				t.Fatal(err)
			}
			tc.want.Points = tc.points
			if d := cmp.Diff(tc.want, got, cmpopts.EquateApprox(0, 1e-9)); d != "" {
				t.Error(d)
			}
		})
	}
	if _, err := FitLine([]XY{{1, 1}, {1, 2}, {2, 3}, {2, 4}}); err == nil {
		t.Error("FitLine succeeded with only two different values of X")
	}
}

func TestSummarize(t *testing.T) {
	s := Summarize([]float64{2, 4, 9})
	want := SummaryStats{N: 3, Mean: 5, Min: 2, Max: 9, SD: math.Sqrt(13)}
	if d := cmp.Diff(want, s, cmpopts.EquateApprox(0, 1e-9)); d != "" {
		t.Error(d)
	}
	for s, text := range map[SummaryStats]string{
		{}: "-", Summarize([]float64{0.01234}): "0.0123", s: "5 (2 to 9)",
	} {
		if got := s.String(); got != text {
			t.Errorf("got %q, want %q", got, text)
		}
	}
}

// testSample returns a sample with a goodput of good completions a second, of which 5
// are urgent, and with 1000 computed prompt tokens, of which wasted are wasted.
func testSample(arm string, repeat, good, wasted int) Sample {
	return Sample{
		Cell: Cell{Deployment: "f", Load: "peak", Arm: arm}, Repeat: repeat,
		Engines: EngineWork{Prefills: 40, PrefillTokens: 1000, WastedTokens: wasted},
		Report: &loadgen.Report{
			Measured: time.Second, Steady: loadgen.Section{Goodput: 1e6}, // includes look-ups, which are not part of Goodput
			Kinds:               []loadgen.Section{{Name: "draft", Goodput: float64(good - 5)}, {Name: "short", Goodput: 5}},
			AnsweredCompletions: 28, CancelledCompletions: 2,
			Classes: []loadgen.Section{{Name: "urgent", FirstToken: loadgen.Quantiles{P95: float64(1000 / good)}}},
		},
	}
}

func TestVerdictUsesTheBestBaseline(t *testing.T) {
	l := Samples{
		testSample(ReserveArm, 1, 30, 10), testSample(ReserveArm, 2, 50, 20),
		testSample("least-loaded", 1, 20, 300), testSample("least-loaded", 2, 20, 300),
		testSample("round-robin", 1, 10, 60), testSample("round-robin", 2, 10, 60),
		testSample("without prefix", 1, 500, 0), // an ablation, not a baseline
	}
	other := testSample(ReserveArm, 1, 900, 0)
	other.Fault = "replica killed" // another cell, which the verdict must not use
	l = append(l, other)
	got := VerdictOf(l, "f", "peak")
	want := Verdict{Deployment: "f", Goodput: 2, WastedPrefill: 0.25, UrgentP95: 26.5 / 50}
	if d := cmp.Diff(want, got, cmpopts.EquateApprox(0, 1e-9)); d != "" {
		t.Error(d)
	}
	if v := VerdictOf(l[:2], "f", "peak"); !math.IsNaN(v.Goodput) {
		t.Errorf("goodput ratio %v without a baseline, want NaN", v.Goodput)
	}
	both := CombineVerdicts([]Verdict{{Goodput: 2, WastedPrefill: 0.5, UrgentP95: 1}, {Goodput: 8, WastedPrefill: 0.5, UrgentP95: 4}})
	if got, want := both.String(), "measure: goodput x4.00 wasted-prefill x0.50 urgent-p95 x2.00"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := l[0].Value(UnfinishedPrefills); got != 0.25 {
		t.Errorf("unfinished share %v, want 0.25", got)
	}
	if got := Ratio(SummaryStats{N: 1, Mean: 1}, SummaryStats{N: 1}); !math.IsInf(got, 1) {
		t.Errorf("ratio to a baseline of 0 is %v, want +Inf", got)
	}
}

func TestEstimateCapacity(t *testing.T) {
	w := loadgen.DefaultWorkload()
	w.Mix = loadgen.Mix{Draft: 1}
	w.DraftTokens = loadgen.SizeDistribution{Median: 1, Min: 1, Max: 1}
	w.DraftPrompt = loadgen.SizeDistribution{Median: 100, Min: 100, Max: 100}
	w.SharedShare = 0
	c, err := EstimateCapacity(w, 2, 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	// Answers have one token; 60 slots generate 60 tokens in each step of 45 ms. Prompts
	// have 100 tokens, and two engines compute each token in 0.1 ms. The time scale of 4
	// makes both four times as fast.
	want := Capacity{DecodeTokens: 1, PrefillTokens: 100, DecodeRate: 4 * 60 / 0.045, PrefillRate: 4 * 2 / 0.01}
	want.PeakRate = 4 * 60 * 0.95 / 0.04425 // 0.95 of the 60 slots are 57 busy slots; a step takes 30 ms + 0.95 * 15 ms
	if d := cmp.Diff(want, c, cmpopts.EquateApprox(1e-9, 0)); d != "" {
		t.Error(d)
	}
}

func TestRotateArms(t *testing.T) {
	seen := map[string]bool{}
	for i := range 3 {
		order := rotateArms(Arms(), i)
		if len(order) != 3 || seen[order[0].Name] {
			t.Fatalf("rotation %d: %v", i, order)
		}
		seen[order[0].Name] = true
	}
}
