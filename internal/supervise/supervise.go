// Package supervise runs the daemon's subsystems. A subsystem that panics or returns an error is
// restarted while the others keep running. If it exceeds a limit on its restart rate, the whole
// tree fails, so that the platform replaces the instance instead of keeping one that works only
// in part.
package supervise

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Service is one supervised subsystem.
type Service interface {
	// Name returns the subsystem's name for logs.
	Name() string
	// Run runs until ctx is cancelled, then returns nil. The supervisor calls it again after a
	// panic, an error or an early return.
	Run(ctx context.Context) error
}

// Limits bound how often one subsystem is restarted.
type Limits struct {
	// MaxRestarts is the maximum number of restarts within Window.
	MaxRestarts int
	// Window is the period over which restarts are counted.
	Window time.Duration
	// RestartDelay is the delay between a failure and the restart.
	RestartDelay time.Duration
}

// DefaultLimits allow five restarts a minute.
func DefaultLimits() Limits {
	return Limits{MaxRestarts: 5, Window: time.Minute, RestartDelay: 100 * time.Millisecond}
}

// Tree runs services until the context is cancelled or one of them fails permanently, which means
// that it exceeds the Limits.
type Tree struct {
	limits   Limits
	logger   log.Interface
	services []Service
}

// New returns an empty tree.
func New(logger log.Interface, limits Limits) *Tree {
	return &Tree{limits: limits, logger: logger}
}

// Add registers services. It must be called before Run.
func (t *Tree) Add(s ...Service) { t.services = append(t.services, s...) }

// Run runs all services. It returns nil once ctx is cancelled, or the first permanent failure, on
// which it stops the other services.
func (t *Tree) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg conc.WaitGroup
	for _, s := range t.services {
		wg.Go(func() {
			if err := t.runWithRestarts(ctx, s); err != nil {
				cancel(err)
			}
		})
	}
	wg.Wait()
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// runWithRestarts runs one service and restarts it after failures. It returns an error if the
// limits are exceeded.
func (t *Tree) runWithRestarts(ctx context.Context, s Service) error {
	var failures []time.Time
	for {
		err := runOnce(ctx, s)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			err = errors.New("returned before shutdown")
		}
		now := time.Now()
		failures = append(timesAfter(failures, now.Add(-t.limits.Window)), now)
		t.logger.WithError(err).WithField("service", s.Name()).Error("subsystem failed")
		if len(failures) > t.limits.MaxRestarts {
			return errors.Wrapf(err, "%s failed %d times within %s", s.Name(), len(failures), t.limits.Window)
		}
		if !clock.Sleep(ctx, t.limits.RestartDelay) {
			return nil
		}
	}
}

// runOnce runs a service once and returns a panic as an error.
func runOnce(ctx context.Context, s Service) (err error) {
	var catcher panics.Catcher
	catcher.Try(func() { err = s.Run(ctx) })
	if r := catcher.Recovered(); r != nil {
		return r.AsError()
	}
	return err
}

// timesAfter returns the times that are after since. It overwrites the elements of times.
func timesAfter(times []time.Time, since time.Time) []time.Time {
	out := times[:0]
	for _, at := range times {
		if at.After(since) {
			out = append(out, at)
		}
	}
	return out
}
