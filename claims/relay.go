package claims

import (
	"context"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// RelayFunc hands a record to a home of a shard, which appends it. The home's
// answer comes from Gate.ServeAppend.
type RelayFunc func(ctx context.Context, shard int, put wire.ClaimAppend) (wire.ClaimAppended, error)

// maxRelayBytes bounds one record that is handed over.
const maxRelayBytes = 512 << 10

// relay is another daemon's record that waits to be appended.
type relay struct {
	record []byte
	done   chan relayed // has room for the one answer
}

type relayed struct {
	offset uint64
	err    error
}

// ServeAppend appends another daemon's record together with those of others, so
// that the log takes one append for many daemons. The record's claims stay the
// other daemon's own: the log's order decides, whoever appends. An error leaves
// it open whether the record was appended.
func (g *Gate) ServeAppend(ctx context.Context, put wire.ClaimAppend) (wire.ClaimAppended, error) {
	s, err := g.checkRelay(put)
	if err != nil {
		return wire.ClaimAppended{}, err
	}
	r := &relay{record: put.Record, done: make(chan relayed, 1)}
	s.mu.Lock()
	if len(s.relays) >= s.opts.MaxWaiting {
		s.mu.Unlock()
		return wire.ClaimAppended{}, errors.New("claims: too many records wait")
	}
	s.relays = append(s.relays, r)
	s.mu.Unlock()
	s.wake()
	select {
	case a := <-r.done:
		return wire.ClaimAppended{Offset: a.offset}, a.err
	case <-ctx.Done():
		return wire.ClaimAppended{}, ctx.Err()
	}
}

// checkRelay finds the shard of a record.
//
// What goes wrong: a record that cannot be decoded, or that holds keys of other
// streams, would make every reader unsure of a lifetime of keys. One would
// notice claims refused everywhere. It is refused before it reaches the log.
func (g *Gate) checkRelay(put wire.ClaimAppend) (*shard, error) {
	if len(put.Record) > maxRelayBytes {
		return nil, errors.Errorf("claims: a record of %d bytes is over %d", len(put.Record), maxRelayBytes)
	}
	b, err := decodeBatch(put.Record)
	if err != nil {
		return nil, err
	}
	for _, s := range g.shards {
		if s.stream == put.Stream {
			return s, b.within(s.number, len(g.shards))
		}
	}
	return nil, errors.Errorf("claims: no stream %q; do the daemons differ in shards?", put.Stream)
}

// within checks that all keys of a batch belong to a shard.
func (b *Batch) within(shard, shards int) error {
	for i := range b.Claims {
		if b.Claims[i].Key.Shard(shards) != shard {
			return errors.New("claims: a claim's key is of another stream")
		}
	}
	for i := range b.Results {
		if b.Results[i].Key.Shard(shards) != shard {
			return errors.New("claims: a result's key is of another stream")
		}
	}
	return nil
}

// takeRelays returns the records to append next. The caller holds s.mu.
func (s *shard) takeRelays() []*relay {
	n, bytes := 0, 0
	for n < len(s.relays) && n < maxBatchClaims && bytes <= maxBatchAnswers {
		bytes += len(s.relays[n].record)
		n++
	}
	out := s.relays[:n:n]
	s.relays = append([]*relay(nil), s.relays[n:]...)
	return out
}
