package steward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// poll sends the requests of task to its upstream. Held memory comes first, because
// an engine that runs out of memory cannot accept requests.
func (rd *runState) poll(ctx context.Context, task pollTask, address string) {
	ok := true
	if task.held {
		ok = rd.sweepUpstream(ctx, task.upstream, address)
	}
	if task.load {
		ok = rd.pollLoad(ctx, task.upstream, address) && ok
	}
	if task.events {
		ok = rd.pollEvents(ctx, task.upstream, address) && ok
	}
	if ctx.Err() == nil && !ok {
		rd.stats.pollsFailed.Add(1)
	}
	rd.mu.Lock()
	defer rd.mu.Unlock()
	nextListing, _ := rd.sweep.NextListing(time.Now(), task.upstream)
	rd.scheduler.finish(task.upstream, ok, nextListing)
}

// pollLoad reads the load of an upstream, updates the board and reports whether the
// load could be read. It reports a failed upstream to the board too, because the
// steward is often the first to detect the failure.
func (rd *runState) pollLoad(ctx context.Context, upstream, address string) bool {
	load, err := withTimeout(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.Load, error) {
		return rd.opts.Engines.Load(ctx, address)
	})
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	rd.opts.Board.Update(func(b *board.Board) {
		switch {
		case err == nil:
			b.ApplyReport(now, upstream, load, 0)
		case !harmless(err):
			b.RecordFailure(now, upstream)
		}
	})
	if err != nil {
		rd.opts.Logger.WithError(err).WithField("upstream", upstream).Debug("could not read load")
	}
	return err == nil
}

// harmless reports whether err is no failure of the upstream: it wants no calls for a time, or it works
// but does not report its load, and sent a response with a status from 200 to 499.
//
// A plain service without the path /v1/load responds with 404 or with an HTML page.
// If that counted as a failure, three polls would eject the service on its steward,
// for up to 30 s at a time: the steward would reject requests with no-upstream while
// all other daemons still use the service.
func harmless(err error) bool {
	if upstream.IsWithheld(err) || upstream.RefusalOf(err).AsksForRest() {
		return true
	}
	var ce *upstream.CallError
	return errors.As(err, &ce) && ce.Status >= http.StatusOK && ce.Status < http.StatusInternalServerError
}

// pollEvents reads new cache events of an upstream, passes them to the board and
// reports whether they could be read.
func (rd *runState) pollEvents(ctx context.Context, upstream, address string) bool {
	var from uint64
	rd.opts.Board.Update(func(b *board.Board) { from = b.EventsFrom(upstream) })
	events, err := withTimeout(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.EventsReply, error) {
		return rd.opts.Engines.Events(ctx, address, from)
	})
	if err != nil {
		return false
	}
	rd.opts.Board.Update(func(b *board.Board) { b.CacheEvents(time.Now(), upstream, events) })
	return true
}

// sweepUpstream lists the memory that an engine holds, cancels orphaned work and
// reports whether all calls succeeded. It reads the membership view after the
// listing: listed work started before, so the newer view can contain its owner.
func (rd *runState) sweepUpstream(ctx context.Context, upstream, address string) bool {
	held, err := withTimeout(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.HeldReply, error) {
		return rd.opts.Engines.Held(ctx, address)
	})
	if err != nil {
		return false
	}
	now := time.Now()
	rd.mu.Lock()
	cancels := rd.sweep.ProcessListing(now, upstream, held, rd.opts.Peers.View())
	rd.mu.Unlock()
	rd.stats.sweeps.Add(1)
	ok := true
	for _, c := range cancels {
		ok = rd.cancel(ctx, upstream, address, c) && ok
	}
	return ok
}

// cancel sends one cancel and reports whether the upstream acknowledged it. A failed
// cancel is not repeated here, because the next listing shows whether the work is
// still held.
func (rd *runState) cancel(ctx context.Context, upstream, address string, c Cancel) bool {
	_, err := withTimeout(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.CancelReply, error) {
		return rd.opts.Engines.Cancel(ctx, address, c.Work)
	})
	entry := rd.opts.Logger.WithField("upstream", upstream).WithField("request", c.Work.RequestID).
		WithField("attempt", c.Work.Attempt).WithField("kind", string(c.Kind)).
		WithField("owner", c.Owner.Instance).WithField("incarnation", c.Owner.Incarnation).
		WithField("reason", string(c.Reason))
	if err != nil {
		rd.stats.cancelsFailed.Add(1)
		entry.WithError(err).Warn("held memory not cancelled")
		return false
	}
	rd.stats.cancels.Add(1)
	entry.Info("held memory cancelled")
	return true
}

// withTimeout runs a call to an upstream with a context that ends after timeout.
func withTimeout[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}
