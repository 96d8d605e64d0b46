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
func (r readResult) answered() bool { return r.err == nil || errors.Is(r.err, fleet.ErrTrimmed) }

// readFromStoreOrSubstitute reads from the store or, if that fails or is late, from the reader of another
// data centre that reads the store meanwhile (see Plan.Substitutes). If there is none, it waits for the store.
func (s *Store) readFromStoreOrSubstitute(ctx context.Context, q query) (fleet.Batch, error) {
	sentAt := s.o.Now()
	if len(s.substitutes(sentAt)) == 0 {
		return s.readFromStore(ctx, q)
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := make(chan readResult, 1)
	late := time.NewTimer(s.delayBeforeRead(q.feed) + s.storeWait(q) + lateAnswer)
	defer late.Stop()
	go func() {
		b, err := s.readFromStore(callCtx, q)
		direct <- readResult{b, err}
	}()
	select {
	case r := <-direct:
		if r.answered() || ctx.Err() != nil {
			return r.batch, r.err
		}
		if b, ok := s.readFromSubstitutes(ctx, q); ok {
			return b, nil
		}
		return r.batch, r.err
	case <-late.C:
	}
	b, ok := s.readFromSubstitutes(ctx, q)
	if ok {
		cancel()
	}
	r := <-direct
	if !ok || r.answered() {
		return r.batch, r.err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordFailedCall(s.o.Now(), sentAt)
	s.plan.SubstituteAsked(true)
	return b, nil
}

// substitutes returns the daemons that may be asked in place of the store.
func (s *Store) substitutes(now time.Time) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Substitutes(now)
}

// readFromSubstitutes asks the substitutes until one has fresh data and knows of no outage; ok is false if
// none does.
func (s *Store) readFromSubstitutes(ctx context.Context, q query) (b fleet.Batch, ok bool) {
	for _, peer := range s.substitutes(s.o.Now()) {
		var storeAnswers bool
		if b, storeAnswers, _ = s.readFromPeer(ctx, q, Step{Peer: peer, Substitute: true}); storeAnswers {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.plan.SubstituteAsked(true)
			return b, true
		}
	}
	s.endSubstitution()
	return b, false
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
