package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/settings"
)

// The programs that a Fleet runs.
const (
	ProgramDaemon  = "corianderturn"
	ProgramStandIn = "standin"
)

// Upstream is a running stand-in for an engine or a plain service.
type Upstream struct {
	*Process
	Pool       string
	DataCentre string
}

// Daemon is one entry instance. When it is restarted, Process is replaced and the
// addresses stay the same.
type Daemon struct {
	*Process
	Name       string
	DataCentre string
	// CallersAddress is the address of the listener for callers, AdminAddress that
	// of the administration listener, which requires the bearer token AdminToken.
	CallersAddress string
	AdminAddress   string
	AdminToken     string
	// SettingsFile is the path of the daemon's settings.
	SettingsFile string

	peerLink *Link // forwards to the daemon's peer listener
}

// platformLinks are the links through which one data centre reaches the platform's
// services.
type platformLinks struct{ log, instances, weights *Link }

// set sets the mode of all three links.
func (p platformLinks) set(m Mode) {
	for _, l := range []*Link{p.log, p.instances, p.weights} {
		l.Set("", m)
	}
}

// Fleet is a running Layout. Its own methods, unlike those of Bed, are not safe for
// concurrent use.
type Fleet struct {
	*Bed
	Layout    Layout
	Log       *Process
	Instances *Process
	Weights   *Process
	Upstreams []*Upstream
	Daemons   []*Daemon
	// Publisher signs and publishes bundles with keys that the daemons trust.
	Publisher *Publisher

	platform map[string]platformLinks // by data centre
}

// StartFleet starts the platform and the upstreams of a layout and writes the
// daemons' settings files. It starts no daemons; see StartDaemons. After an error,
// the caller must close bed to end the processes that were started.
func StartFleet(ctx context.Context, bed *Bed, layout Layout) (*Fleet, error) {
	f := &Fleet{Bed: bed, Layout: layout, platform: make(map[string]platformLinks)}
	if err := f.startPlatform(ctx); err != nil {
		return nil, err
	}
	for _, u := range layout.upstreams() {
		p, err := bed.Start(ctx, u.name, ProgramStandIn, append([]string{u.command}, u.flags...)...)
		if err != nil {
			return nil, err
		}
		f.Upstreams = append(f.Upstreams, &Upstream{Process: p, Pool: u.pool, DataCentre: u.dataCentre})
	}
	var err error
	if f.Publisher, err = NewPublisher("http://" + f.Log.Listen); err != nil {
		return nil, err
	}
	for n := range layout.Daemons {
		if err := f.addDaemon(n); err != nil {
			return nil, err
		}
	}
	for n := range f.Daemons {
		if err := f.writeSettings(n); err != nil {
			return nil, err
		}
	}
	return f, f.SetInstanceList(ctx)
}

// startPlatform starts the stand-ins for the log, the instance list and the weight
// store, and the links to them, one set for each data centre.
func (f *Fleet) startPlatform(ctx context.Context) error {
	standIns := []struct {
		to      **Process
		command string
		flags   []string
	}{
		{&f.Log, "log", f.Layout.LogFlags},
		{&f.Instances, "instances", f.Layout.InstancesFlags},
		{&f.Weights, "weights", f.Layout.WeightsFlags},
	}
	for _, s := range standIns {
		p, err := f.Start(ctx, s.command, ProgramStandIn, append([]string{s.command}, s.flags...)...)
		if err != nil {
			return err
		}
		*s.to = p
	}
	for _, dc := range f.Layout.DataCentres {
		var links platformLinks
		for _, l := range []struct {
			to **Link
			p  *Process
		}{{&links.log, f.Log}, {&links.instances, f.Instances}, {&links.weights, f.Weights}} {
			link, err := f.Link(l.p.Listen, nil)
			if err != nil {
				return err
			}
			*l.to = link
		}
		f.platform[dc] = links
	}
	return nil
}

// addDaemon reserves the addresses of daemon n without starting it.
func (f *Fleet) addDaemon(n int) error {
	d := &Daemon{
		Name:       fmt.Sprintf("entry-%d", n),
		DataCentre: f.Layout.dataCentre(n),
		AdminToken: fmt.Sprintf("token-of-entry-%d", n),
	}
	d.SettingsFile = filepath.Join(f.Dir, d.Name+".yaml")
	peers, err := FreeAddress()
	if err != nil {
		return err
	}
	if d.CallersAddress, err = FreeAddress(); err != nil {
		return err
	}
	if d.AdminAddress, err = FreeAddress(); err != nil {
		return err
	}
	if d.peerLink, err = f.Link(peers, peerDataCentre); err != nil {
		return err
	}
	f.Daemons = append(f.Daemons, d)
	return nil
}

