package experiment

import (
	"fmt"
	"math"
)

// Verdict compares our policy with the best baseline at the peak. Each ratio is
// ours divided by the baseline's that did best in that figure.
type Verdict struct {
	Firm          string  `json:"firm"`
	Goodput       float64 `json:"goodput"`
	WastedPrefill float64 `json:"wasted_prefill"`
	UrgentP95     float64 `json:"urgent_p95"`
}

// VerdictOf compares at the given load, without faults.
func VerdictOf(l Samples, firm, load string) Verdict {
	ratio := func(f Figure, better func(a, b float64) bool) float64 {
		var best Spread
		for _, arm := range Arms() {
			s := l.Spread(Cell{Firm: firm, Load: load, Arm: arm.Name}, f)
			if arm.Baseline && s.N > 0 && (best.N == 0 || better(s.Mean, best.Mean)) {
				best = s
			}
		}
		return Ratio(l.Spread(Cell{Firm: firm, Load: load, Arm: Ours}, f), best)
	}
	higher := func(a, b float64) bool { return a > b }
	lower := func(a, b float64) bool { return a < b }
	return Verdict{
		Firm:          firm,
		Goodput:       ratio(Goodput, higher),
		WastedPrefill: ratio(WastedPrefill, lower),
		UrgentP95:     ratio(UrgentFirst95, lower),
	}
}

// Combine returns the geometric mean of the verdicts of several firms.
func Combine(list []Verdict) Verdict {
	mean := func(of func(Verdict) float64) float64 {
		var sum float64
		for _, v := range list {
			sum += math.Log(of(v))
		}
		return math.Exp(sum / float64(len(list)))
	}
	return Verdict{
		Firm:          "all",
		Goodput:       mean(func(v Verdict) float64 { return v.Goodput }),
		WastedPrefill: mean(func(v Verdict) float64 { return v.WastedPrefill }),
		UrgentP95:     mean(func(v Verdict) float64 { return v.UrgentP95 }),
	}
}

// String returns the last line of a measurement.
func (v Verdict) String() string {
	return fmt.Sprintf("measure: goodput x%.2f wasted-prefill x%.2f urgent-p95 x%.2f", v.Goodput, v.WastedPrefill, v.UrgentP95)
}
