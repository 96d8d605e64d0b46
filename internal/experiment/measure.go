package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// The names of the loads. The first three have all kinds of requests, and loadLevels gives
// their arrival rates. LoadUrgentOnly has no drafts; its urgent requests arrive as often as
// under LoadPast.
const (
	LoadBelow      = "below"
	LoadPeak       = "peak"
	LoadPast       = "past"
	LoadUrgentOnly = "urgent alone"
)

// loadLevels lists the loads with all kinds of requests; share is the arrival rate
// divided by the peak rate.
var loadLevels = []struct {
	name  string
	share float64
}{{LoadBelow, 0.5}, {LoadPeak, 1}, {LoadPast, 1.4}}

// MeasureOptions are the options of Measure.
type MeasureOptions struct {
	// Bin is the folder with the programs and Out the folder for the report.
	Bin string
	Out string
	// Runs is the number of repeats of each cell.
	Runs int
	// Seed seeds the arrivals and requests; each repeat adds its number to it.
	Seed uint64
	// Segment is the measured time of one segment. The load runs for Warmup before it.
	Segment time.Duration
	Warmup  time.Duration
	// Timeout is the deadline of one request.
	Timeout time.Duration
	// MaxInFlight limits the concurrent requests of the load generator.
	MaxInFlight int
	// Scale divides the engines' times and the latency targets, so that a short
	// segment serves many requests.
	Scale float64
	// Deployments names the deployments to measure; if it is empty, all are measured.
	Deployments []string
	// Start starts the fleet of a deployment. A line for each segment is written to
	// Progress.
	Start    StartBed
	Progress io.Writer
}

// uniqueName returns a run name for the load generator. It contains the time, so
// that no earlier run has the same name, and has a constant length.
func (o MeasureOptions) uniqueName() string {
	return fmt.Sprintf("m%019d", time.Now().UnixNano())
}

// Results are the options, samples and verdicts of one measurement.
type Results struct {
	Started     time.Time           `json:"started"`
	Took        time.Duration       `json:"took_ns"`
	Runs        int                 `json:"runs"`
	Seed        uint64              `json:"seed"`
	Scale       float64             `json:"scale"`
	Segment     time.Duration       `json:"segment_ns"`
	Warmup      time.Duration       `json:"warmup_ns"`
	Deployments []DeploymentResults `json:"firms"`
	Samples     Samples             `json:"samples"`
	Verdicts    []Verdict           `json:"-"`
}

// DeploymentResults describes one deployment in the results. It has the values that do not
// come from segments, such as the capacity and the overhead of a daemon.
type DeploymentResults struct {
	Name     string           `json:"name"`
	Size     FleetSize        `json:"size"`
	Capacity Capacity         `json:"capacity"`
	Workload loadgen.Workload `json:"workload"`
	Overhead Overhead         `json:"overhead"`
	// Note is the error that stopped the measurement of the deployment or of its
	// overhead, if any.
	Note string `json:"note,omitempty"`
}

// Measure measures the deployments, writes the report and returns the figures. When
// ctx ends or a segment fails, the segments measured so far are still written.
func Measure(ctx context.Context, o MeasureOptions) (*Results, error) {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	res := &Results{
		Started: time.Now().UTC(), Runs: o.Runs, Seed: o.Seed, Scale: o.Scale, Segment: o.Segment, Warmup: o.Warmup,
	}
	for _, f := range Deployments() {
		if ctx.Err() == nil && o.selected(f.Name) {
			f.Size.Scale = o.Scale
			res.Deployments = append(res.Deployments, measureDeployment(ctx, o, f, &res.Samples))
		}
	}
	res.Took = time.Since(res.Started)
	res.computeVerdicts()
	return res, res.Write(o.Out)
}

// selected reports whether a deployment is to be measured.
func (o MeasureOptions) selected(deployment string) bool {
	for _, name := range o.Deployments {
		if name == deployment {
			return true
		}
	}
	return len(o.Deployments) == 0
}

// computeVerdicts computes the verdict of each deployment from the samples.
func (r *Results) computeVerdicts() {
	r.Verdicts = nil
	for _, f := range r.Deployments {
		r.Verdicts = append(r.Verdicts, VerdictOf(r.Samples, f.Name, LoadPeak))
	}
}

// Verdict returns the combined verdict of all deployments.
func (r *Results) Verdict() Verdict { return CombineVerdicts(r.Verdicts) }

