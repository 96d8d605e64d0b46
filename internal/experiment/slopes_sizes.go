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
	// slopesInFlight bounds the requests at once of one point.
	slopesInFlight = 2000
	// platformProcesses is how many processes the platform's stand-ins are at most.
	platformProcesses = 3
	// requestTimeout is the deadline of one request.
	requestTimeout = 30 * time.Second
	// streamTokens is the length of the answers of the tokens size.
	streamTokens = 200
)

// variation is one size that is varied, and what drives it.
type variation struct {
	name, unit, fixed string
	points            []float64
	// fresh says that each point needs a fleet of its own.
	fresh bool
	size  func(x float64) Size
	// drive brings the size about for the settling time and the window, and
	// returns the rates and the size as measured.
	drive func(ctx context.Context, d *drive, x float64) (Rates, float64, error)
}

// baseSize is the small fleet on which one size at a time is varied.
func baseSize() Size {
	return Size{DataCentres: 1, Daemons: 3, Prefill: 1, Decode: 2, Services: 1, Teams: 4, Scale: 1}
}

func sized(change func(s *Size, x int)) func(float64) Size {
	return func(x float64) Size {
		s := baseSize()
		change(&s, int(x))
		return s
	}
}

func varied() []variation {
	fixed := sized(func(*Size, int) {})
	const base = "1 data centre, 3 daemons, 3 engines, 1 service, 4 teams"
	return []variation{
		{name: "daemons", unit: "daemon in the data centre", fixed: "no requests; 3 engines, 1 service, 4 teams", points: []float64{2, 6, 12, 24}, fresh: true,
			size: sized(func(s *Size, x int) { s.Daemons = x }), drive: quiet},
		{name: "replicas", unit: "replica", fixed: "no requests; 3 daemons, 4 teams", points: []float64{4, 12, 24, 48}, fresh: true,
			size: sized(func(s *Size, x int) { s.Services = 1; s.Prefill = x / 4; s.Decode = x - x/4 - 1 }), drive: quiet},
		{name: "busy replicas", unit: "replica with 5 short completions/s", fixed: "a completion as often as replicas allow; 3 daemons, 4 teams", points: []float64{4, 8, 16, 28}, fresh: true,
			size: sized(func(s *Size, x int) { s.Services = 1; s.Prefill = x / 4; s.Decode = x - x/4 }), drive: busy},
		{name: "requests", unit: "look-up/s at a daemon", fixed: base, points: []float64{20, 60, 120, 240}, size: fixed, drive: lookups},
		{name: "tokens", unit: "token/s at a daemon", fixed: "3 daemons, 6 engines, 1 service, 4 teams; streams of about 150 tokens", points: []float64{50, 150, 300, 500},
			size: sized(func(s *Size, _ int) { s.Prefill, s.Decode = 2, 4 }), drive: tokens},
		{name: "teams", unit: "team in the bundle", fixed: base + ", no requests", points: []float64{10, 400, 1600, 6400}, size: fixed, drive: teams},
		{name: "changes", unit: "bundle change/s", fixed: base + ", no requests", points: []float64{0.2, 0.5, 1, 2}, size: fixed, drive: changes},
		{name: "claims", unit: "claim/s of the fleet", fixed: base, points: []float64{5, 15, 30, 60}, size: fixed, drive: claims},
		{name: "claims of a large fleet", unit: "claim/s of the fleet", fixed: "24 daemons, of which 2 read a shard; 3 engines, 1 service, 4 teams", points: []float64{5, 15, 30, 60},
			size: sized(func(s *Size, _ int) { s.Daemons = 24 }), drive: claims},
		{name: "restarts", unit: "daemon restart/s in the data centre", fixed: "no requests; 6 daemons, 3 engines, 1 service, 4 teams", points: []float64{0, 0.1, 0.25, 0.5},
			size: sized(func(s *Size, _ int) { s.Daemons = 6 }), drive: restarts},
	}
}

// drive is one point in progress.
type drive struct {
	o        SlopesOptions
	bed      Bed
	hc       *http.Client
	observer observer
	// notes are what the drive has to say beside the rates.
	notes []string
}

// window measures for the window after the settling time.
func (d *drive) window(ctx context.Context) (Rates, error) {
	if !clock.Sleep(ctx, d.o.Settle) {
		return Rates{}, ctx.Err()
	}
	before, err := d.observer.read(ctx)
	if err != nil {
		return Rates{}, err
	}
	if !clock.Sleep(ctx, d.o.Window) {
		return Rates{}, ctx.Err()
	}
	after, err := d.observer.read(ctx)
	if err != nil {
		return Rates{}, err
	}
	return ratesBetween(before, after), nil
}

// during measures while work runs in the background; work ends with its context.
func (d *drive) during(ctx context.Context, work func(context.Context) error) (Rates, error) {
	ctx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	var failed error
	wg.Go(func() { failed = work(ctx) })
	rates, err := d.window(ctx)
	stop()
	wg.Wait()
	if err == nil && !errors.Is(failed, context.Canceled) {
		err = failed
	}
	return rates, err
}

func quiet(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	r, err := d.window(ctx)
	return r, x, err
}

