package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// The files with the raw figures and the report in the folder of a measurement.
const (
	FileRaw    = "measure.json"
	FileReport = "README.md"
)

// The goals of the project.
const (
	// goalGoodput is the minimum ratio of goodput at the peak to the best baseline's.
	goalGoodput = 1.5
	// goalWastedShare is the value below which the share of wasted prompt tokens at the
	// peak must stay; goalWastedRatio is its maximum ratio to the best baseline's share.
	goalWastedShare = 0.01
	goalWastedRatio = 0.1
	// goalUrgentRatio is the maximum ratio of two 95th percentiles of the time to first
	// token of urgent requests: that under LoadPast to that under LoadUrgentOnly.
	goalUrgentRatio = 1.2
	// goalOverheadMillis is the value below which the overhead of a daemon at the 99th
	// percentile must stay.
	goalOverheadMillis = 1.0
)

// Write writes the raw figures, the report and its charts into the folder dir.
func (r *Results) Write(dir string) error {
	if err := writeJSON(filepath.Join(dir, FileRaw), r); err != nil {
		return err
	}
	return r.Render(dir)
}

// writeJSON writes v as indented JSON with a final newline.
func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, append(raw, '\n'), 0o644))
}

// ReadResults reads the raw figures from the folder dir and computes the verdicts.
func ReadResults(dir string) (*Results, error) {
	raw, err := os.ReadFile(filepath.Join(dir, FileRaw))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := &Results{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, errors.Wrap(err, FileRaw)
	}
	r.computeVerdicts()
	return r, nil
}

// Render writes the report and its charts into the folder dir.
func (r *Results) Render(dir string) error {
	f, err := os.Create(filepath.Join(dir, FileReport))
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	r.writeReport(f)
	for _, deployment := range r.Deployments {
		if err := r.writeCharts(dir, deployment); err != nil {
			return errors.Wrap(err, deployment.Name)
		}
	}
	return errors.WithStack(f.Close())
}

// writeReport writes the whole report as Markdown.
func (r *Results) writeReport(w io.Writer) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printf("# Measurement of %s\n", r.Started.Format("2006-01-02 15:04 UTC"))
	printf("`make measure`, %d repeats of each cell, seed %d, segments of %s after a warm-up of %s, time scale %g, %s in all.",
		r.Runs, r.Seed, r.Segment, r.Warmup, r.Scale, r.Took.Round(1e9))
	printf("%s", methodText)
	for _, f := range r.Deployments {
		r.writeDeployment(w, f)
	}
	printf("\n`%s`", r.Verdict())
}

// methodText is the section of the report that explains how figures are measured.
const methodText = `
Real daemons and stand-ins as processes on loopback. Arrivals are open-loop, Poisson and seeded: every arm of a repeat
meets the same requests at the same times, and the arms take turns in another order in each repeat. A figure is the mean
over the repeats with the lowest and the highest in brackets.

- *Goodput* counts whole, right completions within both latency targets, a second; calls of plain services are counted
  apart. The targets are the callers', 0.97 s and 57 ms, divided by the time scale. A stream is judged by its
  first token, from the scheduled arrival, and by the mean gap between its tokens; an answer that was not streamed by
  when a stream exactly on target would have ended; a plain service's answer by the first-token target.
- *Wasted prefill* is the share of computed prompt tokens whose result no decode engine imported, by the engines' own
  counters. *Prefills without a finished decode* compares prefills started with completions that callers got whole; a
  completion whose caller went away counts as finished. Engines killed in a segment take their counters with them.
- *The peak* is the arrival rate that keeps 95% of the decode slots busy, from the stand-in's constants.
- A *data centre cut* separates its daemons from the other daemons and from the platform. Engines of every data centre stay
  within reach, since they are dialled directly; a steward that hears nothing of an owner takes it for dead and frees its
  work, so that streams across the cut break, as they would if engines were cut off too.
- The time scale divides the engines' times, their lags and the latency targets alike; network and daemons are not scaled,
  so that their share of each latency is too large by that factor.`

// writeDeployment writes the section of one deployment: goals, tables, notes and charts.
func (r *Results) writeDeployment(w io.Writer, f DeploymentResults) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printf("\n## %s\n", f.Name)
	printf("%d data centres, %d daemons, %d prefill and %d decode engines, %d replicas of a plain service. An arrival costs %.0f decode and "+
		"%.0f prefill tokens in the mean; the peak is %.1f arrivals/s (prefill engines alone would carry %.1f/s).",
		f.Size.DataCentres, f.Size.Daemons, f.Size.Prefill, f.Size.Decode, f.Size.Services,
		f.Capacity.DecodeTokens, f.Capacity.PrefillTokens, f.Capacity.PeakRate, f.Capacity.PrefillRate)
	if f.Note != "" {
		printf("\n**Not whole:** %s", f.Note)
	}
	r.writeGoals(w, f)
	for _, load := range []string{LoadPeak, LoadBelow, LoadPast, LoadUrgentOnly} {
		r.writeTable(w, load, r.cells(f.Name, load, ""))
	}
	for _, fault := range Faults() {
		r.writeTable(w, LoadPeak+", "+fault.Name, r.cells(f.Name, LoadPeak, fault.Name))
	}
	r.writeNotes(w, f.Name)
	printf("\n![Goodput](%s-goodput.svg)\n![Wasted prefill](%s-wasted.svg)\n![Urgent](%s-urgent.svg)\n![Faults](%s-faults.svg)",
		f.Name, f.Name, f.Name, f.Name)
}