// measureDeployment starts the fleet of a deployment, measures the overhead of a daemon
// and all segments, and appends their samples to samples.
func measureDeployment(ctx context.Context, o MeasureOptions, f Deployment, samples *Samples) DeploymentResults {
	out := DeploymentResults{Name: f.Name, Size: f.Size}
	bed, err := o.Start(ctx, o.Bin, f.Size)
	if err != nil {
		out.Note = "start: " + err.Error()
		return out
	}
	defer bed.Close()
	r := &runner{opts: o, deployment: f, bed: bed, client: loadgen.NewClient(o.MaxInFlight), targets: ScaledTargets(o.Scale)}
	defer r.client.CloseIdleConnections()
	out.Workload = DeploymentWorkload(bed.Teams())
	out.Capacity, err = EstimateCapacity(out.Workload, f.Size.Prefill, f.Size.Decode, o.Scale)
	if err != nil {
		out.Note = err.Error()
		return out
	}
	if out.Overhead, err = r.measureOverhead(ctx); err != nil {
		out.Note = "overhead: " + err.Error()
	}
	for _, s := range planSegments(o, f, out.Workload, out.Capacity.PeakRate) {
		if ctx.Err() != nil {
			break
		}
		sample := r.runSegment(ctx, s)
		*samples = append(*samples, sample)
		printProgress(o.Progress, sample)
	}
	return out
}

// planSegments returns the segments of a deployment in the order of their runs. Each
// repeat has every arm under each load, the project's own policy with urgent
// requests only, the ablations at the peak, and the first two arms under each fault.
// peak is in arrivals a second.
func planSegments(o MeasureOptions, f Deployment, w loadgen.Workload, peak float64) []segment {
	var out []segment
	add := func(repeat int, arm Arm, load string, rate float64, fault *Fault) {
		s := segment{cell: Cell{Deployment: f.Name, Load: load, Arm: arm.Name}, repeat: repeat, arm: arm, workload: w, fault: fault}
		s.workload.Rate = rate
		if fault != nil {
			s.cell.Fault = fault.Name
		}
		out = append(out, s)
	}
	for repeat := range o.Runs {
		for _, load := range loadLevels {
			for _, arm := range rotateArms(Arms(), repeat) {
				add(repeat, arm, load.name, peak*load.share, nil)
			}
		}
		out = append(out, urgentOnlySegment(f, w, peak, repeat))
		for _, arm := range rotateArms(Ablations(), repeat) {
			add(repeat, arm, LoadPeak, peak, nil)
		}
		for _, fault := range Faults() {
			for _, arm := range rotateArms(Arms()[:2], repeat) {
				add(repeat, arm, LoadPeak, peak, &fault)
			}
		}
	}
	return out
}

// urgentOnlySegment returns a segment that measures the project's own policy under
// LoadUrgentOnly. Its arrival rate is that of the highest load less the share of drafts,
// so that urgent requests arrive as often as under the highest load.
func urgentOnlySegment(f Deployment, w loadgen.Workload, peak float64, repeat int) segment {
	totalShare := w.Mix.Total()
	w.Mix.Draft = 0
	w.Rate = peak * loadLevels[len(loadLevels)-1].share * w.Mix.Total() / totalShare
	return segment{cell: Cell{Deployment: f.Name, Load: LoadUrgentOnly, Arm: ReserveArm}, repeat: repeat, arm: Arms()[0], workload: w}
}

// printProgress writes one line about a finished segment.
func printProgress(w io.Writer, s Sample) {
	name := s.Deployment + " " + s.Load + " " + s.Arm
	if s.Fault != "" {
		name += " (" + s.Fault + ")"
	}
	if s.Report == nil {
		_, _ = fmt.Fprintf(w, "%-58s #%d not measured: %s\n", name, s.Repeat+1, s.Note)
		return
	}
	_, _ = fmt.Fprintf(w, "%-58s #%d goodput %.1f/s of %.1f/s, wasted prefill %.2f%%, urgent p95 %.0f ms, refused %.0f%%, lost %d, doubled %d %s\n",
		name, s.Repeat+1, s.Value(Goodput), s.Rate, 100*s.Value(WastedPrefill), s.Value(UrgentFirst95),
		100*s.Value(RefusedShare), s.Report.Lost(), s.Report.Doubled(), s.Note)
}
