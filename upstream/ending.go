package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Probe finds out whether the process of an upstream at an address, host:port, still runs. Its error says why
// that is not known, or is ErrReplaced.
type Probe func(ctx context.Context, address string) error

// ErrReplaced means that another process answers at the address of an upstream.
var ErrReplaced = errors.New("another process answers at the address of the upstream")

const (
	// endProbeTimeout bounds one probe of an upstream at the end of a response, and endProbePause is
	// the time between two of them.
	endProbeTimeout = 300 * time.Millisecond
	endProbePause   = 50 * time.Millisecond
	// endSilence is how long an upstream is probed that neither accepts nor refuses connections.
	endSilence = 3 * time.Second
)

// ConfirmEnd returns an error if a response whose body has been read to its end may be truncated. A
// response without a length or chunks ends with its connection, and the kernel ends the connection
// of a crashed process in the same way. Such a response counts as complete only if the process of its
// upstream still runs. A nil probe means that it accepts a direct connection, which proves less: a process
// that was killed accepts connections for a moment after its others have ended.
//
// That an upstream refuses connections, or is another process, shows that its process has ended. A probe without an answer
// shows nothing: the upstream or the path to it may be silent for a moment. It is repeated until the
// request's context ends, and for at most 3 s.
func ConfirmEnd(resp *http.Response, probe Probe) error {
	if !hasBody(resp, resp.Request.Method) || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") {
		return nil
	}
	if probe == nil {
		probe = ProbeTCP
	}
	ctx, cancel := context.WithTimeout(resp.Request.Context(), endSilence)
	defer cancel()
	return errors.WithMessage(probeUntilKnown(ctx, probe, resp.Request.URL.Host), "the response ended with its connection, and its upstream is not known to run")
}

// probeUntilKnown probes an upstream until it is known whether its process runs. It returns the error
// of the last probe.
func probeUntilKnown(ctx context.Context, probe Probe, address string) error {
	for {
		err := probeOnce(ctx, probe, address)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrReplaced) || !clock.Sleep(ctx, endProbePause) {
			return err
		}
	}
}

func probeOnce(ctx context.Context, probe Probe, address string) error {
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	return probe(ctx, address)
}

// ProbeTCP is a Probe that opens a connection and closes it again.
func ProbeTCP(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
