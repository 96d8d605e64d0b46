package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

const (
	// rollOutTimeout limits the wait for a bundle version to be in force on every daemon.
	rollOutTimeout   = 20 * time.Second
	rollPollInterval = 20 * time.Millisecond

	metricBundleNumber = "corianderturn_bundle_number"
	pathMetrics        = "/metrics"
	pathReady          = "/readyz"
)

// testbedFleet implements Bed with the processes that package testbed starts. Its
// methods are safe for concurrent use.
type testbedFleet struct {
	dir      string
	size     FleetSize
	teams    []loadgen.Team
	observer fleetObserver

	mu     sync.Mutex
	fleet  *testbed.Fleet
	bundle *bundle.Bundle
}

// StartTestbed starts a fleet with package testbed, in a temporary folder. It can
// be used as a StartBed.
func StartTestbed(ctx context.Context, bin string, s FleetSize) (Bed, error) {
	dir, err := os.MkdirTemp("", "corianderturn-bed-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b := &testbedFleet{dir: dir, size: s}
	b.observer = fleetObserver{bed: b, client: http.DefaultClient}
	bed := testbed.New(bin, dir)
	if b.fleet, err = testbed.StartFleet(ctx, bed, testbedLayout(s)); err != nil {
		bed.Close()
		return nil, err
	}
	if err := b.startDaemons(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// testbedLayout returns the layout of a fleet, with the engines' delays and lifetimes
// divided by the time scale.
func testbedLayout(s FleetSize) testbed.Layout {
	out := testbed.Layout{Daemons: s.Daemons, Prefill: s.Prefill, Decode: s.Decode, Services: s.Services}
	for i := range s.DataCentres {
		out.DataCentres = append(out.DataCentres, fmt.Sprintf("dc-%d", i))
	}
	flags := []string{
		"--time-scale=" + strconv.FormatFloat(s.Scale, 'g', -1, 64),
		"--prefill-ttl=" + divideByScale(engine.DefaultPrefillTTL, s.Scale).String(),
		"--load-lag=" + divideByScale(engine.DefaultLoadLag, s.Scale).String(),
		"--event-delay=" + divideByScale(engine.DefaultEventDelay, s.Scale).String(),
		"--linger=" + divideByScale(engine.DefaultLinger, s.Scale).String(),
	}
	out.PrefillFlags, out.DecodeFlags = flags, flags
	return out
}

// startDaemons starts the daemons and publishes the first bundle version, with the
// teams of the fleet and with link rates multiplied by the time scale.
func (b *testbedFleet) startDaemons(ctx context.Context) error {
	first := b.fleet.Bundle()
	for name, p := range first.Pools {
		p.LinkBytesPerSecond = int64(float64(p.LinkBytesPerSecond) * b.size.Scale)
		first.Pools[name] = p
	}
	b.teams = []loadgen.Team{{Name: testbed.Team, Key: testbed.TeamKey}}
	for i := 1; i < b.size.Teams; i++ {
		t := loadgen.Team{Name: fmt.Sprintf("team-%d", i), Key: fmt.Sprintf("bearer-key-of-team-%d", i)}
		digest := sha256.Sum256([]byte(t.Key))
		first.Teams[t.Name] = bundle.Team{KeyDigests: []string{hex.EncodeToString(digest[:])}, Weight: 1, Class: bundle.Draft}
		b.teams = append(b.teams, t)
	}
	if err := b.fleet.StartDaemons(ctx); err != nil {
		return err
	}
	return b.RollOut(ctx, first)
}

// Daemons implements Bed.
func (b *testbedFleet) Daemons() []Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Node
	for _, d := range b.fleet.Daemons {
		url := "http://" + d.CallersAddress
		out = append(out, Node{Name: d.Name, DataCentre: d.DataCentre, URL: url, Control: url + pathMetrics, PID: d.PID()})
	}
	return out
}

// Engines implements Bed.
func (b *testbedFleet) Engines() []Node {
	return append(b.poolNodes(testbed.PoolPrefill, bundle.RolePrefill), b.poolNodes(testbed.PoolDecode, bundle.RoleDecode)...)
}

// Services implements Bed.
func (b *testbedFleet) Services() []Node { return b.poolNodes(testbed.PoolService, bundle.RoleService) }

// poolNodes returns the upstreams of a pool as nodes with the given role.
func (b *testbedFleet) poolNodes(pool string, role bundle.PoolRole) []Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Node
	for _, upstream := range b.fleet.PoolUpstreams(pool) {
		out = append(out, Node{
			Name: upstream.Name, DataCentre: upstream.DataCentre, Role: role, URL: "http://" + upstream.Listen, Control: "http://" + upstream.Control, PID: upstream.PID(),
		})
	}
	return out
}

// Log implements Bed.
func (b *testbedFleet) Log() Node {
	return Node{Name: "log", URL: "http://" + b.fleet.Log.Listen, Control: "http://" + b.fleet.Log.Control, PID: b.fleet.Log.PID()}
}

// Teams implements Bed.
func (b *testbedFleet) Teams() []loadgen.Team { return b.teams }

// Bundle implements Bed.
func (b *testbedFleet) Bundle() *bundle.Bundle {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err := bundle.EncodeBundle(b.bundle)
	if err != nil {
		panic(err) // the bundle could be encoded when it was published
	}
	c, err := bundle.DecodeBundle(data)
	if err != nil {
		panic(err)
	}
	return c
}

// RollOut implements Bed.
func (b *testbedFleet) RollOut(ctx context.Context, next *bundle.Bundle) error {
	if err := bundle.Validate(next); err != nil {
		return err
	}
	b.mu.Lock()
	number, err := b.fleet.Publisher.Publish(ctx, next)
	if err == nil {
		b.bundle = next
	}
	b.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rollOutTimeout)
	defer cancel()
	for _, d := range b.Daemons() {
		if err := b.waitInForce(ctx, d, number); err != nil {
			return errors.Wrap(err, d.Name)
		}
	}
	return nil
}

