package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
)

// readResult is the result of a read.
type readResult struct {
	batch fleet.Batch
	err   error
}

// answered reports whether the store itself answered the read.
func (r readResult) answered() bool { return r.err == nil || fleet.IsPositionLost(r.err) }

// errNoSubstitute means that no substitute finds the store answering.
var errNoSubstitute = errors.New("no reader of another data centre gets answers from the store")

// readFromStoreOrSubstitute reads from the store or, if that fails or is late, from the reader of another
// data centre that reads the store meanwhile (see Plan.Substitutes). If there is none, it waits for the store.
func (s *Store) readFromStoreOrSubstitute(ctx context.Context, q query) (fleet.Batch, error) {
	sentAt := s.o.Now()
	if len(s.substitutes(sentAt)) == 0 {
		return s.readFromStore(ctx, q)
	}
	late := time.NewTimer(s.delayBeforeRead(q.feed) + s.storeWait(q) + lateAnswer)
	defer late.Stop()
	direct, stopDirect := startRead(ctx, q, s.readFromStore)
	defer stopDirect()
	select {
	case r := <-direct:
		if r.answered() || ctx.Err() != nil {
			return r.batch, r.err
		}
		if b, err := s.readFromSubstitutes(ctx, q); err == nil {
			return b, nil
		}
		return r.batch, r.err
	case <-late.C:
	}
	substitute, stopSubstitute := startRead(ctx, q, s.readFromSubstitutes)
	defer stopSubstitute()
	select {
	case r := <-direct:
		stopSubstitute()
		if other := <-substitute; !r.answered() && other.err == nil {
			r = other
		}
		return r.batch, r.err
	case other := <-substitute:
		if other.err == nil {
			stopDirect()
		}
		r := <-direct
		if other.err != nil || r.answered() {
			return r.batch, r.err
		}
		s.recordSubstitution(sentAt)
		return other.batch, nil
	}
}

// startRead starts a read, and returns its result and the function that stops it.
func startRead(ctx context.Context, q query, read func(context.Context, query) (fleet.Batch, error)) (<-chan readResult, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	result := make(chan readResult, 1)
	go func() {
		b, err := read(ctx, q)
		result <- readResult{b, err}
	}()
	return result, stop
}

// recordSubstitution records that a call to the store, sent at a time, was late and was stopped because the
// store answers a substitute.
func (s *Store) recordSubstitution(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordFailedCall(s.o.Now(), sentAt)
	s.plan.SubstituteAsked(true)
}

// substitutes returns the daemons that may be asked in place of the store.
func (s *Store) substitutes(now time.Time) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Substitutes(now)
}

// readFromSubstitutes asks the substitutes until one has fresh data and knows of no outage. It returns
// errNoSubstitute if none does.
func (s *Store) readFromSubstitutes(ctx context.Context, q query) (fleet.Batch, error) {
	for _, peer := range s.substitutes(s.o.Now()) {
		if b, storeAnswers, _ := s.readFromPeer(ctx, q, Step{Peer: peer, Substitute: true}); storeAnswers {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.plan.SubstituteAsked(true)
			return b, nil
		}
		if ctx.Err() != nil {
			return fleet.Batch{}, errors.WithStack(ctx.Err())
		}
	}
	s.endSubstitution()
	return fleet.Batch{}, errNoSubstitute
}

// endSubstitution records that no substitute finds the store answering. If a call of this daemon has failed, that
// counts as an outage then.
func (s *Store) endSubstitution() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.SubstituteAsked(false)
	if s.plan.StoreFails() {
		s.o.Cache.MarkStoreDown(s.o.Now())
	}
}
