package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// SummaryStats holds summary statistics of a figure over the repeats of a cell.
type SummaryStats struct {
	// N is the number of repeats that were measured.
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	// SD is the sample standard deviation, 0 for a single repeat.
	SD float64 `json:"sd"`
}

// Summarize returns the summary statistics of values, which are all 0 if there are no
// values.
func Summarize(values []float64) SummaryStats {
	if len(values) == 0 {
		return SummaryStats{}
	}
	s := SummaryStats{N: len(values), Mean: stat.Mean(values, nil), Min: floats.Min(values), Max: floats.Max(values)}
	if s.N > 1 {
		s.SD = stat.StdDev(values, nil)
	}
	return s
}

// String returns the mean with the minimum and maximum in brackets, or "-" if nothing
// was measured.
func (s SummaryStats) String() string {
	switch s.N {
	case 0:
		return "-"
	case 1:
		return formatNumber(s.Mean)
	}
	return fmt.Sprintf("%s (%s to %s)", formatNumber(s.Mean), formatNumber(s.Min), formatNumber(s.Max))
}

// formatNumber formats v as a whole number from 100 on and with three significant
// digits below.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 0.001:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.2e", v)
}

// Ratio returns the mean of ours divided by the baseline's. It is NaN if either was
// not measured, 1 if both means are 0, and +Inf if only the baseline's is 0.
func Ratio(ours, baseline SummaryStats) float64 {
	switch {
	case ours.N == 0 || baseline.N == 0:
		return math.NaN()
	case ours.Mean == 0 && baseline.Mean == 0:
		return 1
	}
	return ours.Mean / baseline.Mean
}
