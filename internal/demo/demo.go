// Package demo demonstrates the system on one machine. It starts real daemons and simulated
// engines and services as separate processes and sends a mixed load to the daemons. Under load,
// it publishes a new bundle, kills one daemon and drains another. Every response is verified.
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

// Parameters of the load, and the times of the events relative to its start.
const (
	loadDuration   = 16 * time.Second
	publishAt      = 4 * time.Second
	killAt         = 7 * time.Second
	drainAt        = 10 * time.Second
	requestRate    = 30 // requests per second
	requestTimeout = 15 * time.Second
	maxInFlight    = 400
)

// The indexes of the daemons that are killed and drained.
const (
	killedDaemon  = 3
	drainedDaemon = 2
)

// maxDecisionLines bounds the log lines about routing decisions that the output shows.
const maxDecisionLines = 4

// Options configure a run.
type Options struct {
	// Bin is the folder that contains the built programs.
	Bin string
	// Out receives the output: a line for each event, the report of the load and a summary.
	Out io.Writer
	// Seed determines the requests and their arrival times.
	Seed uint64
}

// demo is the state of one run.
type demo struct {
	out             io.Writer
	fleet           *testbed.Fleet
	loadStart       time.Time
	daemonKilled    atomic.Bool // the daemon with index killedDaemon has been killed
	leavingUpstream *testbed.Upstream
}

// Run runs the demo. It returns an error if a guarantee that it checks was violated.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "corianderturn-demo-")
	if err != nil {
		return errors.Wrap(err, "create output folder")
	}
	defer os.RemoveAll(dir)
	bed := testbed.New(o.Bin, dir)
	defer bed.Close()
	d := &demo{out: o.Out}
	if err := d.startFleet(ctx, bed); err != nil {
		return err
	}
	d.loadStart = time.Now()
	var report *loadgen.Report
	var loadErr, eventErr error
	var wg conc.WaitGroup
	wg.Go(func() { report, loadErr = d.runLoad(ctx, o.Seed) })
	wg.Go(func() { eventErr = d.runEvents(ctx) })
	wg.Wait()
	if loadErr != nil {
		return loadErr
	}
	d.writeReport(report)
	result := summarize(report)
	fmt.Fprintln(d.out, result)
	if eventErr != nil {
		return eventErr
	}
	return result.err()
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
	d.printf("%d processes: 4 daemons in 2 data centres, 6 engines, 2 services, log, instance list, weight store", len(fleet.Processes()))
	return d.awaitBundle(ctx, 1)
}

// runLoad sends the mixed load and returns its report. The simulated balancer resends a request
// whose connection broke before the response. Callers resend a completion once if the killed
// daemon interrupted it.
func (d *demo) runLoad(ctx context.Context, seed uint64) (*loadgen.Report, error) {
	w := loadgen.DefaultWorkload()
	w.Rate = requestRate
	w.Mix = loadgen.Mix{Lookup: 0.5, Submit: 0.2, Short: 0.15, Draft: 0.15}
	w.Teams = loadgen.TeamsFromKeys(map[string]string{testbed.Team: testbed.TeamKey})
	w.Model, w.Service = testbed.Model, testbed.ServiceName
	w.SubmitPath = testbed.NonIdempotentPath
	w.DraftTokens = loadgen.SizeDistribution{Median: 40, Sigma: 0.4, Min: 10, Max: 80}
	w.RepeatShare, w.CancelShare = 0.5, 0
	var urls, controlURLs []string
	for _, daemon := range d.fleet.Daemons {
		urls = append(urls, "http://"+daemon.CallersAddress)
	}
	for _, s := range d.fleet.PoolUpstreams(testbed.PoolService) {
		controlURLs = append(controlURLs, "http://"+s.Control)
	}
	return loadgen.Run(ctx, loadgen.Options{
		Daemons: urls, Workload: w, Name: "demo", Seed: seed,
		Duration: loadDuration, MaxInFlight: maxInFlight, Timeout: requestTimeout,
		Replay: true, Retry: true,
		Targets: loadgen.Targets{
			Urgent: loadgen.Target{FirstToken: 500 * time.Millisecond, BetweenTokens: 60 * time.Millisecond},
			Draft:  loadgen.Target{FirstToken: 5 * time.Second, BetweenTokens: 120 * time.Millisecond},
		},
		IsKilled:   func(target string) bool { return d.daemonKilled.Load() && target == urls[killedDaemon] },
		Executions: loadgen.ServiceExecutions(http.DefaultClient, controlURLs),
	})
}

// runEvents publishes the new bundle, kills one daemon and drains another, each at its time
// during the load.
func (d *demo) runEvents(ctx context.Context) error {
	if err := d.waitUntil(ctx, publishAt); err != nil {
		return err
	}
	if err := d.publishLeaving(ctx); err != nil {
		return err
	}
	if err := d.waitUntil(ctx, killAt); err != nil {
		return err
	}
	d.daemonKilled.Store(true)
	d.fleet.Daemons[killedDaemon].Kill()
	d.printf("killed daemon %s", d.fleet.Daemons[killedDaemon].Name)
	if err := d.waitUntil(ctx, drainAt); err != nil {
		return err
	}
	daemon := d.fleet.Daemons[drainedDaemon]
	d.printf("draining daemon %s", daemon.Name)
	if err := daemon.Terminate(ctx); err != nil {
		return errors.Wrapf(err, "daemon %s did not end cleanly", daemon.Name)
	}
	d.printf("daemon %s has finished its requests and ended", daemon.Name)
	return nil
}

