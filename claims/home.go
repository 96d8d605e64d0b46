package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// homeRetryDelay is the delay before a failed lookup at a home is retried.
const homeRetryDelay = 20 * time.Millisecond

// errNotHome is the answer to another daemon's lookup if this daemon does not
// follow the shard.
var errNotHome = errors.New("claims: this daemon does not follow the shard")

// askHome asks homes of the shard for the state of the key until one answers that
// has read the claim's own record, which is at the given offset. ok is false if ctx
// ended, the claim was decided in the meantime, or Options.LookupAtHome is not set.
func (s *shard) askHome(ctx context.Context, key Key, seq, offset uint64) (d Decision, ok bool) {
	get := wire.ClaimGet{Stream: s.stream, Key: key[:], Through: offset + 1}
	for ctx.Err() == nil {
		if s.opts.LookupAtHome == nil {
			return Decision{}, false
		}
		state, err := s.opts.LookupAtHome(ctx, s.number, get)
		if err == nil && state.Through > offset {
			return s.applyHomeState(seq, state)
		}
		clock.Sleep(ctx, homeRetryDelay)
	}
	return Decision{}, false
}

// applyHomeState decides a waiting claim from the key's state at a home.
func (s *shard) applyHomeState(seq uint64, state wire.ClaimState) (d Decision, ok bool) {
	v, err := fromWireState(state)
	if err != nil {
		return Decision{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok = s.machine.ResolveFromHome(s.opts.Now(), seq, v, state.Through)
	if ok {
		delete(s.waiters, seq)
		s.wake()
	}
	return d, ok
}

// awaitState waits until every record below the offset through has been read, and
// returns the state of the key.
func (s *shard) awaitState(ctx context.Context, key Key, through uint64) (wire.ClaimState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingLookups >= s.opts.MaxWaiting {
		return wire.ClaimState{}, errors.New("claims: too many questions wait")
	}
	s.pendingLookups++
	defer func() { s.pendingLookups-- }()
	for {
		if !s.following {
			return wire.ClaimState{}, errNotHome
		}
		if s.machine.Next() >= through {
			return toWireState(s.machine.Lookup(key), s.machine.Next()), nil
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

// shardForLookup returns the shard and the key of a lookup by another daemon.
func (g *Gate) shardForLookup(get wire.ClaimGet) (*shard, Key, error) {
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

// toWireState encodes the state of a key for another daemon. through is the offset
// below which this daemon has read every record.
func toWireState(v KeyState, through uint64) wire.ClaimState {
	return wire.ClaimState{
		Found: v.Found, Holder: v.Holder.Node, HolderSeq: v.Holder.Seq, Offset: v.Offset, Through: through, BodyDigest: v.Body[:], Authoritative: v.Authoritative,
		Status: uint8(v.Status), ReleaseOffset: v.ReleaseOffset, AgeMS: v.Age.Milliseconds(), Answer: v.Answer,
	}
}

// fromWireState decodes the state of a key that another daemon sent.
func fromWireState(st wire.ClaimState) (KeyState, error) {
	if len(st.BodyDigest) != DigestSize || st.Status > uint8(Released) {
		return KeyState{}, errors.New("claims: malformed state")
	}
	return KeyState{
		Found: st.Found, Authoritative: st.Authoritative, Holder: ClaimID{Node: st.Holder, Seq: st.HolderSeq}, Body: BodyDigest(st.BodyDigest), Offset: st.Offset,
		Status: Status(st.Status), ReleaseOffset: st.ReleaseOffset, Age: time.Duration(st.AgeMS) * time.Millisecond, Answer: st.Answer,
	}, nil
}
