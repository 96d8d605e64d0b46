package reach

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/upstream"
)

// Guards against requests that run twice: one that may have reached the upstream must not be sent
// the other way.
func TestTransportSendsOnce(t *testing.T) {
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	var cut atomic.Bool
	var directDials, detourDials atomic.Int32
	connect := func(count *atomic.Int32, fail *atomic.Bool) upstream.DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			count.Add(1)
			if fail != nil && fail.Load() {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			var d net.Dialer
			return d.DialContext(ctx, network, address)
		}
	}
	monitor := NewMonitor(MonitorOptions{Paths: NewPaths(), Connect: connect(&directDials, &cut), OnCutOff: func(bool) {}, Metrics: noMetrics{}, Logger: discardLogger, Now: time.Now})
	transport := func(c upstream.DialFunc, onDial func(string, error)) http.RoundTripper {
		return upstream.NewHTTPClientWith(upstream.TransportConfig{Connect: c, OnDial: onDial, NoReuse: true, PerHost: 4}).Transport
	}
	client := &http.Client{Transport: &Transport{
		Paths: monitor.o.Paths, Monitor: monitor, Now: time.Now,
		Direct: transport(connect(&directDials, &cut), monitor.Dialed), Detour: transport(connect(&detourDials, nil), nil),
	}}
	send := func(path string) error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.GetBody = nil
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	if err := send("/broken"); err == nil || arrived.Load() != 1 || detourDials.Load() != 0 {
		t.Errorf("a request that broke off: %v, arrived %d times, %d detours", err, arrived.Load(), detourDials.Load())
	}
	cut.Store(true)
	if err := send("/"); err != nil || arrived.Load() != 2 || detourDials.Load() != 1 {
		t.Errorf("direct path fails: %v, arrived %d times, %d detours", err, arrived.Load(), detourDials.Load())
	}
	if err := send("/"); err != nil || arrived.Load() != 3 || detourDials.Load() != 2 {
		t.Errorf("direct path known to fail: %v, arrived %d times, %d detours", err, arrived.Load(), detourDials.Load())
	}
}
