package request_test

import (
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against a request that is refused because each of the two engines of its pool was silent when it was
// asked first.
func TestEnginesThatDidNotReplyAreAskedAgain(t *testing.T) {
	reserve, _ := policy.ByName(policy.NameReserve)
	lines := &lineRecorder{}
	f := newFleet(t, func(o *request.Options) {
		o.Policy = func(string) (policy.Policy, bool) { return reserve, true }
		o.Limits.Reserve = 500 * time.Millisecond
		o.Logger = &log.Logger{Handler: lines, Level: log.InfoLevel}
	})
	var calls [2]atomic.Int32
	for i, name := range []string{"d0", "d1"} {
		f.engines[name].onCall(engineapi.PathReserve, func(w http.ResponseWriter, r *http.Request) {
			if calls[i].Add(1) == 1 {
				holdUntilCancelled(w, r)
			}
		})
	}
	f.complete(t.Context(), newCompletion("r"), nil).wantComplete()
	if a, b := calls[0].Load(), calls[1].Load(); a == 0 || b == 0 || a+b != 3 {
		t.Errorf("%d and %d reservations, want one and two", a, b)
	}
	timedOut := map[any]any{} // by attempt
	for _, l := range lines.fieldsOf("decision") {
		if l["reason"] == "timed-out" {
			timedOut[l["attempt"]] = l["step"]
		}
	}
	if want := map[any]any{1: "reserve", 2: "reserve"}; !maps.Equal(timedOut, want) {
		t.Errorf("lines of calls that timed out: %v, want %v", timedOut, want)
	}
	f.waitUntilNothingHeld()
}
