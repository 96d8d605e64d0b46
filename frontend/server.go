package frontend

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// cutGrace is how long requests have to write their last answer after the
// drain's limit has cut them.
const cutGrace = 2 * time.Second

// maxHeaderBytes bounds the headers of one request.
const maxHeaderBytes = 64 << 10

// errDrainLimit is the cause of a request context that the drain's limit ended.
var errDrainLimit = errors.New("the drain's limit has passed")

// boundListener is the listener between Listen and Run, and its address.
type boundListener struct {
	ln   net.Listener
	addr net.Addr
}

// Listen binds the address of the settings, so that an address in use fails
// the daemon at its start. The router calls it before Run; Run calls it else.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bound.ln != nil {
		return nil
	}
	address := s.opts.Callers.Listen
	if s.bound.addr != nil {
		address = s.bound.addr.String() // a restart keeps the port
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "frontend: listen")
	}
	s.bound = boundListener{ln: ln, addr: ln.Addr()}
	return nil
}

// Addr returns the address that Listen bound, or nil before.
func (s *Server) Addr() net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound.addr
}

// Run serves until ctx ends. After Drain it only waits for that.
func (s *Server) Run(ctx context.Context) error {
	if s.draining.Load() {
		s.unbind()
		<-ctx.Done()
		return nil
	}
	cfg, err := s.opts.Callers.TLS.Config()
	if err != nil {
		return err
	}
	if err := s.Listen(); err != nil {
		return err
	}
	ln, server := s.start(cfg)
	done := make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { done <- serve(server, netutil.LimitListener(ln, s.opts.Callers.MaxConnections)) })
	select {
	case <-ctx.Done():
		s.stop(server)
		return nil
	case err = <-done:
	}
	if s.draining.Load() {
		<-ctx.Done()
		return nil
	}
	_ = server.Close()
	return errors.Wrap(err, "frontend: serve")
}

// start takes over the bound listener.
func (s *Server) start(cfg *tls.Config) (net.Listener, *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ln := s.bound.ln
	s.bound.ln = nil
	s.server = &http.Server{
		Handler:           s.mux,
		TLSConfig:         cfg,
		ReadHeaderTimeout: s.opts.Callers.HeaderTimeout,
		IdleTimeout:       s.opts.Callers.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return s.base },
		ErrorLog:          stdlog.New(io.Discard, "", 0), // it would repeat what callers send
	}
	return ln, s.server
}

// unbind closes a listener that nobody serves. Callers that connect to one
// would wait in the kernel's queue until their own timeouts.
func (s *Server) unbind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bound.ln != nil {
		_ = s.bound.ln.Close()
		s.bound.ln = nil
	}
}

func serve(server *http.Server, ln net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(ln, "", "")
	}
	return server.Serve(ln)
}

// Drain ends the service without cutting a request: the daemon reports not
// ready, goes on serving for the delay of the settings so that the balancer
// notices, closes the listener, and waits for the requests in flight. What
// remains at the timeout is cancelled and answered with an error; Drain then
// returns the reason. The router calls it once, before it ends Run.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	clock.Sleep(ctx, s.opts.Drain.Delay)
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		s.unbind()
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, s.opts.Drain.Timeout)
	defer cancel()
	if err := server.Shutdown(limit); err == nil {
		return nil
	}
	s.stop(server)
	return errDrainLimit
}

// stop cuts what is in flight and lets it write its last answer.
func (s *Server) stop(server *http.Server) {
	s.cut(errDrainLimit)
	grace, cancel := context.WithTimeout(context.Background(), cutGrace)
	defer cancel()
	if server.Shutdown(grace) != nil {
		_ = server.Close()
	}
}
