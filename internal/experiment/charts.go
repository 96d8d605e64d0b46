package experiment

import (
	"path/filepath"

	"github.com/corianderturn/corianderturn/internal/plotting"
)

// meanWithRange returns the mean, minimum and maximum of a figure over all repeats of a
// cell.
func (r *Results) meanWithRange(c Cell, f Figure) plotting.Value {
	s := r.Samples.Summary(c, f)
	return plotting.Value{Mean: s.Mean, Min: s.Min, Max: s.Max}
}

// writeCharts writes the charts of one deployment into dir: a line chart of goodput
// over the arrival rate, and bar charts by load and by fault.
func (r *Results) writeCharts(dir string, deployment DeploymentResults) error {
	file := func(name string) string { return filepath.Join(dir, deployment.Name+"-"+name+".svg") }
	var lines []plotting.Series
	for _, arm := range Arms() {
		s := plotting.Series{Name: arm.Name}
		for _, load := range loadLevels {
			s.Points = append(s.Points, plotting.Point{
				X: load.share * deployment.Capacity.PeakRate, Value: r.meanWithRange(Cell{Deployment: deployment.Name, Load: load.name, Arm: arm.Name}, Goodput),
			})
		}
		lines = append(lines, s)
	}
	if err := plotting.WriteLineChart(file("goodput"), plotting.Labels{Title: deployment.Name, X: "arrivals/s", Y: string(Goodput)}, lines); err != nil {
		return err
	}
	for name, f := range map[string]Figure{"wasted": WastedPrefill, "urgent": UrgentFirst95} {
		if err := r.writeLoadBars(file(name), deployment.Name, f); err != nil {
			return err
		}
	}
	return r.writeFaultBars(file("faults"), deployment.Name)
}

// writeLoadBars writes a bar chart of a figure with a group for each load and a bar
// for each arm.
func (r *Results) writeLoadBars(path, deployment string, f Figure) error {
	var names []string
	var groups []plotting.Group
	for _, arm := range Arms() {
		names = append(names, arm.Name)
	}
	for _, load := range loadLevels {
		g := plotting.Group{Name: load.name}
		for _, arm := range Arms() {
			g.Values = append(g.Values, r.meanWithRange(Cell{Deployment: deployment, Load: load.name, Arm: arm.Name}, f))
		}
		groups = append(groups, g)
	}
	return plotting.WriteBarChart(path, plotting.Labels{Title: deployment, Y: string(f)}, names, groups)
}

// writeFaultBars writes a bar chart of the goodput at the peak with a group for no
// fault and for each fault. Only the first two arms are measured under faults.
func (r *Results) writeFaultBars(path, deployment string) error {
	arms := Arms()[:2]
	groups := []plotting.Group{{Name: "none"}}
	for _, fault := range Faults() {
		groups = append(groups, plotting.Group{Name: fault.Name})
	}
	var names []string
	for _, arm := range arms {
		names = append(names, arm.Name)
		for i, g := range groups {
			fault := g.Name
			if i == 0 {
				fault = ""
			}
			groups[i].Values = append(groups[i].Values, r.meanWithRange(Cell{Deployment: deployment, Load: LoadPeak, Fault: fault, Arm: arm.Name}, Goodput))
		}
	}
	return plotting.WriteBarChart(path, plotting.Labels{Title: deployment + " at the peak", Y: string(Goodput)}, names, groups)
}
