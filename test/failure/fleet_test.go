package failure

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/settings"
)

const (
	// waitTimeout is far longer than any single wait in a test that passes.
	waitTimeout = 30 * time.Second
	// testTimeout ends a test whose processes hang.
	testTimeout  = 3 * time.Minute
	pollInterval = 10 * time.Millisecond
	// maxFleets limits the fleets that run at once; each has about twelve processes.
	maxFleets = 4

	metricPeers  = "corianderturn_peers_live" // counts the daemon itself
	metricBundle = "corianderturn_bundle_number"
)

var logDown = logsvc.Faults{Down: true}

var (
	bin    string
	fleets = make(chan struct{}, maxFleets) // semaphore
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "failure")
	if err == nil {
		err = testbed.Build(context.Background(), dir, testbed.ProgramDaemon, testbed.ProgramStandIn)
	}
	if err != nil {
		panic(err)
	}
	bin = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// harness is a fleet under test with the helpers of the tests.
type harness struct {
	*testbed.Fleet
	t          testing.TB
	ctx        context.Context
	lastBundle *bundle.Bundle // the last version, which publish changes and publishes
	// timeout is the timeout of eventually.
	timeout time.Duration
	// faultyEngine is the index within its pool of the engine on which bringToStep
	// sets faults.
	faultyEngine int
}

// startFleet starts three daemons, two engines of each role and two services in two
// data centres. It returns once each daemon has the first version in force and receives
// heartbeats from both others.
func startFleet(t testing.TB, change ...func(*testbed.Layout)) *harness {
	t.Helper()
	r := prepareFleet(t, change...)
	r.must(r.StartDaemons(r.ctx))
	r.publishAndWait(func(*bundle.Bundle) {})
	r.awaitPeers()
	return r
}

// prepareFleet starts a fleet without its daemons and publishes no version.
func prepareFleet(t testing.TB, change ...func(*testbed.Layout)) *harness {
	t.Helper()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	bed := testbed.New(bin, t.TempDir())
	t.Cleanup(bed.Close)
	layout := testbed.Layout{
		DataCentres: []string{"dc1", "dc2"}, Daemons: 3, Prefill: 2, Decode: 2, Services: 2,
		InstancesFlags: []string{"--lag=0s"},
		Settings:       func(_ int, s *settings.Settings) { s.Drain.Delay = 100 * time.Millisecond },
	}
	for _, c := range change {
		c(&layout)
	}
	f, err := testbed.StartFleet(ctx, bed, layout)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{Fleet: f, t: t, ctx: ctx, lastBundle: f.Bundle(), timeout: waitTimeout}
	allowLongDrafts(r.lastBundle)
	t.Cleanup(r.logDaemonOutput)
	return r
}

// allowLongDrafts sets the deadline of class draft to the maximum that daemons accept.
func allowLongDrafts(b *bundle.Bundle) {
	c := b.Classes[bundle.Draft]
	c.DeadlineMillis = settings.Defaults().Callers.MaxDeadline.Milliseconds()
	b.Classes[bundle.Draft] = c
}

// logDaemonOutput logs the last lines of the daemons' output when the test has failed.
func (r *harness) logDaemonOutput() {
	if !r.t.Failed() {
		return
	}
	for _, d := range r.Daemons {
		if d.Process != nil {
			r.t.Logf("%s: %s", d.Name, d.StderrTail())
		}
	}
}

// must fails the test if err is not nil.
func (r *harness) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// eventually polls f until it returns nil, and fails the test after r.timeout.
func (r *harness) eventually(what string, f func() error) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			r.t.Fatalf("%s: %v", what, err)
		}
	}
}

// publishAndWait publishes the last version with a change and waits until all running
// daemons have the new one in force. It returns the new version's number.
func (r *harness) publishAndWait(change func(*bundle.Bundle)) uint64 {
	r.t.Helper()
	n := r.publish(change)
	r.awaitVersion(n, r.Daemons...)
	return n
}

// publish publishes the last version with a change and returns the new version's
// number.
func (r *harness) publish(change func(*bundle.Bundle)) uint64 {
	r.t.Helper()
	change(r.lastBundle)
	n, err := r.Publisher.Publish(r.ctx, r.lastBundle)
	r.must(err)
	return n
}

// markLeaving returns a change for publish and publishAndWait that sets the state of
// upstreams to leaving.
func markLeaving(names ...string) func(*bundle.Bundle) {
	return func(b *bundle.Bundle) {
		for _, name := range names {
			u := b.Upstreams[name]
			u.State = bundle.StateLeaving
			b.Upstreams[name] = u
		}
	}
}

// awaitVersion waits until all running daemons among ds have version n in force and are
// ready.
func (r *harness) awaitVersion(n uint64, ds ...*testbed.Daemon) {
	r.t.Helper()
	for _, d := range ds {
		if d.Process == nil || !d.Running() {
			continue
		}
		r.eventually(d.Name+" has the version in force", func() error {
			if got := r.bundleNumber(d); got != n {
				return errors.Errorf("version %d, want %d", got, n)
			}
			return r.checkReady(d)
		})
	}
}

// bundleNumber returns the number of the version in force on a daemon.
func (r *harness) bundleNumber(d *testbed.Daemon) uint64 {
	return uint64(r.gauge(d, metricBundle))
}

// awaitPeers waits until every running daemon considers all other running daemons to be
// alive.
func (r *harness) awaitPeers() {
	r.t.Helper()
	running := 0
	for _, d := range r.Daemons {
		if d.Process != nil && d.Running() {
			running++
		}
	}
	for _, d := range r.Daemons {
		if d.Process == nil || !d.Running() {
			continue
		}
		r.eventually(d.Name+" considers its peers alive", func() error {
			if n := int(r.gauge(d, metricPeers)); n < running {
				return errors.Errorf("%d of %d live", n, running)
			}
			return nil
		})
	}
}

