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
	// bound is far above what any one wait takes.
	bound = 30 * time.Second
	// testBound ends a test whose processes hang.
	testBound = 3 * time.Minute
	pollEvery = 10 * time.Millisecond
	// maxFleets bounds the fleets that run at once, each about twelve processes.
	maxFleets = 4

	metricPeers  = "corianderturn_peers_live" // the daemon itself is one
	metricBundle = "corianderturn_bundle_number"
)

var logDown = logsvc.Faults{Down: true}

var (
	bin    string
	fleets = make(chan struct{}, maxFleets)
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

// rig is a running fleet under test.
type rig struct {
	*testbed.Fleet
	t    testing.TB
	ctx  context.Context
	last *bundle.Bundle
	// wait bounds each eventually.
	wait time.Duration
	// engine is which engine of a pool shows the faults that hold a request at a step.
	engine int
}

// start runs two data centres with three daemons, two engines of each role and
// two services, and returns once each daemon has the first version in force and
// hears both others.
func start(t testing.TB, change ...func(*testbed.Layout)) *rig {
	t.Helper()
	r := prepare(t, change...)
	r.must(r.StartDaemons(r.ctx))
	r.roll(func(*bundle.Bundle) {})
	r.meet()
	return r
}

// prepare is start without the daemons and the first version.
func prepare(t testing.TB, change ...func(*testbed.Layout)) *rig {
	t.Helper()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
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
	r := &rig{Fleet: f, t: t, ctx: ctx, last: f.Bundle(), wait: bound}
	patient(r.last)
	t.Cleanup(r.explain)
	return r
}

// patient lets drafts be as long as a daemon allows.
func patient(b *bundle.Bundle) {
	c := b.Classes[bundle.Draft]
	c.DeadlineMillis = settings.Defaults().Callers.MaxDeadline.Milliseconds()
	b.Classes[bundle.Draft] = c
}

// explain shows the daemons' warnings of a failed test.
func (r *rig) explain() {
	if !r.t.Failed() {
		return
	}
	for _, d := range r.Daemons {
		if d.Process != nil {
			r.t.Logf("%s: %s", d.Name, d.Tail())
		}
	}
}

func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// eventually waits until f returns nil.
func (r *rig) eventually(what string, f func() error) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.ctx, r.wait)
	defer cancel()
	tick := time.NewTicker(pollEvery)
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

// roll publishes the last version with a change and waits until every running
// daemon has it in force.
func (r *rig) roll(change func(*bundle.Bundle)) uint64 {
	r.t.Helper()
	n := r.publish(change)
	r.inForce(n, r.Daemons...)
	return n
}

func (r *rig) publish(change func(*bundle.Bundle)) uint64 {
	r.t.Helper()
	change(r.last)
	n, err := r.Publisher.Publish(r.ctx, r.last)
	r.must(err)
	return n
}

// leave marks upstreams as leaving, in a change for roll and publish.
func leave(names ...string) func(*bundle.Bundle) {
	return func(b *bundle.Bundle) {
		for _, name := range names {
			u := b.Upstreams[name]
			u.State = bundle.StateLeaving
			b.Upstreams[name] = u
		}
	}
}

// inForce waits until the daemons among ds that run have version n in force and
// are ready.
func (r *rig) inForce(n uint64, ds ...*testbed.Daemon) {
	r.t.Helper()
	for _, d := range ds {
		if d.Process == nil || !d.Running() {
			continue
		}
		r.eventually(d.Name+" has the version", func() error {
			if got := r.number(d); got != n {
				return errors.Errorf("version %d, want %d", got, n)
			}
			return r.ready(d)
		})
	}
}

func (r *rig) number(d *testbed.Daemon) uint64 {
	return uint64(r.metric(d, metricBundle))
}

// meet waits until every running daemon hears every other running one.
func (r *rig) meet() {
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
		r.eventually(d.Name+" hears its peers", func() error {
			if n := int(r.metric(d, metricPeers)); n < running {
				return errors.Errorf("%d of %d live", n, running)
			}
			return nil
		})
	}
}

// metric returns a daemon's gauge, or -1 when it cannot be read.
func (r *rig) metric(d *testbed.Daemon, name string) float64 {
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

func (r *rig) get(url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

func (r *rig) ready(d *testbed.Daemon) error {
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

// upstreamOf returns an upstream as a daemon's view shows it.
func (r *rig) upstreamOf(d *testbed.Daemon, name string) (adminapi.Upstream, error) {
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

// knowsLeaving waits until a daemon's view says that an upstream leaves.
func (r *rig) knowsLeaving(d *testbed.Daemon, name string) {
	r.t.Helper()
	r.eventually(d.Name+" knows that "+name+" leaves", func() error {
		u, err := r.upstreamOf(d, name)
		if err == nil && u.Leaving == "" && u.State != string(bundle.StateLeaving) {
			err = errors.Errorf("state %s, no word", u.State)
		}
		return err
	})
}

// steward returns the daemon that polls, sweeps and orders the first decode
// engine, in the view of another daemon that runs.
func (r *rig) steward(by *testbed.Daemon) *testbed.Daemon {
	r.t.Helper()
	var found *testbed.Daemon
	r.eventually("the engine has a steward", func() error {
		u, err := r.upstreamOf(by, leavingDecode)
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

func (r *rig) upstream(name string) *testbed.Upstream {
	r.t.Helper()
	for _, u := range r.Upstreams {
		if u.Name == name {
			return u
		}
	}
	r.t.Fatalf("no upstream %s", name)
	return nil
}

func (r *rig) engineStats(name string) (out engine.Stats) {
	r.t.Helper()
	r.must(r.upstream(name).Stats(r.ctx, &out))
	return out
}

func (r *rig) setEngines(f engine.Faults, times int, pools ...string) {
	r.t.Helper()
	for _, pool := range pools {
		for _, u := range r.Pool(pool) {
			if u.Running() {
				r.must(testbed.SetFaults(r.ctx, u.Process, f, times))
			}
		}
	}
}

func (r *rig) setServices(f service.Faults) {
	r.t.Helper()
	for _, u := range r.Pool(testbed.PoolService) {
		r.must(testbed.SetFaults(r.ctx, u.Process, f, 0))
	}
}

func (r *rig) setLog(f logsvc.Faults, times int) {
	r.t.Helper()
	r.must(testbed.SetFaults(r.ctx, r.Log, f, times))
}

// under returns the rig for a subtest.
func (r *rig) under(t testing.TB) *rig {
	sub := *r
	sub.t = t
	return &sub
}

// prompt returns a prompt that no other number has.
func prompt(n int) string {
	return fmt.Sprintf("dossier %d: %s", n, strings.Repeat("the north wall ", 40))
}

// fast makes engines generate three times as fast.
func fast(l *testbed.Layout) {
	l.PrefillFlags = append(l.PrefillFlags, "--time-scale=3", "--linger=200ms")
	l.DecodeFlags = append(l.DecodeFlags, "--time-scale=3", "--linger=200ms")
}

// slowPrefill makes the prefill of a prompt take about a second.
func slowPrefill(l *testbed.Layout) {
	l.PrefillFlags = append(l.PrefillFlags, "--prefill-per-token=6ms")
}

// restart kills a daemon and starts it again; it returns when the daemon is
// ready and hears its peers.
func (r *rig) restart(n int) {
	r.t.Helper()
	d := r.Daemons[n]
	number := r.number(d)
	d.Kill()
	r.must(r.StartDaemon(r.ctx, n))
	r.inForce(number, d)
	r.meet()
}
