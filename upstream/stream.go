package upstream

import (
	"bufio"
	"io"
	"sync"

	"github.com/mailru/easyjson/jlexer"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// MaxLineBytes is the maximum length of a line of a decode stream, in bytes.
const MaxLineBytes = 16 << 10

// ErrLineTooLong is returned for a line that is longer than MaxLineBytes.
var ErrLineTooLong = errors.New("stream line too long")

var bufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, MaxLineBytes) }}

// ChunkStream reads the stream of generated tokens from a decode call. It is not safe for
// concurrent use, except that cancelling the context of the call makes a blocked Next
// return.
type ChunkStream interface {
	// Next reads the next chunk into c. Its error does not say whether the answer is
	// complete; it is complete only if a chunk with Done set was read.
	Next(c *engineapi.Chunk) error
	// Head returns the status and header of the engine's response if they are to be passed
	// on to the caller, otherwise nil.
	Head() *engineapi.ResponseHead
	// Close closes the stream, which must not be used afterwards.
	Close() error
}

// Stream reads a decode stream of one JSON object per line. It implements ChunkStream.
type Stream struct {
	body io.ReadCloser
	buf  *bufio.Reader
	// requestID is the request id of the last chunk. All chunks of a stream have the
	// same id, so the string is allocated only once.
	requestID string
	// meter bounds the stream. onLimit is called for the address of the engine when it ends the stream.
	meter   *StreamMeter
	engine  string
	onLimit OnAnswerLimit
}

// newStream returns a stream that meter bounds.
func newStream(body io.ReadCloser, meter *StreamMeter) *Stream {
	buf := bufferPool.Get().(*bufio.Reader)
	buf.Reset(body)
	return &Stream{body: body, buf: buf, meter: meter, onLimit: ignoreLimit}
}

// Next implements ChunkStream. It returns io.EOF at the end of the response's body,
// io.ErrUnexpectedEOF if the body ends inside a line, ErrStreamTooLong for a stream that is longer
// than its request can yield, and another error for a malformed line or a failed read.
func (s *Stream) Next(c *engineapi.Chunk) error {
	line, err := s.buf.ReadSlice('\n')
	if limit := s.meter.Chunk(len(line)); limit != nil {
		s.onLimit(s.engine, limit)
		return limit
	}
	switch {
	case err == nil:
		return s.parse(line, c)
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrLineTooLong
	case errors.Is(err, io.EOF) && len(line) > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// Head implements ChunkStream. It returns nil, because nothing of the engine's header is
// passed on to the caller.
func (s *Stream) Head() *engineapi.ResponseHead { return nil }

// Close implements ChunkStream. It returns the buffer to the pool.
func (s *Stream) Close() error {
	err := s.body.Close()
	s.buf.Reset(nil)
	bufferPool.Put(s.buf)
	s.buf = nil
	return err
}

// parse decodes one line into c. encoding/json is not used because it makes 8 allocations
// per token; this makes one, for the token's text.
func (s *Stream) parse(line []byte, c *engineapi.Chunk) error {
	*c = engineapi.Chunk{}
	l := jlexer.Lexer{Data: line}
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		s.decodeField(&l, key, c)
		l.WantComma()
	}
	l.Delim('}')
	l.Consumed()
	return errors.WithStack(l.Error())
}

// decodeField decodes the value of one member of a chunk.
func (s *Stream) decodeField(l *jlexer.Lexer, key string, c *engineapi.Chunk) {
	switch key {
	case "request_id":
		c.RequestID = s.internID(l.UnsafeString())
	case "attempt":
		c.Attempt = l.Int()
	case "index":
		c.Index = l.Int()
	case "text":
		c.Text = l.String()
	case "imported":
		c.Imported = l.Bool()
	case "done":
		c.Done = l.Bool()
	case "tokens":
		c.Tokens = l.Int()
	case "finish_reason":
		c.FinishReason = l.String()
	case "error":
		c.Error = l.String()
	case "load":
		c.Load = parseLoad(l)
	default:
		l.SkipRecursive()
	}
}

// internID returns a copy of id, which refers to the read buffer. It allocates only if the id
// differs from that of the previous chunk.
func (s *Stream) internID(id string) string {
	if id != s.requestID {
		s.requestID = string(append([]byte(nil), id...))
	}
	return s.requestID
}

func parseLoad(l *jlexer.Lexer) *engineapi.Load {
	if l.IsNull() {
		l.Skip()
		return nil
	}
	load := new(engineapi.Load)
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		decodeLoadField(l, key, load)
		l.WantComma()
	}
	l.Delim('}')
	return load
}

// decodeLoadField decodes the value of one member of a load.
func decodeLoadField(l *jlexer.Lexer, key string, load *engineapi.Load) {
	switch key {
	case "incarnation":
		load.Incarnation = l.Uint64()
	case "seq":
		load.Seq = l.Uint64()
	case "slots":
		load.Slots = l.Int()
	case "active":
		load.Active = l.Int()
	case "queued":
		load.Queued = l.Int()
	case "queued_tokens":
		load.QueuedTokens = l.Int()
	case "step_ms":
		load.StepMS = l.Float64()
	case "link_busy_ms":
		load.LinkBusyMS = l.Int64()
	case "leaving":
		load.Leaving = l.Bool()
	default:
		l.SkipRecursive()
	}
}
