package upstream_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against logs that do not tell why a call counts as not run.
func TestProof(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	refused := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderCallID, r.Header.Get(engineapi.HeaderCallID))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"reason":"full"}`))
	}
	foreign := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(engineapi.HeaderCallID, "another") }
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for want, tc := range map[upstream.Proof]struct {
		ctx context.Context
		h   http.HandlerFunc // nil if no server listens
	}{
		upstream.ProofNotConnected: {ctx: context.Background()},
		upstream.ProofNotWritten:   {ctx: cancelled, h: refused},
		upstream.ProofRefusal:      {ctx: context.Background(), h: refused},
		upstream.ProofForeign:      {ctx: context.Background(), h: foreign},
		upstream.NoProof:           {ctx: context.Background(), h: broken},
	} {
		addr := unusedAddr(t)
		if tc.h != nil {
			addr = serve(t, tc.h)
		}
		_, err := upstream.NewEngines(client(t)).Prefill(tc.ctx, addr, engineapi.PrefillRequest{})
		if got := upstream.ProofOf(err); got != want {
			t.Errorf("%v proves %s, want %s", err, got, want)
		}
	}
}
