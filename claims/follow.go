package claims

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// Backoff between failed reads; it starts at the minimum and doubles up to the
// maximum.
const (
	readBackoffMin = 50 * time.Millisecond
	readBackoffMax = time.Second
)

// followLoop reads the stream for as long as this daemon should follow it, and
// checks periodically whether it should.
func (s *shard) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if s.shouldFollow() {
			s.setFollow(true)
			s.tail(ctx)
			continue
		}
		s.setFollow(false)
		clock.Sleep(ctx, followCheckInterval)
	}
}

// shouldFollow reports whether this daemon should read the stream at present.
func (s *shard) shouldFollow() bool {
	return s.opts.Follow == nil || s.opts.Follow(s.number)
}

// setFollow records whether this daemon reads the stream.
func (s *shard) setFollow(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.following = on
	s.machine.Follow(on)
}

// tail reads the stream until ctx ends or this daemon should no longer follow it.
func (s *shard) tail(ctx context.Context) {
	backoff := readBackoffMin
	for ctx.Err() == nil && s.shouldFollow() {
		s.mu.Lock()
		from, wait := s.machine.Next(), s.machine.ReadWait()
		s.mu.Unlock()
		reply, err := s.opts.Log.Read(ctx, s.stream, from, maxReadRecords, wait)
		trimmed := err != nil && reply.First > from
		if err != nil && !trimmed {
			s.readFailed()
			clock.Sleep(ctx, backoff)
			backoff = min(2*backoff, readBackoffMax)
			continue
		}
		backoff = readBackoffMin
		s.applyReply(reply)
	}
}

// readFailed passes a failed read to the Machine.
func (s *shard) readFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.ReadFailed(s.opts.Now())
}

// applyReply applies records that were read, delivers the resulting decisions, and
// wakes the lookups that wait for the records.
func (s *shard) applyReply(reply infraapi.ReadReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.machine.ApplyRead(s.opts.Now(), reply))
	close(s.progress)
	s.progress = make(chan struct{})
	s.wake()
}
