package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/loadgen"
)

const (
	// slopesInFlight limits the concurrent requests of one point.
	slopesInFlight = 2000
	// platformProcesses is the maximum number of processes of the platform's
	// stand-ins in a fleet.
	platformProcesses = 3
	// requestTimeout is the deadline of one request.
	requestTimeout = 30 * time.Second
	// streamTokens is the maximum number of tokens of an answer in the sweep of the
	// parameter "tokens".
	streamTokens = 200
)

// sizeSweep describes a sweep: how one parameter is varied and the cost measured at each
// of its values.
type sizeSweep struct {
	// name, unit and fixed become the fields of SizeResult.
	name, unit, fixed string
	// points are the values of the parameter, in its unit.
	points []float64
	// freshFleet is set if each point needs a newly started fleet.
	freshFleet bool
	// fleetSize returns the size of the fleet for the value x of the parameter.
	fleetSize func(x float64) FleetSize
	// measure sets the parameter to x for the settling time and the window, and
	// returns the rates in the window and the measured value of the parameter.
	measure func(ctx context.Context, p *pointRun, x float64) (Rates, float64, error)
}

// baseSize returns the size of the small fleet from which every sweep starts.
func baseSize() FleetSize {
	return FleetSize{DataCentres: 1, Daemons: 3, Prefill: 1, Decode: 2, Services: 1, Teams: 4, Scale: 1}
}

// baseSizeWith returns a function for sizeSweep.fleetSize that applies change to the
// base size.
func baseSizeWith(change func(s *FleetSize, x int)) func(float64) FleetSize {
	return func(x float64) FleetSize {
		s := baseSize()
		change(&s, int(x))
		return s
	}
}

// sizeSweeps returns the sweeps in the order in which they run.
func sizeSweeps() []sizeSweep {
	fixed := baseSizeWith(func(*FleetSize, int) {})
	const base = "1 data centre, 3 daemons, 3 engines, 1 service, 4 teams"
	return []sizeSweep{
		{name: "daemons", unit: "daemon in the data centre", fixed: "no requests; 3 engines, 1 service, 4 teams", points: []float64{2, 6, 12, 24}, freshFleet: true,
			fleetSize: baseSizeWith(func(s *FleetSize, x int) { s.Daemons = x }), measure: measureWithoutLoad},
		{name: "replicas", unit: "replica", fixed: "no requests; 3 daemons, 4 teams", points: []float64{4, 12, 24, 48}, freshFleet: true,
			fleetSize: baseSizeWith(func(s *FleetSize, x int) { s.Services = 1; s.Prefill = x / 4; s.Decode = x - x/4 - 1 }), measure: measureWithoutLoad},
		{name: "busy replicas", unit: "replica with 5 short completions/s", fixed: "a completion as often as replicas allow; 3 daemons, 4 teams", points: []float64{4, 8, 16, 28}, freshFleet: true,
			fleetSize: baseSizeWith(func(s *FleetSize, x int) { s.Services = 1; s.Prefill = x / 4; s.Decode = x - x/4 }), measure: measureBusyReplicas},
		{name: "requests", unit: "look-up/s at a daemon", fixed: base, points: []float64{20, 60, 120, 240}, fleetSize: fixed, measure: measureLookups},
		{name: "tokens", unit: "token/s at a daemon", fixed: "3 daemons, 6 engines, 1 service, 4 teams; streams of about 150 tokens", points: []float64{50, 150, 300, 500},
			fleetSize: baseSizeWith(func(s *FleetSize, _ int) { s.Prefill, s.Decode = 2, 4 }), measure: measureTokens},
		{name: "teams", unit: "team in the bundle", fixed: base + ", no requests", points: []float64{10, 400, 1600, 6400}, fleetSize: fixed, measure: measureTeams},
		{name: "changes", unit: "bundle change/s", fixed: base + ", no requests", points: []float64{0.2, 0.5, 1, 2}, fleetSize: fixed, measure: measureBundleChanges},
		{name: "claims", unit: "claim/s of the fleet", fixed: base, points: []float64{5, 15, 30, 60}, fleetSize: fixed, measure: measureClaims},
		{name: "claims of a large fleet", unit: "claim/s of the fleet", fixed: "24 daemons, of which 2 read a shard; 3 engines, 1 service, 4 teams", points: []float64{5, 15, 30, 60},
			fleetSize: baseSizeWith(func(s *FleetSize, _ int) { s.Daemons = 24 }), measure: measureClaims},
		{name: "restarts", unit: "daemon restart/s in the data centre", fixed: "no requests; 6 daemons, 3 engines, 1 service, 4 teams", points: []float64{0, 0.1, 0.25, 0.5},
			fleetSize: baseSizeWith(func(s *FleetSize, _ int) { s.Daemons = 6 }), measure: measureRestarts},
	}
}