// load sends a mix at a rate for the length of the point and returns the rates
// beside the load's own report.
func (d *drive) load(ctx context.Context, rate float64, shape func(*loadgen.Workload)) (Rates, *loadgen.Report, error) {
	w := loadgen.DefaultWorkload()
	setNames(&w)
	w.Rate, w.Teams, w.RepeatShare, w.CancelShare = rate, d.bed.Teams(), 0, 0
	shape(&w)
	var daemons []string
	for _, n := range d.bed.Daemons() {
		daemons = append(daemons, n.URL)
	}
	var rep *loadgen.Report
	rates, err := d.during(ctx, func(context.Context) error {
		var err error
		rep, err = loadgen.Run(ctx, loadgen.Options{
			Daemons: daemons, Workload: w, Seed: d.o.Seed, Name: fmt.Sprintf("s%019d", time.Now().UnixNano()),
			Duration: d.o.Settle + d.o.Window, MaxInFlight: slopesInFlight, Timeout: requestTimeout, Client: d.hc,
			Targets: TargetsAt(1),
		})
		return err
	})
	return rates, rep, err
}

// answered returns the answers a second of a load.
func (d *drive) answered(rep *loadgen.Report) float64 {
	return float64(rep.All.Count(loadgen.Answered)) / (d.o.Settle + d.o.Window).Seconds()
}

func lookups(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	n := float64(len(d.bed.Daemons()))
	r, rep, err := d.load(ctx, x*n, func(w *loadgen.Workload) { w.Mix = loadgen.Mix{Lookup: 1} })
	if err != nil {
		return r, x, err
	}
	return r, d.answered(rep) / n, nil
}

// busy keeps every replica at work, so that its load changes all the time.
func busy(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	const perReplica = 5
	r, rep, err := d.load(ctx, x*perReplica, func(w *loadgen.Workload) { w.Mix = loadgen.Mix{Short: 1} })
	if err != nil {
		return r, x, err
	}
	return r, d.answered(rep) / perReplica, nil
}

// tokens counts the tokens that callers got in the window's load; the answers in
// progress at its ends make it a little uneven, which the fit's spread shows.
func tokens(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	n := float64(len(d.bed.Daemons()))
	const meanAnswer = 0.75 * streamTokens
	r, rep, err := d.load(ctx, x*n/meanAnswer, func(w *loadgen.Workload) {
		w.Mix, w.StreamShare, w.SharedShare = loadgen.Mix{Draft: 1}, 1, 0
		w.DraftTokens = loadgen.Sizes{Median: streamTokens, Min: streamTokens, Max: streamTokens}
		w.DraftPrompt = loadgen.Sizes{Median: 50, Min: 50, Max: 50}
	})
	if err != nil {
		return r, x, err
	}
	return r, float64(rep.TokensSeen) / (d.o.Settle + d.o.Window).Seconds() / n, nil
}

func claims(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	r, rep, err := d.load(ctx, x, func(w *loadgen.Workload) { w.Mix = loadgen.Mix{Submit: 1} })
	if err != nil {
		return r, x, err
	}
	return r, d.answered(rep), nil
}

// teams rolls a bundle with as many more teams as make x.
func teams(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	b := d.bed.Bundle()
	for i := len(b.Teams); i < int(x); i++ {
		b.Teams[fmt.Sprintf("team-%05d", i)] = bundle.Team{
			Weight: 1, Class: bundle.Draft, KeyDigests: []string{fmt.Sprintf("%064x", i)},
		}
	}
	if err := d.bed.Roll(ctx, b); err != nil {
		return Rates{}, x, err
	}
	r, err := d.window(ctx)
	return r, float64(len(b.Teams)), err
}

// changes rolls x small changes a second.
func changes(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	rolled := 0
	var slowest time.Duration
	start := time.Now()
	r, err := d.during(ctx, func(ctx context.Context) error {
		every := time.NewTicker(time.Duration(float64(time.Second) / x))
		defer every.Stop()
		for ctx.Err() == nil {
			b := d.bed.Bundle()
			b.Policy.RetryBudget = 0.1 + 0.001*float64(rolled%50)
			began := time.Now()
			if err := d.bed.Roll(ctx, b); err != nil {
				if ctx.Err() != nil { // the window ended during the roll
					return nil
				}
				return err
			}
			rolled++
			slowest = max(slowest, time.Since(began))
			select {
			case <-ctx.Done():
			case <-every.C:
			}
		}
		return nil
	})
	d.notes = append(d.notes, fmt.Sprintf("at %g: the slowest of %d changes was in force everywhere after %s",
		x, rolled, slowest.Round(time.Millisecond)))
	return r, float64(rolled) / time.Since(start).Seconds(), err
}

// restarts kills and starts daemons in turn, all but the first, which is
// measured with every other that lived through the window.
func restarts(ctx context.Context, d *drive, x float64) (Rates, float64, error) {
	if x == 0 {
		return quiet(ctx, d, x)
	}
	names := d.bed.Daemons()[len(d.bed.Daemons())/2:]
	done := 0
	start := time.Now()
	r, err := d.during(ctx, func(ctx context.Context) error {
		every := time.NewTicker(time.Duration(float64(time.Second) / x))
		defer every.Stop()
		for ctx.Err() == nil {
			name := names[done%len(names)].Name
			if err := d.bed.Kill(ctx, name); err != nil {
				return err
			}
			if err := d.bed.Restart(context.WithoutCancel(ctx), name); err != nil {
				return err
			}
			done++
			select {
			case <-ctx.Done():
			case <-every.C:
			}
		}
		return nil
	})
	return r, float64(done) / time.Since(start).Seconds(), err
}
