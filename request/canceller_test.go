package request_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against one call that is never acknowledged, such as the unpause of a draft that has
// already ended, delaying the cancels queued after it for the same engine. The engine would
// then hold the memory of cancelled requests for ten seconds although it is healthy.
func TestUnacknowledgedCancelDoesNotDelayOthers(t *testing.T) {
	f := newFleet(t, func(o *request.Options) {
		o.Cancel = request.DefaultCancelLimits()
		o.Cancel.Age, o.Cancel.MinPause, o.Cancel.MaxPause = time.Hour, time.Hour, time.Hour
	})
	d := f.engines["d0"]
	refused := make(chan struct{}, 8)
	d.onCall(engineapi.PathCancel, func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || bytes.Contains(body, []byte("stuck")) {
			refused <- struct{}{}
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	})
	completeAndLeave := func(id string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCompletion(id)
		c.MaxTokens = 1 << 20
		f.complete(ctx, c, &sink{onToken: func(int) error { cancel(); return nil }})
	}
	completeAndLeave("stuck")
	<-refused
	completeAndLeave("r1")
	completeAndLeave("r2")
	waitUntil(t, "the other cancels", func() bool { return d.Stats().Held == 1 })
}
