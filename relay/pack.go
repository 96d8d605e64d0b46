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
	// packFrom is the size in bytes from which on a batch is compressed. A configuration
	// of many routes, or the state of many upstreams, shrinks to a sixth; sixty followers
	// of a reader on a link of 20 Mbit/s would else wait seconds for 280 KB each.
	packFrom = 4 << 10
	// maxBatch bounds a batch after it is unpacked, in bytes.
	maxBatch = 64 << 20
)

// The first byte of a packed batch.
const (
	packedPlain byte = iota
	packedFlate
)

// packBatch encodes a batch.
func packBatch(b fleet.Batch) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(packedPlain)
	enc := msgpack.NewEncoder(&out)
	enc.UseCompactInts(true)
	if err := enc.Encode(&b); err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	if out.Len() < packFrom {
		return out.Bytes(), nil
	}
	return compress(out.Bytes()[1:])
}

func compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(packedFlate)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return out.Bytes(), nil
}

// unpackBatch decodes what packBatch encoded.
func unpackBatch(raw []byte) (b fleet.Batch, err error) {
	if len(raw) == 0 {
		return b, errors.New("records without a format")
	}
	body := raw[1:]
	switch raw[0] {
	case packedPlain:
	case packedFlate:
		r := flate.NewReader(bytes.NewReader(body))
		defer r.Close()
		if body, err = io.ReadAll(io.LimitReader(r, maxBatch)); err != nil {
			return b, errors.Wrap(err, "unpack records")
		}
	default:
		return b, errors.Errorf("records of the unknown format %d", raw[0])
	}
	return b, errors.Wrap(safepack.Unmarshal(body, &b), "decode records")
}
