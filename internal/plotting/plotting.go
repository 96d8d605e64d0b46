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

// The sizes of a chart.
const (
	width    = 18 * vg.Centimeter
	height   = 10 * vg.Centimeter
	barWidth = 8 * vg.Millimeter
	barsMax  = 13 * vg.Centimeter
	// headroom leaves place for the legend above the highest value.
	headroom = 1.25
)

// Value is one measured figure with the lowest and highest of its repeats.
type Value struct {
	Mean, Min, Max float64
}

// Point is a Value at a place on the horizontal axis.
type Point struct {
	X float64
	Value
}

// Series is a named list of points, in the order of X.
type Series struct {
	Name   string
	Points []Point
}

// Axes name a chart and its axes.
type Axes struct {
	Title, X, Y string
}

// Group is one cluster of bars, with a value for each bar name of the chart.
type Group struct {
	Name   string
	Values []Value
}

// Lines writes an SVG line chart with error bars to path.
func Lines(path string, axes Axes, series []Series) error {
	p := newPlot(axes)
	for i, s := range series {
		if err := addLine(p, i, s); err != nil {
			return errors.Wrap(err, s.Name)
		}
	}
	return save(p, path)
}

// Bars writes an SVG bar chart to path: one cluster a group, one bar a name.
func Bars(path string, axes Axes, names []string, groups []Group) error {
	p := newPlot(axes)
	each := min(barWidth, barsMax/vg.Length(max(len(names)*len(groups), 1)))
	labels := make([]string, len(groups))
	for i, g := range groups {
		labels[i] = g.Name
	}
	for i, name := range names {
		values := make(plotter.Values, len(groups))
		for j, g := range groups {
			values[j] = g.Values[i].Mean
		}
		bars, err := plotter.NewBarChart(values, each)
		if err != nil {
			return errors.Wrap(err, name)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = each * (vg.Length(i) - vg.Length(len(names)-1)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(labels...)
	p.Y.Min = 0
	p.Y.Max *= headroom
	return save(p, path)
}

func newPlot(axes Axes) *plot.Plot {
	p := plot.New()
	p.Title.Text = axes.Title
	p.X.Label.Text = axes.X
	p.Y.Label.Text = axes.Y
	p.BackgroundColor = color.White
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, i int, s Series) error {
	line, points, err := plotter.NewLinePoints(means(s.Points))
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	points.Color = plotutil.Color(i)
	points.Shape = plotutil.Shape(i)
	errs, err := plotter.NewYErrorBars(spread(s.Points))
	if err != nil {
		return err
	}
	errs.Color = plotutil.Color(i)
	p.Add(line, points, errs)
	p.Legend.Add(s.Name, line, points)
	return nil
}

func means(points []Point) plotter.XYs {
	out := make(plotter.XYs, len(points))
	for i, pt := range points {
		out[i] = plotter.XY{X: pt.X, Y: pt.Mean}
	}
	return out
}

// ranges joins points with their error bars.
type ranges struct {
	plotter.XYs
	plotter.YErrors
}

func spread(points []Point) ranges {
	r := ranges{XYs: means(points), YErrors: make(plotter.YErrors, len(points))}
	for i, pt := range points {
		r.YErrors[i].Low = pt.Mean - pt.Min
		r.YErrors[i].High = pt.Max - pt.Mean
	}
	return r
}

func save(p *plot.Plot, path string) error {
	return errors.Wrap(p.Save(width, height, path), path)
}
