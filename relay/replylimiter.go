package relay

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// largeReplySize is the size in bytes from which a batch counts against the limit. Smaller
	// ones are sent at once, so that news of a single upstream do not wait for snapshots.
	largeReplySize = 32 << 10
	// largeReplyShare is how much of this daemon's link large batches may fill at the same
	// time, as the time that the link needs for them. It is less than answerSlack.
	largeReplyShare = 200 * time.Millisecond
	// minLargeReplyLimit is the smallest limit, in bytes.
	minLargeReplyLimit = 512 << 10
)

// replyLimiter sends large batches in the order in which they were asked for, and only as
// many at the same time as the link can carry before their followers give up.
//
// Load pattern: all followers of a reader ask for a snapshot at the same moment, after a
// restart of the fleet or when the store has trimmed its log. If all snapshots were sent at
// once over a slow link, none of them would arrive before its follower gives up, and the
// reader would hold as many copies as it has followers. Over a fast link many are sent at
// once, because the followers' own links may be slow.
type replyLimiter struct {
	limit int64 // bytes
	bytes *semaphore.Weighted
}

// newReplyLimiter returns a limiter for a daemon whose link carries the given number of bytes
// per second.
func newReplyLimiter(linkRate float64) replyLimiter {
	limit := max(minLargeReplyLimit, int64(linkRate*largeReplyShare.Seconds()))
	return replyLimiter{limit: limit, bytes: semaphore.NewWeighted(limit)}
}

// admit waits until a batch of the given size may be sent. The caller must call done once it
// has been written. ok is false if the deadline passes before that.
func (l replyLimiter) admit(ctx context.Context, size int, deadline time.Time) (done func(), ok bool) {
	if size < largeReplySize {
		return func() {}, true
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	weight := min(int64(size), l.limit)
	if l.bytes.Acquire(ctx, weight) != nil {
		return nil, false
	}
	return func() { l.bytes.Release(weight) }, true
}
