package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// askPause is the time between two questions to a home that did not answer.
const askPause = 20 * time.Millisecond

// errNotHome is the answer of a daemon that does not follow the shard.
var errNotHome = errors.New("claims: this daemon does not follow the shard")

// askHome asks a home of the shard until it answers; ok is false when ctx ended
// or the claim was decided meanwhile.
func (s *shard) askHome(ctx context.Context, key Key, seq, offset uint64) (d Decision, ok bool) {
	get := wire.ClaimGet{Stream: s.stream, Key: key[:], Through: offset + 1}
	for ctx.Err() == nil {
		if s.opts.Ask == nil {
			return Decision{}, false
		}
		state, err := s.opts.Ask(ctx, s.number, get)
		if err == nil && state.Through > offset {
			return s.told(seq, state)
		}
		clock.Sleep(ctx, askPause)
	}
	return Decision{}, false
}

func (s *shard) told(seq uint64, state wire.ClaimState) (d Decision, ok bool) {
	v, err := viewOf(state)
	if err != nil {
		return Decision{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok = s.m.Told(s.opts.Now(), seq, v, state.Through)
	if ok {
		delete(s.waiters, seq)
		s.wake()
	}
	return d, ok
}

// serve answers for a key once the stream is read below through.
func (s *shard) serve(ctx context.Context, key Key, through uint64) (wire.ClaimState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving >= s.opts.MaxWaiting {
		return wire.ClaimState{}, errors.New("claims: too many questions wait")
	}
	s.serving++
	defer func() { s.serving-- }()
	for {
		if !s.follows {
			return wire.ClaimState{}, errNotHome
		}
		if s.m.Next() >= through {
			return stateOf(s.m.Lookup(key), s.m.Next()), nil
		}
		progress := s.progress
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-progress:
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return wire.ClaimState{}, ctx.Err()
		}
	}
}

// route finds the shard that a question is for.
func (g *Gate) route(get wire.ClaimGet) (*shard, Key, error) {
	if len(get.Key) != DigestSize {
		return nil, Key{}, errors.New("claims: malformed key")
	}
	key := Key(get.Key)
	s := g.shards[key.Shard(len(g.shards))]
	if s.stream != get.Stream {
		return nil, Key{}, errors.Errorf("claims: the key is not of stream %q; do the daemons differ in shards?", get.Stream)
	}
	return s, key, nil
}

func stateOf(v View, through uint64) wire.ClaimState {
	return wire.ClaimState{
		Found: v.Found, Holder: v.Holder.Node, Seq: v.Holder.Seq, Offset: v.Offset, Through: through, Body: v.Body[:], Sure: v.Sure,
		Status: uint8(v.Status), Released: v.Released, AgeMS: v.Age.Milliseconds(), Answer: v.Answer,
	}
}

func viewOf(st wire.ClaimState) (View, error) {
	if len(st.Body) != DigestSize || st.Status > uint8(Released) {
		return View{}, errors.New("claims: malformed state")
	}
	return View{
		Found: st.Found, Sure: st.Sure, Holder: ClaimID{Node: st.Holder, Seq: st.Seq}, Body: Body(st.Body), Offset: st.Offset,
		Status: Status(st.Status), Released: st.Released, Age: time.Duration(st.AgeMS) * time.Millisecond, Answer: st.Answer,
	}, nil
}
