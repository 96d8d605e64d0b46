// Package safepack decodes msgpack that comes from outside this process. The
// msgpack library allocates byte strings and lists at the length that a header
// claims, and skips unknown fields by recursion: ten bytes from a peer or from
// the log would make a daemon allocate gigabytes, and a long run of nested
// lists would overflow its stack, which ends the process. Check refuses both
// before the library sees the data.
package safepack

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the deepest nesting of lists and maps that is accepted; no message
// of ours nests deeper than 6.
const MaxDepth = 16

// Unmarshal checks data and decodes exactly one value that fills it into v.
func Unmarshal(data []byte, v any) error {
	if err := Check(data); err != nil {
		return err
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(data))
	return dec.Decode(v)
}

// Check returns an error unless data is exactly one well-formed value in which
// every length is covered by the bytes that follow.
func Check(data []byte) error {
	r := bytes.NewReader(data)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	c := checker{r: r, dec: dec}
	c.depth = append(c.open[:0], 1)
	for len(c.depth) > 0 {
		top := len(c.depth) - 1
		if c.depth[top] == 0 {
			c.depth = c.depth[:top]
			continue
		}
		c.depth[top]--
		if err := c.value(); err != nil {
			return err
		}
	}
	if r.Len() != 0 {
		return errors.Errorf("%d bytes follow the value", r.Len())
	}
	return nil
}

// checker walks one value. depth holds, for each open list or map, how many of
// its elements are still to come; it has its room in open.
type checker struct {
	r     *bytes.Reader
	dec   *msgpack.Decoder
	open  [MaxDepth + 1]int
	depth []int
}

func (c *checker) value() error {
	code, err := c.dec.PeekCode()
	if err != nil {
		return err
	}
	switch {
	case isArray(code):
		n, err := c.dec.DecodeArrayLen()
		return c.enter(n, 1, err)
	case isMap(code):
		n, err := c.dec.DecodeMapLen()
		return c.enter(n, 2, err)
	case msgpcode.IsString(code), msgpcode.IsBin(code):
		n, err := c.dec.DecodeBytesLen()
		return c.pass(n, err)
	case msgpcode.IsExt(code):
		_, n, err := c.dec.DecodeExtHeader()
		return c.pass(n, err)
	}
	return c.dec.Skip()
}

// enter opens a list or map of n elements, each of which takes the given number
// of values and so at least as many bytes.
func (c *checker) enter(n, values int, err error) error {
	switch {
	case err != nil:
		return err
	case n < 0 || n > c.r.Len()/values:
		return errors.Errorf("%d elements where %d bytes are left", n, c.r.Len())
	case len(c.depth) > MaxDepth:
		return errors.Errorf("nested deeper than %d", MaxDepth)
	}
	c.depth = append(c.depth, n*values)
	return nil
}

// pass steps over n bytes.
func (c *checker) pass(n int, err error) error {
	if err != nil {
		return err
	}
	if n < 0 || n > c.r.Len() {
		return errors.Errorf("%d bytes claimed where %d are left", n, c.r.Len())
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