// waitInForce waits until a daemon is ready and the bundle version with this number, or
// a later one, is in force on it.
func (b *testbedFleet) waitInForce(ctx context.Context, d Node, number uint64) error {
	for {
		page, err := b.observer.fetchMetrics(ctx, d.Control)
		if err == nil && page[metricBundleNumber] >= float64(number) {
			err = b.checkReady(ctx, d)
			if err == nil {
				return nil
			}
		}
		if !clock.Sleep(ctx, rollPollInterval) {
			return errors.Errorf("bundle version %d is not in force, the daemon reports version %g (last error: %v)", number, page[metricBundleNumber], err)
		}
	}
}

// checkReady returns an error unless a daemon's readiness check succeeds.
func (b *testbedFleet) checkReady(ctx context.Context, d Node) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.URL+pathReady, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New("the daemon is not ready")
	}
	return nil
}

// Kill implements Bed.
func (b *testbedFleet) Kill(_ context.Context, name string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.daemonIndex(name); i >= 0 {
		b.fleet.Daemons[i].Kill()
		return nil
	}
	if u := b.findUpstream(name); u != nil {
		u.Kill()
		return nil
	}
	return errors.Errorf("no process is named %s", name)
}

// Restart implements Bed. An upstream gets its old client address again but another
// control address.
func (b *testbedFleet) Restart(ctx context.Context, name string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.daemonIndex(name); i >= 0 {
		return b.fleet.StartDaemon(ctx, i)
	}
	u := b.findUpstream(name)
	if u == nil {
		return errors.Errorf("no process is named %s", name)
	}
	args := slices.DeleteFunc(slices.Clone(u.Args), func(a string) bool { return strings.HasPrefix(a, "--listen=") })
	p, err := b.fleet.Start(ctx, name, testbed.ProgramStandIn, append(args, "--listen="+u.Listen)...)
	if err != nil {
		return err
	}
	u.Process = p
	return nil
}

// daemonIndex returns the index of a daemon in b.fleet.Daemons, or -1.
func (b *testbedFleet) daemonIndex(name string) int {
	return slices.IndexFunc(b.fleet.Daemons, func(d *testbed.Daemon) bool { return d.Name == name })
}

// findUpstream returns the upstream with a name, or nil.
func (b *testbedFleet) findUpstream(name string) *testbed.Upstream {
	for _, u := range b.fleet.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// CutDataCentre implements Bed. It cuts only the connections between daemons and to
// the platform; the engines of all data centres stay reachable.
func (b *testbedFleet) CutDataCentre(_ context.Context, dataCentre string) (func(context.Context) error, error) {
	setMode := func(m testbed.Mode) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, other := range b.fleet.Layout.DataCentres {
			if other != dataCentre {
				b.fleet.SetPeerMode(dataCentre, other, m)
			}
		}
		b.fleet.SetPlatformMode(dataCentre, m)
	}
	setMode(testbed.Cut)
	return func(context.Context) error { setMode(testbed.Open); return nil }, nil
}

// CutPlatform implements Bed.
func (b *testbedFleet) CutPlatform(context.Context) (func(context.Context) error, error) {
	setMode := func(m testbed.Mode) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, dc := range b.fleet.Layout.DataCentres {
			b.fleet.SetPlatformMode(dc, m)
		}
	}
	setMode(testbed.Cut)
	return func(context.Context) error { setMode(testbed.Open); return nil }, nil
}

// Close implements Bed. It also deletes the folder with the daemons' settings and
// logs.
func (b *testbedFleet) Close() {
	b.fleet.Close()
	_ = os.RemoveAll(b.dir)
}
