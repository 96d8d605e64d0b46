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

// The bounds of a run of Slopes; past them it stops.
const (
	maxMemoryShare = 0.5
	maxProcesses   = 200
)

// SlopesOptions describe a run of Slopes.
type SlopesOptions struct {
	Bin string
	Out string
	// Settle is how long a point runs before it is measured, Window how long it
	// is measured.
	Settle time.Duration
	Window time.Duration
	Seed   uint64
	// Sizes limits the run to some sizes; none means all.
	Sizes    []string
	Start    StartBed
	Progress io.Writer
}

// SlopeResults are the raw figures of one run of Slopes.
type SlopeResults struct {
	Started time.Time     `json:"started"`
	Took    time.Duration `json:"took_ns"`
	Settle  time.Duration `json:"settle_ns"`
	Window  time.Duration `json:"window_ns"`
	Sizes   []SizeResult  `json:"sizes"`
}

// SizeResult is what was measured while one size varied.
type SizeResult struct {
	Name string `json:"name"`
	// Unit says what one more of the size is.
	Unit   string      `json:"unit"`
	Fixed  string      `json:"fixed"`
	Points []SizePoint `json:"points"`
	Fits   []FigureFit `json:"fits"`
	Notes  []string    `json:"notes,omitempty"`
}

// SizePoint is one point: the size that was set and what it cost.
type SizePoint struct {
	// Size is the size as measured where it is a rate, and as set otherwise.
	Size  float64 `json:"size"`
	Rates Rates   `json:"rates"`
}

// FigureFit is the fitted cost of one more unit.
type FigureFit struct {
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	Fit    Fit    `json:"fit"`
}

// rateFigures are the costs that are fitted.
var rateFigures = []struct {
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

// Slopes varies one size at a time, fits the costs and writes the raw figures
// and a table. What was measured before an error is written all the same.
func Slopes(ctx context.Context, o SlopesOptions) (*SlopeResults, error) {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	res := &SlopeResults{Started: time.Now().UTC(), Settle: o.Settle, Window: o.Window}
	for _, v := range varied() {
		if ctx.Err() != nil || !o.selected(v.name) {
			continue
		}
		size := o.vary(ctx, v)
		res.Sizes = append(res.Sizes, size)
		size.write(o.Progress)
	}
	res.Took = time.Since(res.Started)
	return res, res.write(o.Out)
}

func (o SlopesOptions) selected(name string) bool {
	for _, s := range o.Sizes {
		if s == name {
			return true
		}
	}
	return len(o.Sizes) == 0
}

// vary measures the points of one size.
func (o SlopesOptions) vary(ctx context.Context, v variation) SizeResult {
	out := SizeResult{Name: v.name, Unit: v.unit, Fixed: v.fixed}
	var bed Bed
	defer func() {
		if bed != nil {
			bed.Close()
		}
	}()
	for _, x := range v.points {
		size := v.size(x)
		if err := within(size); err != nil {
			out.Notes = append(out.Notes, fmt.Sprintf("stopped before %g: %v", x, err))
			break
		}
		if bed == nil || v.fresh {
			if bed != nil {
				bed.Close()
			}
			var err error
			if bed, err = o.Start(ctx, o.Bin, size); err != nil {
				bed = nil
				out.Notes = append(out.Notes, fmt.Sprintf("start for %g: %v", x, err))
				break
			}
		}
		p, notes, err := o.point(ctx, v, bed, x)
		out.Notes = append(out.Notes, notes...)
		if err != nil {
			out.Notes = append(out.Notes, fmt.Sprintf("at %g: %v", x, err))
			continue
		}
		out.Points = append(out.Points, p)
	}
	out.fit()
	return out
}

// point applies the drive of one point and measures it. The notes are the drive's.
func (o SlopesOptions) point(ctx context.Context, v variation, bed Bed, x float64) (SizePoint, []string, error) {
	hc := loadgen.NewClient(slopesInFlight)
	defer hc.CloseIdleConnections()
	d := &drive{o: o, bed: bed, hc: hc, observer: observer{bed: bed, hc: hc}}
	rates, size, err := v.drive(ctx, d, x)
	return SizePoint{Size: size, Rates: rates}, d.notes, err
}

func (s *SizeResult) fit() {
	for _, f := range rateFigures {
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

// within says whether a fleet of a size stays within the bounds.
func within(s Size) error {
	if n := s.Daemons + s.Prefill + s.Decode + s.Services + platformProcesses; n > maxProcesses {
		return errors.Errorf("%d processes, the bound is %d", n, maxProcesses)
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
		return errors.New("the machine's memory is not known")
	}
	if free := float64(*m.MemAvailable) / float64(*m.MemTotal); free < 1-maxMemoryShare {
		return errors.Errorf("%.0f%% of the machine's memory is in use", 100*(1-free))
	}
	return nil
}

func (s SizeResult) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n%s, %d points, %s\n", s.Name, len(s.Points), s.Fixed)
	for _, f := range s.Fits {
		_, _ = fmt.Fprintf(w, "  %-26s %12s ± %s %s per %s (at none %s, R² %.2f); points", f.Figure, number(f.Fit.Slope),
			number(f.Fit.SlopeError), f.Unit, s.Unit, number(f.Fit.Intercept), f.Fit.R2)
		for _, p := range f.Fit.Points {
			_, _ = fmt.Fprintf(w, " %s:%s", number(p.X), number(p.Y))
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, n := range s.Notes {
		_, _ = fmt.Fprintf(w, "  note: %s\n", n)
	}
}

// FileSlopes and FileSlopesTable are the files of a run's folder.
const (
	FileSlopes      = "slopes.json"
	FileSlopesTable = "slopes.txt"
)

func (r *SlopeResults) write(dir string) error {
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
		s.write(f)
	}
	return errors.WithStack(f.Close())
}
