package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// readFromStore reads the store itself.
func (s *Store) readFromStore(ctx context.Context, q query) (fleet.Batch, error) {
	if !clock.Sleep(ctx, s.delayBeforeRead(q.feed)) {
		return fleet.Batch{}, errors.WithStack(ctx.Err())
	}
	var b fleet.Batch
	var err error
	sentAt := s.o.Now()
	if q.whole {
		b, err = s.o.Direct.Snapshot(ctx, q.feed)
		b.Whole = true
	} else {
		b, err = s.readRecords(ctx, q)
	}
	if ctx.Err() != nil {
		return b, err
	}
	s.recordStoreReply(q, &b, err, sentAt)
	return b, err
}

// readRecords reads the records of a feed from the store. An answer that is late by lateAnswer
// counts as an outage.
//
// A store that falls silent may answer the calls that wait there once it is back. A silence
// shorter than the timeout then shows in no failed call, and the removals in such an answer would
// be taken for withdrawals.
func (s *Store) readRecords(ctx context.Context, q query) (fleet.Batch, error) {
	wait, sentAt := s.storeWait(q), s.o.Now()
	b, err := s.o.Direct.Read(ctx, q.feed, q.from, wait)
	if now := s.o.Now(); err == nil && now.Sub(sentAt) > wait+lateAnswer {
		s.o.Cache.RecordLateAnswer(now)
	}
	return b, err
}

// recordStoreReply updates the plan and the cache with the result of a call that was sent to the
// store at a time, and sets the flag Away of a batch that may cover an outage.
func (s *Store) recordStoreReply(q query, b *fleet.Batch, err error, sentAt time.Time) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case fleet.IsPositionLost(err):
		s.countRead(q, Direct)
		s.plan.StoreAnswered()
		return
	case err != nil:
		s.countRead(q, Failed)
		s.recordFailedCall(now, sentAt)
		return
	}
	s.countRead(q, Direct)
	s.plan.StoreAnswered()
	s.lastDirect = now
	if q.from.Before(b.End()) {
		s.lastRecords[q.feed] = now
	}
	*b = s.o.Cache.AddFromStore(now, q.feed, q.from, *b)
}

// recordFailedCall records that a call to the store, sent at a time, failed or is late. Followers are not
// sent away while a substitute may show that only this daemon's path is lost. s.mu must be held.
func (s *Store) recordFailedCall(now, sentAt time.Time) {
	mayBeSubstituted := len(s.plan.Substitutes(now)) > 0
	s.plan.StoreFailed(sentAt)
	if mayBeSubstituted {
		s.o.Cache.RecordFailedCall(now)
	} else {
		s.o.Cache.MarkStoreDown(now)
	}
}

// delayBeforeRead returns how long to wait before the next call to the store, so that records
// that are written shortly after each other are read in one call (see Timing.Gather).
func (s *Store) delayBeforeRead(f fleet.Feed) time.Duration {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	gather := s.o.Timing.Gather
	if s.o.Followers.Recent(now) {
		gather = s.o.Timing.SharedGather
	}
	return max(0, s.lastRecords[f].Add(gather).Sub(now))
}

// storeWait returns how long a read may wait at the store for new records. The wait is
// shortened while this daemon has followers. After an outage it is zero: the first batch
// after an outage carries the flag Away, and with a long wait it could also contain removals
// that were made on purpose after the recovery.
func (s *Store) storeWait(q query) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.o.Cache.OutageSuspected(q.feed), q.probe:
		return 0
	case !s.o.Followers.Recent(s.o.Now()):
		return q.wait
	case q.feed == fleet.FeedConfig:
		return min(q.wait, s.o.Timing.ConfigHold)
	}
	return min(q.wait, s.o.Timing.Hold)
}
