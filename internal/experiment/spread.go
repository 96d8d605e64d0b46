package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Spread sums up one figure over the repeats of a cell.
type Spread struct {
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	// SD is the sample's standard deviation, 0 for a single repeat.
	SD float64 `json:"sd"`
}

// NewSpread sums up values; no values give a Spread with N 0.
func NewSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	s := Spread{N: len(values), Mean: stat.Mean(values, nil), Min: floats.Min(values), Max: floats.Max(values)}
	if s.N > 1 {
		s.SD = stat.StdDev(values, nil)
	}
	return s
}

// String gives the mean and the range.
func (s Spread) String() string {
	switch s.N {
	case 0:
		return "-"
	case 1:
		return number(s.Mean)
	}
	return fmt.Sprintf("%s (%s to %s)", number(s.Mean), number(s.Min), number(s.Max))
}

// number prints three significant digits or whole numbers.
func number(v float64) string {
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

// Ratio compares ours with the baseline's mean. It is NaN when either was not
// measured, 1 when both are 0, and +Inf when only the baseline is.
func Ratio(ours, baseline Spread) float64 {
	switch {
	case ours.N == 0 || baseline.N == 0:
		return math.NaN()
	case ours.Mean == 0 && baseline.Mean == 0:
		return 1
	}
	return ours.Mean / baseline.Mean
}
