package claims

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// shard runs the Machine of one stream and connects it to the log, to the callers
// whose claims wait, and to the homes of the shard.
type shard struct {
	number int
	stream string
	opts   *Options
	// wakeup wakes the append loop; it buffers one signal.
	wakeup chan struct{}

	mu        sync.Mutex
	machine   *Machine
	waiters   map[uint64]*waiter // by sequence number of the claim
	following bool               // whether this daemon reads the stream
	// progress is closed and replaced whenever records have been read.
	progress       chan struct{}
	pendingLookups int                // lookups of other daemons that wait in awaitState
	forwarded      []*forwardedRecord // records of other daemons that wait to be appended
	lastAppend     time.Time          // when the last append started
	appendsFailing bool               // whether the last append failed
}

// waiter is a caller that waits for the decision on its claim. Each channel is sent
// at most one value and buffers it.
type waiter struct {
	decided  chan Decision
	appended chan uint64 // offset of the claim's record; used if this daemon does not follow the stream
}

func newShard(number int, opts *Options) *shard {
	return &shard{
		number: number, stream: Stream(number), opts: opts,
		wakeup:  make(chan struct{}, 1),
		machine: newMachine(opts.machineConfig(), opts.Self, opts.IsDead, opts.Now()),
		waiters: make(map[uint64]*waiter), progress: make(chan struct{}),
	}
}

// wake makes the append loop check again when the next append is due.
func (s *shard) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// claim makes a claim and waits for its decision.
func (s *shard) claim(ctx context.Context, key Key, body BodyDigest, requestID string) (request.Grant, *errkind.Error) {
	started := s.opts.Now()
	s.mu.Lock()
	seq, d, decided := s.machine.Claim(started, key, body, requestID)
	if decided {
		s.mu.Unlock()
		return s.toGrant(started, seq, d)
	}
	w := &waiter{decided: make(chan Decision, 1), appended: make(chan uint64, 1)}
	s.waiters[seq] = w
	s.mu.Unlock()
	s.wake()
	return s.toGrant(started, seq, s.wait(ctx, key, seq, w))
}

// wait returns the decision on a claim, or abandons the claim after DecisionTimeout.
func (s *shard) wait(ctx context.Context, key Key, seq uint64, w *waiter) Decision {
	ctx, cancel := context.WithTimeout(ctx, s.opts.DecisionTimeout)
	defer cancel()
	for {
		select {
		case d := <-w.decided:
			return d
		case offset := <-w.appended:
			if d, ok := s.askHome(ctx, key, seq, offset); ok {
				return d
			}
		case <-ctx.Done():
			return s.abandon(seq, w)
		}
	}
}

// abandon cancels a claim, unless its decision arrived in the meantime.
func (s *shard) abandon(seq uint64, w *waiter) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-w.decided:
		return d
	default:
	}
	delete(s.waiters, seq)
	s.machine.Cancel(s.opts.Now(), seq)
	s.wake()
	return claimTimedOut()
}

// toGrant converts a decision to the result of Gate.Claim.
func (s *shard) toGrant(started time.Time, seq uint64, d Decision) (request.Grant, *errkind.Error) {
	if d.Err != nil {
		return nil, d.Err
	}
	if !d.Run {
		return &grant{answer: d.Answer}, nil
	}
	return &grant{
		run: true,
		// Round(0) drops the monotonic clock reading, which does not advance while
		// the machine is suspended.
		deadline: started.Add(s.opts.GrantTTL).Round(0),
		finish:   func(out request.Outcome) { s.finish(seq, out) },
	}, nil
}

// finish records the outcome of the request of a granted claim.
func (s *shard) finish(seq uint64, out request.Outcome) {
	s.mu.Lock()
	s.machine.Finish(s.opts.Now(), seq, out)
	s.mu.Unlock()
	s.wake()
}

// deliver sends decisions to their waiting callers. The caller holds s.mu.
func (s *shard) deliver(resolutions []resolution) {
	for _, r := range resolutions {
		w := s.waiters[r.Seq]
		if w == nil {
			continue
		}
		delete(s.waiters, r.Seq)
		w.decided <- r.Decision
	}
}

