package frontend

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/httpsem"
)

// exchange is one HTTP request and its response. It is used by one goroutine only.
type exchange struct {
	s  *Server
	w  http.ResponseWriter
	rc *http.ResponseController
	r  *http.Request
	ps httprouter.Params

	id          string
	accepted    time.Time
	bundle      *bundle.Bundle
	team        string
	class       bundle.Class
	target      string
	traceparent string
	// forwarded says that a peer forwarded the request to this daemon. Such a
	// request is not forwarded again.
	forwarded bool
	// bodyLease is the memory for the request's body.
	bodyLease *answers.Lease
	// bodyUnread says that the request's body has not been read to its end.
	bodyUnread bool
	// stream is the sink of a streamed completion; nil before it runs and for all
	// other requests.
	stream *streamSink
	// responded says that the response's headers have been written, with status.
	responded bool
	status    int
	// err is the error that the request ended with; nil if it succeeded.
	err *errkind.Error
}

// handler serves one route. It returns nil after it has written the response, or
// the error that the caller is to receive.
type handler func(x *exchange) *errkind.Error

// handle wraps a handler with the steps that all requests share: a request id,
// the limit of requests in flight, authentication, an error response if the
// handler fails or panics, and the log line.
func (s *Server) handle(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		x := s.newExchange(w, r, ps)
		defer x.recordOutcome()
		if recovered := panics.Try(func() { x.run(h) }); recovered != nil {
			s.opts.Logger.WithError(recovered.AsError()).WithField("request", x.id).Error("request met a fault of this daemon")
			x.fail(errkind.Wrap(recovered.AsError(), errkind.Internal, "the request met a fault of this instance"))
		}
	}
}

// rejectWith returns a handler that answers every request with an error of the
// given kind.
func (s *Server) rejectWith(kind errkind.Kind, detail string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(w, r, nil)
		defer x.recordOutcome()
		x.fail(errkind.New(kind, detail))
	}
}

// newExchange starts an exchange. A forwarded request keeps the id and the team
// that the forwarding daemon gave it.
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, ps httprouter.Params) *exchange {
	x := &exchange{
		s: s, w: w, rc: http.NewResponseController(w), r: r, ps: ps,
		accepted:    now(),
		traceparent: traceparent(r.Header),
		bodyUnread:  r.ContentLength != 0,
		bodyLease:   s.bodies.Lease(),
	}
	if f, ok := forwardFromContext(r.Context()); ok {
		x.id, x.team, x.forwarded = f.RequestID, f.Team, true
	} else {
		x.id = s.ids.next()
	}
	w.Header().Set(headerRequestID, x.id)
	if s.draining.Load() {
		w.Header().Set("Connection", "close") // the caller's next connection goes to another instance
	}
	return x
}

// run calls h unless too many requests are in flight or the caller is rejected.
func (x *exchange) run(h handler) {
	if n := x.s.inFlight.Add(1); n > int64(x.s.opts.Limits.MaxInFlight) && !x.endStalled() {
		x.s.inFlight.Add(-1)
		x.fail(errkind.New(errkind.Overloaded, "this instance has all the requests in flight that it may have"))
		return
	}
	defer x.s.inFlight.Add(-1)
	defer x.bodyLease.Release()
	lease, ok := x.s.opts.Answers.Begin()
	if !ok {
		x.s.report.Report(LimitAnswers)
		x.fail(errkind.New(errkind.Overloaded, "the memory for the answers of upstreams is used up"))
		return
	}
	defer lease.Release()
	x.r = x.r.WithContext(answers.WithLease(x.r.Context(), lease))
	err := x.identifyCaller()
	if err == nil {
		err = h(x)
	}
	if err != nil {
		x.fail(err)
	}
}

// endStalled ends a request whose body has stalled, so that this one takes its place. It returns false if there
// is none.
func (x *exchange) endStalled() bool {
	if !x.s.bodyReads.endStalled(x.accepted) {
		return false
	}
	x.s.report.Report(LimitStalled)
	return true
}

