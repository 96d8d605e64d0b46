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
	// rollBound is how long a version may take to be in force on every daemon.
	rollBound = 20 * time.Second
	rollPoll  = 20 * time.Millisecond

	metricBundleNumber = "corianderturn_bundle_number"
	pathMetrics        = "/metrics"
	pathReady          = "/readyz"
)

// fleet is a Bed on package testbed. Its methods are safe for concurrent use.
type fleet struct {
	dir      string
	size     Size
	teams    []loadgen.Team
	observer observer

	mu     sync.Mutex
	f      *testbed.Fleet
	bundle *bundle.Bundle
}

// StartTestbed implements StartBed.
func StartTestbed(ctx context.Context, bin string, s Size) (Bed, error) {
	dir, err := os.MkdirTemp("", "corianderturn-bed-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b := &fleet{dir: dir, size: s}
	b.observer = observer{bed: b, hc: http.DefaultClient}
	bed := testbed.New(bin, dir)
	if b.f, err = testbed.StartFleet(ctx, bed, layout(s)); err != nil {
		bed.Close()
		return nil, err
	}
	if err := b.begin(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func layout(s Size) testbed.Layout {
	l := testbed.Layout{Daemons: s.Daemons, Prefill: s.Prefill, Decode: s.Decode, Services: s.Services}
	for i := range s.DataCentres {
		l.DataCentres = append(l.DataCentres, fmt.Sprintf("dc-%d", i))
	}
	flags := []string{
		"--time-scale=" + strconv.FormatFloat(s.Scale, 'g', -1, 64),
		"--prefill-ttl=" + scaled(engine.DefaultPrefillTTL, s.Scale).String(),
		"--load-lag=" + scaled(engine.DefaultLoadLag, s.Scale).String(),
		"--event-delay=" + scaled(engine.DefaultEventDelay, s.Scale).String(),
		"--linger=" + scaled(engine.DefaultLinger, s.Scale).String(),
	}
	l.PrefillFlags, l.DecodeFlags = flags, flags
	return l
}

// begin starts the daemons and rolls the first version.
func (b *fleet) begin(ctx context.Context) error {
	first := b.f.Bundle()
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
	if err := b.f.StartDaemons(ctx); err != nil {
		return err
	}
	return b.Roll(ctx, first)
}

// Daemons implements Bed.
func (b *fleet) Daemons() []Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Node
	for _, d := range b.f.Daemons {
		url := "http://" + d.CallersAddress
		out = append(out, Node{Name: d.Name, DataCentre: d.DataCentre, URL: url, Control: url + pathMetrics, PID: d.PID()})
	}
	return out
}

// Engines implements Bed.
func (b *fleet) Engines() []Node {
	return append(b.upstreams(testbed.PoolPrefill, bundle.RolePrefill), b.upstreams(testbed.PoolDecode, bundle.RoleDecode)...)
}

// Services implements Bed.
func (b *fleet) Services() []Node { return b.upstreams(testbed.PoolService, bundle.RoleService) }

func (b *fleet) upstreams(pool string, role bundle.PoolRole) []Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Node
	for _, u := range b.f.Pool(pool) {
		out = append(out, Node{
			Name: u.Name, DataCentre: u.DataCentre, Role: role, URL: "http://" + u.Listen, Control: "http://" + u.Control, PID: u.PID(),
		})
	}
	return out
}

// Log implements Bed.
func (b *fleet) Log() Node {
	return Node{Name: "log", URL: "http://" + b.f.Log.Listen, Control: "http://" + b.f.Log.Control, PID: b.f.Log.PID()}
}

// Teams implements Bed.
func (b *fleet) Teams() []loadgen.Team { return b.teams }

// Bundle implements Bed.
func (b *fleet) Bundle() *bundle.Bundle {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err := bundle.EncodeBundle(b.bundle)
	if err != nil {
		panic(err) // it was encoded before it was rolled
	}
	c, err := bundle.DecodeBundle(data)
	if err != nil {
		panic(err)
	}
	return c
}

// Roll implements Bed.
func (b *fleet) Roll(ctx context.Context, next *bundle.Bundle) error {
	if err := bundle.Validate(next); err != nil {
		return err
	}
	b.mu.Lock()
	number, err := b.f.Publisher.Publish(ctx, next)
	if err == nil {
		b.bundle = next
	}
	b.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rollBound)
	defer cancel()
	for _, d := range b.Daemons() {
		if err := b.await(ctx, d, number); err != nil {
			return errors.Wrap(err, d.Name)
		}
	}
	return nil
}

// await waits until a daemon is ready and has version number in force.
func (b *fleet) await(ctx context.Context, d Node, number uint64) error {
	for {
		page, err := b.observer.metrics(ctx, d.Control)
		if err == nil && page[metricBundleNumber] >= float64(number) {
			err = b.ready(ctx, d)
			if err == nil {
				return nil
			}
		}
		if !clock.Sleep(ctx, rollPoll) {
			return errors.Errorf("version %d is not in force, it has %g (%v)", number, page[metricBundleNumber], err)
		}
	}
}

func (b *fleet) ready(ctx context.Context, d Node) error {
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
		return errors.New("not ready")
	}
	return nil
}

// Kill implements Bed.
func (b *fleet) Kill(_ context.Context, name string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.daemon(name); i >= 0 {
		b.f.Daemons[i].Kill()
		return nil
	}
	if u := b.upstream(name); u != nil {
		u.Kill()
		return nil
	}
	return errors.Errorf("no process %s", name)
}

// Restart implements Bed. An upstream takes its old address again, and with
// another control address.
func (b *fleet) Restart(ctx context.Context, name string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.daemon(name); i >= 0 {
		return b.f.StartDaemon(ctx, i)
	}
	u := b.upstream(name)
	if u == nil {
		return errors.Errorf("no process %s", name)
	}
	args := slices.DeleteFunc(slices.Clone(u.Args), func(a string) bool { return strings.HasPrefix(a, "--listen=") })
	p, err := b.f.Start(ctx, name, testbed.ProgramStandIn, append(args, "--listen="+u.Listen)...)
	if err != nil {
		return err
	}
	u.Process = p
	return nil
}

func (b *fleet) daemon(name string) int {
	return slices.IndexFunc(b.f.Daemons, func(d *testbed.Daemon) bool { return d.Name == name })
}

func (b *fleet) upstream(name string) *testbed.Upstream {
	for _, u := range b.f.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// CutDataCentre implements Bed. The engines of other data centres stay within
// reach: only the connections between daemons and to the platform are cut.
func (b *fleet) CutDataCentre(_ context.Context, dataCentre string) (func(context.Context) error, error) {
	set := func(m testbed.Mode) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, other := range b.f.Layout.DataCentres {
			if other != dataCentre {
				b.f.SetPeers(dataCentre, other, m)
			}
		}
		b.f.SetPlatform(dataCentre, m)
	}
	set(testbed.Cut)
	return func(context.Context) error { set(testbed.Open); return nil }, nil
}

// CutPlatform implements Bed.
func (b *fleet) CutPlatform(context.Context) (func(context.Context) error, error) {
	set := func(m testbed.Mode) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, dc := range b.f.Layout.DataCentres {
			b.f.SetPlatform(dc, m)
		}
	}
	set(testbed.Cut)
	return func(context.Context) error { set(testbed.Open); return nil }, nil
}

// Close implements Bed. The daemons' settings and logs go with it.
func (b *fleet) Close() {
	b.f.Close()
	_ = os.RemoveAll(b.dir)
}