// pointRun is the state of the measurement of one point.
type pointRun struct {
	opts     SlopesOptions
	bed      Bed
	client   *http.Client
	observer fleetObserver
	// notes are remarks on the point, which become notes of the SizeResult.
	notes []string
}

// measureWindow waits for the settling time and returns the rates in the window.
func (p *pointRun) measureWindow(ctx context.Context) (Rates, error) {
	if !clock.Sleep(ctx, p.opts.Settle) {
		return Rates{}, ctx.Err()
	}
	before, err := p.observer.read(ctx)
	if err != nil {
		return Rates{}, err
	}
	if !clock.Sleep(ctx, p.opts.Window) {
		return Rates{}, ctx.Err()
	}
	after, err := p.observer.read(ctx)
	if err != nil {
		return Rates{}, err
	}
	return ratesBetween(before, after), nil
}

// measureDuring returns the rates in the window while work runs in the background. It
// cancels the context of work at the end of the window and waits for work to return.
func (p *pointRun) measureDuring(ctx context.Context, work func(context.Context) error) (Rates, error) {
	ctx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	var workErr error
	wg.Go(func() { workErr = work(ctx) })
	rates, err := p.measureWindow(ctx)
	stop()
	wg.Wait()
	if err == nil && !errors.Is(workErr, context.Canceled) {
		err = workErr
	}
	return rates, err
}

// measureWithoutLoad measures the fleet without requests.
func measureWithoutLoad(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	r, err := p.measureWindow(ctx)
	return r, x, err
}

// measureUnderLoad runs the load generator at rate arrivals a second for the settling
// time and the window. The workload is the default workload with the changes that shape
// makes. It returns the rates in the window and the load generator's report, which covers
// the settling time too.
func (p *pointRun) measureUnderLoad(ctx context.Context, rate float64, shape func(*loadgen.Workload)) (Rates, *loadgen.Report, error) {
	w := loadgen.DefaultWorkload()
	setTestbedNames(&w)
	w.Rate, w.Teams, w.RepeatShare, w.CancelShare = rate, p.bed.Teams(), 0, 0
	shape(&w)
	var daemons []string
	for _, n := range p.bed.Daemons() {
		daemons = append(daemons, n.URL)
	}
	var rep *loadgen.Report
	rates, err := p.measureDuring(ctx, func(context.Context) error {
		var err error
		rep, err = loadgen.Run(ctx, loadgen.Options{
			Daemons: daemons, Workload: w, Seed: p.opts.Seed, Name: fmt.Sprintf("s%019d", time.Now().UnixNano()),
			Duration: p.opts.Settle + p.opts.Window, MaxInFlight: slopesInFlight, Timeout: requestTimeout, Client: p.client,
			Targets: ScaledTargets(1),
		})
		return err
	})
	return rates, rep, err
}

// answerRate returns the answered requests a second.
func (p *pointRun) answerRate(rep *loadgen.Report) float64 {
	return float64(rep.All.Count(loadgen.Answered)) / (p.opts.Settle + p.opts.Window).Seconds()
}

// measureLookups sends look-ups at a rate of x a second to each daemon. The measured
// value is the rate of answered look-ups per daemon.
func measureLookups(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	n := float64(len(p.bed.Daemons()))
	r, rep, err := p.measureUnderLoad(ctx, x*n, func(w *loadgen.Workload) { w.Mix = loadgen.Mix{Lookup: 1} })
	if err != nil {
		return r, x, err
	}
	return r, p.answerRate(rep) / n, nil
}

