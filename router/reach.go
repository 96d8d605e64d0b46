package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/availability"
	"github.com/corianderturn/corianderturn/platform"
	"github.com/corianderturn/corianderturn/reach"
	"github.com/corianderturn/corianderturn/relay"
	"github.com/corianderturn/corianderturn/upstream"
)

// upstreamTransport returns the settings of connections to upstreams.
func upstreamTransport() upstream.TransportConfig {
	return upstream.TransportConfig{Dial: dialTimeout, Idle: upstreamIdleTimeout, KeepAlive: probeInterval, Probes: upstreamProbes, UserTimeout: upstreamUnackedTimeout, PerHost: connsPerUpstream, IdlePerHost: idleConns}
}

// provisionReach creates what connects to upstreams directly.
func (a *Attached) provisionReach() {
	a.paths = reach.NewPaths()
	a.monitor = reach.NewMonitor(reach.MonitorOptions{
		Paths: a.paths, Connect: a.connect, OnCutOff: a.setCutOff, Metrics: a.metrics.Instruments, Logger: a.logger, Now: time.Now,
	})
}

// provisionDetours creates what connects to upstreams through other daemons, and what carries
// connections for them. Both need a relay address.
func (a *Attached) provisionDetours() {
	a.carrier = reach.NewServer(reach.ServerOptions{
		Monitor: a.monitor, Address: a.upstreamAddress, Draining: a.Draining, Metrics: a.metrics.Instruments, Logger: a.logger,
		Withheld:    func(name string) bool { return a.statements.Allow(name, availability.NewWork) != nil },
		ObserveHead: a.observeCarried,
	})
	a.detours = reach.NewClient(reach.ClientOptions{
		Directory: carrierDirectory{relay.CarrierFinder{Roster: a.roster, Dial: relay.DialTCP, Logger: a.logger, Now: time.Now}},
		Carriers:  reach.NewCarriers(rand.New(rand.NewPCG(a.seed, rngCarriers))),
		Dial:      a.dialCarrier,
		Metrics:   a.metrics.Instruments, Logger: a.logger, Now: time.Now,
	})
}

// observeCarried records what an upstream states in a response that this daemon carries for another one:
// to the upstream, it is this daemon that was told.
func (a *Attached) observeCarried(name string, head []byte) {
	if n, ok := platform.ParseAvailability(name, time.Now(), head); ok {
		a.statements.ObserveAvailability(n)
	}
}

// carrierDirectory is a reach.Directory.
type carrierDirectory struct{ finder relay.CarrierFinder }

// Candidates implements reach.Directory.
func (d carrierDirectory) Candidates(ctx context.Context, z reach.Scope) []reach.Candidate {
	find := d.finder.Local
	if z == reach.Remote {
		find = d.finder.Remote
	}
	var out []reach.Candidate
	for _, p := range find(ctx) {
		out = append(out, reach.Candidate{Address: p.Address, CutOff: p.CutOff})
	}
	return out
}

// dialCarrier connects to another daemon, with the options of connections to upstreams.
func (a *Attached) dialCarrier(ctx context.Context, address string) (net.Conn, error) {
	conn, err := upstreamTransport().Dialer()(ctx, "tcp", address)
	return conn, errors.Wrap(err, "connect to daemon")
}

// setCutOff tells other daemons whether this one has lost its path to the upstreams.
func (a *Attached) setCutOff(cutOff bool) {
	if a.roster != nil {
		a.roster.SetCutOff(cutOff)
	}
}

// upstreamAddress returns the registered address of an upstream.
func (a *Attached) upstreamAddress(name string) (string, bool) {
	reg, ok := a.watcher.Registration(name)
	return reg.Address, ok
}

// directClient returns an HTTP client that sends to upstreams from this daemon only. Orders to
// engines need it, because engines tell daemons apart by the connection.
func (a *Attached) directClient() *http.Client {
	cfg := upstreamTransport()
	cfg.Connect, cfg.OnDial, cfg.OnRead, cfg.OnWrite = a.connect, a.monitor.Dialed, a.monitor.Heard, a.monitor.Sent
	return upstream.NewHTTPClientWith(cfg)
}

// upstreamClient returns an HTTP client that sends to upstreams directly, or through another
// daemon where that fails.
func (a *Attached) upstreamClient() *http.Client {
	client := a.directClient()
	if a.detours == nil {
		return client
	}
	cfg := upstreamTransport()
	cfg.Connect, cfg.TellsEnd, cfg.NoReuse = a.connectByDetour, true, true
	client.Transport = &reach.Transport{
		Paths: a.paths, Monitor: a.monitor, Direct: client.Transport, Detour: upstream.NewHTTPClientWith(cfg).Transport, Now: time.Now,
	}
	return client
}

// detourTime is how much longer a connection through another daemon may take to open: as long as
// one daemon is waited for, and another is asked.
const detourTime = 350 * time.Millisecond

// connectTime returns how much longer than usual it may take to connect to an upstream now.
func (a *Attached) connectTime(address string) time.Duration {
	if address != "" && a.detours != nil && a.paths.NeedsDetour(time.Now(), address) {
		return detourTime
	}
	return 0
}

// connectByDetour opens a connection to an upstream through another daemon.
func (a *Attached) connectByDetour(ctx context.Context, _, address string) (net.Conn, error) {
	name, ok := a.upstreamName(address)
	if !ok {
		return nil, errors.Errorf("no upstream is registered at %s", address)
	}
	return a.detours.Open(ctx, name)
}

// upstreamName returns the name of the upstream at an address.
func (a *Attached) upstreamName(address string) (string, bool) {
	v := a.watcher.View()
	if v == nil {
		return "", false
	}
	for name, u := range v.Bundle.Bundle.Upstreams {
		if u.Address == address {
			return name, true
		}
	}
	return "", false
}

// probeUpstream opens a connection to an upstream and closes it again. It is a
// quarantine.Dialer. That connections are refused counts only if other daemons find so too:
// what refuses them may be on the way from this daemon.
func (a *Attached) probeUpstream(ctx context.Context, address string) error {
	conn, err := a.monitor.Connect(ctx, address)
	if err != nil && a.detours != nil {
		conn, err = a.confirmUnreachable(ctx, address, err)
	}
	if err == nil {
		err = conn.Close()
	}
	return errors.WithStack(err)
}

// confirmUnreachable opens a connection through another daemon after the direct one failed with
// an error. It returns that error if no other daemon can be asked, or if one that reaches other
// upstreams fails too.
func (a *Attached) confirmUnreachable(ctx context.Context, address string, direct error) (net.Conn, error) {
	conn, err := a.connectByDetour(ctx, "tcp", address)
	var unreachable *reach.UnreachableError
	switch {
	case err == nil:
		return conn, nil
	case errors.As(err, &unreachable) && (!unreachable.Conclusive || unreachable.Failure != reach.Refused):
		return nil, err
	}
	return nil, direct
}

// processes is a platform.Processes.
type processes struct{ a *Attached }

// Born implements platform.Processes.
func (p processes) Born(upstream string) int64 {
	reg, _ := p.a.watcher.Registration(upstream)
	return reg.Born
}

// HealthPath implements platform.Processes.
func (p processes) HealthPath(upstream string) string {
	reg, registered := p.a.watcher.Registration(upstream)
	v := p.a.watcher.View()
	if !registered || v == nil || v.Config == nil {
		return ""
	}
	return v.Config.Services[reg.Service].HealthPath
}
