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
	"golang.org/x/sync/semaphore"

	"github.com/corianderturn/corianderturn/internal/safepack"
)

// The reasons of a FrameError, to be matched with errors.Is. An error in a frame ends the
// connection.
var (
	// ErrTooLarge means that a frame exceeds the size limit. Its body was not read.
	ErrTooLarge = errors.New("frame is too large")
	// ErrMalformed means that the bytes are not a valid msgpack encoding of the expected
	// type.
	ErrMalformed = errors.New("frame is garbled")
	// ErrVersion means that the envelope has a protocol version other than Version.
	ErrVersion = errors.New("protocol version is unknown")
	// ErrMemory means that the large frames of other connections hold all memory for them. The frame was not
	// read whole.
	ErrMemory = errors.New("no memory for the frame")
)

// lengthBytes is the size of the length prefix of a frame.
const lengthBytes = 4

// readBufferBytes is large enough to read a burst of heartbeats at once.
const readBufferBytes = 4 << 10

// FrameError is the error for a frame or message that is invalid or not read. Reason is ErrTooLarge,
// ErrMalformed, ErrVersion or ErrMemory.
type FrameError struct {
	Reason error
	Detail string
}

// Error implements error.
func (f *FrameError) Error() string { return f.Reason.Error() + ": " + f.Detail }

// Unwrap returns Reason.
func (f *FrameError) Unwrap() error { return f.Reason }

// Frame is an encoded frame in a pooled buffer.
type Frame struct{ buf bytes.Buffer }

var framePool = sync.Pool{New: func() any { return new(Frame) }}

// maxPooledBytes is the capacity above which a buffer is not kept for reuse, so that
// one large message does not hold its memory indefinitely.
const maxPooledBytes = 64 << 10

// Bytes returns the frame including its length prefix. It is valid until Release.
func (f *Frame) Bytes() []byte { return f.buf.Bytes() }

// Release returns the buffer to the pool. The frame must not be used afterwards.
func (f *Frame) Release() {
	if f.buf.Cap() <= maxPooledBytes {
		framePool.Put(f)
	}
}

// Encode encodes a message and its envelope as a frame. The envelope is limited to
// limit bytes. The caller must call Release on the frame.
func Encode(e Envelope, msg any, limit int) (*Frame, error) {
	body := framePool.Get().(*Frame)
	defer body.Release()
	body.buf.Reset()
	if err := encodeTo(&body.buf, msg); err != nil {
		return nil, errors.Wrapf(err, "encode message type %d", e.Type)
	}
	e.Version, e.Body = Version, body.buf.Bytes()
	f := framePool.Get().(*Frame)
	f.buf.Reset()
	f.buf.Write(make([]byte, lengthBytes))
	if err := encodeTo(&f.buf, &e); err != nil {
		f.Release()
		return nil, errors.Wrap(err, "encode envelope")
	}
	n := f.buf.Len() - lengthBytes
	if n > limit {
		f.Release()
		return nil, &FrameError{Reason: ErrTooLarge, Detail: fmt.Sprintf("%d bytes, bound %d", n, limit)}
	}
	binary.BigEndian.PutUint32(f.buf.Bytes(), uint32(n))
	return f, nil
}

// encodeTo writes v as msgpack, with the smallest encoding of each integer.
func encodeTo(w io.Writer, v any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(w)
	enc.UseCompactInts(true)
	return enc.Encode(v)
}

// Decode decodes the body of an envelope into msg. Errors are of type *FrameError.
func Decode(body []byte, msg any) error {
	if err := safepack.Unmarshal(body, msg); err != nil {
		return &FrameError{Reason: ErrMalformed, Detail: err.Error()}
	}
	return nil
}

// Budget is the memory that the large frames of several connections may hold together. It is safe for concurrent use.
type Budget struct{ total *semaphore.Weighted }

// frameFactor is how many times its size a large frame holds: its buffer, which grows by doubling, and the body.
const frameFactor = 3

// NewBudget returns a budget of a size in bytes, or of as much as one frame of the largest size holds.
func NewBudget(size int64) *Budget {
	return &Budget{total: semaphore.NewWeighted(max(size, frameFactor*MaxFrame))}
}

// Reader reads frames from one connection. It is not safe for concurrent use.
type Reader struct {
	r      *bufio.Reader
	limit  int
	buf    []byte
	env    Envelope
	budget *Budget // nil means no bound
	held   int64   // bytes of the budget
}

// NewReader returns a reader of frames whose envelopes have at most limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// SetLimit sets the limit of the envelopes that follow, in bytes.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// WithBudget makes the reader take the memory for frames over maxPooledBytes from b, and returns it. Release must be
// called when the connection has ended.
func (r *Reader) WithBudget(b *Budget) *Reader {
	r.budget = b
	return r
}

// Release returns the memory that the last frame holds. The reader must not be used afterwards.
func (r *Reader) Release() { r.hold(0) }

// hold makes the reader hold n bytes of the budget. It returns false if the budget has not enough.
func (r *Reader) hold(n int64) bool {
	switch more := n - r.held; {
	case r.budget == nil || more == 0:
		return true
	case more < 0:
		r.budget.total.Release(-more)
	case !r.budget.total.TryAcquire(more):
		return false
	}
	r.held = n
	return true
}

// Read returns the next envelope and the size of its frame in bytes. The envelope and
// its body are valid until the next Read. The connection cannot be used after an error,
// which is a *FrameError for an invalid frame and another error for a failed connection.
func (r *Reader) Read() (*Envelope, int, error) {
	r.dropLarge()
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.r, length[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if uint64(size) > uint64(r.limit) {
		return nil, 0, &FrameError{Reason: ErrTooLarge, Detail: fmt.Sprintf("%d bytes, bound %d", size, r.limit)}
	}
	if err := r.readBody(int(size)); err != nil {
		return nil, 0, err
	}
	r.env = Envelope{Body: r.env.Body[:0]}
	if err := safepack.Unmarshal(r.buf, &r.env); err != nil {
		return nil, 0, &FrameError{Reason: ErrMalformed, Detail: err.Error()}
	}
	if r.env.Version != Version {
		return nil, 0, &FrameError{Reason: ErrVersion, Detail: fmt.Sprintf("got version %d, want %d", r.env.Version, Version)}
	}
	return &r.env, lengthBytes + int(size), nil
}

// readBody reads size bytes into the buffer. The buffer grows by at most
// maxPooledBytes ahead of the bytes that arrive, so that a peer cannot make the reader
// allocate memory by sending a large length alone.
func (r *Reader) readBody(size int) error {
	if cap(r.buf) > maxPooledBytes && size <= maxPooledBytes {
		r.buf, r.env.Body = nil, nil
	}
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		filled := len(r.buf)
		step := min(size-filled, maxPooledBytes)
		if large := filled + step - maxPooledBytes; large > 0 && !r.hold(frameFactor*int64(large)) {
			return &FrameError{Reason: ErrMemory, Detail: fmt.Sprintf("%d of %d bytes read", filled, size)}
		}
		r.buf = append(r.buf, make([]byte, step)...)
		if _, err := io.ReadFull(r.r, r.buf[filled:]); err != nil {
			return truncatedErr(err)
		}
	}
	return nil
}

// dropLarge drops the buffers of a large frame, which would otherwise be kept while the connection is silent.
func (r *Reader) dropLarge() {
	if r.budget != nil && cap(r.buf) > maxPooledBytes {
		r.buf, r.env.Body = nil, nil
	}
	r.hold(0)
}

// truncatedErr converts io.EOF, here in the middle of a frame, to io.ErrUnexpectedEOF.
func truncatedErr(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
