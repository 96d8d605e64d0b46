package reach

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against paths that count as lost because a connection on them was given up: by a caller that
// left, or at a request's deadline.
func TestConnectGivenUp(t *testing.T) {
	untilEnded := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	fails := func(err error) func(context.Context) error { return func(context.Context) error { return err } }
	for _, tc := range []struct {
		name    string
		within  time.Duration // of the request; 0 for a caller that leaves
		connect func(ctx context.Context) error
		want    Failure
	}{
		{"caller left", 0, untilEnded, NoFailure},
		{"deadline passed", time.Millisecond, untilEnded, NoFailure},
		{"no answer", time.Hour, fails(os.ErrDeadlineExceeded), TimedOut},
		{"refused", time.Hour, fails(syscall.ECONNREFUSED), Refused},
		{"no descriptor", time.Hour, fails(syscall.EMFILE), OtherFailure},
	} {
		t.Run(tc.name, func(t *testing.T) {
			paths := NewPaths()
			m := NewMonitor(MonitorOptions{
				Paths: paths,
				Connect: func(ctx context.Context, _, _ string) (net.Conn, error) {
					return nil, errors.WithStack(tc.connect(ctx))
				},
				OnCutOff: func(bool) {}, Metrics: noMetrics{}, Logger: discardLogger, Now: time.Now,
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tc.within > 0 {
				ctx, cancel = context.WithTimeout(ctx, tc.within)
				defer cancel()
			} else {
				cancel()
			}
			if _, err := m.Connect(ctx, "u"); err == nil {
				t.Error("connected")
			}
			if got := paths.Failure("u"); got != tc.want {
				t.Errorf("failure %v, want %v", got, tc.want)
			}
			if detour := paths.Route(time.Now(), "u").Detour; detour != (tc.want != NoFailure) {
				t.Errorf("the next request takes a detour: %t", detour)
			}
		})
	}
}
