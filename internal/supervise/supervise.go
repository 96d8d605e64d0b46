// Package supervise runs the daemon's subsystems. A subsystem that panics or
// returns an error is started again alone, at a bounded rate; when the bound is
// passed the whole tree fails, so that the platform replaces the instance
// instead of keeping one that limps.
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
	// Run works until ctx ends, then returns nil. The supervisor calls it again
	// after a panic or an error.
	Run(ctx context.Context) error
}

// Limits bound how often one subsystem is started again.
type Limits struct {
	// Restarts is how many restarts are allowed within Window.
	Restarts int
	// Window is the period over which restarts are counted.
	Window time.Duration
	// Pause is the time between a failure and the restart.
	Pause time.Duration
}

// DefaultLimits allow five restarts a minute.
func DefaultLimits() Limits {
	return Limits{Restarts: 5, Window: time.Minute, Pause: 100 * time.Millisecond}
}

// Tree runs services until the context ends or one of them fails for good.
type Tree struct {
	limits   Limits
	logger   log.Interface
	services []Service
}

// New returns an empty tree.
func New(logger log.Interface, limits Limits) *Tree {
	return &Tree{limits: limits, logger: logger}
}

// Add registers a service; call it before Run.
func (t *Tree) Add(s ...Service) { t.services = append(t.services, s...) }

// Run runs every service and returns the first final failure, or nil when ctx ended.
func (t *Tree) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg conc.WaitGroup
	for _, s := range t.services {
		wg.Go(func() {
			if err := t.keep(ctx, s); err != nil {
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

// keep runs one service and restarts it within the limits.
func (t *Tree) keep(ctx context.Context, s Service) error {
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
		failures = append(recent(failures, now.Add(-t.limits.Window)), now)
		t.logger.WithError(err).WithField("service", s.Name()).Error("subsystem failed")
		if len(failures) > t.limits.Restarts {
			return errors.Wrapf(err, "%s failed %d times within %s", s.Name(), len(failures), t.limits.Window)
		}
		if !clock.Sleep(ctx, t.limits.Pause) {
			return nil
		}
	}
}

func runOnce(ctx context.Context, s Service) (err error) {
	var catcher panics.Catcher
	catcher.Try(func() { err = s.Run(ctx) })
	if r := catcher.Recovered(); r != nil {
		return r.AsError()
	}
	return err
}

func recent(times []time.Time, since time.Time) []time.Time {
	out := times[:0]
	for _, at := range times {
		if at.After(since) {
			out = append(out, at)
		}
	}
	return out
}
