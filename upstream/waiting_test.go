package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/upstream"
)

// runRecorder is a service that records the ids of the calls that it ran. It answers after answer is closed.
type runRecorder struct {
	arrived, answer chan struct{}

	mu  sync.Mutex
	ran []string
}

// ServeHTTP implements http.Handler.
func (s *runRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.ran = append(s.ran, r.Header.Get(upstream.HeaderRequestID))
	s.mu.Unlock()
	s.arrived <- struct{}{}
	<-s.answer
}

// goCall makes a call in a goroutine and returns the channel of its error.
func goCall(ctx context.Context, s *upstream.Services, addr, id string) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := s.Call(ctx, addr, upstream.ServiceCall{RequestID: id, Method: http.MethodPost, Path: "/", Body: []byte(id), NoReplay: true})
		result <- err
	}()
	return result
}

// Guards against a call that was given up while it waited for a connection, counts as not sent, and runs when there is one: a
// connection that was opened for it is then used for another call.
func TestCallsGivenUpWhileTheyWait(t *testing.T) {
	service := &runRecorder{arrived: make(chan struct{}, 3), answer: make(chan struct{})}
	addr := serve(t, service.ServeHTTP)
	dialing, mayDial := make(chan struct{}, 3), make(chan struct{})
	connect := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialing <- struct{}{}
		<-mayDial
		var d net.Dialer
		return d.DialContext(context.WithoutCancel(ctx), network, address)
	}
	hc := upstream.NewHTTPClientWith(upstream.TransportConfig{PerHost: 1, IdlePerHost: 1, Connect: connect})
	t.Cleanup(hc.CloseIdleConnections)
	s := upstream.NewServices(hc, upstream.NoRateLimitObserver{})
	giveUp := func(what, id string, waits <-chan struct{}) {
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		result := goCall(ctx, s, addr, id)
		if waits != nil {
			waittest.Receive(t, what, waits)
		}
		cancel()
		if err := waittest.Receive(t, "the call ends", result); upstream.DeliveryOf(err) != upstream.NotSent {
			t.Errorf("%s: %v, want not sent", what, err)
		}
	}
	giveUp("the connection is opened", "dialing", dialing)
	served := goCall(t.Context(), s, addr, "served")
	close(mayDial)
	waittest.Receive(t, "the next call arrives", service.arrived)
	giveUp("the only connection is used", "queued", nil)
	close(service.answer)
	if err := waittest.Receive(t, "the next call ends", served); err != nil {
		t.Error(err)
	}
	if err := waittest.Receive(t, "the last call ends", goCall(t.Context(), s, addr, "last")); err != nil {
		t.Error(err)
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	if len(service.ran) != 2 || service.ran[0] != "served" || service.ran[1] != "last" {
		t.Errorf("ran: %q", service.ran)
	}
}
