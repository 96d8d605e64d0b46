package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
)

const (
	// idleTimeout limits the wait for engines to become idle between two segments.
	idleTimeout      = 15 * time.Second
	idlePollInterval = 50 * time.Millisecond
	// faultStartShare is the share of the measured time that passes before a fault is
	// injected.
	faultStartShare = 0.25
)

// segment describes one planned run of the load generator, which measures an arm under a
// load, with or without a fault.
type segment struct {
	cell     Cell
	repeat   int
	arm      Arm
	workload loadgen.Workload
	fault    *Fault // nil for none
}

// runner runs the segments of one deployment on its running fleet.
type runner struct {
	opts       MeasureOptions
	deployment Deployment
	bed        Bed
	client     *http.Client
	targets    loadgen.Targets
}

// runSegment runs one segment and returns its sample. If the segment could not be
// run, the error is the sample's Note, so that the report shows that it is missing.
func (r *runner) runSegment(ctx context.Context, s segment) Sample {
	out := Sample{Cell: s.cell, Repeat: s.repeat, Rate: s.workload.Rate}
	if err := r.prepare(ctx, s.arm); err != nil {
		out.Note = err.Error()
		return out
	}
	before, err := r.engineStats(ctx)
	if err != nil {
		out.Note = err.Error()
		return out
	}
	var wg conc.WaitGroup
	faultCtx, stop := context.WithCancel(ctx)
	if s.fault != nil {
		wg.Go(func() { out.Note = r.injectFault(faultCtx, s.fault) })
	}
	report, err := loadgen.Run(ctx, r.loadOptions(s))
	stop()
	wg.Wait()
	if err != nil {
		out.Note = err.Error()
		return out
	}
	out.Report = report
	after, err := r.engineStats(ctx)
	if err != nil {
		out.Note = err.Error()
	}
	out.Engines = after.workSince(before)
	return out
}

// loadOptions returns the load generator's options for a segment. The seed depends
// on the repeat alone, so that every arm of a repeat gets the same requests.
func (r *runner) loadOptions(s segment) loadgen.Options {
	var daemons, controls []string
	for _, d := range r.bed.Daemons() {
		daemons = append(daemons, d.URL)
	}
	for _, n := range r.bed.Services() {
		controls = append(controls, n.Control)
	}
	return loadgen.Options{
		Daemons: daemons, Workload: s.workload, Seed: r.opts.Seed + uint64(s.repeat),
		Name:     r.opts.uniqueName(),
		Duration: r.opts.Warmup + r.opts.Segment, Warmup: r.opts.Warmup,
		MaxInFlight: r.opts.MaxInFlight, Timeout: r.opts.Timeout, Replay: true,
		Targets: r.targets, Client: r.client,
		Executions: loadgen.ServiceExecutions(r.client, controls),
	}
}

// prepare publishes a bundle with the arm's policy, waits until it is in force on
// every daemon and then until the engines are idle.
func (r *runner) prepare(ctx context.Context, arm Arm) error {
	next := r.bed.Bundle()
	next.Policy = arm.Apply(next.Policy)
	next.Policy.GoodputWeight = r.deployment.GoodputWeight
	next.Policy.WastedPrefillWeight = r.deployment.WastedPrefillWeight
	setLatencyTargets(next, r.targets)
	if err := r.bed.RollOut(ctx, next); err != nil {
		return errors.Wrap(err, "publish bundle")
	}
	return r.waitIdle(ctx)
}

// waitIdle waits until no engine holds work of the previous segment.
func (r *runner) waitIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	for {
		held, err := r.heldWork(ctx)
		if err == nil && held == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("engines still hold %d prefills and decodes after %s (last error: %v)", held, idleTimeout, err)
		case <-time.After(idlePollInterval):
		}
	}
}

// heldWork returns the number of prefills and decodes that the engines hold, summed over
// all engines.
func (r *runner) heldWork(ctx context.Context) (int, error) {
	sum := 0
	for _, n := range r.bed.Engines() {
		var st engine.Stats
		if err := loadgen.GetJSON(ctx, r.client, n.Control+"/stats", &st); err != nil {
			return sum, err
		}
		sum += st.Held
	}
	return sum, nil
}

// engineStats reads the statistics of every engine.
func (r *runner) engineStats(ctx context.Context) (work statsByIncarnation, err error) {
	work = statsByIncarnation{}
	for _, n := range r.bed.Engines() {
		var st engine.Stats
		if err := loadgen.GetJSON(ctx, r.client, n.Control+"/stats", &st); err != nil {
			return work, err
		}
		work[fmt.Sprintf("%s/%d", n.Name, st.Incarnation)] = st
	}
	return work, nil
}

// statsByIncarnation maps "name/incarnation" of an engine to its statistics. The
// incarnation changes when an engine restarts, which resets its counters.
type statsByIncarnation map[string]engine.Stats

// workSince returns the increase of the counters since before, summed over the
// engines. The work of an engine that was killed in between is missing, since its
// counters ended with its process.
func (w statsByIncarnation) workSince(before statsByIncarnation) EngineWork {
	var out EngineWork
	for incarnation, st := range w {
		earlier := before[incarnation]
		out.Prefills += st.Prefills - earlier.Prefills
		out.PrefillTokens += st.PrefillTokens - earlier.PrefillTokens
		out.CachedTokens += st.CachedTokens - earlier.CachedTokens
		out.WastedTokens += st.WastedTokens - earlier.WastedTokens
		out.Expired += st.Expired - earlier.Expired
		out.Refusals += st.Refusals - earlier.Refusals
		out.Decodes += st.Decodes - earlier.Decodes
		out.Tokens += st.Tokens - earlier.Tokens
	}
	return out
}
