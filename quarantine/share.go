package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

// Log is the quarantine log shared by all daemons. Implementations are safe for concurrent use.
type Log interface {
	Append(ctx context.Context, list []Record) error
	// Read returns the records from a position on, or from the oldest retained record if that is
	// later, and the position after the last. It waits up to wait while there are none. If the log
	// was restored from a copy, the records begin earlier, so that none is missed.
	Read(ctx context.Context, from logpos.Position, wait time.Duration) (list []Record, next logpos.Position, err error)
}

const (
	// batchDelay is how long records are collected before an append, so that the crashes of all
	// runs on an upstream go into one.
	batchDelay = 5 * time.Millisecond
	// logCallTimeout bounds an append, and a read in addition to its wait.
	logCallTimeout = 800 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call to the log.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// maxAppendRecords bounds the records of one append, about 60 bytes each, and maxPending
	// those that wait to be appended.
	maxAppendRecords = 512
	maxPending       = 4096
	// renewInterval is how often a daemon checks for records to renew.
	renewInterval = 500 * time.Millisecond
	// readInterval is the pause between two reads, which batches the crashes of many upstreams.
	// It is short compared with the time in which a daemon must catch up after a fault.
	readInterval = time.Second
	// readerCheckInterval is how often a follower checks whether it has become a reader. It starts
	// reading the log only if two consecutive checks say so: a follower that replaces its
	// unreachable reader only for a moment need not read it.
	readerCheckInterval = 500 * time.Millisecond
)

// renewLoop periodically renews records in the log if this daemon is a reader.
func (k *Keeper) renewLoop(ctx context.Context) {
	for clock.Sleep(ctx, renewInterval) {
		if k.readsLog() {
			k.renewDue(k.o.Now())
		}
	}
}

// renewDue enqueues the records that are due for renewal.
func (k *Keeper) renewDue(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.renewal.due(now, k.ledger) {
		k.enqueue(r)
	}
}

// readsLog reports whether this daemon is a reader; see Options.IsReader.
func (k *Keeper) readsLog() bool { return k.o.IsReader == nil || k.o.IsReader() }

// ApplyRemote applies records received from another daemon. It does not block.
//
// Only records that are new to this daemon are passed on to its followers. Otherwise two daemons
// that follow each other, as happens when the store is unavailable to one of them, would exchange
// the same records forever.
func (k *Keeper) ApplyRemote(list []Record) { k.applyRecords(list, 0, false) }

// applyRecords applies records that may have been in the log for up to age. Records read from the
// log are passed on even if they are not new, because the followers derive from them when the log
// will drop them.
func (k *Keeper) applyRecords(list []Record, age time.Duration, fromLog bool) {
	now := k.o.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, r := range list {
		k.renewal.noteAppend(now, r, age)
		isNew := k.ledger.apply(r)
		if isNew {
			k.logRemote(now, r)
		}
		if r.Digest.IsPart() {
			k.clearPart(r.Digest)
		}
		if isNew || fromLog {
			k.recent.add(r)
			changed = true
		}
	}
	if changed {
		k.recent.notify()
		k.updateCount()
		k.reportVerdicts()
	}
}

// logRemote logs a record from another daemon. The first crash of a request is not logged: when a
// rack fails, each daemon receives hundreds of them.
func (k *Keeper) logRemote(now time.Time, r Record) {
	if len(k.ledger.Crashes(r.Digest)) < 2 {
		return
	}
	crashes, refused := k.ledger.Refuses(now, r.Digest)
	k.o.Logger.WithFields(log.Fields{
		"digest": r.Digest.String(), "part": r.Digest.PartID(), "upstream": r.Upstream, "answering": r.Answering, "ends": crashes, "refused": refused,
	}).Info("quarantine record received from another instance")
}

// enqueue adds a record to those to append to the log; k.mu must be held.
func (k *Keeper) enqueue(r Record) {
	if k.o.Log == nil {
		return
	}
	if len(k.pending) == maxPending {
		k.o.Logger.WithField("digest", k.pending[0].Digest.String()).Warn("quarantine record dropped: too many records wait for the log")
		k.pending = k.pending[1:]
	}
	k.renewal.noteAppend(k.o.Now(), r, 0)
	k.pending = append(k.pending, r)
	k.signalPending()
}

// appendLoop appends pending records to the log. Failed appends are retried with a short backoff,
// because the other daemons need the records as soon as the log is available again.
func (k *Keeper) appendLoop(ctx context.Context) {
	pause := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.pendingReady:
		}
		if !clock.Sleep(ctx, batchDelay) {
			return
		}
		list := k.takePending()
		if len(list) == 0 {
			continue
		}
		if err := k.appendRecords(ctx, list); err != nil {
			k.o.Logger.WithField("records", len(list)).WithError(err).Warn("append to the quarantine log failed, retrying")
			k.requeue(list)
			clock.Sleep(ctx, pause/2+rand.N(pause/2)) // jitter: daemons that detected the same crash do not retry at once
			pause = min(2*pause, maxRetryDelay)
			continue
		}
		pause = minRetryDelay
	}
}

func (k *Keeper) appendRecords(ctx context.Context, list []Record) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	return k.o.Log.Append(ctx, list)
}

// takePending removes and returns the oldest pending records.
func (k *Keeper) takePending() []Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := min(len(k.pending), maxAppendRecords)
	list := k.pending[:n:n]
	if k.pending = k.pending[n:]; len(k.pending) > 0 {
		k.signalPending()
	}
	return list
}

// requeue puts back records whose append failed. If the log stored them all the same, they are
// appended twice, which has the same effect as once.
func (k *Keeper) requeue(list []Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = append(slices.Clone(list), k.pending...)
	k.pending = k.pending[max(0, len(k.pending)-maxPending):]
	k.signalPending()
}

func (k *Keeper) signalPending() {
	select {
	case k.pendingReady <- struct{}{}:
	default:
	}
}

// readLoop reads the log while this daemon is a reader.
func (k *Keeper) readLoop(ctx context.Context) {
	next, pause, checks := logpos.Position{}, minRetryDelay, 0
	oldAge := k.o.Retention / 2 // estimated age of the records of the first read, and of the first one after a restoration
	age := oldAge
	for ctx.Err() == nil {
		if checks++; !k.readsLog() {
			checks = 0
		}
		if checks < 2 {
			clock.Sleep(ctx, readerCheckInterval)
			continue
		}
		list, following, err := k.readLog(ctx, next)
		if err != nil {
			k.o.Logger.WithError(err).Debug("read of the quarantine log failed")
			clock.Sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxRetryDelay)
			continue
		}
		if following.Epoch.After(next.Epoch) {
			age = oldAge
		}
		k.applyRecords(list, age, true)
		next, pause, age = following, minRetryDelay, 0
		clock.Sleep(ctx, readInterval)
	}
}

func (k *Keeper) readLog(ctx context.Context, from logpos.Position) ([]Record, logpos.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, k.o.Wait+logCallTimeout)
	defer cancel()
	return k.o.Log.Read(ctx, from, k.o.Wait)
}