// appendLoop appends batches when they are due, and a last one when ctx ends.
func (s *shard) appendLoop(ctx context.Context, limiter *rate.Limiter) {
	s.mu.Lock()
	s.machine.AppendFailed(s.opts.Now()) // ends the append of an earlier loop that panicked
	s.mu.Unlock()
	for s.waitUntilDue(ctx) {
		if limiter.Wait(ctx) != nil {
			break
		}
		s.appendDue(ctx, s.opts.Now())
	}
	s.flush(ctx)
}

// flush appends the claims and results that wait at shutdown. Results wait up to
// resultLinger to share a record with a claim. If they were dropped at shutdown,
// callers that repeat a request answered before the restart would be told that its
// outcome is unknown.
func (s *shard) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	s.appendDue(ctx, s.opts.Now().Add(resultLinger+s.opts.Linger))
}

// waitUntilDue waits until an append is due; it returns false if ctx ended.
func (s *shard) waitUntilDue(ctx context.Context) bool {
	for ctx.Err() == nil {
		wait := s.untilDue()
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-s.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// untilDue returns the time until the next append is due, or maxIdleWait if none is
// scheduled.
func (s *shard) untilDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := s.opts.Now(), maxIdleWait
	if at, ok := s.machine.Due(); ok {
		wait = at.Sub(now)
	}
	if len(s.forwarded) > 0 {
		wait = min(wait, s.lastAppend.Add(s.opts.Linger).Sub(now))
	}
	return wait
}

// appendDue appends this daemon's own batch if it is due at the given time,
// together with records forwarded by other daemons.
func (s *shard) appendDue(ctx context.Context, at time.Time) {
	s.mu.Lock()
	b := s.machine.NextBatch(at)
	forwarded := s.takeForwarded()
	s.lastAppend = s.opts.Now()
	s.mu.Unlock()
	if b == nil && len(forwarded) == 0 {
		return
	}
	offset, err := s.appendRecords(ctx, b, forwarded)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logAppendState(err)
	if b != nil {
		s.handleAppend(offset, err)
		offset++
	}
	for i, r := range forwarded {
		r.done <- appendResult{offset + uint64(i), err}
	}
}

// handleAppend passes the result of appending this daemon's batch to the Machine
// and to the waiting callers. The caller holds s.mu.
func (s *shard) handleAppend(offset uint64, err error) {
	if err != nil {
		s.machine.AppendFailed(s.opts.Now())
		return
	}
	for _, seq := range s.machine.AppendSucceeded() {
		if w := s.waiters[seq]; w != nil && !s.following {
			select {
			case w.appended <- offset:
			default:
			}
		}
	}
}

// appendRecords appends this daemon's batch and the forwarded records to the log,
// or sends the batch to a home of the shard. It returns the offset of the first
// record.
func (s *shard) appendRecords(ctx context.Context, b *Batch, forwarded []*forwardedRecord) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var records [][]byte
	if b != nil {
		data, err := b.Encode()
		if err != nil {
			return 0, err
		}
		if s.opts.AppendAtHome != nil && !s.opts.Follow(s.number) && len(forwarded) == 0 {
			reply, err := s.opts.AppendAtHome(ctx, s.number, wire.ClaimAppend{Stream: s.stream, Record: data})
			return reply.Offset, err
		}
		records = append(records, data)
	}
	for _, r := range forwarded {
		records = append(records, r.record)
	}
	return s.opts.Log.Append(ctx, s.stream, records...)
}

// logAppendState writes a log line when appends begin to fail and when they succeed
// again. The caller holds s.mu.
func (s *shard) logAppendState(err error) {
	l := s.opts.Logger.WithField("stream", s.stream)
	if err != nil && !s.appendsFailing {
		l.WithError(err).Warn("claims: appends fail")
	}
	if err == nil && s.appendsFailing {
		l.Info("claims: appends work again")
	}
	s.appendsFailing = err != nil
}
