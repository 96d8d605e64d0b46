package upstream

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/corianderturn/corianderturn/internal/waittest"
)

// Guards against a request that waits for a connection, and reaches its upstream after the upstream has
// said that it wants none.
func TestRequestThatWaitedForAConnectionIsWithheld(t *testing.T) {
	for name, body := range map[string][]byte{"GET": nil, "POST": []byte("body")} {
		var arrived atomic.Int64
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
			<-release
		}))
		hc := NewHTTPClientWith(TransportConfig{Dial: dialTimeout, PerHost: 1, IdlePerHost: 1})
		send := func(mayWrite func() bool) error {
			req, err := http.NewRequestWithContext(t.Context(), name, server.URL, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			if body != nil {
				SetBody(req, body)
			}
			resp, err := RoundTripIf(hc, req, mayWrite)
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}
		first, second := make(chan error, 1), make(chan error, 1)
		go func() { first <- send(func() bool { return true }) }()
		waittest.Until(t, "the first request holds the connection", func() bool { return arrived.Load() == 1 })
		go func() { second <- send(func() bool { return false }) }()
		close(release)
		if err := waittest.Receive(t, "the first request", first); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := waittest.Receive(t, "the second request", second); !IsWithheld(err) || DeliveryOf(err) != NotSent {
			t.Errorf("%s: %v, want it withheld", name, err)
		}
		if n := arrived.Load(); n != 1 {
			t.Errorf("%s: %d requests arrived", name, n)
		}
		server.Close()
	}
}
