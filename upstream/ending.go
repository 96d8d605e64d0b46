package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Probe opens a connection to an upstream's address, host:port, and closes it again. Its error says
// why that failed.
type Probe func(ctx context.Context, address string) error

// endProbeTimeout bounds the probe of an upstream at the end of a response.
const endProbeTimeout = 300 * time.Millisecond

// ConfirmEnd returns an error if a response whose body has been read to its end may be truncated. A
// response without a length or chunks ends with its connection, and the kernel ends the connection
// of a crashed process in the same way. Such a response counts as complete only if its upstream
// still accepts connections. A nil probe means a direct connection.
func ConfirmEnd(resp *http.Response, probe Probe) error {
	if !hasBody(resp, resp.Request.Method) || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") {
		return nil
	}
	if probe == nil {
		probe = probeTCP
	}
	ctx, cancel := context.WithTimeout(resp.Request.Context(), endProbeTimeout)
	defer cancel()
	return errors.WithMessage(probe(ctx, resp.Request.URL.Host), "the response ended with its connection, and its upstream cannot be reached")
}

func probeTCP(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
