package upstream

import (
	"bufio"
	"io"
	"sync"

	"github.com/mailru/easyjson/jlexer"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// MaxLine is the longest line of a decode stream, in bytes.
const MaxLine = 16 << 10

// ErrLineTooLong is returned for a line over MaxLine.
var ErrLineTooLong = errors.New("stream line too long")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, MaxLine) }}

// ChunkStream is a decode stream that is being read. It is not safe for concurrent
// use, except that cancelling the call's context ends a blocked Next.
type ChunkStream interface {
	// Next reads the next chunk into c. No error says whether the answer is whole;
	// only the chunks do.
	Next(c *engineapi.Chunk) error
	// Head is the beginning of the engine's own answer, or nil where chunks say it all.
	Head() *engineapi.Head
	// Close ends the stream, which must not be used afterwards.
	Close() error
}

// Stream reads one decode stream. It is not safe for concurrent use, except
// that cancelling the call's context ends a blocked Next.
type Stream struct {
	body io.ReadCloser
	buf  *bufio.Reader
	// requestID is the id of the last chunk; chunks of one stream share it, so
	// the string is made once.
	requestID string
}

func newStream(body io.ReadCloser) *Stream {
	buf := readers.Get().(*bufio.Reader)
	buf.Reset(body)
	return &Stream{body: body, buf: buf}
}

// Next reads the next chunk into c. It returns io.EOF at the end of the
// connection, io.ErrUnexpectedEOF when that cuts a line, and any other error
// for a garbled line or a failed read. No error says whether the answer is
// whole; only the chunks do.
func (s *Stream) Next(c *engineapi.Chunk) error {
	line, err := s.buf.ReadSlice('\n')
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

// Head implements ChunkStream: the chunks say it all.
func (s *Stream) Head() *engineapi.Head { return nil }

// Close ends the stream. The Stream must not be used afterwards.
func (s *Stream) Close() error {
	err := s.body.Close()
	s.buf.Reset(nil)
	readers.Put(s.buf)
	s.buf = nil
	return err
}

// parse fills c from one line. It exists beside encoding/json because that takes
// 8 allocations a token (measured); this allocates the token's text alone.
func (s *Stream) parse(line []byte, c *engineapi.Chunk) error {
	*c = engineapi.Chunk{}
	l := jlexer.Lexer{Data: line}
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		s.field(&l, key, c)
		l.WantComma()
	}
	l.Delim('}')
	l.Consumed()
	return errors.WithStack(l.Error())
}

func (s *Stream) field(l *jlexer.Lexer, key string, c *engineapi.Chunk) {
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
		loadField(l, key, load)
		l.WantComma()
	}
	l.Delim('}')
	return load
}

func loadField(l *jlexer.Lexer, key string, load *engineapi.Load) {
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
