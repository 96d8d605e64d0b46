// Package safepack decodes msgpack from untrusted sources. The msgpack library allocates byte
// strings and lists with the length that their header states, and skips unknown fields by
// recursion: ten bytes from a peer or from the log could make a daemon allocate gigabytes, and
// deeply nested lists could overflow its stack, which ends the process. Check rejects both before
// the library decodes the data.
package safepack

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the maximum nesting of lists and maps. The daemons' messages use at most 6 levels.
const MaxDepth = 16

// Unmarshal decodes data, which must hold exactly one value, into v. It calls Check first.
func Unmarshal(data []byte, v any) error {
	if err := Check(data); err != nil {
		return err
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(data))
	return dec.Decode(v)
}

// Check returns an error unless data is exactly one well-formed value, nested at most MaxDepth
// levels, in which no stated length exceeds the bytes that follow.
func Check(data []byte) error {
	r := bytes.NewReader(data)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	c := checker{r: r, dec: dec}
	c.remaining = append(c.buffer[:0], 1)
	for len(c.remaining) > 0 {
		top := len(c.remaining) - 1
		if c.remaining[top] == 0 {
			c.remaining = c.remaining[:top]
			continue
		}
		c.remaining[top]--
		if err := c.checkValue(); err != nil {
			return err
		}
	}
	if r.Len() != 0 {
		return errors.Errorf("%d bytes follow the value", r.Len())
	}
	return nil
}

// checker checks one value without recursion. remaining is a stack that holds, for each list or
// map that contains the current position, the number of its values that are still to be read. Its
// backing array is buffer, so that it is never reallocated.
type checker struct {
	r         *bytes.Reader
	dec       *msgpack.Decoder
	buffer    [MaxDepth + 1]int
	remaining []int
}

// checkValue checks a scalar, or the header of a list or map.
func (c *checker) checkValue() error {
	code, err := c.dec.PeekCode()
	if err != nil {
		return err
	}
	switch {
	case isArray(code):
		n, err := c.dec.DecodeArrayLen()
		return c.openContainer(n, 1, err)
	case isMap(code):
		n, err := c.dec.DecodeMapLen()
		return c.openContainer(n, 2, err)
	case msgpcode.IsString(code), msgpcode.IsBin(code):
		n, err := c.dec.DecodeBytesLen()
		return c.skipBytes(n, err)
	case msgpcode.IsExt(code):
		_, n, err := c.dec.DecodeExtHeader()
		return c.skipBytes(n, err)
	}
	return c.dec.Skip()
}

// openContainer pushes a list or map of n elements, each of which consists of the given number of
// values. A value has at least one byte, which bounds n. err is the error of decoding the header.
func (c *checker) openContainer(n, values int, err error) error {
	switch {
	case err != nil:
		return err
	case n < 0 || n > c.r.Len()/values:
		return errors.Errorf("a list or map of %d elements with %d bytes left", n, c.r.Len())
	case len(c.remaining) > MaxDepth:
		return errors.Errorf("nested deeper than %d", MaxDepth)
	}
	c.remaining = append(c.remaining, n*values)
	return nil
}

// skipBytes skips a value of n bytes. err is the error of decoding its header.
func (c *checker) skipBytes(n int, err error) error {
	if err != nil {
		return err
	}
	if n < 0 || n > c.r.Len() {
		return errors.Errorf("a value of %d bytes with %d bytes left", n, c.r.Len())
	}
	_, err = c.r.Seek(int64(n), io.SeekCurrent)
	return err
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}
