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

// Symptom: the memory of cancelled requests stays held for ten seconds on an
// engine that is well.
// Sequence: the engine does not acknowledge one cancel, such as the resume of a
// draft that has ended meanwhile; others come after it.
// Cause: the first of a lane is repeated until it is acknowledged or too old.
func TestStuckCancelHoldsUpNoOther(t *testing.T) {
	f := newFleet(t, func(o *request.Options) {
		o.Cancel = request.DefaultCancelLimits()
		o.Cancel.Age, o.Cancel.MinPause, o.Cancel.MaxPause = time.Hour, time.Hour, time.Hour
	})
	d := f.engines["d0"]
	refused := make(chan struct{}, 8)
	d.on(engineapi.PathCancel, func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || bytes.Contains(body, []byte("stuck")) {
			refused <- struct{}{}
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	})
	leave := func(id string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := completion(id)
		c.MaxTokens = 1 << 20
		f.run(ctx, c, &sink{onToken: func(int) error { cancel(); return nil }})
	}
	leave("stuck")
	<-refused
	leave("r1")
	leave("r2")
	until(t, "the others freed", func() bool { return d.Stats().Held == 1 })
}
