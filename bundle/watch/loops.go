package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// readLoop long-polls the log. After a failure it waits twice as long as
// before, up to a bound and with jitter, so that hundreds of daemons do not
// come back to a log at the same moment.
func (w *Watcher) readLoop(ctx context.Context, from uint64, jitter *rand.Rand, out chan<- readDone) {
	next := make(chan uint64, 1)
	backoff := backoffMin
	for ctx.Err() == nil {
		d := w.readOnce(ctx, from)
		d.next = next
		select {
		case out <- d:
		case <-ctx.Done():
			return
		}
		select {
		case from = <-next:
		case <-ctx.Done():
			return
		}
		if d.err == nil || errors.Is(d.err, infra.ErrTrimmed) {
			backoff = backoffMin
			continue
		}
		pause := backoff/2 + time.Duration(jitter.Int64N(int64(backoff)))
		if !clock.Sleep(ctx, pause) {
			return
		}
		backoff = min(2*backoff, backoffMax)
	}
}

func (w *Watcher) readOnce(ctx context.Context, from uint64) readDone {
	wait := w.pollWait()
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	d := readDone{began: w.opts.Clock(), from: from}
	d.reply, d.err = w.opts.Log.Read(ctx, w.opts.Stream, from, maxRead, wait)
	if d.err == nil && from > d.reply.Next {
		// Offsets never go back by the log's contract; adopting from such a log
		// could let an old record win again.
		d.err = errors.Errorf("the log ends at %d, before offset %d that was read", d.reply.Next, from)
	}
	return d
}

// pollWait returns how long a read may wait for a record. A daemon that is not
// ready wants to know whether there is any: after a thaw a long read would keep
// it from dispatching for as long as nothing is published.
func (w *Watcher) pollWait() time.Duration {
	if w.Ready() {
		return w.opts.PollWait
	}
	return min(tickEvery, w.opts.PollWait)
}

// fetchLoop makes the calls to peers, one at a time.
func (w *Watcher) fetchLoop(ctx context.Context, jobs <-chan fetchJob, out chan<- fetchDone) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-jobs:
			d := w.fetchOnce(ctx, job)
			select {
			case out <- d:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (w *Watcher) fetchOnce(ctx context.Context, job fetchJob) fetchDone {
	d := fetchDone{began: w.opts.Clock(), job: job}
	if w.opts.Fetch == nil {
		d.err = errors.New("no way to ask peers")
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d.reply, d.err = w.opts.Fetch(ctx, job.from, wire.BundleGet{After: job.after})
	return d
}

// appendLoop appends checkpoints. A lost reply is not followed up: the core
// reads the log and sees whether a checkpoint stands there.
func (w *Watcher) appendLoop(ctx context.Context, checkpoints <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-checkpoints:
			w.appendOnce(ctx, data)
		}
	}
}

func (w *Watcher) appendOnce(ctx context.Context, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := w.opts.Log.Append(ctx, w.opts.Stream, data)
	if err != nil {
		w.opts.Logger.WithError(err).Warn("checkpoint append failed")
		return
	}
	through, _ := bundle.CheckpointThrough(data)
	w.opts.Logger.WithField("offset", offset).WithField("through", through).WithField("bytes", len(data)).Info("checkpoint appended")
}
