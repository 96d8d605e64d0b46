package reach

import (
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// openRequest asks a daemon to open a connection to an upstream and to carry its bytes. The
// upstream is named, not addressed: daemons connect to registered upstreams only.
type openRequest struct {
	Upstream string `msgpack:"u"`
}

// openResponse answers an openRequest. After Opened, the connection between the daemons carries
// frames: wire.TypeTunnelData with bytes in either direction, none as a sign of life, and one
// wire.TypeTunnelEnd from the carrier when the upstream has ended the connection.
type openResponse struct {
	Result openResult `msgpack:"r"`
	// Failure is the reason if Result is Unreachable.
	Failure Failure `msgpack:"f,omitempty"`
	// CutOff is set if the carrier has probably lost its own network path, so that its failure
	// says nothing about the upstream.
	CutOff bool `msgpack:"c,omitempty"`
}

// openResult is the result of an openRequest.
type openResult uint8

const (
	opened      openResult = iota
	unreachable            // the carrier cannot connect to the upstream
	unknown                // the carrier has no registration of the upstream, or may not send to it
	busy                   // the carrier carries too many connections, or is shutting down
)

// String returns the name used in metrics.
func (r openResult) String() string {
	return [...]string{"opened", "unreachable", "unknown", "busy"}[r]
}

// endMessage is the message of wire.TypeTunnelEnd.
type endMessage struct {
	// Reset is set if the upstream's connection failed rather than ended.
	Reset bool `msgpack:"r,omitempty"`
}

// writeFrame writes one message to a connection between daemons.
func writeFrame(c net.Conn, t wire.Type, msg any) error {
	f, err := wire.Encode(wire.Envelope{Type: t}, msg, wire.MaxFrame)
	if err != nil {
		return err
	}
	defer f.Release()
	_, err = c.Write(f.Bytes())
	return errors.WithStack(err)
}

// writeData writes bytes of a carried connection.
func writeData(c net.Conn, p []byte) error {
	return writeFrame(c, wire.TypeTunnelData, msgpack.RawMessage(p))
}

// failureOf classifies the error of opening a connection.
func failureOf(err error) Failure {
	var timeout net.Error
	var known *UnreachableError
	switch {
	case err == nil:
		return NoFailure
	case errors.As(err, &known):
		return known.Failure
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
