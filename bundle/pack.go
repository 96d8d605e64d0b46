package bundle

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// unpacker decodes msgpack whose every length is checked before anything is
// allocated. The library's own struct decoding allocates byte strings and lists
// at the length that a header claims: ten bytes on the log, or from a peer,
// would make every daemon allocate 4 GiB. FuzzDecodeRecord found it.
type unpacker struct {
	r   *bytes.Reader
	dec *msgpack.Decoder
	err error
}

func unpack(data []byte) *unpacker {
	r := bytes.NewReader(data)
	return &unpacker{r: r, dec: msgpack.NewDecoder(r)}
}

func (u *unpacker) fail(err error) {
	if u.err == nil {
		u.err = err
	}
}

// list returns the length of a list; each element takes a byte or more.
func (u *unpacker) list(most int) int {
	if u.err != nil {
		return 0
	}
	n, err := u.dec.DecodeArrayLen()
	if err != nil {
		u.fail(err)
		return 0
	}
	if n < 0 || n > most {
		u.fail(errors.Errorf("list of %d elements", n))
		return 0
	}
	return n
}

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
		u.fail(errors.Errorf("byte string of %d bytes where %d are left", n, u.r.Len()))
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

// packer encodes what unpacker decodes.
type packer struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
	err error
}

func pack(magic string) *packer {
	p := &packer{}
	p.buf.WriteString(magic)
	p.enc = msgpack.NewEncoder(&p.buf)
	return p
}

func (p *packer) do(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *packer) list(n int)    { p.do(p.enc.EncodeArrayLen(n)) }
func (p *packer) text(s string) { p.do(p.enc.EncodeString(s)) }
func (p *packer) uint(n uint64) { p.do(p.enc.EncodeUint(n)) }
func (p *packer) int(n int64)   { p.do(p.enc.EncodeInt(n)) }

// bytes encodes nil as an empty byte string, so that both have one encoding.
func (p *packer) bytes(b []byte) {
	if b == nil {
		b = []byte{}
	}
	p.do(p.enc.EncodeBytes(b))
}

func (p *packer) done() ([]byte, error) {
	return p.buf.Bytes(), errors.Wrap(p.err, "encode")
}
