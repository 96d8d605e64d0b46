package claims

import (
	"context"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// HomeAppendFunc sends a record to a home of a shard, which appends it. The home answers
// with Gate.ServeAppend.
type HomeAppendFunc func(ctx context.Context, shard int, put wire.ClaimAppend) (wire.ClaimAppended, error)

// maxForwardedBytes is the largest size of a record that is appended for another
// daemon.
const maxForwardedBytes = 512 << 10

// forwardedRecord is a record of another daemon that waits to be appended.
type forwardedRecord struct {
	record []byte
	done   chan appendResult // buffers the only result
}

// appendResult is the outcome of appending a forwarded record.
type appendResult struct {
	offset uint64
	err    error
}

// ServeAppend appends a record of another daemon together with those of others, so
// that the log serves one append for many daemons. The claims in the record remain
// claims of the other daemon, and the order of the log decides them regardless of
// who appends them. After an error the record may or may not have been appended.
func (g *Gate) ServeAppend(ctx context.Context, put wire.ClaimAppend) (wire.ClaimAppended, error) {
	s, err := g.shardForRecord(put)
	if err != nil {
		return wire.ClaimAppended{}, err
	}
	r := &forwardedRecord{record: put.Record, done: make(chan appendResult, 1)}
	s.mu.Lock()
	if len(s.forwarded) >= s.opts.MaxWaiting {
		s.mu.Unlock()
		return wire.ClaimAppended{}, errors.New("claims: too many records wait")
	}
	s.forwarded = append(s.forwarded, r)
	s.mu.Unlock()
	s.wake()
	select {
	case a := <-r.done:
		return wire.ClaimAppended{Offset: a.offset}, a.err
	case <-ctx.Done():
		return wire.ClaimAppended{}, ctx.Err()
	}
}

// shardForRecord returns the shard of a forwarded record, and checks the record.
//
// If the log contained a record that cannot be decoded or that has keys of other
// streams, readers would have to assume missing claims, and claims would be refused
// everywhere for a lifetime. Such a record is therefore rejected before it is
// appended.
func (g *Gate) shardForRecord(put wire.ClaimAppend) (*shard, error) {
	if len(put.Record) > maxForwardedBytes {
		return nil, errors.Errorf("claims: a record of %d bytes is over %d", len(put.Record), maxForwardedBytes)
	}
	b, err := decodeBatch(put.Record)
	if err != nil {
		return nil, err
	}
	for _, s := range g.shards {
		if s.stream == put.Stream {
			return s, b.checkShard(s.number, len(g.shards))
		}
	}
	return nil, errors.Errorf("claims: no stream %q; do the daemons differ in shards?", put.Stream)
}

// checkShard checks that all keys of a batch belong to the given shard.
func (b *Batch) checkShard(shard, shards int) error {
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

// takeForwarded removes and returns the forwarded records to append next. The
// caller holds s.mu.
func (s *shard) takeForwarded() []*forwardedRecord {
	n, bytes := 0, 0
	for n < len(s.forwarded) && n < maxBatchClaims && bytes <= maxBatchAnswers {
		bytes += len(s.forwarded[n].record)
		n++
	}
	out := s.forwarded[:n:n]
	s.forwarded = append([]*forwardedRecord(nil), s.forwarded[n:]...)
	return out
}
