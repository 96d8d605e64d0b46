package frontend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/request"
)

// errOrder refuses a token that is not the next one. An answer with a token
// lost or doubled would look whole to its caller.
var errOrder = errors.New("frontend: a token out of order")

// errEnded refuses a token after the end.
var errEnded = errors.New("frontend: a token after the end")

// wholeSink collects an answer that is sent at once.
type wholeSink struct {
	x     *exchange
	reply reply
	text  strings.Builder
	next  int
	ended bool
}

// Token implements request.Sink.
func (s *wholeSink) Token(index int, text string) error {
	if s.ended {
		return errEnded
	}
	if index != s.next {
		return errOrder
	}
	s.next++
	s.text.WriteString(text)
	return s.x.r.Context().Err()
}

// Finish implements request.Sink.
func (s *wholeSink) Finish(reason string, u request.Usage) {
	if s.ended {
		return
	}
	s.ended = true
	text := s.text.String()
	ch := &s.reply.Choices[0]
	ch.FinishReason = &reason
	if s.reply.shape.chat {
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	s.reply.Usage = usageOf(u)
	s.x.writeJSON(http.StatusOK, s.reply)
}

// Fail implements request.Sink.
func (s *wholeSink) Fail(err *errkind.Error) {
	if s.ended {
		return
	}
	s.ended = true
	s.x.fail(err)
}

// streamSink sends an answer as server-sent events, one a token. The end of a
// whole answer is the event [DONE]; a broken one ends in an event of type
// error that holds the problem document. Until the first token the status is
// still open, so an early failure is an ordinary problem answer.
//
// Buffer, encoder and chunk are reused: a token costs no allocation.
type streamSink struct {
	x     *exchange
	buf   bytes.Buffer
	enc   *json.Encoder
	chunk reply
	text  string // the current token, which chunk points to
	usage bool
	next  int
	begun bool
	ended bool
}

func newStreamSink(x *exchange, r reply, includeUsage bool) *streamSink {
	s := &streamSink{x: x, chunk: r, usage: includeUsage}
	s.chunk.Object = r.shape.chunkObject
	if r.shape.chat {
		s.chunk.Choices[0].Delta = &chatDelta{Role: "assistant", Content: &s.text}
	} else {
		s.chunk.Choices[0].Text = &s.text
	}
	s.enc = json.NewEncoder(&s.buf)
	s.enc.SetEscapeHTML(false)
	return s
}

// Token implements request.Sink.
func (s *streamSink) Token(index int, text string) error {
	if s.ended {
		return errEnded
	}
	if index != s.next {
		return errOrder
	}
	s.next++
	s.begin()
	s.text = text
	s.buf.Reset()
	if err := s.appendData(&s.chunk); err != nil {
		return err
	}
	if d := s.chunk.Choices[0].Delta; d != nil {
		d.Role = "" // named once, in the first chunk
	}
	return s.send()
}

// Finish implements request.Sink.
func (s *streamSink) Finish(reason string, u request.Usage) {
	if s.ended {
		return
	}
	s.ended = true
	s.begin()
	s.buf.Reset()
	ch := &s.chunk.Choices[0]
	ch.FinishReason = &reason
	s.text = ""
	if ch.Delta != nil {
		ch.Delta.Content = nil
	}
	err := s.appendData(&s.chunk)
	if err == nil && s.usage {
		s.chunk.Choices, s.chunk.Usage = []choice{}, usageOf(u)
		err = s.appendData(&s.chunk)
	}
	if err != nil {
		return // without [DONE] the caller sees a broken answer
	}
	s.buf.WriteString("data: [DONE]\n\n")
	_ = s.send()
}

// Fail implements request.Sink.
func (s *streamSink) Fail(err *errkind.Error) {
	if s.ended {
		return
	}
	s.ended = true
	err = s.x.cutError(err)
	s.x.err = err
	if !s.begun {
		s.x.writeProblem(err)
		return
	}
	s.buf.Reset()
	s.buf.WriteString("event: error\n")
	if s.appendData(newProblem(s.x.id, err)) == nil {
		_ = s.send()
	}
}

// begin sends the headers of the stream, once.
func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.x.answered, s.x.status = true, http.StatusOK
	h := s.x.w.Header()
	h.Set("Content-Type", typeEvents)
	h.Set("Cache-Control", "no-store")
	s.x.w.WriteHeader(http.StatusOK)
}

// appendData appends one event's data. The encoder ends it with the first of
// the two newlines.
func (s *streamSink) appendData(v any) error {
	s.buf.WriteString("data: ")
	if err := s.enc.Encode(v); err != nil {
		return errors.Wrap(err, "frontend: encode an event")
	}
	s.buf.WriteByte('\n')
	return nil
}

func (s *streamSink) send() error {
	s.x.writeSoon()
	if _, err := s.x.w.Write(s.buf.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	return s.x.rc.Flush()
}
