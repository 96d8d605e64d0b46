package frontend

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/httpsem"
)

// exchange is one request and its answer. One goroutine owns it.
type exchange struct {
	s  *Server
	w  http.ResponseWriter
	rc *http.ResponseController
	r  *http.Request
	ps httprouter.Params

	id       string
	accepted time.Time
	bundle   *bundle.Bundle
	team     string
	class    bundle.Class
	target   string
	trace    string
	// forwarded says that a peer sent the request; it is not sent on again.
	forwarded bool
	// unread says that part of the body may be on its way still.
	unread bool
	// stream is set once an event stream has begun.
	stream *streamSink
	// answered says that the answer's status has been written, and err how the
	// request ended.
	answered bool
	status   int
	err      *errkind.Error
}

// handler does the work of one route and returns the error to answer with, or
// nil once it has answered.
type handler func(x *exchange) *errkind.Error

// handle wraps a handler with what each request needs: an id, admission,
// authentication, one answer in every case, and a log line.
func (s *Server) handle(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		x := s.begin(w, r, ps)
		defer x.end()
		if recovered := panics.Try(func() { x.run(h) }); recovered != nil {
			x.fail(errkind.Wrap(recovered.AsError(), errkind.Internal, "the request met a fault of this instance"))
		}
	}
}

// refuse answers requests that match no route.
func (s *Server) refuse(kind errkind.Kind, detail string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := s.begin(w, r, nil)
		defer x.end()
		x.fail(errkind.New(kind, detail))
	}
}

func (s *Server) begin(w http.ResponseWriter, r *http.Request, ps httprouter.Params) *exchange {
	x := &exchange{
		s: s, w: w, rc: http.NewResponseController(w), r: r, ps: ps,
		accepted: now(),
		trace:    traceParent(r.Header),
		unread:   r.ContentLength != 0,
	}
	if f, ok := forwardOf(r.Context()); ok {
		x.id, x.team, x.forwarded = f.RequestID, f.Team, true
	} else {
		x.id = s.ids.next()
	}
	w.Header().Set(headerRequestID, x.id)
	if s.draining.Load() {
		w.Header().Set("Connection", "close") // the caller opens its next one elsewhere
	}
	return x
}

func (x *exchange) run(h handler) {
	if n := x.s.active.Add(1); n > int64(x.s.opts.Limits.MaxInFlight) {
		x.s.active.Add(-1)
		x.fail(errkind.New(errkind.Overloaded, "this instance has all the requests in flight that it may have"))
		return
	}
	defer x.s.active.Add(-1)
	err := x.admit()
	if err == nil {
		err = h(x)
	}
	if err != nil {
		x.fail(err)
	}
}

// admit finds the bundle in force and the caller's team.
func (x *exchange) admit() *errkind.Error {
	x.bundle = x.s.opts.Bundle()
	if x.bundle == nil {
		return errkind.New(errkind.NotReady, "no bundle is in force yet")
	}
	if !x.forwarded {
		team, err := x.s.authenticate(x.bundle, x.r)
		x.team = team
		return err
	}
	if _, ok := x.bundle.Teams[x.team]; !ok {
		return errkind.New(errkind.UnknownTeam, "the team is not in the bundle in force")
	}
	return nil
}

// readBody reads the body within the bounds of size and time.
func (x *exchange) readBody() ([]byte, *errkind.Error) {
	limit := x.s.opts.Callers.MaxBodyBytes
	if x.r.ContentLength > limit {
		return nil, errkind.New(errkind.BodyTooLarge, "the body exceeds callers.max_body_bytes")
	}
	if x.r.ContentLength != 0 {
		// A body that trickles in for ever would hold a request slot for ever.
		_ = x.rc.SetReadDeadline(now().Add(x.s.opts.Callers.BodyTimeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		return nil, bodyError(err)
	}
	if x.r.ContentLength != 0 {
		_ = x.rc.SetReadDeadline(time.Time{})
	}
	x.unread = false
	return body, nil
}

func bodyError(err error) *errkind.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.BodyTooLarge, "the body exceeds callers.max_body_bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.BadRequest, "the body did not arrive within callers.body_timeout")
	default:
		return errkind.Wrap(err, errkind.BadRequest, "the body cannot be read")
	}
}

// writeSoon bounds the next writes, so that a caller that stops reading cannot
// hold its request, and with it decode slots, for ever.
func (x *exchange) writeSoon() {
	_ = x.rc.SetWriteDeadline(now().Add(x.s.opts.Callers.WriteTimeout))
}

// fail ends the request with an error, in the form that the answer has taken
// so far. Nothing happens when the request has ended already.
func (x *exchange) fail(err *errkind.Error) {
	if x.stream != nil {
		x.stream.Fail(err)
		return
	}
	if x.answered {
		return
	}
	x.err = x.replayError(x.cutError(err))
	x.writeProblem(x.err)
}

// cutError tells a caller that the drain's limit cut from one that left.
func (x *exchange) cutError(err *errkind.Error) *errkind.Error {
	if err.Kind != errkind.ClientGone || !errors.Is(context.Cause(x.r.Context()), errDrainLimit) {
		return err
	}
	run := errkind.Answer(err).Run
	return errkind.Wrap(err, errkind.Draining, "the instance had to stop before the answer was whole").WithRun(run)
}

// replayError says "unknown" of a keyed request that this instance refused for
// a reason of its own, before anybody looked for its key.
//
// What goes wrong: a key lets the balancer send a POST again when an instance
// dies under it. The first copy may have run; "not run" would be true of this
// copy and false of the request. One would notice a caller that sends its order
// once more under a new key. Errors that state a run come from behind the gate.
func (x *exchange) replayError(err *errkind.Error) *errkind.Error {
	row := errkind.Answer(err)
	keyed := !httpsem.Safe(x.r.Method) && x.r.Header.Get(headerKey) != ""
	if !keyed || err.Run != "" || row.Run != errkind.NotRun || row.Status < http.StatusInternalServerError {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

// end logs and counts the request.
func (x *exchange) end() {
	if x.s.opts.Outcomes != nil {
		x.s.opts.Outcomes.RequestDone(x.class, x.err)
	}
	fields := log.Fields{
		"request":   x.id,
		"team":      x.team,
		"class":     string(x.class),
		"method":    x.r.Method,
		"target":    x.target,
		"status":    x.status,
		"took_ms":   now().Sub(x.accepted).Milliseconds(),
		"forwarded": x.forwarded,
	}
	if x.trace != "" {
		fields["traceparent"] = x.trace
	}
	if x.err != nil {
		fields["kind"] = string(x.err.Kind)
		fields["run"] = string(errkind.Answer(x.err).Run)
		fields["error"] = x.err.Error()
	}
	x.s.opts.Logger.WithFields(fields).Info("request")
}