// identifyCaller sets the bundle in force and the caller's team. A forwarded
// request is not authenticated again, but its team must be in the bundle.
func (x *exchange) identifyCaller() *errkind.Error {
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

// readBody reads the request's body, limited by callers.max_body_bytes and
// callers.body_timeout. A request that is whole only late in a drain is refused.
func (x *exchange) readBody() ([]byte, *errkind.Error) {
	limit := x.s.opts.Callers.MaxBodyBytes
	if x.r.ContentLength > limit {
		return nil, errkind.New(errkind.BodyTooLarge, "the body exceeds callers.max_body_bytes")
	}
	if x.r.ContentLength != 0 {
		// Without a deadline, a caller that never completes its body would occupy
		// one of the limits.max_in_flight places indefinitely.
		_ = x.rc.SetReadDeadline(now().Add(x.s.opts.Callers.BodyTimeout))
	}
	reading := x.s.bodyReads.begin(x.rc)
	growing := GrowingBody(x.r, http.MaxBytesReader(x.w, x.r.Body, limit))
	defer growing.Close()
	body, err := answers.ReadFor(growing, x.r.ContentLength, limit, x.bodyLease, answers.BodyHolder)
	if stalled := x.s.bodyReads.end(reading); stalled && err != nil {
		return nil, errkind.New(errkind.Overloaded, "the body was not whole when another request needed its place")
	}
	if answers.IsMemory(err) {
		return nil, x.refuseBody()
	}
	if err != nil {
		return nil, bodyError(err)
	}
	if x.r.ContentLength != 0 {
		_ = x.rc.SetReadDeadline(time.Time{})
	}
	x.bodyUnread = false
	if !x.forwarded && x.s.endsSoon() { // no other daemon may run a forwarded request
		return nil, errkind.New(errkind.Draining, "this instance ends before it could answer")
	}
	if body == nil {
		body = []byte{}
	}
	return body, nil
}

// refuseBody returns the error for a request whose body does not fit into the memory for bodies.
func (x *exchange) refuseBody() *errkind.Error {
	x.s.report.Report(LimitBodies)
	return errkind.New(errkind.Overloaded, "the memory for the bodies of requests is used up")
}

// bodyError maps an error of reading the body to an error for the caller.
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

// extendWriteDeadline sets the deadline of the following writes to
// callers.write_timeout from now. A caller that stops reading would otherwise
// occupy its request and the engine's decode slot indefinitely.
func (x *exchange) extendWriteDeadline() {
	_ = x.rc.SetWriteDeadline(now().Add(x.s.opts.Callers.WriteTimeout))
}

// fail ends the request with an error, through the sink if the completion is
// streamed, else as a problem document. It does nothing if the request has ended
// already.
func (x *exchange) fail(err *errkind.Error) {
	if x.stream != nil {
		x.stream.Fail(err)
		return
	}
	if x.responded {
		return
	}
	x.err = x.keyedRunError(x.drainError(err))
	x.writeProblem(x.err)
}

// drainError replaces client-gone by draining if the request's context was
// cancelled at the drain timeout and not by the caller's disconnection.
func (x *exchange) drainError(err *errkind.Error) *errkind.Error {
	if err.Kind != errkind.ClientGone || !errors.Is(context.Cause(x.r.Context()), errDrainTimeout) {
		return err
	}
	run := errkind.Answer(err).Run
	return errkind.Wrap(err, errkind.Draining, "the instance had to stop before the answer was whole").WithRun(run)
}

// keyedRunError changes the run state of err from not-run to unknown if the
// request has an idempotency key and an unsafe method, and was rejected with a 5xx
// status before its key was looked up.
//
// The load balancer may resend a POST with a key after an instance has failed.
// The first copy may have run even though this one did not. A caller that is
// told "not-run" could send its order again under a new key, and the order would
// run twice. Errors with their own run state are kept: the key was looked up
// before they arose.
func (x *exchange) keyedRunError(err *errkind.Error) *errkind.Error {
	row := errkind.Answer(err)
	keyed := !httpsem.Safe(x.r.Method) && x.r.Header.Get(headerIdempotencyKey) != ""
	if !keyed || err.Run != "" || row.Run != errkind.NotRun || row.Status < http.StatusInternalServerError {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

// recordOutcome logs the request and counts its outcome in the metrics.
func (x *exchange) recordOutcome() {
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
	if x.traceparent != "" {
		fields["traceparent"] = x.traceparent
	}
	if x.err != nil {
		fields["kind"] = string(x.err.Kind)
		fields["run"] = string(errkind.Answer(x.err).Run)
		fields["error"] = x.err.Error()
	}
	x.s.opts.Logger.WithFields(fields).Info("request")
}
