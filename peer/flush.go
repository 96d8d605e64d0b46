package peer

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// flushPollInterval is the time between two checks by Flush.
const flushPollInterval = time.Millisecond

// Flush waits until every incoming call is answered and all queued frames are
// written, or until ctx ends. The router calls it before it stops Run, which closes
// all links at once: a reply that is not written by then would be lost, and the
// peer's client would get an error that says the outcome is unknown.
func (s *Service) Flush(ctx context.Context) {
	for s.hasUnsentReplies() && clock.Sleep(ctx, flushPollInterval) {
	}
}

// hasUnsentReplies reports whether an incoming call runs or a frame waits on any
// connection.
func (s *Service) hasUnsentReplies() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.hasUnsentReplies() {
			return true
		}
	}
	for l := range s.retired {
		if l.hasUnsentReplies() {
			return true
		}
	}
	return false
}

// hasUnsentReplies reports whether an incoming call runs or a frame waits to be
// written on this connection.
func (l *link) hasUnsentReplies() bool {
	return len(l.inboundSlots[classShortCall]) > 0 || len(l.inboundSlots[classForward]) > 0 || !l.out.flushed()
}

// busy reports whether a call is in progress on this connection or a reply is not
// written yet. A reply is queued when its call ends; closing the connection at that
// moment would lose it, and the peer's client would get an error that says the outcome
// is unknown.
func (l *link) busy() bool { return l.hasCalls() || l.hasUnsentReplies() }
