package relay

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/safepack"
)

const (
	// compressThreshold is the smallest size in bytes of a batch that is compressed. The
	// configuration of many routes, or a snapshot of many upstreams, shrinks to a sixth.
	// Without compression, sixty followers of a reader with a link of 20 Mbit/s would wait
	// seconds for 280 KB each.
	compressThreshold = 4 << 10
	// maxBatchBytes bounds the size of a batch after decompression.
	maxBatchBytes = 64 << 20
)

// The first byte of an encoded batch is its format.
const (
	formatPlain byte = iota
	formatFlate
)

// encodeBatch encodes a batch with MessagePack and compresses it if it is large.
func encodeBatch(b fleet.Batch) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(formatPlain)
	enc := msgpack.NewEncoder(&out)
	enc.UseCompactInts(true)
	if err := enc.Encode(&b); err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	if out.Len() < compressThreshold {
		return out.Bytes(), nil
	}
	return compress(out.Bytes()[1:])
}

// compress returns an encoded batch in the compressed format.
func compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(formatFlate)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress batch")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress batch")
	}
	return out.Bytes(), nil
}

// decodeBatch decodes the output of encodeBatch.
func decodeBatch(raw []byte) (b fleet.Batch, err error) {
	if len(raw) == 0 {
		return b, errors.New("empty batch without a format byte")
	}
	body := raw[1:]
	switch raw[0] {
	case formatPlain:
	case formatFlate:
		r := flate.NewReader(bytes.NewReader(body))
		defer r.Close()
		if body, err = io.ReadAll(io.LimitReader(r, maxBatchBytes)); err != nil {
			return b, errors.Wrap(err, "decompress batch")
		}
	default:
		return b, errors.Errorf("unknown batch format %d", raw[0])
	}
	return b, errors.Wrap(safepack.Unmarshal(body, &b), "decode batch")
}