// cells returns the measured cells of a deployment under a load and fault, one for
// each arm; an empty fault means none.
func (r *Results) cells(deployment, load, fault string) []Cell {
	return slices.DeleteFunc(r.Samples.Cells(), func(c Cell) bool {
		return c.Deployment != deployment || c.Load != load || c.Fault != fault
	})
}

// writeGoals writes a table with the measured value of each goal and whether it is
// met. A value that was not measured meets no goal.
func (r *Results) writeGoals(w io.Writer, f DeploymentResults) {
	v := VerdictOf(r.Samples, f.Name, LoadPeak)
	cell := func(load string) Cell { return Cell{Deployment: f.Name, Load: load, Arm: ReserveArm} }
	wasted := r.Samples.Summary(cell(LoadPeak), WastedPrefill)
	urgent := Ratio(r.Samples.Summary(cell(LoadPast), UrgentFirst95), r.Samples.Summary(cell(LoadUrgentOnly), UrgentFirst95))
	short := Ratio(r.Samples.Summary(cell(LoadPast), ShortFirst95), r.Samples.Summary(cell(LoadUrgentOnly), ShortFirst95))
	rows := []struct {
		goal, figure string
		met          bool
	}{
		{"goodput at the peak at least 1.5 times the best baseline", fmt.Sprintf("x%.2f", v.Goodput), v.Goodput >= goalGoodput},
		{"wasted prefill under 1%", fmt.Sprintf("%.2f%%", 100*wasted.Mean), wasted.N > 0 && wasted.Mean < goalWastedShare},
		{"wasted prefill at most a tenth of the best baseline's", fmt.Sprintf("x%.2f", v.WastedPrefill), v.WastedPrefill <= goalWastedRatio},
		{"urgent p95 first token with drafts saturating within 1.2 times its value without drafts", fmt.Sprintf("x%.2f", urgent), urgent <= goalUrgentRatio},
		{"the same for urgent completions alone", fmt.Sprintf("x%.2f", short), short <= goalUrgentRatio},
		{"overhead of the daemon under 1 ms at the 99th percentile", fmt.Sprintf("%.2f ms (direct %.2f ms, through a daemon %.2f ms)",
			f.Overhead.Added(), f.Overhead.Direct.P99, f.Overhead.Daemon.P99), f.Overhead.Added() < goalOverheadMillis},
	}
	_, _ = fmt.Fprintln(w, "\n| goal | measured | met |\n|---|---|---|")
	for _, row := range rows {
		met := "no"
		if row.met {
			met = "yes"
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s |\n", row.goal, row.figure, met)
	}
}

// writeTable writes a table with a row for each figure and a column for each cell. It
// writes nothing if there are no cells.
func (r *Results) writeTable(w io.Writer, title string, cells []Cell) {
	if len(cells) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n### %s\n\n| figure |", title)
	for _, c := range cells {
		_, _ = fmt.Fprintf(w, " %s |", c.Arm)
	}
	_, _ = fmt.Fprintf(w, "\n|---|%s\n", strings.Repeat("---|", len(cells)))
	for _, f := range Figures() {
		_, _ = fmt.Fprintf(w, "| %s |", f)
		for _, c := range cells {
			_, _ = fmt.Fprintf(w, " %s |", r.Samples.Summary(c, f))
		}
		_, _ = fmt.Fprintln(w)
	}
}

// writeNotes lists the errors of segments, the requests that ended in a fault of the
// system, and the refusals by the project's own policy.
func (r *Results) writeNotes(w io.Writer, deployment string) {
	for _, s := range r.Samples {
		if s.Deployment != deployment {
			continue
		}
		if s.Note != "" {
			_, _ = fmt.Fprintf(w, "\n- %s %s %s #%d: %s", s.Load, s.Fault, s.Arm, s.Repeat+1, s.Note)
		}
		if s.Report == nil {
			continue
		}
		for _, f := range s.Report.Faults {
			_, _ = fmt.Fprintf(w, "\n- %s %s %s #%d: %s %s %s: %s", s.Load, s.Fault, s.Arm, s.Repeat+1, f.Outcome, f.Kind, f.Key, f.Detail)
		}
		if s.Arm == ReserveArm {
			for _, k := range s.Report.Refusals {
				_, _ = fmt.Fprintf(w, "\n- %s %s %s #%d: %d callers got %s (%s)", s.Load, s.Fault, s.Arm, s.Repeat+1, k.Count, k.Kind, k.Run)
			}
		}
	}
	_, _ = fmt.Fprintln(w)
}
