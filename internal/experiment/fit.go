package experiment

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// minFitPoints is the least number of points that give a slope and its error.
const minFitPoints = 3

// XY is one measured point.
type XY struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a least-squares line through points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of the slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the share of the variance that the line explains.
	R2     float64 `json:"r2"`
	Points []XY    `json:"points"`
}

// FitLine fits a line. The points must have at least three different X.
func FitLine(points []XY) (Fit, error) {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	distinct := map[float64]bool{}
	for i, p := range points {
		x[i], y[i] = p.X, p.Y
		distinct[p.X] = true
	}
	if len(distinct) < minFitPoints {
		return Fit{}, errors.Errorf("%d different sizes, at least %d are needed", len(distinct), minFitPoints)
	}
	f := Fit{Points: points}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) { // all Y are equal: the line is exact
		f.R2 = 1
	}
	var residual float64
	for _, p := range points {
		d := p.Y - f.Intercept - f.Slope*p.X
		residual += d * d
	}
	n := float64(len(points))
	sxx := stat.Variance(x, nil) * (n - 1)
	f.SlopeError = math.Sqrt(residual / (n - 2) / sxx)
	return f, nil
}