// gauge returns the value of a gauge from a daemon's metrics, or -1 when it cannot be
// read.
func (r *harness) gauge(d *testbed.Daemon, name string) float64 {
	resp, err := r.get("http://" + d.CallersAddress + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	page, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil || page[name] == nil {
		return -1
	}
	return page[name].GetMetric()[0].GetGauge().GetValue()
}

// get sends a GET request.
func (r *harness) get(url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// checkReady returns nil when a daemon's readiness check succeeds.
func (r *harness) checkReady(d *testbed.Daemon) error {
	resp, err := r.get("http://" + d.CallersAddress + "/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s is not ready: %d", d.Name, resp.StatusCode)
	}
	return nil
}

// adminUpstream returns the state of an upstream from a daemon's administration API.
func (r *harness) adminUpstream(d *testbed.Daemon, name string) (adminapi.Upstream, error) {
	var list adminapi.Upstreams
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+d.AdminAddress+adminapi.PathUpstreams, nil)
	if err != nil {
		return adminapi.Upstream{}, err
	}
	req.Header.Set("Authorization", "Bearer "+d.AdminToken)
	if err := getJSON(req, &list); err != nil {
		return adminapi.Upstream{}, err
	}
	for _, u := range list.Upstreams {
		if u.Name == name {
			return u, nil
		}
	}
	return adminapi.Upstream{}, errors.Errorf("%s does not list %s", d.Name, name)
}

// awaitLeaving waits until a daemon considers an upstream to be leaving.
func (r *harness) awaitLeaving(d *testbed.Daemon, name string) {
	r.t.Helper()
	r.eventually(d.Name+" considers "+name+" to be leaving", func() error {
		u, err := r.adminUpstream(d, name)
		if err == nil && u.Leaving == "" && u.State != string(bundle.StateLeaving) {
			err = errors.Errorf("state %s, no leaving notice", u.State)
		}
		return err
	})
}

// steward returns the steward of the first decode engine: the daemon that polls the
// engine, frees orphaned memory on it and sends it orders. by is a running daemon that
// reports it.
func (r *harness) steward(by *testbed.Daemon) *testbed.Daemon {
	r.t.Helper()
	var found *testbed.Daemon
	r.eventually("the engine has a steward", func() error {
		u, err := r.adminUpstream(by, leavingDecode)
		for _, d := range r.Daemons {
			if d.Name == u.Steward && d.Running() {
				found = d
				return nil
			}
		}
		return errors.Errorf("%q: %v", u.Steward, err)
	})
	return found
}

// upstream returns the upstream called name.
func (r *harness) upstream(name string) *testbed.Upstream {
	r.t.Helper()
	for _, u := range r.Upstreams {
		if u.Name == name {
			return u
		}
	}
	r.t.Fatalf("no upstream %s", name)
	return nil
}

// engineStats returns the statistics of the engine called name.
func (r *harness) engineStats(name string) (out engine.Stats) {
	r.t.Helper()
	r.must(r.upstream(name).Stats(r.ctx, &out))
	return out
}

// setEngineFaults sets the faults of all running engines in the pools; times is the
// number of affected calls per engine, 0 means no limit.
func (r *harness) setEngineFaults(f engine.Faults, times int, pools ...string) {
	r.t.Helper()
	for _, pool := range pools {
		for _, u := range r.PoolUpstreams(pool) {
			if u.Running() {
				r.must(testbed.SetFaults(r.ctx, u.Process, f, times))
			}
		}
	}
}

// setServiceFaults sets the faults of all services for all calls.
func (r *harness) setServiceFaults(f service.Faults) {
	r.t.Helper()
	for _, u := range r.PoolUpstreams(testbed.PoolService) {
		r.must(testbed.SetFaults(r.ctx, u.Process, f, 0))
	}
}

// setLogFaults sets the faults of the log; times is the number of affected calls, 0
// means no limit.
func (r *harness) setLogFaults(f logsvc.Faults, times int) {
	r.t.Helper()
	r.must(testbed.SetFaults(r.ctx, r.Log, f, times))
}

// forSubtest returns a copy of the harness that reports to the subtest t.
func (r *harness) forSubtest(t testing.TB) *harness {
	sub := *r
	sub.t = t
	return &sub
}

// prompt returns a different prompt for each n.
func prompt(n int) string {
	return fmt.Sprintf("dossier %d: %s", n, strings.Repeat("the north wall ", 40))
}

// fastEngines makes engines work three times as fast and keep finished streams for
// 200 ms.
func fastEngines(l *testbed.Layout) {
	l.PrefillFlags = append(l.PrefillFlags, "--time-scale=3", "--linger=200ms")
	l.DecodeFlags = append(l.DecodeFlags, "--time-scale=3", "--linger=200ms")
}

// slowPrefill makes the prefill of a prompt take about one second.
func slowPrefill(l *testbed.Layout) {
	l.PrefillFlags = append(l.PrefillFlags, "--prefill-per-token=6ms")
}

// restartDaemon kills daemon n and starts it again. It returns once the daemon has the
// same version in force as before, is ready and considers its peers alive.
func (r *harness) restartDaemon(n int) {
	r.t.Helper()
	d := r.Daemons[n]
	number := r.bundleNumber(d)
	d.Kill()
	r.must(r.StartDaemon(r.ctx, n))
	r.awaitVersion(number, d)
	r.awaitPeers()
}
