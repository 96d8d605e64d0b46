package reach

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/upstream"
)

// Transport sends requests to upstreams: directly, or through another daemon where the direct
// path fails. It implements http.RoundTripper.
//
// A request is sent the other way only after a connection could not be opened, so that it
// reaches the upstream once.
type Transport struct {
	// Paths and Monitor decide and probe.
	Paths   *Paths
	Monitor *Monitor
	// Direct opens connections to upstreams. Detour opens them through other daemons.
	Direct, Detour http.RoundTripper
	Now            func() time.Time
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	route := t.Paths.Route(t.Now(), req.URL.Host)
	if route.Probe {
		t.Monitor.Probe(req.URL.Host)
	}
	if route.Detour {
		if resp, err := t.Detour.RoundTrip(req); err == nil || !notConnected(req.Context(), err) {
			return resp, err
		}
		return t.Direct.RoundTrip(req)
	}
	resp, err := t.Direct.RoundTrip(req)
	if err == nil || !notConnected(req.Context(), err) {
		return resp, err
	}
	if resp, detourErr := t.Detour.RoundTrip(req); detourErr == nil || !notConnected(req.Context(), detourErr) {
		return resp, detourErr
	}
	return nil, err // the error of the direct path, which classifies the failure
}

// notConnected reports whether a request failed because no connection could be opened, and may
// still be sent.
func notConnected(ctx context.Context, err error) bool {
	var dial *upstream.DialError
	return errors.As(err, &dial) && ctx.Err() == nil
}
