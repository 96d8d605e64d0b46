package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// readLoop reads the log with long polling. After failures it waits with
// exponential backoff and jitter, so that hundreds of daemons do not return to a
// recovered log at the same moment.
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

// readOnce makes one read of the log and bounds its duration.
func (w *Watcher) readOnce(ctx context.Context, from uint64) readDone {
	wait := w.pollWait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutSlack)
	defer cancel()
	d := readDone{began: w.opts.Clock(), from: from}
	d.reply, d.err = w.opts.Log.Read(ctx, w.opts.Stream, from, maxReadRecords, wait)
	if d.err == nil {
		d.err = w.checkHistory(from, d.reply)
		w.reportHistory(d.err)
	}
	return d
}

// checkHistory returns an error if the log may have lost records since the first read. On such a log,
// another record could be adopted for a version that was decided.
func (w *Watcher) checkHistory(from uint64, reply infraapi.ReadReply) error {
	if w.logEpoch == nil {
		w.logEpoch = &reply.Epoch
	}
	switch {
	case reply.Epoch != *w.logEpoch:
		return errors.Errorf("the log was restored: epoch %d, after %d", reply.Epoch, *w.logEpoch)
	case from > reply.Next:
		return errors.Errorf("the log ends at %d, before offset %d that was read", reply.Next, from)
	}
	return nil
}

// pollWait returns how long a read may wait for a record. While this daemon is not
// ready, the wait is short: the daemon becomes ready only when a read returns, and
// a long poll returns late if nothing is published.
func (w *Watcher) pollWait() time.Duration {
	if w.Ready() {
		return w.opts.PollWait
	}
	return min(tickInterval, w.opts.PollWait)
}

// fetchLoop makes the calls to peers, one at a time, and sends their results to out.
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

// fetchOnce makes one call to a peer, with a timeout.
func (w *Watcher) fetchOnce(ctx context.Context, job fetchJob) fetchDone {
	d := fetchDone{began: w.opts.Clock(), job: job}
	if w.opts.Fetch == nil {
		d.err = errors.New("the Fetch option is not set")
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d.reply, d.err = w.opts.Fetch(ctx, job.from, wire.BundleGet{After: job.after})
	return d
}

// appendLoop appends checkpoints to the log. It does not retry: if the append took
// effect, the core reads the checkpoint from the log, and otherwise schedules
// another one.
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

// appendOnce appends one checkpoint, with a timeout, and logs the result.
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
