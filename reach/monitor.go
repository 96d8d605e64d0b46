package reach

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

// Metrics counts connections to upstreams. telemetry.Instruments implements it.
type Metrics interface {
	// UpstreamDialed counts a connection by its result, which is the string of a Failure.
	UpstreamDialed(result string)
	// SetUnreachableUpstreams sets the number of upstreams to which connections fail.
	SetUnreachableUpstreams(n int)
}

// Monitor records the results of connections to upstreams in Paths, logs each change, and
// counts the results.
type Monitor struct {
	paths   *Paths
	metrics Metrics
	logger  log.Interface
	now     func() time.Time
}

// NewMonitor returns a monitor that records results in paths.
func NewMonitor(paths *Paths, metrics Metrics, logger log.Interface, now func() time.Time) *Monitor {
	return &Monitor{paths: paths, metrics: metrics, logger: logger, now: now}
}

// Dialed records the result of opening a connection to an upstream; err is nil if it was
// opened. It logs only when the path to the upstream fails for the first time or works again.
func (m *Monitor) Dialed(address string, err error) {
	f := failureOf(err)
	t := m.paths.RecordDial(m.now(), address, f)
	m.metrics.UpstreamDialed(f.String())
	if !t.Lost && !t.Regained {
		return
	}
	m.metrics.SetUnreachableUpstreams(t.Failing)
	line := m.logger.WithFields(log.Fields{"address": address, "failing": t.Failing, "known": t.Known})
	if t.Lost {
		line.WithFields(log.Fields{"reason": f.String(), "heard_ms_ago": t.SinceHeard.Milliseconds()}).WithError(err).Warn("upstream unreachable")
		return
	}
	line.WithField("after_ms", t.LostFor.Milliseconds()).Info("upstream reachable again")
}

// Heard records that bytes arrived from an upstream.
func (m *Monitor) Heard(address string) { m.paths.RecordHeard(m.now(), address) }

// failureOf classifies the error of opening a connection.
func failureOf(err error) Failure {
	var timeout net.Error
	switch {
	case err == nil:
		return NoFailure
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, syscall.ECONNRESET):
		return Reset
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut
	default:
		return OtherFailure
	}
}
