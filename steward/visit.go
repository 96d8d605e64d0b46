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

// visit asks one upstream what is due, sweep first: held memory of gone requests
// is what an upstream runs out of.
func (rd *round) visit(ctx context.Context, v visit, address string) {
	ok := true
	if v.held {
		ok = rd.list(ctx, v.upstream, address)
	}
	if v.load {
		ok = rd.pollLoad(ctx, v.upstream, address) && ok
	}
	if v.events {
		ok = rd.pollEvents(ctx, v.upstream, address) && ok
	}
	if ctx.Err() == nil && !ok {
		rd.stats.pollsFailed.Add(1)
	}
	rd.mu.Lock()
	defer rd.mu.Unlock()
	again, _ := rd.sweep.Next(time.Now(), v.upstream)
	rd.agenda.done(v.upstream, ok, again)
}

// pollLoad reports whether the upstream answered. A failure is told to the
// board, since a steward often is the first to notice.
func (rd *round) pollLoad(ctx context.Context, upstream, address string) bool {
	load, err := bounded(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.Load, error) {
		return rd.opts.Engines.Load(ctx, address)
	})
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	rd.opts.Board.Update(func(b *board.Board) {
		switch {
		case err == nil:
			b.Report(now, upstream, load, 0)
		case !answered(err):
			b.Failed(now, upstream)
		}
	})
	if err != nil {
		rd.opts.Logger.WithError(err).WithField("upstream", upstream).Debug("load not read")
	}
	return err == nil
}

// answered says that an upstream is well and does not report its load: it gave
// an answer of its own at that path.
//
// What goes wrong: a plain service that knows no /v1/load answers 404, or a page.
// Taken for a failure that would eject it after three polls, for up to 30 s at a
// time. One would notice no-upstream from its steward alone, while the service
// answers everybody else.
func answered(err error) bool {
	var ce *upstream.CallError
	return errors.As(err, &ce) && ce.Status >= http.StatusOK && ce.Status < http.StatusInternalServerError
}

func (rd *round) pollEvents(ctx context.Context, upstream, address string) bool {
	var from uint64
	rd.opts.Board.Update(func(b *board.Board) { from = b.EventsFrom(upstream) })
	events, err := bounded(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.EventsReply, error) {
		return rd.opts.Engines.Events(ctx, address, from)
	})
	if err != nil {
		return false
	}
	rd.opts.Board.Update(func(b *board.Board) { b.CacheEvents(time.Now(), upstream, events) })
	return true
}

// list sweeps one engine. The view is read after the listing: work that began
// before the listing belongs to an owner that the view can know.
func (rd *round) list(ctx context.Context, upstream, address string) bool {
	held, err := bounded(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.HeldReply, error) {
		return rd.opts.Engines.Held(ctx, address)
	})
	if err != nil {
		return false
	}
	now := time.Now()
	rd.mu.Lock()
	cancels := rd.sweep.Listed(now, upstream, held, rd.opts.Peers.View())
	rd.mu.Unlock()
	rd.stats.sweeps.Add(1)
	ok := true
	for _, c := range cancels {
		ok = rd.cancel(ctx, upstream, address, c) && ok
	}
	return ok
}

// cancel sends one cancel. A lost reply needs nothing more: the next listing
// shows whether the work is still there.
func (rd *round) cancel(ctx context.Context, upstream, address string, c Cancel) bool {
	_, err := bounded(ctx, rd.opts.Timeout, func(ctx context.Context) (engineapi.CancelReply, error) {
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

// bounded runs one call to an upstream within the timeout.
func bounded[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}
