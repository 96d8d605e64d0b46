package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/safepack"
)

// The faults of a frame that end the connection. Use errors.Is.
var (
	// ErrTooLarge says a frame is over the bound; its body was not read.
	ErrTooLarge = errors.New("frame is too large")
	// ErrGarbled says bytes are not the msgpack that they should be.
	ErrGarbled = errors.New("frame is garbled")
	// ErrVersion says an envelope is of a version that this build does not speak.
	ErrVersion = errors.New("protocol version is unknown")
)

// headerBytes is the size of the length before each envelope.
const headerBytes = 4

// readBuffer is large enough for a burst of heartbeats in one read.
const readBuffer = 4 << 10

// Fault is a frame or message that could not be taken; Reason is one of the
// package's errors.
type Fault struct {
	Reason error
	Detail string
}

// Error implements error.
func (f *Fault) Error() string { return f.Reason.Error() + ": " + f.Detail }

// Unwrap returns the reason.
func (f *Fault) Unwrap() error { return f.Reason }

// Frame is an encoded frame in a pooled buffer.
type Frame struct{ buf bytes.Buffer }

var frames = sync.Pool{New: func() any { return new(Frame) }}

// maxPooled is the largest buffer that goes back to the pool, so that one large
// message does not pin its memory for good.
const maxPooled = 64 << 10

// Bytes returns the frame with its length; valid until Release.
func (f *Frame) Bytes() []byte { return f.buf.Bytes() }

// Release gives the buffer back. The frame must not be used afterwards.
func (f *Frame) Release() {
	if f.buf.Cap() <= maxPooled {
		frames.Put(f)
	}
}

// Encode returns the frame of one message, of at most limit bytes without the
// length. The caller releases it.
func Encode(e Envelope, msg any, limit int) (*Frame, error) {
	body := frames.Get().(*Frame)
	defer body.Release()
	body.buf.Reset()
	if err := encodeTo(&body.buf, msg); err != nil {
		return nil, errors.Wrapf(err, "encode message type %d", e.Type)
	}
	e.Version, e.Body = Version, body.buf.Bytes()
	f := frames.Get().(*Frame)
	f.buf.Reset()
	f.buf.Write(make([]byte, headerBytes))
	if err := encodeTo(&f.buf, &e); err != nil {
		f.Release()
		return nil, errors.Wrap(err, "encode envelope")
	}
	n := f.buf.Len() - headerBytes
	if n > limit {
		f.Release()
		return nil, &Fault{Reason: ErrTooLarge, Detail: fmt.Sprintf("%d bytes, bound %d", n, limit)}
	}
	binary.BigEndian.PutUint32(f.buf.Bytes(), uint32(n))
	return f, nil
}

func encodeTo(w io.Writer, v any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(w)
	enc.UseCompactInts(true)
	return enc.Encode(v)
}

// Decode reads the message of an envelope's body.
func Decode(body []byte, msg any) error {
	if err := safepack.Unmarshal(body, msg); err != nil {
		return &Fault{Reason: ErrGarbled, Detail: err.Error()}
	}
	return nil
}

// Reader reads frames from one connection. It is not safe for concurrent use.
type Reader struct {
	r   *bufio.Reader
	max int
	buf []byte
	env Envelope
}

// NewReader returns a reader of frames of at most limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer), max: limit}
}

// Read returns the next envelope and the bytes it took. The envelope and its
// body are valid until the next Read. Any error ends the connection: a *Fault
// for what the peer sent, another error for the connection itself.
func (r *Reader) Read() (*Envelope, int, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(r.max) {
		return nil, 0, &Fault{Reason: ErrTooLarge, Detail: fmt.Sprintf("%d bytes, bound %d", size, r.max)}
	}
	if err := r.fill(int(size)); err != nil {
		return nil, 0, err
	}
	r.env = Envelope{Body: r.env.Body[:0]}
	if err := safepack.Unmarshal(r.buf, &r.env); err != nil {
		return nil, 0, &Fault{Reason: ErrGarbled, Detail: err.Error()}
	}
	if r.env.Version != Version {
		return nil, 0, &Fault{Reason: ErrVersion, Detail: fmt.Sprintf("got %d, speak %d", r.env.Version, Version)}
	}
	return &r.env, headerBytes + int(size), nil
}

// fill reads size bytes into the buffer. A large frame's buffer grows only as
// its bytes arrive, so that a peer cannot claim memory by a length alone.
func (r *Reader) fill(size int) error {
	if cap(r.buf) > maxPooled && size <= maxPooled {
		r.buf, r.env.Body = nil, nil
	}
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		have := len(r.buf)
		step := min(size-have, maxPooled)
		r.buf = append(r.buf, make([]byte, step)...)
		if _, err := io.ReadFull(r.r, r.buf[have:]); err != nil {
			return unexpected(err)
		}
	}
	return nil
}

// unexpected turns an end within a frame into io.ErrUnexpectedEOF.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
