package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/procfs"

	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// Slopes starts no fleet of more than maxProcesses processes, and none while more than
// a share of maxMemoryShare of the machine's memory is in use.
const (
	maxMemoryShare = 0.5
	maxProcesses   = 200
)

// SlopesOptions are the options of Slopes.
type SlopesOptions struct {
	// Bin is the folder with the programs and Out the folder for the results.
	Bin string
	Out string
	// Settle is the time that the fleet runs under the load of a point before the
	// measurement of the point starts. Window is the duration of that measurement.
	Settle time.Duration
	Window time.Duration
	// Seed seeds the arrivals and requests.
	Seed uint64
	// Sizes names the parameters to vary; if it is empty, all are varied.
	Sizes []string
	// Start starts a fleet. The results of each parameter are written to Progress.
	Start    StartBed
	Progress io.Writer
}

// SlopeResults are the results of one run of Slopes: its duration, the options that
// it used and the results of each varied parameter.
type SlopeResults struct {
	Started time.Time     `json:"started"`
	Took    time.Duration `json:"took_ns"`
	Settle  time.Duration `json:"settle_ns"`
	Window  time.Duration `json:"window_ns"`
	Sizes   []SizeResult  `json:"sizes"`
}

// SizeResult holds the points and fits of one varied parameter. The results call a varied
// parameter a size.
type SizeResult struct {
	Name string `json:"name"`
	// Unit is the unit of the parameter, such as "daemon in the data centre".
	Unit string `json:"unit"`
	// Fixed describes the rest of the fleet and of the load, which does not vary.
	Fixed  string      `json:"fixed"`
	Points []SizePoint `json:"points"`
	Fits   []FigureFit `json:"fits"`
	// Notes are errors and remarks of the measurement.
	Notes []string `json:"notes,omitempty"`
}

// SizePoint is one measured point: a value of the parameter and the costs that were
// measured with it.
type SizePoint struct {
	// Size is the value of the parameter: the measured value if it is a rate, and the
	// requested one otherwise.
	Size  float64 `json:"size"`
	Rates Rates   `json:"rates"`
}

// FigureFit is the fitted line of one cost. Its slope is the cost of one more unit of
// the parameter.
type FigureFit struct {
	// Figure is the name of the cost and Unit its unit.
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	Fit    Fit    `json:"fit"`
}

// fittedFigures lists the costs to which a line is fitted. The function of returns the
// cost from the rates that were measured at a point.
var fittedFigures = []struct {
	name, unit string
	of         func(Rates) float64
}{
	{"control in", "B/s", func(r Rates) float64 { return r.ControlIn }},
	{"control out", "B/s", func(r Rates) float64 { return r.ControlOut }},
	{"all bytes read", "B/s", func(r Rates) float64 { return r.AllIn }},
	{"all bytes written", "B/s", func(r Rates) float64 { return r.AllOut }},
	{"messages", "1/s", func(r Rates) float64 { return r.Messages }},
	{"processor", "cores", func(r Rates) float64 { return r.CPU }},
	{"resident memory", "B", func(r Rates) float64 { return r.Resident }},
	{"log appends of the fleet", "1/s", func(r Rates) float64 { return r.LogAppends }},
	{"log reads of the fleet", "1/s", func(r Rates) float64 { return r.LogReads }},
	{"log bytes of the fleet", "B/s", func(r Rates) float64 { return r.LogBytes }},
}

// Slopes varies one parameter at a time, fits the costs and writes the raw figures
// and a table. An error while a parameter is measured becomes one of its notes; the
// points that were measured are still fitted and written.
func Slopes(ctx context.Context, o SlopesOptions) (*SlopeResults, error) {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	res := &SlopeResults{Started: time.Now().UTC(), Settle: o.Settle, Window: o.Window}
	for _, sweep := range sizeSweeps() {
		if ctx.Err() != nil || !o.selected(sweep.name) {
			continue
		}
		size := o.measureSize(ctx, sweep)
		res.Sizes = append(res.Sizes, size)
		size.writeTable(o.Progress)
	}
	res.Took = time.Since(res.Started)
	return res, res.writeFiles(o.Out)
}

// selected reports whether the parameter with this name is to be varied.
func (o SlopesOptions) selected(name string) bool {
	for _, s := range o.Sizes {
		if s == name {
			return true
		}
	}
	return len(o.Sizes) == 0
}

