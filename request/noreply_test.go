package request_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against a request that is refused because each of the two engines of its pool was silent when it was
// asked first.
func TestEnginesThatDidNotReplyAreAskedAgain(t *testing.T) {
	reserve, _ := policy.ByName(policy.NameReserve)
	f := newFleet(t, func(o *request.Options) {
		o.Policy = func(string) (policy.Policy, bool) { return reserve, true }
		o.Limits.Reserve = 500 * time.Millisecond
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
	f.waitUntilNothingHeld()
}
