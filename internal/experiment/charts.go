package experiment

import (
	"path/filepath"

	"github.com/corianderturn/corianderturn/internal/plotting"
)

func (r *Results) value(c Cell, f Figure) plotting.Value {
	s := r.Samples.Spread(c, f)
	return plotting.Value{Mean: s.Mean, Min: s.Min, Max: s.Max}
}

func (r *Results) charts(dir string, firm FirmResults) error {
	file := func(name string) string { return filepath.Join(dir, firm.Name+"-"+name+".svg") }
	var lines []plotting.Series
	for _, arm := range Arms() {
		s := plotting.Series{Name: arm.Name}
		for _, load := range loadShare {
			s.Points = append(s.Points, plotting.Point{
				X: load.share * firm.Capacity.PeakRate, Value: r.value(Cell{Firm: firm.Name, Load: load.name, Arm: arm.Name}, Goodput),
			})
		}
		lines = append(lines, s)
	}
	if err := plotting.Lines(file("goodput"), plotting.Axes{Title: firm.Name, X: "arrivals/s", Y: string(Goodput)}, lines); err != nil {
		return err
	}
	for name, f := range map[string]Figure{"wasted": WastedPrefill, "urgent": UrgentFirst95} {
		if err := r.barsByLoad(file(name), firm.Name, f); err != nil {
			return err
		}
	}
	return r.barsByFault(file("faults"), firm.Name)
}

func (r *Results) barsByLoad(path, firm string, f Figure) error {
	var names []string
	var groups []plotting.Group
	for _, arm := range Arms() {
		names = append(names, arm.Name)
	}
	for _, load := range loadShare {
		g := plotting.Group{Name: load.name}
		for _, arm := range Arms() {
			g.Values = append(g.Values, r.value(Cell{Firm: firm, Load: load.name, Arm: arm.Name}, f))
		}
		groups = append(groups, g)
	}
	return plotting.Bars(path, plotting.Axes{Title: firm, Y: string(f)}, names, groups)
}

func (r *Results) barsByFault(path, firm string) error {
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
			groups[i].Values = append(groups[i].Values, r.value(Cell{Firm: firm, Load: LoadPeak, Fault: fault, Arm: arm.Name}, Goodput))
		}
	}
	return plotting.Bars(path, plotting.Axes{Title: firm + " at the peak", Y: string(Goodput)}, names, groups)
}
