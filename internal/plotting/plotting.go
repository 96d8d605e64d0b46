// Package plotting draws the charts of the measurement reports as SVG files.
package plotting

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The dimensions of a chart. A bar is barWidth wide, or less if all bars together would
// be wider than maxBarsWidth.
const (
	width        = 18 * vg.Centimeter
	height       = 10 * vg.Centimeter
	barWidth     = 8 * vg.Millimeter
	maxBarsWidth = 13 * vg.Centimeter
	// legendHeadroom is the height of the vertical axis divided by the highest bar; the
	// space above the bars is for the legend.
	legendHeadroom = 1.25
)

// Value is the mean of a figure over its repeats, with the minimum and maximum.
type Value struct {
	Mean, Min, Max float64
}

// Point is a Value at position X of the horizontal axis.
type Point struct {
	X float64
	Value
}

// Series is one line of a line chart, with its points in the order of X.
type Series struct {
	Name   string
	Points []Point
}

// Labels holds the title of a chart and the labels of its axes.
type Labels struct {
	Title, X, Y string
}

// Group is a group of adjacent bars with the label Name. It has one value for each of
// the chart's bar names, in their order.
type Group struct {
	Name   string
	Values []Value
}

// WriteLineChart writes an SVG line chart to path. Error bars span the minimum and maximum of
// each point.
func WriteLineChart(path string, axes Labels, series []Series) error {
	chart := newPlot(axes)
	for i, s := range series {
		if err := addLine(chart, i, s); err != nil {
			return errors.Wrap(err, s.Name)
		}
	}
	return save(chart, path)
}

// WriteBarChart writes an SVG bar chart of means to path. The bars with the same name have the
// same colour and one entry in the legend.
func WriteBarChart(path string, axes Labels, names []string, groups []Group) error {
	chart := newPlot(axes)
	eachWidth := min(barWidth, maxBarsWidth/vg.Length(max(len(names)*len(groups), 1)))
	labels := make([]string, len(groups))
	for i, g := range groups {
		labels[i] = g.Name
	}
	for i, name := range names {
		values := make(plotter.Values, len(groups))
		for j, g := range groups {
			values[j] = g.Values[i].Mean
		}
		bars, err := plotter.NewBarChart(values, eachWidth)
		if err != nil {
			return errors.Wrap(err, name)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = eachWidth * (vg.Length(i) - vg.Length(len(names)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(name, bars)
	}
	chart.NominalX(labels...)
	chart.Y.Min = 0
	chart.Y.Max *= legendHeadroom
	return save(chart, path)
}

// newPlot returns an empty chart with a grid and the legend at the top.
func newPlot(axes Labels) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = axes.Title
	chart.X.Label.Text = axes.X
	chart.Y.Label.Text = axes.Y
	chart.BackgroundColor = color.White
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	return chart
}

// addLine adds series number i with its error bars and its entry in the legend.
func addLine(chart *plot.Plot, i int, s Series) error {
	line, points, err := plotter.NewLinePoints(means(s.Points))
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	points.Color = plotutil.Color(i)
	points.Shape = plotutil.Shape(i)
	errorBars, err := plotter.NewYErrorBars(errorBarPoints(s.Points))
	if err != nil {
		return err
	}
	errorBars.Color = plotutil.Color(i)
	chart.Add(line, points, errorBars)
	chart.Legend.Add(s.Name, line, points)
	return nil
}

// means returns the points without their minimum and maximum.
func means(points []Point) plotter.XYs {
	out := make(plotter.XYs, len(points))
	for i, pt := range points {
		out[i] = plotter.XY{X: pt.X, Y: pt.Mean}
	}
	return out
}

// pointsWithErrors implements the interfaces that plotter.NewYErrorBars requires: points
// and the lengths of their error bars.
type pointsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// errorBarPoints converts points for plotter.NewYErrorBars, which takes the distances of
// the minimum and maximum from the mean.
func errorBarPoints(points []Point) pointsWithErrors {
	r := pointsWithErrors{XYs: means(points), YErrors: make(plotter.YErrors, len(points))}
	for i, pt := range points {
		r.YErrors[i].Low = pt.Mean - pt.Min
		r.YErrors[i].High = pt.Max - pt.Mean
	}
	return r
}

// save writes the chart to path in the format that the file extension names.
func save(chart *plot.Plot, path string) error {
	return errors.Wrap(chart.Save(width, height, path), path)
}