// measureBusyReplicas sends short completions at a rate of 5 a second for each of x
// replicas, so that the load of every replica changes all the time. The measured value
// is the number of replicas that corresponds to the rate of answers.
func measureBusyReplicas(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	const perReplica = 5
	r, rep, err := p.measureUnderLoad(ctx, x*perReplica, func(w *loadgen.Workload) { w.Mix = loadgen.Mix{Short: 1} })
	if err != nil {
		return r, x, err
	}
	return r, p.answerRate(rep) / perReplica, nil
}

// measureTokens streams answers at a rate of x tokens a second from each daemon. The
// measured value is the rate per daemon of tokens that callers received. It varies a
// little with the answers that are in progress when the load starts and ends; the
// standard error of the slope includes this.
func measureTokens(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	n := float64(len(p.bed.Daemons()))
	const meanAnswer = 0.75 * streamTokens
	r, rep, err := p.measureUnderLoad(ctx, x*n/meanAnswer, func(w *loadgen.Workload) {
		w.Mix, w.StreamShare, w.SharedShare = loadgen.Mix{Draft: 1}, 1, 0
		w.DraftTokens = loadgen.SizeDistribution{Median: streamTokens, Min: streamTokens, Max: streamTokens}
		w.DraftPrompt = loadgen.SizeDistribution{Median: 50, Min: 50, Max: 50}
	})
	if err != nil {
		return r, x, err
	}
	return r, float64(rep.TokensReceived) / (p.opts.Settle + p.opts.Window).Seconds() / n, nil
}

// measureClaims sends non-idempotent calls of the plain service at a rate of x a
// second to the whole fleet; each needs a claim of its idempotency key. The measured
// value is the rate of answered calls.
func measureClaims(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	r, rep, err := p.measureUnderLoad(ctx, x, func(w *loadgen.Workload) { w.Mix = loadgen.Mix{Submit: 1} })
	if err != nil {
		return r, x, err
	}
	return r, p.answerRate(rep), nil
}

// measureTeams publishes a bundle with x teams and measures the idle fleet.
func measureTeams(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	b := p.bed.Bundle()
	for i := len(b.Teams); i < int(x); i++ {
		b.Teams[fmt.Sprintf("team-%05d", i)] = bundle.Team{
			Weight: 1, Class: bundle.Draft, KeyDigests: []string{fmt.Sprintf("%064x", i)},
		}
	}
	if err := p.bed.RollOut(ctx, b); err != nil {
		return Rates{}, x, err
	}
	r, err := p.measureWindow(ctx)
	return r, float64(len(b.Teams)), err
}

// measureBundleChanges publishes a bundle with a small change up to x times a second.
// Before each change it waits until the previous one is in force on every daemon, so the
// measured rate may be lower than x.
func measureBundleChanges(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	published := 0
	var slowest time.Duration
	start := time.Now()
	r, err := p.measureDuring(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / x))
		defer ticker.Stop()
		for ctx.Err() == nil {
			b := p.bed.Bundle()
			b.Policy.RetryBudget = 0.1 + 0.001*float64(published%50)
			publishStart := time.Now()
			if err := p.bed.RollOut(ctx, b); err != nil {
				if ctx.Err() != nil { // the window ended before the change was in force
					return nil
				}
				return err
			}
			published++
			slowest = max(slowest, time.Since(publishStart))
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
		return nil
	})
	p.notes = append(p.notes, fmt.Sprintf("at %g: the slowest of %d changes was in force everywhere after %s",
		x, published, slowest.Round(time.Millisecond)))
	return r, float64(published) / time.Since(start).Seconds(), err
}

// measureRestarts kills and restarts daemons of the second half of the fleet in turn, at
// a rate of x restarts a second. The returned rates are those of the daemons that were not
// restarted during the window.
func measureRestarts(ctx context.Context, p *pointRun, x float64) (Rates, float64, error) {
	if x == 0 {
		return measureWithoutLoad(ctx, p, x)
	}
	restarted := p.bed.Daemons()[len(p.bed.Daemons())/2:]
	restarts := 0
	start := time.Now()
	r, err := p.measureDuring(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / x))
		defer ticker.Stop()
		for ctx.Err() == nil {
			name := restarted[restarts%len(restarted)].Name
			if err := p.bed.Kill(ctx, name); err != nil {
				return err
			}
			if err := p.bed.Restart(context.WithoutCancel(ctx), name); err != nil {
				return err
			}
			restarts++
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
		return nil
	})
	return r, float64(restarts) / time.Since(start).Seconds(), err
}
