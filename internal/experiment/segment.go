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
	// idleBound is how long engines may take to free everything between two segments.
	idleBound = 15 * time.Second
	idlePoll  = 50 * time.Millisecond
	// faultAt is the part of the measured time after which a fault begins.
	faultAt = 0.25
)

// segment is one arm under one load, once.
type segment struct {
	cell     Cell
	repeat   int
	arm      Arm
	workload loadgen.Workload
	fault    *Fault
}

// bench is one running bed with what is measured on it.
type bench struct {
	o       MeasureOptions
	firm    Firm
	bed     Bed
	hc      *http.Client
	targets loadgen.Targets
}

// run measures one segment. A segment that could not be run keeps its error as
// a note, so that the report shows the hole.
func (b *bench) run(ctx context.Context, s segment) Sample {
	out := Sample{Cell: s.cell, Repeat: s.repeat, Rate: s.workload.Rate}
	if err := b.prepare(ctx, s.arm); err != nil {
		out.Note = err.Error()
		return out
	}
	before, err := b.engineWork(ctx)
	if err != nil {
		out.Note = err.Error()
		return out
	}
	var wg conc.WaitGroup
	faultCtx, stop := context.WithCancel(ctx)
	if s.fault != nil {
		wg.Go(func() { out.Note = b.inject(faultCtx, s.fault) })
	}
	report, err := loadgen.Run(ctx, b.options(s))
	stop()
	wg.Wait()
	if err != nil {
		out.Note = err.Error()
		return out
	}
	out.Report = report
	after, err := b.engineWork(ctx)
	if err != nil {
		out.Note = err.Error()
	}
	out.Engines = after.since(before)
	return out
}

func (b *bench) options(s segment) loadgen.Options {
	var daemons, controls []string
	for _, d := range b.bed.Daemons() {
		daemons = append(daemons, d.URL)
	}
	for _, n := range b.bed.Services() {
		controls = append(controls, n.Control)
	}
	return loadgen.Options{
		Daemons: daemons, Workload: s.workload, Seed: b.o.Seed + uint64(s.repeat),
		Name:     b.o.uniqueName(),
		Duration: b.o.Warmup + b.o.Segment, Warmup: b.o.Warmup,
		MaxInFlight: b.o.MaxInFlight, Timeout: b.o.Timeout, Replay: true,
		Targets: b.targets, Client: b.hc,
		Executions: loadgen.ServiceExecutions(b.hc, controls),
	}
}

// prepare rolls the arm's bundle and waits until the fleet is idle.
func (b *bench) prepare(ctx context.Context, arm Arm) error {
	next := b.bed.Bundle()
	next.Policy = arm.Apply(next.Policy)
	next.Policy.GoodputWeight = b.firm.GoodputWeight
	next.Policy.WastedPrefillWeight = b.firm.WastedPrefillWeight
	setTargets(next, b.targets)
	if err := b.bed.Roll(ctx, next); err != nil {
		return errors.Wrap(err, "roll")
	}
	return b.waitIdle(ctx)
}

// waitIdle waits until no engine holds anything of the segment before.
func (b *bench) waitIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, idleBound)
	defer cancel()
	for {
		held, err := b.held(ctx)
		if err == nil && held == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("engines still hold %d pieces of work after %s (last error: %v)", held, idleBound, err)
		case <-time.After(idlePoll):
		}
	}
}

func (b *bench) held(ctx context.Context) (int, error) {
	sum := 0
	for _, n := range b.bed.Engines() {
		var st engine.Stats
		if err := loadgen.GetJSON(ctx, b.hc, n.Control+"/stats", &st); err != nil {
			return sum, err
		}
		sum += st.Held
	}
	return sum, nil
}

// engineWork adds up the engines' counters by engine and incarnation.
func (b *bench) engineWork(ctx context.Context) (work workByEngine, err error) {
	work = workByEngine{}
	for _, n := range b.bed.Engines() {
		var st engine.Stats
		if err := loadgen.GetJSON(ctx, b.hc, n.Control+"/stats", &st); err != nil {
			return work, err
		}
		work[fmt.Sprintf("%s/%d", n.Name, st.Incarnation)] = st
	}
	return work, nil
}

// workByEngine holds the counters of each life of each engine.
type workByEngine map[string]engine.Stats

// since returns what was done after before. The work of an engine that was
// killed in between is lost with its counters.
func (w workByEngine) since(before workByEngine) EngineWork {
	var out EngineWork
	for life, st := range w {
		was := before[life]
		out.Prefills += st.Prefills - was.Prefills
		out.PrefillTokens += st.PrefillTokens - was.PrefillTokens
		out.CachedTokens += st.CachedTokens - was.CachedTokens
		out.WastedTokens += st.WastedTokens - was.WastedTokens
		out.Expired += st.Expired - was.Expired
		out.Refusals += st.Refusals - was.Refusals
		out.Decodes += st.Decodes - was.Decodes
		out.Tokens += st.Tokens - was.Tokens
	}
	return out
}
