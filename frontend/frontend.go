// Package frontend serves the callers' HTTP interface: OpenAI-shaped
// completions, plain services behind one prefix, bound tokens, and the probes
// of the platform.
//
// The frontend checks and types a request and hands it to package request,
// which alone decides how it ends. It answers each request once: with the whole
// answer, or with a problem document (RFC 9457) that names the error kind, the
// run state and the time to come back.
package frontend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/settings"
)

// Runner runs accepted requests. request.Runner implements it.
type Runner interface {
	// Complete returns after it has called Finish or Fail of sink.
	Complete(ctx context.Context, c request.Completion, sink request.Sink)
	// Call returns the service's one answer or an error.
	Call(ctx context.Context, c request.Call) (request.CallAnswer, *errkind.Error)
}

// Outcomes counts how requests end. telemetry.Instruments implements it.
type Outcomes interface {
	// RequestDone notes a request's one outcome; err is nil for a whole answer,
	// and class is empty when the request was refused before it was classified.
	RequestDone(class bundle.Class, err *errkind.Error)
}

// Options wire a Server. Self, Callers, Limits, Runner, Bundle and Logger are
// required. Hooks are called from many goroutines at once.
type Options struct {
	// Self is this life of this daemon; request ids begin with it.
	Self    wire.NodeID
	Callers settings.Callers
	Limits  settings.Limits
	Drain   settings.Drain
	Runner  Runner
	// Bundle returns the content of the version in force, or nil before the first.
	Bundle func() *bundle.Bundle
	// Ready says whether the daemon can serve, and why not. Without it the daemon
	// is ready once it has a bundle.
	Ready func() (bool, string)
	// MintToken returns a new bound token for a team.
	MintToken func(team string) (string, *errkind.Error)
	// TokenOwner returns the daemon that a bound token names; ok is false for
	// every other key.
	TokenOwner func(key string) (owner wire.NodeID, ok bool)
	// Forward sends a request to the daemon that its token names. When the answer
	// may have been lost on the way, its error says that the run is unknown.
	Forward func(ctx context.Context, to wire.NodeID, f wire.Forward) (wire.ForwardReply, *errkind.Error)
	// Metrics is the /metrics page.
	Metrics  http.Handler
	Outcomes Outcomes
	Logger   log.Interface
}

func (o *Options) validate() error {
	switch {
	case o.Self.Instance == "":
		return errors.New("frontend: Self is required")
	case o.Runner == nil || o.Bundle == nil || o.Logger == nil:
		return errors.New("frontend: Runner, Bundle and Logger are required")
	case o.Callers.MaxBodyBytes <= 0 || o.Callers.MaxConnections <= 0 || o.Limits.MaxInFlight <= 0:
		return errors.New("frontend: Callers and Limits are required")
	}
	return nil
}

// Server is the callers' listener. It implements supervise.Service.
type Server struct {
	opts   Options
	mux    *httprouter.Router
	ids    idSource
	teams  teamIndex
	active atomic.Int64

	// base is the parent of every request's context; cut ends it with a cause.
	base context.Context
	cut  context.CancelCauseFunc

	draining atomic.Bool

	mu     sync.Mutex // guards the fields below
	bound  boundListener
	server *http.Server
}

// New checks the options and returns a server that does not listen yet.
func New(opts Options) (*Server, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	s := &Server{opts: opts, ids: newIDSource(opts.Self)}
	s.base, s.cut = context.WithCancelCause(context.Background())
	s.mux = s.routes()
	return s, nil
}

// Name implements supervise.Service.
func (s *Server) Name() string { return "frontend" }

// InFlight returns the number of requests that are accepted and not yet answered.
func (s *Server) InFlight() int { return int(s.active.Load()) }

var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (s *Server) routes() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleOPTIONS = false
	r.NotFound = s.refuse(errkind.NotFound, "there is nothing at this path")
	r.MethodNotAllowed = s.refuse(errkind.MethodNotAllowed, "the path takes other methods")
	r.POST(pathCompletions, s.handle(completeText))
	r.POST(pathChat, s.handle(completeChat))
	for _, m := range serviceMethods {
		r.Handle(m, "/services/:name/*path", s.handle(callService))
	}
	r.POST("/v1/idempotency-tokens", s.handle(mintToken))
	r.GET("/v1/models", s.handle(listModels))
	r.GET("/healthz", s.healthz)
	r.GET("/readyz", s.readyz)
	if s.opts.Metrics != nil {
		r.Handler(http.MethodGet, "/metrics", s.opts.Metrics)
	}
	return r
}

// The paths of the completions.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

// now is the only clock of the package.
func now() time.Time { return time.Now() }
