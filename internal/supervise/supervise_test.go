package supervise

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type service struct {
	name string
	run  func(ctx context.Context) error
}

func (s service) Name() string                  { return s.name }
func (s service) Run(ctx context.Context) error { return s.run(ctx) }

func newTree(restarts int) *Tree {
	limits := Limits{MaxRestarts: restarts, Window: time.Minute, RestartDelay: time.Microsecond}
	return New(&log.Logger{Handler: discard.Default}, limits)
}

// A subsystem that panics is restarted, and the others keep running. Without recovery, a panic in
// one goroutine would end the process with all its requests.
func TestPanicRestartsThatServiceAlone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var panicking, steady atomic.Int32
	tree := newTree(3)
	tree.Add(service{"panicking", func(ctx context.Context) error {
		if panicking.Add(1) == 1 {
			panic("first run")
		}
		cancel()
		return nil
	}})
	tree.Add(service{"steady", func(ctx context.Context) error {
		steady.Add(1)
		<-ctx.Done()
		return nil
	}})
	if err := tree.Run(ctx); err != nil {
		t.Fatalf("Run returned %v", err)
	}
	if panicking.Load() != 2 || steady.Load() != 1 {
		t.Fatalf("%d runs of the panicking service and %d of the other, want 2 and 1", panicking.Load(), steady.Load())
	}
}

// The tree fails if a subsystem fails at each start. With unlimited restarts, the daemon would
// appear healthy although one of its subsystems never works, and would not be replaced.
func TestBoundedRestartsFailTheTree(t *testing.T) {
	var runs atomic.Int32
	tree := newTree(2)
	tree.Add(service{"broken", func(context.Context) error {
		runs.Add(1)
		return errors.New("broken")
	}})
	tree.Add(service{"steady", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}})
	if err := tree.Run(context.Background()); err == nil {
		t.Fatal("Run returned no error")
	}
	if runs.Load() != 3 {
		t.Fatalf("%d runs, want 3: the first and 2 restarts", runs.Load())
	}
}