// publishLeaving publishes a bundle in which one decode engine has the state leaving, and waits
// until it is in force.
func (d *demo) publishLeaving(ctx context.Context) error {
	updated := d.fleet.Bundle()
	pool := d.fleet.PoolUpstreams(testbed.PoolDecode)
	d.leavingUpstream = pool[len(pool)-1]
	u := updated.Upstreams[d.leavingUpstream.Name]
	u.State = bundle.StateLeaving
	updated.Upstreams[d.leavingUpstream.Name] = u
	number, err := d.fleet.Publisher.Publish(ctx, updated)
	if err != nil {
		return err
	}
	d.printf("published bundle %d: upstream %s is leaving", number, d.leavingUpstream.Name)
	return d.awaitBundle(ctx, number)
}

// awaitBundle waits until every daemon is ready and the bundle with this number, or a later one,
// is in force on it.
func (d *demo) awaitBundle(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := time.Now()
	for _, daemon := range d.fleet.Daemons {
		for {
			var status adminapi.BundleStatus
			err := daemon.Admin(ctx, adminapi.PathBundle, &status)
			if err == nil && status.Ready && status.Number >= number {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s did not activate bundle %d: %s", daemon.Name, number, daemon.StderrTail())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	d.printf("bundle %d is in force on all daemons after %s", number, time.Since(start).Round(time.Millisecond))
	return nil
}

// waitUntil waits until a time relative to the start of the load.
func (d *demo) waitUntil(ctx context.Context, offset time.Duration) error {
	if !clock.Sleep(ctx, time.Until(d.loadStart.Add(offset))) {
		return ctx.Err()
	}
	return nil
}

// printf writes one line with the time since the start of the load, or "before" if the load has
// not started.
func (d *demo) printf(format string, args ...any) {
	timestamp := "before"
	if !d.loadStart.IsZero() {
		timestamp = fmt.Sprintf("%5.1fs", time.Since(d.loadStart).Seconds())
	}
	fmt.Fprintf(d.out, "%6s  %s\n", timestamp, fmt.Sprintf(format, args...))
}

// writeReport writes some routing decisions of the first daemon and the report of the load.
func (d *demo) writeReport(r *loadgen.Report) {
	d.printf("all answers are in; replays by the balancer or the caller: %d", r.Replays)
	fmt.Fprintln(d.out, "\nSome decision lines of the first daemon:")
	shown := 0
	for line := range strings.Lines(d.fleet.Daemons[0].Stderr()) {
		if shown < maxDecisionLines && strings.Contains(line, "decision") {
			fmt.Fprint(d.out, "  ", line)
			shown++
		}
	}
	fmt.Fprintln(d.out, "\nWhat callers saw:")
	_ = r.WriteTable(d.out) // an incomplete table does not affect the result
	fmt.Fprintln(d.out)
}

// summary holds the counts of a run and its violations. lost counts requests without a complete
// response and without a valid error. Requests that the killed daemon interrupted are included,
// unless a replay by the balancer or the caller's retry succeeded.
type summary struct {
	accepted, answered, refused, lost, doubled int
	// violations describes violated guarantees other than lost and doubled requests.
	violations []string
}

// summarize derives the counts and the violations from the report of the load.
func summarize(r *loadgen.Report) summary {
	s := summary{
		accepted: r.All.Offered - r.All.Count(loadgen.Dropped),
		answered: r.All.Count(loadgen.Answered),
		refused:  r.All.Count(loadgen.Refused) + r.All.Count(loadgen.Broken),
		lost:     r.Lost() + r.All.Count(loadgen.Severed),
		doubled:  r.Doubled(),
	}
	for _, k := range loadgen.Kinds() {
		if r.Kind(k).Count(loadgen.Answered) == 0 {
			s.violations = append(s.violations, fmt.Sprintf("no request of kind %s was answered", k))
		}
	}
	if r.Ledger.ExecutedDespiteNotRun > 0 {
		s.violations = append(s.violations, fmt.Sprintf("%d keys ran that callers were told had not", r.Ledger.ExecutedDespiteNotRun))
	}
	if r.Ledger.Missing > 0 {
		s.violations = append(s.violations, fmt.Sprintf("%d keys were answered and never ran", r.Ledger.Missing))
	}
	if sum := s.answered + s.refused + s.lost; sum != s.accepted && s.lost == 0 {
		s.violations = append(s.violations, fmt.Sprintf("%d of %d requests are accounted for", sum, s.accepted))
	}
	return s
}

// String returns the last line of the output.
func (s summary) String() string {
	return fmt.Sprintf("demo: accepted %d answered %d refused %d lost %d doubled %d",
		s.accepted, s.answered, s.refused, s.lost, s.doubled)
}

// err returns an error that describes the violations, or nil if there are none.
func (s summary) err() error {
	if s.lost > 0 || s.doubled > 0 {
		return errors.Errorf("%d requests lost, %d doubled", s.lost, s.doubled)
	}
	if len(s.violations) > 0 {
		return errors.New(strings.Join(s.violations, "; "))
	}
	return nil
}
