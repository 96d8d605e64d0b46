package frontend

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// maxForwardReply bounds the body of a forwarded answer, so that it fits a frame.
const maxForwardReply = wire.MaxFrame - 64<<10

type forwardKey struct{}

// forwardOf returns the forward that a request's context belongs to.
func forwardOf(ctx context.Context) (*wire.Forward, bool) {
	f, ok := ctx.Value(forwardKey{}).(*wire.Forward)
	return f, ok
}

// elsewhere returns the daemon that alone may run the request, when that is
// not this one: the one that a bound token names.
func (x *exchange) elsewhere(nonIdempotent bool, key string) (wire.NodeID, bool) {
	if !nonIdempotent || key == "" || x.s.opts.TokenOwner == nil {
		return wire.NodeID{}, false
	}
	owner, ok := x.s.opts.TokenOwner(key)
	return owner, ok && owner != x.s.opts.Self
}

// forward sends the request to its owner and passes the answer on.
func (x *exchange) forward(to wire.NodeID, deadline time.Time, body []byte) *errkind.Error {
	if x.forwarded || x.s.opts.Forward == nil {
		return errkind.New(errkind.ClaimUnavailable, "the token belongs to another instance")
	}
	left := deadline.Sub(now())
	if left < time.Millisecond {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed").WithRun(errkind.Unknown)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), left)
	defer cancel()
	reply, err := x.s.opts.Forward(ctx, to, wire.Forward{
		RequestID: x.id,
		Team:      x.team,
		Method:    x.r.Method,
		Path:      x.r.URL.RequestURI(),
		Header:    endToEnd(x.r.Header, "Authorization", "Content-Length", headerRequestID),
		Body:      body,
		TimeoutMS: left.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if !finalStatus(reply.Status) {
		return errkind.New(errkind.Internal, "the other instance gave no answer")
	}
	maps.Copy(x.w.Header(), reply.Header)
	x.write(reply.Status, reply.Body)
	return nil
}

// ServeForward runs a request that a peer forwarded because only this daemon
// may run it. The peer has authenticated the team. The request is not
// forwarded again, and a streamed answer is returned whole. It works while the
// daemon drains, since no other daemon can serve such a request.
func (s *Server) ServeForward(ctx context.Context, f wire.Forward) wire.ForwardReply {
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, forwardKey{}, &f))
	defer cancel(nil)
	defer context.AfterFunc(s.base, func() { cancel(context.Cause(s.base)) })()
	w := &replyWriter{header: http.Header{}}
	r, err := forwardedRequest(ctx, &f)
	if err != nil {
		x := s.begin(w, (&http.Request{Method: f.Method, Header: http.Header{}}).WithContext(ctx), nil)
		defer x.end()
		x.fail(errkind.Wrap(err, errkind.BadRequest, "the forwarded request is malformed"))
		return w.reply()
	}
	s.mux.ServeHTTP(w, r)
	if w.overflow {
		return s.tooLarge(&f)
	}
	return w.reply()
}

func forwardedRequest(ctx context.Context, f *wire.Forward) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, f.Method, f.Path, bytes.NewReader(f.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range f.Header {
		for _, value := range values {
			r.Header.Add(name, value)
		}
	}
	if f.TimeoutMS > 0 {
		r.Header.Set(headerDeadline, strconv.FormatInt(f.TimeoutMS, 10))
	}
	return r, nil
}

// tooLarge replaces an answer that does not fit a frame; the request has run.
func (s *Server) tooLarge(f *wire.Forward) wire.ForwardReply {
	w := &replyWriter{header: http.Header{}}
	x := &exchange{s: s, w: w, rc: http.NewResponseController(w), r: &http.Request{}, id: f.RequestID}
	x.writeProblem(errkind.New(errkind.StreamBroken, "the answer is too large to come from another instance").WithRun(errkind.Ran))
	return w.reply()
}

// replyWriter collects a forwarded answer.
type replyWriter struct {
	header   http.Header
	status   int
	body     bytes.Buffer
	overflow bool
}

// Header implements http.ResponseWriter.
func (w *replyWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *replyWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *replyWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.overflow || w.body.Len()+len(p) > maxForwardReply {
		w.overflow = true
		return len(p), nil
	}
	return w.body.Write(p)
}

// Flush implements http.Flusher; the answer goes out whole.
func (w *replyWriter) Flush() {}

func (w *replyWriter) reply() wire.ForwardReply {
	return wire.ForwardReply{Status: w.status, Header: endToEnd(w.header, "Content-Length"), Body: w.body.Bytes()}
}
