package bundle

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// unpacker decodes msgpack and checks every length before it allocates. The
// library's own struct decoding allocates byte strings and lists of the length
// that a header claims, so that ten bytes on the log, or from a peer, would make
// every daemon allocate 4 GiB. FuzzDecodeRecord covers this.
//
// The first error is kept in err; the calls after it return zero values.
type unpacker struct {
	r   *bytes.Reader
	dec *msgpack.Decoder
	err error
}

// unpack returns an unpacker that reads data.
func unpack(data []byte) *unpacker {
	r := bytes.NewReader(data)
	return &unpacker{r: r, dec: msgpack.NewDecoder(r)}
}

// fail keeps err unless there was an error before; a nil err has no effect.
func (u *unpacker) fail(err error) {
	if u.err == nil {
		u.err = err
	}
}

// arrayLen decodes an array header and returns the number of elements. A number
// above limit is an error.
func (u *unpacker) arrayLen(limit int) int {
	if u.err != nil {
		return 0
	}
	n, err := u.dec.DecodeArrayLen()
	if err != nil {
		u.fail(err)
		return 0
	}
	if n < 0 || n > limit {
		u.fail(errors.Errorf("array of %d elements", n))
		return 0
	}
	return n
}

// bytes decodes a byte string. A length beyond the remaining input is an error.
func (u *unpacker) bytes() []byte {
	if u.err != nil {
		return nil
	}
	n, err := u.dec.DecodeBytesLen()
	if err != nil {
		u.fail(err)
		return nil
	}
	if n < 0 || n > u.r.Len() {
		u.fail(errors.Errorf("byte string of %d bytes exceeds the remaining input of %d", n, u.r.Len()))
		return nil
	}
	out := make([]byte, n)
	u.fail(u.dec.ReadFull(out))
	return out
}

func (u *unpacker) text() string { return string(u.bytes()) }

func (u *unpacker) digest() (d Digest) {
	b := u.bytes()
	if u.err == nil && len(b) != len(d) {
		u.fail(errors.Errorf("digest of %d bytes", len(b)))
	}
	copy(d[:], b)
	return d
}

func (u *unpacker) uint() uint64 {
	if u.err != nil {
		return 0
	}
	n, err := u.dec.DecodeUint64()
	u.fail(err)
	return n
}

func (u *unpacker) int() int64 {
	if u.err != nil {
		return 0
	}
	n, err := u.dec.DecodeInt64()
	u.fail(err)
	return n
}

// packer encodes msgpack in the form that unpacker decodes. The first error is
// kept in err and returned by finish.
type packer struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
	err error
}

// pack returns a packer whose output starts with magic.
func pack(magic string) *packer {
	p := &packer{}
	p.buf.WriteString(magic)
	p.enc = msgpack.NewEncoder(&p.buf)
	return p
}

// setErr keeps err unless there was an error before.
func (p *packer) setErr(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *packer) arrayLen(n int) { p.setErr(p.enc.EncodeArrayLen(n)) }
func (p *packer) text(s string)  { p.setErr(p.enc.EncodeString(s)) }
func (p *packer) uint(n uint64)  { p.setErr(p.enc.EncodeUint(n)) }
func (p *packer) int(n int64)    { p.setErr(p.enc.EncodeInt(n)) }

// bytes encodes a byte string. Nil is encoded as an empty one, so that both have
// the same encoding.
func (p *packer) bytes(b []byte) {
	if b == nil {
		b = []byte{}
	}
	p.setErr(p.enc.EncodeBytes(b))
}

// finish returns the encoded bytes, or the first error.
func (p *packer) finish() ([]byte, error) {
	return p.buf.Bytes(), errors.Wrap(p.err, "encode")
}