// settingsOf returns the settings of daemon n, which reaches the platform and its
// peers through links.
func (f *Fleet) settingsOf(n int) *settings.Settings {
	d := f.Daemons[n]
	links := f.platform[d.DataCentre]
	s := settings.Defaults()
	s.Instance = settings.Instance{Name: d.Name, DataCentre: d.DataCentre}
	s.Callers.Listen = d.CallersAddress
	s.Peers.Listen = d.peerLink.target
	s.Peers.Advertise = d.peerLink.Address()
	for _, other := range f.Daemons {
		if other != d {
			s.Peers.Seeds = append(s.Peers.Seeds, other.peerLink.Address())
		}
	}
	s.Admin.Listen = d.AdminAddress
	s.Admin.TokenFile = d.tokenFile()
	s.Platform.LogURL = "http://" + links.log.Address()
	s.Platform.InstancesURL = "http://" + links.instances.Address()
	s.Bundle.Authors, s.Bundle.Reviewers = f.Publisher.trustedKeys()
	if f.Layout.Settings != nil {
		f.Layout.Settings(n, s)
	}
	return s
}

func (d *Daemon) tokenFile() string { return d.SettingsFile + ".token" }

func (f *Fleet) writeSettings(n int) error {
	data, err := yaml.Marshal(f.settingsOf(n))
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	d := f.Daemons[n]
	if err := os.WriteFile(d.tokenFile(), []byte(d.AdminToken+"\n"), 0o600); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(d.SettingsFile, data, 0o600))
}

// StartDaemons starts every daemon that is not running.
func (f *Fleet) StartDaemons(ctx context.Context) error {
	for n, d := range f.Daemons {
		if d.Process != nil && d.Running() {
			continue
		}
		if err := f.StartDaemon(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// StartDaemon starts or restarts daemon n, which must not be running.
func (f *Fleet) StartDaemon(ctx context.Context, n int) error {
	d := f.Daemons[n]
	p, err := f.Start(ctx, d.Name, ProgramDaemon, "serve", d.SettingsFile)
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// PoolUpstreams returns the upstreams of a pool.
func (f *Fleet) PoolUpstreams(name string) []*Upstream {
	var out []*Upstream
	for _, u := range f.Upstreams {
		if u.Pool == name {
			out = append(out, u)
		}
	}
	return out
}

// Bundle returns a bundle that lists every upstream with the state serving.
func (f *Fleet) Bundle() *bundle.Bundle {
	b := newBundle()
	for _, u := range f.Upstreams {
		b.Upstreams[u.Name] = bundle.Upstream{
			Pool:        u.Pool,
			DataCentre:  u.DataCentre,
			Address:     u.Listen,
			State:       bundle.StateServing,
			ChecksFence: slices.Contains(u.Args, "--check-fence"),
		}
	}
	return b
}

// SetInstanceList replaces the platform's instance list with the daemons and
// upstreams of the fleet. Those named in leaving get the state leaving, the others
// the state live.
func (f *Fleet) SetInstanceList(ctx context.Context, leaving ...string) error {
	var list []infraapi.Instance
	add := func(kind infraapi.InstanceKind, name, dc, address string) {
		state := infraapi.StateLive
		if slices.Contains(leaving, name) {
			state = infraapi.StateLeaving
		}
		list = append(list, infraapi.Instance{Name: name, Kind: kind, DataCentre: dc, Address: address, State: state})
	}
	for _, d := range f.Daemons {
		add(infraapi.KindEntry, d.Name, d.DataCentre, d.peerLink.Address())
	}
	for _, u := range f.Upstreams {
		add(infraapi.KindUpstream, u.Name, u.DataCentre, u.Listen)
	}
	return f.Instances.Post(ctx, infraapi.PathInstances, infraapi.InstancesReply{Instances: list})
}

// SetPlatformMode sets the mode of a data centre's connections to the log, the instance
// list and the weight store.
func (f *Fleet) SetPlatformMode(dataCentre string, m Mode) { f.platform[dataCentre].set(m) }

// SetPeerMode sets the mode of the connections between the daemons of two data
// centres, whichever side opened them.
func (f *Fleet) SetPeerMode(a, b string, m Mode) {
	for _, d := range f.Daemons {
		switch d.DataCentre {
		case a:
			d.peerLink.Set(b, m)
		case b:
			d.peerLink.Set(a, m)
		}
	}
}
