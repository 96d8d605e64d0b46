package reach

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/upstream"
)

const (
	// maxProbes bounds the probes that run at the same time.
	maxProbes = 8
	// suspectProbes is the number of other paths that are probed when one fails.
	suspectProbes = 3
)

// Metrics counts connections to upstreams. telemetry.Instruments implements it.
type Metrics interface {
	// UpstreamDialed counts a connection by its result, which is the string of a Failure.
	UpstreamDialed(result string)
	// SetUnreachableUpstreams sets the number of upstreams to which connections fail.
	SetUnreachableUpstreams(n int)
	// DetourOpened counts an answer of a daemon that was asked to carry a connection, and
	// ConnectionCarried one that this daemon gave.
	DetourOpened(result string)
	ConnectionCarried(result string)
	// SetCarriedConnections sets the number of connections that this daemon carries.
	SetCarriedConnections(n int)
}

// MonitorOptions configure a Monitor; all fields are required.
type MonitorOptions struct {
	Paths *Paths
	// Connect opens a direct connection to an upstream, within a timeout of its own.
	Connect upstream.DialFunc
	// OnCutOff is called after each result with Paths.CutOff.
	OnCutOff func(cutOff bool)
	Metrics  Metrics
	Logger   log.Interface
	Now      func() time.Time
}

// Monitor records the results of direct connections to upstreams in Paths, probes paths, logs
// each change, and counts the results.
type Monitor struct {
	o      MonitorOptions
	probes chan struct{} // holds a value for each probe that runs
}

// NewMonitor returns a monitor.
func NewMonitor(o MonitorOptions) *Monitor {
	return &Monitor{o: o, probes: make(chan struct{}, maxProbes)}
}

// Dialed records the result of opening a connection to an upstream; err is nil if it was
// opened. It logs only when the path to the upstream fails for the first time or works again.
func (m *Monitor) Dialed(address string, err error) {
	f := failureOf(err)
	now := m.o.Now()
	t := m.o.Paths.RecordDial(now, address, f)
	m.o.Metrics.UpstreamDialed(f.String())
	m.o.OnCutOff(m.o.Paths.CutOff(now))
	if !t.Lost && !t.Regained {
		return
	}
	m.o.Metrics.SetUnreachableUpstreams(t.Failing)
	line := m.o.Logger.WithFields(log.Fields{"address": address, "failing": t.Failing, "known": t.Known})
	if t.Regained {
		line.WithField("after_ms", t.LostFor.Milliseconds()).Info("upstream reachable again")
		return
	}
	line.WithFields(log.Fields{"reason": f.String(), "heard_ms_ago": t.SinceReceived.Milliseconds()}).WithError(err).Warn("upstream unreachable")
	for _, suspect := range m.o.Paths.Suspects(now, suspectProbes) {
		m.Probe(suspect)
	}
}

// Sent and Heard record that bytes were sent to an upstream, or arrived from it, on a direct
// connection.
func (m *Monitor) Sent(address string) { m.o.Paths.RecordSent(m.o.Now(), address) }

// Heard is described at Sent.
func (m *Monitor) Heard(address string) { m.o.Paths.RecordHeard(m.o.Now(), address) }

// CutOff reports whether this daemon has probably lost its own network path to the upstreams.
func (m *Monitor) CutOff() bool { return m.o.Paths.CutOff(m.o.Now()) }

// ConnectFor opens a direct connection to an upstream on behalf of another daemon. If the path
// to the upstream fails, it does not try again until a probe is due.
func (m *Monitor) ConnectFor(ctx context.Context, address string) (net.Conn, error) {
	if route := m.o.Paths.Route(m.o.Now(), address); route.Detour && !route.Probe {
		return nil, &UnreachableError{Failure: m.o.Paths.Failure(address)}
	}
	return m.Connect(ctx, address)
}

// Connect opens a direct connection to an upstream and records the result. A failure after the end
// of ctx is not recorded: it says nothing about the path.
func (m *Monitor) Connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := m.o.Connect(ctx, "tcp", address)
	if err == nil || ctx.Err() == nil {
		m.Dialed(address, err)
	}
	return conn, err
}

// Probe opens a direct connection to an upstream in the background, records the result and
// closes the connection. It does nothing while maxProbes run.
func (m *Monitor) Probe(address string) {
	select {
	case m.probes <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-m.probes }()
		if conn, err := m.Connect(context.Background(), address); err == nil {
			_ = conn.Close() // nothing was sent on it
		}
	}()
}
