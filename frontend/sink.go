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

// errTokenOrder rejects a token that does not have the next index. The caller could
// not detect that a token was lost or duplicated.
var errTokenOrder = errors.New("frontend: token out of order")

// errTokenAfterEnd rejects a token after Finish or Fail.
var errTokenAfterEnd = errors.New("frontend: token after the end of the response")

// bufferedSink collects the tokens of a completion and sends them in one response.
type bufferedSink struct {
	x         *exchange
	response  completionResponse
	text      strings.Builder
	nextIndex int
	done      bool
}

// Token implements request.Sink.
func (s *bufferedSink) Token(index int, text string) error {
	if s.done {
		return errTokenAfterEnd
	}
	if index != s.nextIndex {
		return errTokenOrder
	}
	s.nextIndex++
	s.text.WriteString(text)
	return s.x.r.Context().Err()
}

// Finish implements request.Sink.
func (s *bufferedSink) Finish(reason string, u request.Usage) {
	if s.done {
		return
	}
	s.done = true
	text := s.text.String()
	ch := &s.response.Choices[0]
	ch.FinishReason = &reason
	if s.response.format.chat {
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	s.response.Usage = newUsage(u)
	s.x.writeJSON(http.StatusOK, s.response)
}

// Fail implements request.Sink.
func (s *bufferedSink) Fail(err *errkind.Error) {
	if s.done {
		return
	}
	s.done = true
	s.x.fail(err)
}

// streamSink sends a completion as server-sent events, one for each token. A complete
// response ends with the event [DONE], an incomplete one with an event of type error
// that holds the problem document. No status is sent before the first token, so an
// earlier failure gets an ordinary error response.
//
// The buffer, the encoder and the chunk are reused, so that sending a token allocates
// nothing.
type streamSink struct {
	x            *exchange
	buf          bytes.Buffer
	enc          *json.Encoder
	chunk        completionResponse
	text         string // the current token; chunk holds a pointer to it
	includeUsage bool
	nextIndex    int
	started      bool
	done         bool
}

func newStreamSink(x *exchange, r completionResponse, includeUsage bool) *streamSink {
	s := &streamSink{x: x, chunk: r, includeUsage: includeUsage}
	s.chunk.Object = r.format.chunkObject
	if r.format.chat {
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
	if s.done {
		return errTokenAfterEnd
	}
	if index != s.nextIndex {
		return errTokenOrder
	}
	s.nextIndex++
	s.writeHeaders()
	s.text = text
	s.buf.Reset()
	if err := s.appendEvent(&s.chunk); err != nil {
		return err
	}
	if d := s.chunk.Choices[0].Delta; d != nil {
		d.Role = "" // only the first chunk has the role
	}
	return s.send()
}

// Finish implements request.Sink.
func (s *streamSink) Finish(reason string, u request.Usage) {
	if s.done {
		return
	}
	s.done = true
	s.writeHeaders()
	s.buf.Reset()
	ch := &s.chunk.Choices[0]
	ch.FinishReason = &reason
	s.text = ""
	if ch.Delta != nil {
		ch.Delta.Content = nil
	}
	err := s.appendEvent(&s.chunk)
	if err == nil && s.includeUsage {
		s.chunk.Choices, s.chunk.Usage = []choice{}, newUsage(u)
		err = s.appendEvent(&s.chunk)
	}
	if err != nil {
		return // the missing [DONE] marks the response as incomplete
	}
	s.buf.WriteString("data: [DONE]\n\n")
	_ = s.send()
}

// Fail implements request.Sink.
func (s *streamSink) Fail(err *errkind.Error) {
	if s.done {
		return
	}
	s.done = true
	err = s.x.drainError(err)
	s.x.err = err
	if !s.started {
		s.x.writeProblem(err)
		return
	}
	s.buf.Reset()
	s.buf.WriteString("event: error\n")
	if s.appendEvent(newProblem(s.x.id, err)) == nil {
		_ = s.send()
	}
}

// writeHeaders sends the status and the headers of the stream before the first event.
func (s *streamSink) writeHeaders() {
	if s.started {
		return
	}
	s.started = true
	s.x.responded, s.x.status = true, http.StatusOK
	h := s.x.w.Header()
	h.Set("Content-Type", typeEvents)
	h.Set("Cache-Control", "no-store")
	s.x.w.WriteHeader(http.StatusOK)
}

// appendEvent appends an event with v as its data. An event ends with two newlines;
// the encoder writes the first one.
func (s *streamSink) appendEvent(v any) error {
	s.buf.WriteString("data: ")
	if err := s.enc.Encode(v); err != nil {
		return errors.Wrap(err, "frontend: encode event")
	}
	s.buf.WriteByte('\n')
	return nil
}

// send writes the buffered events to the connection.
func (s *streamSink) send() error {
	s.x.extendWriteDeadline()
	if _, err := s.x.w.Write(s.buf.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	return s.x.rc.Flush()
}
