// Package demo is the short tour of the system on one machine: real daemons
// and stand-ins as separate processes, a mixed load, and in the middle of it a
// new bundle, a killed daemon and a drained one. Every answer is checked.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/settings"
)

// The load and when things happen in it, since its start.
const (
	duration = 16 * time.Second
	rollAt   = 4 * time.Second
	killAt   = 7 * time.Second
	drainAt  = 10 * time.Second
	rate     = 30 // requests a second
	timeout  = 15 * time.Second
	inFlight = 400
)

// The daemons that meet a fault, by number.
const (
	killed  = 3
	drained = 2
)

// shownLines is how many decision lines the account shows.
const shownLines = 4

// Options configure a run.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Out gets the account.
	Out io.Writer
	// Seed fixes the requests and their times.
	Seed uint64
}

// demo is one run.
type demo struct {
	out     io.Writer
	fleet   *testbed.Fleet
	start   time.Time
	dead    atomic.Bool
	leaving *testbed.Upstream
}

// Run runs the demo and returns an error unless every promise that it checks
// was kept.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "corianderturn-demo-")
	if err != nil {
		return errors.Wrap(err, "make a folder for outputs")
	}
	defer os.RemoveAll(dir)
	bed := testbed.New(o.Bin, dir)
	defer bed.Close()
	d := &demo{out: o.Out}
	if err := d.startFleet(ctx, bed); err != nil {
		return err
	}
	d.start = time.Now()
	var report *loadgen.Report
	var loadErr, eventErr error
	var wg conc.WaitGroup
	wg.Go(func() { report, loadErr = d.load(ctx, o.Seed) })
	wg.Go(func() { eventErr = d.events(ctx) })
	wg.Wait()
	if loadErr != nil {
		return loadErr
	}
	d.account(report)
	v := judge(report)
	fmt.Fprintln(d.out, v)
	if eventErr != nil {
		return eventErr
	}
	return v.err()
}

// startFleet starts two data centres with two daemons each.
func (d *demo) startFleet(ctx context.Context, bed *testbed.Bed) error {
	layout := testbed.Layout{
		DataCentres:  []string{"north", "south"},
		Daemons:      4,
		Prefill:      2,
		Decode:       4,
		Services:     2,
		PrefillFlags: []string{"--order-time=100ms"},
		DecodeFlags:  []string{"--order-time=100ms"},
		Settings: func(_ int, s *settings.Settings) {
			s.Drain.Delay = 500 * time.Millisecond
		},
	}
	fleet, err := testbed.StartFleet(ctx, bed, layout)
	if err != nil {
		return err
	}
	d.fleet = fleet
	if _, err := fleet.Publisher.Publish(ctx, fleet.Bundle()); err != nil {
		return err
	}
	if err := fleet.StartDaemons(ctx); err != nil {
		return err
	}
	d.sayf("%d processes: 4 daemons in 2 data centres, 6 engines, 2 services, log, instance list, weight store", len(fleet.Processes()))
	return d.awaitVersion(ctx, 1)
}

// load sends the mixed load; a balancer sends a POST again when its connection
// broke before any of the answer, and the caller of a completion that the
// killed daemon cut asks once more.
func (d *demo) load(ctx context.Context, seed uint64) (*loadgen.Report, error) {
	w := loadgen.DefaultWorkload()
	w.Rate = rate
	w.Mix = loadgen.Mix{Lookup: 0.5, Submit: 0.2, Short: 0.15, Draft: 0.15}
	w.Teams = loadgen.TeamsOf(map[string]string{testbed.Team: testbed.TeamKey})
	w.Model, w.Service = testbed.Model, testbed.ServiceName
	w.SubmitPath = testbed.NonIdempotentPath
	w.DraftTokens = loadgen.Sizes{Median: 40, Sigma: 0.4, Min: 10, Max: 80}
	w.RepeatShare, w.CancelShare = 0.5, 0
	var urls, controls []string
	for _, daemon := range d.fleet.Daemons {
		urls = append(urls, "http://"+daemon.CallersAddress)
	}
	for _, s := range d.fleet.Pool(testbed.PoolService) {
		controls = append(controls, "http://"+s.Control)
	}
	return loadgen.Run(ctx, loadgen.Options{
		Daemons: urls, Workload: w, Name: "demo", Seed: seed,
		Duration: duration, MaxInFlight: inFlight, Timeout: timeout,
		Replay: true, Retry: true,
		Targets: loadgen.Targets{
			Urgent: loadgen.Target{FirstToken: 500 * time.Millisecond, BetweenTokens: 60 * time.Millisecond},
			Draft:  loadgen.Target{FirstToken: 5 * time.Second, BetweenTokens: 120 * time.Millisecond},
		},
		Killed:     func(target string) bool { return d.dead.Load() && target == urls[killed] },
		Executions: loadgen.ServiceExecutions(http.DefaultClient, controls),
	})
}

