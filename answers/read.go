package answers

import (
	"io"

	"github.com/pkg/errors"
)

// firstBytes is the size of the first buffer for a body of unknown length. The buffer is doubled when it is full.
const firstBytes = 4 << 10

// Large bodies of requests hold a part of the memory only, so that a few slow ones do not keep out the small ones.
const (
	// LargeBodyBytes is the size above which a body is large.
	LargeBodyBytes = 256 << 10
	largeBodies    = "large bodies"
)

// BodyHolder returns the name in which the memory for a request's body of a size is taken. It is for ReadFor.
func BodyHolder(size int64) string {
	if size <= LargeBodyBytes {
		return ""
	}
	return largeBodies
}

// TooLargeError means that a body is larger than allowed.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return errors.Errorf("the answer exceeds %d bytes", e.Limit).Error()
}

// IsLimit reports whether err means that an answer is too large, or that memory for it is lacking.
func IsLimit(err error) bool {
	var tooLarge *TooLargeError
	return errors.As(err, &tooLarge) || IsMemory(err)
}

// IsMemory reports whether err means that memory is lacking.
func IsMemory(err error) bool {
	return errors.Is(err, ErrExhausted) || errors.Is(err, ErrUpstreamShare)
}

// Read reads a body whose stated length is -1 if there is none. Memory is taken from l in the name of an upstream
// before it is allocated: the stated length at once, and otherwise in steps. If Read fails, all of it is given back.
func Read(body io.Reader, length, limit int64, l *Lease, upstream string) ([]byte, error) {
	return ReadFor(body, length, limit, l, func(int64) string { return upstream })
}

// ReadFor is Read for a body whose memory is taken in a name that depends on its size, as far as it is known.
func ReadFor(body io.Reader, length, limit int64, l *Lease, nameFor func(size int64) string) ([]byte, error) {
	if length > limit {
		return nil, &TooLargeError{limit}
	}
	if length == 0 {
		return nil, nil
	}
	size := length
	if length < 0 {
		size = min(firstBytes, limit)
	}
	name := nameFor(size)
	if err := l.Take(name, size); err != nil {
		return nil, err
	}
	buf, err := fill(body, make([]byte, size), length, limit, func(n int64) error {
		larger := nameFor(size + n)
		if err := l.move(name, larger, size, size+n); err != nil {
			return err
		}
		name, size = larger, size+n
		return nil
	})
	if err != nil {
		l.GiveBack(name, size)
		return nil, err
	}
	return buf, nil
}

// fill reads a body into buf. grow is called before a buffer is allocated that is larger by n bytes. The buffer
// that it replaces is garbage as soon as it is copied, and is not counted.
func fill(body io.Reader, buf []byte, length, limit int64, grow func(n int64) error) ([]byte, error) {
	var n int64
	for {
		if size := int64(len(buf)); n == size {
			switch {
			case length >= 0:
				return buf, nil
			case n == limit:
				return buf, expectEOF(body, limit)
			}
			larger := min(2*size, limit)
			if err := grow(larger - size); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, larger), buf...)[:larger]
		}
		m, err := body.Read(buf[n:])
		n += int64(m)
		switch {
		case errors.Is(err, io.EOF) && n < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return buf[:n], nil
		case err != nil:
			return nil, err
		}
	}
}

// expectEOF returns an error unless a body of limit bytes has ended.
func expectEOF(body io.Reader, limit int64) error {
	var more [1]byte
	switch _, err := io.ReadFull(body, more[:]); {
	case err == nil:
		return &TooLargeError{limit}
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}
