// Package frontend serves the callers' HTTP interface: completions in the format
// of the OpenAI API, plain HTTP services under /services/, the issue of bound
// tokens (idempotency keys that only the daemon named in them may run), and the
// platform's health and readiness probes.
//
// The frontend validates a request, converts it to a type of package request and
// passes it to a Runner, which decides its outcome. Models, services, teams and
// classes are those of the bundle in force, the current signed configuration. Each
// request gets one response: the result, or a problem document (RFC 9457) with the
// error kind, the run state (whether the request ran) and the retry delay.
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

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/settings"
)

// Runner runs validated requests. request.Runner implements it.
type Runner interface {
	// Complete runs a completion. It calls Finish or Fail of sink before it returns.
	Complete(ctx context.Context, c request.Completion, sink request.Sink)
	// Call runs a call of a plain service and returns its response or an error.
	Call(ctx context.Context, c request.Call) (request.CallAnswer, *errkind.Error)
}

// Outcomes counts the outcomes of requests. telemetry.Instruments implements it.
type Outcomes interface {
	// RequestDone counts one finished request. err is nil if the response was
	// complete; class is empty if the request was rejected before its class was
	// determined.
	RequestDone(class bundle.Class, err *errkind.Error)
}

// Options configure a Server. Self, Callers, Limits, Runner, Bundle and Logger are
// required. The functions must be safe for concurrent use.
type Options struct {
	// Self identifies this daemon and its incarnation; request ids begin with it.
	Self    wire.NodeID
	Callers settings.Callers
	Limits  settings.Limits
	Drain   settings.Drain
	Runner  Runner
	// Bundle returns the bundle in force, or nil before the first one is loaded.
	Bundle func() *bundle.Bundle
	// Ready reports whether the daemon can serve requests, and the reason if it
	// cannot. If Ready is nil, the daemon is ready once it has a bundle.
	Ready func() (bool, string)
	// MintToken issues a bound token for a team. If nil, the daemon issues none.
	MintToken func(team string) (string, *errkind.Error)
	// TokenOwner returns the daemon named in a bound token; ok is false for keys
	// that are not bound tokens.
	TokenOwner func(key string) (owner wire.NodeID, ok bool)
	// Forward sends a request to the daemon named in its token. If the request may
	// have run although no response arrived, the error's run state is unknown.
	Forward func(ctx context.Context, to wire.NodeID, f wire.Forward) (wire.ForwardReply, *errkind.Error)
	// Answers is the memory for what upstreams send; nil means no bound. A request that finds it used up is refused.
	Answers *answers.Budget
	// Metrics serves /metrics. If nil, the path does not exist.
	Metrics  http.Handler
	Outcomes Outcomes
	// Limited counts the connections and requests that a limit ended. If nil, none are counted.
	Limited LimitObserver
	Logger  log.Interface
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

// Server is the HTTP server for callers. It implements supervise.Service.
type Server struct {
	opts   Options
	mux    *httprouter.Router
	ids    requestIDGenerator
	teams  teamIndexCache
	heads  *HeadBudget
	bodies *answers.Budget
	report *LimitReporter
	// bodyReads are the requests whose bodies are being read.
	bodyReads bodyReads
	inFlight  atomic.Int64

	// baseCtx is the parent of all requests' contexts. cancelBase cancels it with
	// a cause.
	baseCtx    context.Context
	cancelBase context.CancelCauseFunc

	draining   atomic.Bool
	drainBegan atomic.Pointer[time.Time] // nil before

	mu     sync.Mutex // guards the fields below
	bound  boundListener
	server *http.Server
	conns  *connLimiter
	// usesTLS says that server serves with TLS.
	usesTLS bool
}

// New validates the options and returns a server that is not yet listening.
func New(opts Options) (*Server, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		opts: opts, ids: newRequestIDGenerator(opts.Self),
		heads: NewHeadBudget(opts.Limits.HeadsBytes()), bodies: answers.NewBudgetOfHalves(opts.Limits.BodiesBytes(opts.Callers.MaxBodyBytes)),
		report: NewLimitReporter("callers", opts.Limited, opts.Logger),
	}
	s.baseCtx, s.cancelBase = context.WithCancelCause(context.Background())
	s.mux = s.routes()
	return s, nil
}

// Name implements supervise.Service.
func (s *Server) Name() string { return "frontend" }

// InFlight returns the number of requests that have been accepted and whose
// responses are not complete.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// serviceMethods are the HTTP methods that callers may use on services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (s *Server) routes() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleOPTIONS = false
	r.NotFound = s.rejectWith(errkind.NotFound, "there is nothing at this path")
	r.MethodNotAllowed = s.rejectWith(errkind.MethodNotAllowed, "the path takes other methods")
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

// The paths of the completion routes.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

// now is the package's only source of the current time.
func now() time.Time { return time.Now() }
