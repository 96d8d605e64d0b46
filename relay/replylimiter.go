package relay

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// largeReplySize is the size in bytes from which a batch counts against
	// maxLargeReplyBytes. Smaller ones are sent at once, so that news of a single upstream
	// do not wait for snapshots.
	largeReplySize = 32 << 10
	// maxLargeReplyBytes bounds the bytes of large batches that are sent at the same time. A
	// link of 20 Mbit/s carries them in 0.2 s, less than answerSlack.
	maxLargeReplyBytes = 512 << 10
)

// replyLimiter sends large batches a few at a time, in the order in which they were asked
// for.
//
// Load pattern: all followers of a reader ask for a snapshot at the same moment, after a
// restart of the fleet or when the store has trimmed its log. If all snapshots were sent at
// once, the reader would hold as many copies as it has followers, and over a slow link none
// of them would arrive before its follower gives up.
type replyLimiter struct{ bytes *semaphore.Weighted }

func newReplyLimiter() replyLimiter {
	return replyLimiter{semaphore.NewWeighted(maxLargeReplyBytes)}
}

// admit waits until a batch of the given size may be sent. The caller must call done once it
// has been written. ok is false if the deadline passes before that.
func (l replyLimiter) admit(ctx context.Context, size int, deadline time.Time) (done func(), ok bool) {
	if size < largeReplySize {
		return func() {}, true
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	weight := int64(min(size, maxLargeReplyBytes))
	if l.bytes.Acquire(ctx, weight) != nil {
		return nil, false
	}
	return func() { l.bytes.Release(weight) }, true
}
