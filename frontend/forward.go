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

// maxForwardReply is the largest body of a forwarded response, in bytes. The
// 64 KiB below the frame limit are for the status and the headers.
const maxForwardReply = wire.MaxFrame - 64<<10

// forwardContextKey is the context key of the *wire.Forward of a forwarded request.
type forwardContextKey struct{}

// forwardFromContext returns the message with which a peer forwarded the request.
func forwardFromContext(ctx context.Context) (*wire.Forward, bool) {
	f, ok := ctx.Value(forwardContextKey{}).(*wire.Forward)
	return f, ok
}

// remoteOwner returns the daemon named in the bound token, if the token is the
// key of a non-idempotent request and names another daemon. Only the named
// daemon may run the request.
func (x *exchange) remoteOwner(nonIdempotent bool, key string) (wire.NodeID, bool) {
	if !nonIdempotent || key == "" || x.s.opts.TokenOwner == nil {
		return wire.NodeID{}, false
	}
	owner, ok := x.s.opts.TokenOwner(key)
	return owner, ok && owner != x.s.opts.Self
}

// forward sends the request to the daemon that owns its token and relays the
// response to the caller.
func (x *exchange) forward(to wire.NodeID, deadline time.Time, body []byte) *errkind.Error {
	if x.forwarded || x.s.opts.Forward == nil {
		return errkind.New(errkind.ClaimUnavailable, "the token belongs to another instance")
	}
	remaining := deadline.Sub(now())
	if remaining < time.Millisecond {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed").WithRun(errkind.Unknown)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), remaining)
	defer cancel()
	reply, err := x.s.opts.Forward(ctx, to, wire.Forward{
		RequestID: x.id,
		Team:      x.team,
		Method:    x.r.Method,
		Path:      x.r.URL.RequestURI(),
		Header:    endToEndHeaders(x.r.Header, "Authorization", "Content-Length", headerRequestID),
		Body:      body,
		TimeoutMS: remaining.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if !isFinalStatus(reply.Status) {
		return errkind.New(errkind.Internal, "the other instance gave no answer")
	}
	maps.Copy(x.w.Header(), reply.Header)
	x.write(reply.Status, reply.Body)
	return nil
}

// ServeForward runs a request that a peer forwarded because this daemon owns its
// bound token. The peer has authenticated the team. The request is not forwarded
// again, and the events of a streamed response are returned in one body.
// ServeForward also works while the daemon drains, since no other daemon may run
// the request.
func (s *Server) ServeForward(ctx context.Context, f wire.Forward) wire.ForwardReply {
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, forwardContextKey{}, &f))
	defer cancel(nil)
	defer context.AfterFunc(s.baseCtx, func() { cancel(context.Cause(s.baseCtx)) })()
	w := &replyWriter{header: http.Header{}}
	r, err := forwardedRequest(ctx, &f)
	if err != nil {
		x := s.newExchange(w, (&http.Request{Method: f.Method, Header: http.Header{}}).WithContext(ctx), nil)
		defer x.recordOutcome()
		x.fail(errkind.Wrap(err, errkind.BadRequest, "the forwarded request is malformed"))
		return w.reply()
	}
	s.mux.ServeHTTP(w, r)
	if w.overflow {
		return s.replyTooLarge(&f)
	}
	return w.reply()
}

// forwardedRequest rebuilds the HTTP request from the peer's message. The
// remaining time replaces the caller's deadline header.
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

// replyTooLarge returns the error response for a request that has run but whose
// response does not fit a frame.
func (s *Server) replyTooLarge(f *wire.Forward) wire.ForwardReply {
	w := &replyWriter{header: http.Header{}}
	x := &exchange{s: s, w: w, rc: http.NewResponseController(w), r: &http.Request{}, id: f.RequestID}
	x.writeProblem(errkind.New(errkind.StreamBroken, "the answer is too large to come from another instance").WithRun(errkind.Ran))
	return w.reply()
}

// replyWriter is a http.ResponseWriter that buffers the response to a forwarded
// request. overflow is set once the body exceeds maxForwardReply.
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

// Flush implements http.Flusher. It does nothing: the response is sent in one
// message.
func (w *replyWriter) Flush() {}

// reply returns the buffered response without its hop-by-hop headers.
func (w *replyWriter) reply() wire.ForwardReply {
	return wire.ForwardReply{Status: w.status, Header: endToEndHeaders(w.header, "Content-Length"), Body: w.body.Bytes()}
}
