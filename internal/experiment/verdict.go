package experiment

import (
	"fmt"
	"math"
)

// Verdict compares the project's own policy with the baselines in one deployment. Each
// field is a ratio for one figure: the mean under the own policy divided by the mean under
// the baseline that is best in this figure.
type Verdict struct {
	Deployment    string  `json:"firm"`
	Goodput       float64 `json:"goodput"`
	WastedPrefill float64 `json:"wasted_prefill"`
	// UrgentP95 is the ratio of the 95th percentiles of the time to first token of
	// urgent requests.
	UrgentP95 float64 `json:"urgent_p95"`
}

// VerdictOf returns the verdict of a deployment under the given load without faults.
func VerdictOf(samples Samples, deployment, load string) Verdict {
	ratio := func(f Figure, better func(a, b float64) bool) float64 {
		var best SummaryStats
		for _, arm := range Arms() {
			s := samples.Summary(Cell{Deployment: deployment, Load: load, Arm: arm.Name}, f)
			if arm.Baseline && s.N > 0 && (best.N == 0 || better(s.Mean, best.Mean)) {
				best = s
			}
		}
		return Ratio(samples.Summary(Cell{Deployment: deployment, Load: load, Arm: ReserveArm}, f), best)
	}
	higher := func(a, b float64) bool { return a > b }
	lower := func(a, b float64) bool { return a < b }
	return Verdict{
		Deployment:    deployment,
		Goodput:       ratio(Goodput, higher),
		WastedPrefill: ratio(WastedPrefill, lower),
		UrgentP95:     ratio(UrgentFirst95, lower),
	}
}

// CombineVerdicts returns the geometric means of the ratios over several deployments.
func CombineVerdicts(verdicts []Verdict) Verdict {
	mean := func(ratio func(Verdict) float64) float64 {
		var sum float64
		for _, v := range verdicts {
			sum += math.Log(ratio(v))
		}
		return math.Exp(sum / float64(len(verdicts)))
	}
	return Verdict{
		Deployment:    "all",
		Goodput:       mean(func(v Verdict) float64 { return v.Goodput }),
		WastedPrefill: mean(func(v Verdict) float64 { return v.WastedPrefill }),
		UrgentP95:     mean(func(v Verdict) float64 { return v.UrgentP95 }),
	}
}

// String formats the verdict as the last line that a measurement prints.
func (v Verdict) String() string {
	return fmt.Sprintf("measure: goodput x%.2f wasted-prefill x%.2f urgent-p95 x%.2f", v.Goodput, v.WastedPrefill, v.UrgentP95)
}
