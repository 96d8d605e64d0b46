package peer

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// flushPoll is the time between two looks of Flush.
const flushPoll = time.Millisecond

// Flush waits until the calls that peers made are answered and the answers
// written, or until ctx ends. The router calls it before it ends Run, which
// closes the links at once: an answer that is on its way would be lost, and the
// peer's caller told that the outcome is unknown.
func (s *Service) Flush(ctx context.Context) {
	for s.owing() && clock.Sleep(ctx, flushPoll) {
	}
}

// owing says whether an answer to a peer is still to be made or written.
func (s *Service) owing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.owes() {
			return true
		}
	}
	for l := range s.retired {
		if l.owes() {
			return true
		}
	}
	return false
}

func (l *link) owes() bool {
	return len(l.serving[laneCalls]) > 0 || len(l.serving[laneForwards]) > 0 || !l.out.empty()
}
