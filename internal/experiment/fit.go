package experiment

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// minFitPoints is the minimum number of points with different X for estimating a
// slope and its standard error.
const minFitPoints = 3

// XY is one measured point: the value X of the varied parameter and the cost Y.
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

// FitLine fits a line by least squares. It fails if the points have fewer than three
// different values of X.
func FitLine(points []XY) (Fit, error) {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	distinct := map[float64]bool{}
	for i, p := range points {
		x[i], y[i] = p.X, p.Y
		distinct[p.X] = true
	}
	if len(distinct) < minFitPoints {
		return Fit{}, errors.Errorf("the points have %d different sizes, at least %d are needed", len(distinct), minFitPoints)
	}
	f := Fit{Points: points}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) { // all Y are equal, so that the line is exact
		f.R2 = 1
	}
	var squaredResiduals float64
	for _, p := range points {
		residual := p.Y - f.Intercept - f.Slope*p.X
		squaredResiduals += residual * residual
	}
	n := float64(len(points))
	sxx := stat.Variance(x, nil) * (n - 1)
	f.SlopeError = math.Sqrt(squaredResiduals / (n - 2) / sxx)
	return f, nil
}