// events makes happen what happens during the load.
func (d *demo) events(ctx context.Context) error {
	if err := d.at(ctx, rollAt); err != nil {
		return err
	}
	if err := d.roll(ctx); err != nil {
		return err
	}
	if err := d.at(ctx, killAt); err != nil {
		return err
	}
	d.dead.Store(true)
	d.fleet.Daemons[killed].Kill()
	d.sayf("killed daemon %s", d.fleet.Daemons[killed].Name)
	if err := d.at(ctx, drainAt); err != nil {
		return err
	}
	daemon := d.fleet.Daemons[drained]
	d.sayf("draining daemon %s", daemon.Name)
	if err := daemon.Terminate(ctx); err != nil {
		return errors.Wrapf(err, "daemon %s did not end cleanly", daemon.Name)
	}
	d.sayf("daemon %s has finished its requests and ended", daemon.Name)
	return nil
}

// roll publishes a bundle in which one decode engine leaves.
func (d *demo) roll(ctx context.Context) error {
	next := d.fleet.Bundle()
	pool := d.fleet.Pool(testbed.PoolDecode)
	d.leaving = pool[len(pool)-1]
	u := next.Upstreams[d.leaving.Name]
	u.State = bundle.StateLeaving
	next.Upstreams[d.leaving.Name] = u
	number, err := d.fleet.Publisher.Publish(ctx, next)
	if err != nil {
		return err
	}
	d.sayf("published bundle %d: upstream %s is leaving", number, d.leaving.Name)
	return d.awaitVersion(ctx, number)
}

// awaitVersion waits until every daemon is ready with a version in force.
func (d *demo) awaitVersion(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	for _, daemon := range d.fleet.Daemons {
		for {
			var status adminapi.BundleStatus
			err := daemon.Admin(ctx, adminapi.PathBundle, &status)
			if err == nil && status.Ready && status.Number >= number {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s did not take bundle %d: %s", daemon.Name, number, daemon.Tail())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	d.sayf("bundle %d is in force on all daemons after %s", number, time.Since(began).Round(time.Millisecond))
	return nil
}

// at waits for a moment of the load.
func (d *demo) at(ctx context.Context, after time.Duration) error {
	if !clock.Sleep(ctx, time.Until(d.start.Add(after))) {
		return ctx.Err()
	}
	return nil
}

// sayf writes one line of the account, with the time since the load's start.
func (d *demo) sayf(format string, args ...any) {
	at := "before"
	if !d.start.IsZero() {
		at = fmt.Sprintf("%5.1fs", time.Since(d.start).Seconds())
	}
	fmt.Fprintf(d.out, "%6s  %s\n", at, fmt.Sprintf(format, args...))
}

// account writes what callers saw and why.
func (d *demo) account(r *loadgen.Report) {
	d.sayf("all answers are in; replays by the balancer or the caller: %d", r.Replays)
	fmt.Fprintln(d.out, "\nSome decision lines of the first daemon:")
	shown := 0
	for line := range strings.Lines(d.fleet.Daemons[0].Stderr()) {
		if shown < shownLines && strings.Contains(line, "decision") {
			fmt.Fprint(d.out, "  ", line)
			shown++
		}
	}
	fmt.Fprintln(d.out, "\nWhat callers saw:")
	_ = r.WriteTable(d.out) // the account is for people; the verdict follows in any case
	fmt.Fprintln(d.out)
}

// verdict sums up a run. Lost counts requests without a whole answer or an
// honest error, those that a killed daemon cut among them when the balancer's
// replay or the caller's one retry did not mend it.
type verdict struct {
	accepted, answered, refused, lost, doubled int
	// unkept names what else was not kept.
	unkept []string
}

func judge(r *loadgen.Report) verdict {
	v := verdict{
		accepted: r.All.Offered - r.All.Count(loadgen.Dropped),
		answered: r.All.Count(loadgen.Answered),
		refused:  r.All.Count(loadgen.Refused) + r.All.Count(loadgen.Broken),
		lost:     r.Lost() + r.All.Count(loadgen.Severed),
		doubled:  r.Doubled(),
	}
	for _, k := range loadgen.Kinds() {
		if r.Kind(k).Count(loadgen.Answered) == 0 {
			v.unkept = append(v.unkept, fmt.Sprintf("no request of kind %s was answered", k))
		}
	}
	if r.Ledger.FalseNotRun > 0 {
		v.unkept = append(v.unkept, fmt.Sprintf("%d keys ran that callers were told had not", r.Ledger.FalseNotRun))
	}
	if r.Ledger.Missing > 0 {
		v.unkept = append(v.unkept, fmt.Sprintf("%d keys were answered and never ran", r.Ledger.Missing))
	}
	if sum := v.answered + v.refused + v.lost; sum != v.accepted && v.lost == 0 {
		v.unkept = append(v.unkept, fmt.Sprintf("%d of %d requests are accounted for", sum, v.accepted))
	}
	return v
}

// String is the last line of the account.
func (v verdict) String() string {
	return fmt.Sprintf("demo: accepted %d answered %d refused %d lost %d doubled %d",
		v.accepted, v.answered, v.refused, v.lost, v.doubled)
}

func (v verdict) err() error {
	if v.lost > 0 || v.doubled > 0 {
		return errors.Errorf("%d requests lost, %d doubled", v.lost, v.doubled)
	}
	if len(v.unkept) > 0 {
		return errors.New(strings.Join(v.unkept, "; "))
	}
	return nil
}
