package request_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/request"
)

// Guards against executing a call twice that its caller did not mark as idempotent: a service
// executes a POST and its connection breaks, or its gateway answers 502 after the execution.
// The call must be dispatched again only if its method is idempotent or its caller marked it
// as idempotent.
func TestUnmarkedCallRetriesDependOnMethod(t *testing.T) {
	failures := map[string]http.HandlerFunc{
		"connection cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"bad gateway":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	}
	for _, c := range []struct {
		method   string
		sendOnce bool
		want     int32
	}{
		{http.MethodPost, true, 1},
		{http.MethodPost, false, 2}, // the caller marked it as idempotent
		{http.MethodPut, false, 2},
	} {
		for name, fail := range failures {
			f := newFleet(t, nil)
			var runs atomic.Int32
			count := func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				fail(w, r)
			}
			f.addService("s0", http.HandlerFunc(count))
			f.addService("s1", http.HandlerFunc(count))
			call := request.Call{
				ID: "c1", Team: "t", Service: "svc", Method: c.method, Path: "/", Body: []byte("x"), SendOnce: c.sendOnce,
				Accepted: time.Now(), Deadline: time.Now().Add(maxWait),
			}
			answer, err := f.runner.Call(context.Background(), call)
			if name == "bad gateway" && (err != nil || answer.Status != http.StatusBadGateway) {
				t.Errorf("%s once=%v: the service's own answer was replaced by %d %v", c.method, c.sendOnce, answer.Status, err)
			}
			if got := runs.Load(); got != c.want {
				t.Errorf("%s once=%v, %s: ran %d times, want %d", c.method, c.sendOnce, name, got, c.want)
			}
		}
	}
}
