package claims

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// The pauses after failed reads, doubled from the first to the last.
const (
	readPauseMin = 50 * time.Millisecond
	readPauseMax = time.Second
)

// followLoop reads the stream while this daemon follows it.
func (s *shard) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if s.wanted() {
			s.setFollow(true)
			s.tail(ctx)
			continue
		}
		s.setFollow(false)
		clock.Sleep(ctx, followCheck)
	}
}

func (s *shard) wanted() bool {
	return s.opts.Follow == nil || s.opts.Follow(s.number)
}

func (s *shard) setFollow(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follows = on
	s.m.Follow(on)
}

// tail reads the stream until ctx ends or the shard is not to be followed.
func (s *shard) tail(ctx context.Context) {
	pause := readPauseMin
	for ctx.Err() == nil && s.wanted() {
		s.mu.Lock()
		from := s.m.Next()
		s.mu.Unlock()
		reply, err := s.opts.Log.Read(ctx, s.stream, from, readMax, readWait)
		trimmed := err != nil && reply.First > from
		if err != nil && !trimmed {
			s.readFailed()
			clock.Sleep(ctx, pause)
			pause = min(2*pause, readPauseMax)
			continue
		}
		pause = readPauseMin
		s.take(reply)
	}
}

func (s *shard) readFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.ReadFailed(s.opts.Now())
}

func (s *shard) take(reply infraapi.ReadReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resolve(s.m.Read(s.opts.Now(), reply))
	close(s.progress)
	s.progress = make(chan struct{})
	s.wake()
}
