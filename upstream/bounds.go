package upstream

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/answers"
)

const (
	// ErrorAnswerTimeout bounds the time in which the body of an answer arrives that says that a call failed. An
	// upstream sends such a body at once: in this time, a link of 10 Mbit/s carries 600 KB. Its caller may
	// be served elsewhere meanwhile.
	ErrorAnswerTimeout = 500 * time.Millisecond
	// drainTimeout and maxDrainBytes bound what is read of a body that nobody wants, so that its connection
	// can be used again. Opening a connection costs less than that.
	drainTimeout  = 250 * time.Millisecond
	maxDrainBytes = 64 << 10
)

const (
	// unknownStreamBytes bounds a stream whose request states no number of tokens. It is the size of the largest
	// plain answer.
	unknownStreamBytes = 8 << 20
	// streamBaseBytes and bytesPerToken bound a stream by the number of its tokens. Tokens have a few bytes, and
	// the events around them tens to hundreds.
	streamBaseBytes = 1 << 20
	bytesPerToken   = 4 << 10
	// streamBaseChunks and chunksPerToken bound the number of chunks. Engines send at most one for each token, and
	// some beside the tokens. Twice as many leave room for engines that count tokens in another way.
	streamBaseChunks = 1024
	chunksPerToken   = 2
	// maxBoundTokens keeps the bounds of absurd numbers of tokens from overflowing.
	maxBoundTokens = 1 << 30
)

// ErrStreamTooLong is returned for a stream that is longer than its request can yield.
var ErrStreamTooLong = errors.New("the stream is longer than its request can yield")

// streamLeaseBytes is the step in which a stream takes memory.
const streamLeaseBytes = 8 << 10

// StreamMeter bounds how many chunks and bytes a stream may have, and takes memory for its bytes, which the request keeps,
// from the lease of the request.
type StreamMeter struct {
	chunks, bytes int // that the stream may still have
	lease         *answers.Lease
	upstream      string
	leased        int // bytes that were taken and have not been read
}

// NewStreamMeter returns the meter of a stream of an upstream, of at most maxTokens tokens; 0 means that the number is
// unknown.
func NewStreamMeter(maxTokens int, lease *answers.Lease, upstream string) *StreamMeter {
	m := &StreamMeter{chunks: unknownStreamBytes, bytes: unknownStreamBytes, lease: lease, upstream: upstream}
	if maxTokens > 0 {
		n := min(maxTokens, maxBoundTokens)
		m.chunks, m.bytes = streamBaseChunks+chunksPerToken*n, streamBaseBytes+bytesPerToken*n
	}
	return m
}

// Chunk counts a chunk and its first n bytes. It returns ErrStreamTooLong for a stream that is longer than its
// request can yield, and an error of answers.Lease if there is no memory for it.
func (m *StreamMeter) Chunk(n int) error {
	if m.chunks--; m.chunks < 0 {
		return ErrStreamTooLong
	}
	return m.Bytes(n)
}

// Bytes counts n more bytes of a chunk. Its errors are those of Chunk.
func (m *StreamMeter) Bytes(n int) error {
	if m.bytes -= n; m.bytes < 0 {
		return ErrStreamTooLong
	}
	if n > m.leased {
		step := max(n, streamLeaseBytes)
		if err := m.lease.Take(m.upstream, int64(step)); err != nil {
			return err
		}
		m.leased += step
	}
	m.leased -= n
	return nil
}

// OnAnswerLimit is called with the name or address of an upstream whose answer exceeds a bound; err tells the bound.
type OnAnswerLimit func(upstream string, err error)

func ignoreLimit(string, error) {}

// CloseAfter closes the body of a response after a time, which ends a blocked read. It returns a function that
// stops the timer and reports whether the time has passed.
func CloseAfter(body io.Closer, d time.Duration) (expired func() bool) {
	t := time.AfterFunc(d, func() { _ = body.Close() })
	return func() bool { return !t.Stop() }
}

// Drain reads the rest of a body that nobody wants within bounds of bytes and time, and closes it. The connection
// can be used again if the body has ended by then.
func Drain(body io.ReadCloser) {
	expired := CloseAfter(body, drainTimeout)
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes) // after an error the connection is not reused, which is harmless
	expired()
	_ = body.Close()
}
