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

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// cancelGrace is the time in which requests that were cancelled at the drain
// timeout, or when Run ends, can write their error responses.
const cancelGrace = 2 * time.Second

// maxHeaderBytes is the maximum size of the headers of one request.
const maxHeaderBytes = 64 << 10

const (
	// maxStreams bounds the HTTP/2 streams of a connection that are open at the same time.
	maxStreams = 100
	// maxStreamBytes is what a caller may send over an HTTP/2 connection, and in each of its streams, before the
	// daemon reads it. RFC 9113 requires as much.
	maxStreamBytes = 64 << 10
)

// errDrainTimeout is the cancellation cause of the requests' contexts when the drain
// timeout passes or Run ends.
var errDrainTimeout = errors.New("the drain timeout has passed")

// boundListener holds the listener between Listen and Run. addr stays set
// afterwards, so that a restarted Run binds the same port.
type boundListener struct {
	ln   net.Listener
	addr net.Addr
}

// Listen binds the address callers.listen. The router calls it before Run, so that
// the daemon fails at its start if the address is in use. Run calls it if the
// router has not.
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
	cfg := net.ListenConfig{Control: withReceiveBuffer(s.receiveBytes())}
	ln, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrap(err, "frontend: listen")
	}
	s.bound = boundListener{ln: ln, addr: ln.Addr()}
	return nil
}

// receiveBytes returns the size of each connection's receive buffer.
func (s *Server) receiveBytes() int {
	return receiveBytes(s.opts.Limits.ReceiveBytes(), s.opts.Callers.MaxConnections)
}

// Addr returns the address that Listen bound, or nil before Listen.
func (s *Server) Addr() net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound.addr
}

// Run serves until ctx ends. After Drain has been called, it serves nothing more
// and waits for ctx.
func (s *Server) Run(ctx context.Context) error {
	if s.draining.Load() {
		s.closeUnserved()
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
	server, conns := s.start(cfg)
	done := make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer close(conns.stopped)
		done <- serve(server, conns)
	})
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

// start creates the HTTP server and takes the bound listener out of s.
func (s *Server) start(cfg *tls.Config) (*http.Server, *connLimiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = newConnLimiter(s.bound.ln, s.opts.Callers.MaxConnections, s.report)
	s.conns.usesTLS = cfg != nil
	s.conns.heads, s.conns.receiveBytes = s.heads, s.receiveBytes()
	s.bound.ln = nil
	s.usesTLS = cfg != nil
	s.server = &http.Server{
		Handler:           handleSentAhead(s.heads.Handler(s.mux, s.rejectWith(errkind.Overloaded, "the memory for the heads of requests is used up"), "Expect")),
		TLSConfig:         cfg,
		ReadHeaderTimeout: s.opts.Callers.HeaderTimeout,
		IdleTimeout:       s.opts.Callers.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: maxStreamBytes, MaxReceiveBufferPerStream: maxStreamBytes},
		BaseContext:       func(net.Listener) context.Context { return s.baseCtx },
		ConnState:         s.conns.onState,
		ConnContext:       withConn,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // the server's messages may contain data sent by callers
	}
	return s.server, s.conns
}

// closeUnserved closes a listener that is bound but not served. Connections to it
// would stay in the kernel's accept queue until the callers' own timeouts.
func (s *Server) closeUnserved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bound.ln != nil {
		_ = s.bound.ln.Close()
		s.bound.ln = nil
	}
}

// serve serves with TLS if the server has a TLS configuration.
func serve(server *http.Server, ln net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(ln, "", "")
	}
	return server.Serve(ln)
}

// ServingShare is the part of a drain's time limit in which requests that come are served. The rest is left to answer
// them.
const ServingShare = 1.0 / 3

// endsSoon reports whether the server has drained for so long that a request which arrives now could be cut at the
// end of drain.timeout.
func (s *Server) endsSoon() bool {
	began := s.drainBegan.Load()
	served := s.opts.Drain.Delay + time.Duration(ServingShare*float64(s.opts.Drain.Timeout))
	return began != nil && now().Sub(*began) > served
}

// Drain shuts the server down gracefully. The daemon reports not ready and keeps
// serving for drain.delay, in which load balancers detect that. Drain then closes
// the listener and waits up to drain.timeout for the requests in flight. Requests
// that remain are cancelled and get an error response, and Drain returns
// errDrainTimeout. The router calls it once, before it ends Run.
func (s *Server) Drain(ctx context.Context) error {
	began := now()
	s.drainBegan.Store(&began)
	s.draining.Store(true)
	clock.Sleep(ctx, s.opts.Drain.Delay)
	s.mu.Lock()
	server, conns := s.server, s.conns
	usesTLS := s.usesTLS
	s.mu.Unlock()
	if server == nil {
		s.closeUnserved()
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, s.opts.Drain.Timeout)
	defer cancel()
	drain := conns.drain
	if usesTLS {
		drain = server.Shutdown // callers that speak HTTP/2 must be told
	}
	if drain(limit) == nil {
		return nil
	}
	s.stop(server)
	return errDrainTimeout
}

// stop cancels the requests in flight, waits up to cancelGrace for their error
// responses, and closes the connections that remain.
func (s *Server) stop(server *http.Server) {
	s.cancelBase(errDrainTimeout)
	stopServer(server, cancelGrace)
}

// stopServer waits up to timeout for the responses to the requests in flight, and
// closes the connections that remain.
func stopServer(server *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
