package upstream_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/upstream"
)

// endedResponse returns a response that ended with its connection.
func endedResponse(ctx context.Context, t *testing.T) *http.Response {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream.example:80/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Request: req}
}

// Guards against whole answers that are thrown away because their upstream, or the path to it, is
// silent when they end, and against truncated ones that are taken for whole.
func TestConfirmEnd(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	unreachable := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}
	silence := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	fails := func(err error) func(context.Context) error { return func(context.Context) error { return err } }
	for _, tc := range []struct {
		name   string
		probes []func(context.Context) error // the last one is repeated
		within time.Duration                 // of the request; 0 for no deadline
		whole  bool
		asked  int32 // number of probes; 0 for any
	}{
		{"accepts connections", []func(context.Context) error{fails(nil)}, 0, true, 1},
		{"refuses connections", []func(context.Context) error{fails(refused)}, 0, false, 1},
		{"another process", []func(context.Context) error{fails(upstream.ErrReplaced)}, 0, false, 1},
		{"silent, then accepts", []func(context.Context) error{silence, silence, silence, fails(nil)}, 0, true, 4},
		{"silent, then refuses", []func(context.Context) error{silence, fails(refused)}, 0, false, 2},
		{"no path, then accepts", []func(context.Context) error{fails(unreachable), fails(unreachable), fails(nil)}, 0, true, 3},
		{"silent until the deadline", []func(context.Context) error{silence}, 100 * time.Millisecond, false, 1},
		{"silent for ever", []func(context.Context) error{silence}, 0, false, 0},
		{"no path for ever", []func(context.Context) error{fails(unreachable)}, 0, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx := context.Background()
			if tc.within > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, tc.within)
				defer cancel()
			}
			var asked atomic.Int32
			probe := func(ctx context.Context, _ string) error {
				n := int(asked.Add(1))
				return tc.probes[min(n, len(tc.probes))-1](ctx)
			}
			err := upstream.ConfirmEnd(endedResponse(ctx, t), probe)
			if (err == nil) != tc.whole || tc.asked > 0 && asked.Load() != tc.asked {
				t.Errorf("got %v after %d probes", err, asked.Load())
			}
		})
	}
}