// measureSize measures the points of one parameter and fits its costs. It starts one
// fleet for all points, or one for each point if the sweep needs that.
func (o SlopesOptions) measureSize(ctx context.Context, sweep sizeSweep) SizeResult {
	out := SizeResult{Name: sweep.name, Unit: sweep.unit, Fixed: sweep.fixed}
	var bed Bed
	defer func() {
		if bed != nil {
			bed.Close()
		}
	}()
	for _, x := range sweep.points {
		size := sweep.fleetSize(x)
		if err := checkLimits(size); err != nil {
			out.Notes = append(out.Notes, fmt.Sprintf("stopped before the point %g: %v", x, err))
			break
		}
		if bed == nil || sweep.freshFleet {
			if bed != nil {
				bed.Close()
			}
			var err error
			if bed, err = o.Start(ctx, o.Bin, size); err != nil {
				bed = nil
				out.Notes = append(out.Notes, fmt.Sprintf("start the fleet for the point %g: %v", x, err))
				break
			}
		}
		p, notes, err := o.measurePoint(ctx, sweep, bed, x)
		out.Notes = append(out.Notes, notes...)
		if err != nil {
			out.Notes = append(out.Notes, fmt.Sprintf("at the point %g: %v", x, err))
			continue
		}
		out.Points = append(out.Points, p)
	}
	out.fitFigures()
	return out
}

// measurePoint measures the point x of a sweep and returns it with the sweep's notes.
func (o SlopesOptions) measurePoint(ctx context.Context, sweep sizeSweep, bed Bed, x float64) (SizePoint, []string, error) {
	hc := loadgen.NewClient(slopesInFlight)
	defer hc.CloseIdleConnections()
	p := &pointRun{opts: o, bed: bed, client: hc, observer: fleetObserver{bed: bed, client: hc}}
	rates, size, err := sweep.measure(ctx, p, x)
	return SizePoint{Size: size, Rates: rates}, p.notes, err
}

// fitFigures fits a line to each cost. A cost that can't be fitted becomes a note.
func (s *SizeResult) fitFigures() {
	for _, f := range fittedFigures {
		points := make([]XY, len(s.Points))
		for i, p := range s.Points {
			points[i] = XY{p.Size, f.of(p.Rates)}
		}
		fit, err := FitLine(points)
		if err != nil {
			s.Notes = append(s.Notes, f.name+": "+err.Error())
			continue
		}
		s.Fits = append(s.Fits, FigureFit{f.name, f.unit, fit})
	}
}

// checkLimits returns an error if a fleet of size s would have too many processes or
// if too much of the machine's memory is in use.
func checkLimits(s FleetSize) error {
	if n := s.Daemons + s.Prefill + s.Decode + s.Services + platformProcesses; n > maxProcesses {
		return errors.Errorf("the fleet needs %d processes, the limit is %d", n, maxProcesses)
	}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return errors.WithStack(err)
	}
	m, err := fs.Meminfo()
	if err != nil {
		return errors.WithStack(err)
	}
	if m.MemAvailable == nil || m.MemTotal == nil {
		return errors.New("the kernel does not report the total and available memory")
	}
	if free := float64(*m.MemAvailable) / float64(*m.MemTotal); free < 1-maxMemoryShare {
		return errors.Errorf("%.0f%% of the machine's memory is in use", 100*(1-free))
	}
	return nil
}

// writeTable writes the fits and notes of one parameter as text.
func (s SizeResult) writeTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n%s, %d points, %s\n", s.Name, len(s.Points), s.Fixed)
	for _, f := range s.Fits {
		_, _ = fmt.Fprintf(w, "  %-26s %12s ± %s %s per %s (at none %s, R² %.2f); points", f.Figure, formatNumber(f.Fit.Slope),
			formatNumber(f.Fit.SlopeError), f.Unit, s.Unit, formatNumber(f.Fit.Intercept), f.Fit.R2)
		for _, p := range f.Fit.Points {
			_, _ = fmt.Fprintf(w, " %s:%s", formatNumber(p.X), formatNumber(p.Y))
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, n := range s.Notes {
		_, _ = fmt.Fprintf(w, "  note: %s\n", n)
	}
}

// FileSlopes and FileSlopesTable are the files with the raw figures and the table in
// the folder of a run of Slopes.
const (
	FileSlopes      = "slopes.json"
	FileSlopesTable = "slopes.txt"
)

// writeFiles writes the raw figures and the table into the folder dir.
func (r *SlopeResults) writeFiles(dir string) error {
	if err := writeJSON(filepath.Join(dir, FileSlopes), r); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, FileSlopesTable))
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	_, _ = fmt.Fprintf(f, "Run of %s, %s in all; each point is measured for %s after %s.\n",
		r.Started.Format("2006-01-02 15:04 UTC"), r.Took.Round(time.Second), r.Window, r.Settle)
	for _, s := range r.Sizes {
		s.writeTable(f)
	}
	return errors.WithStack(f.Close())
}
