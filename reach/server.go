package reach

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/upstream"
)

const (
	// maxCarried bounds the connections that a daemon carries for others. Each takes two file
	// descriptors and about 30 KB, and the callers of this daemon come first.
	maxCarried = 192
	// carryBuffer is the most bytes in one frame.
	carryBuffer = 8 << 10
	// carryWriteTimeout bounds a write to a side that does not read.
	carryWriteTimeout = 5 * time.Second
)

// errCarriedEnded ends the connection between the daemons after a carried connection.
var errCarriedEnded = errors.New("carried connection ended")

// ServerOptions configure a Server; all fields are required.
type ServerOptions struct {
	// Monitor opens the connections to upstreams.
	Monitor *Monitor
	// Address returns the registered address of an upstream.
	Address func(upstream string) (address string, ok bool)
	// Withheld reports whether an upstream has told this daemon that it wants nothing new from it. To
	// the upstream, what this daemon carries comes from this daemon.
	Withheld func(upstream string) bool
	// ObserveHead is called with the first bytes of what an upstream sends on a carried connection: the
	// header of its response, or as much of it as fits into maxHeadBytes.
	ObserveHead func(upstream string, head []byte)
	// Draining reports whether this daemon is shutting down.
	Draining func() bool
	Metrics  Metrics
	Logger   log.Interface
}

// Server carries connections to upstreams for other daemons, over direct connections only, so
// that no connection is carried twice.
type Server struct {
	o ServerOptions

	mu      sync.Mutex
	carried int
	idle    chan struct{} // closed when carried drops to 0; nil unless Drain waits
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server { return &Server{o: o} }

// Serve answers an openRequest and carries the connection until either side ends. The caller
// closes c afterwards.
func (s *Server) Serve(ctx context.Context, c net.Conn, r *wire.Reader, body []byte) error {
	var request openRequest
	if err := wire.Decode(body, &request); err != nil {
		return err
	}
	if !s.begin() {
		return s.respond(c, openResponse{Result: busy})
	}
	defer s.end()
	address, ok := s.o.Address(request.Upstream)
	if !ok || s.o.Withheld(request.Upstream) {
		return s.respond(c, openResponse{Result: unknown})
	}
	up, err := s.o.Monitor.ConnectFor(ctx, address)
	if err != nil {
		return s.respond(c, openResponse{Result: unreachable, Failure: failureOf(err), CutOff: s.o.Monitor.CutOff()})
	}
	defer up.Close()
	if err := s.respond(c, openResponse{Result: opened}); err != nil {
		return err
	}
	s.carry(c, r, upstream.KeepErrors(up), newHeadReader(request.Upstream, s.o.ObserveHead))
	return errCarriedEnded
}

// begin counts a carried connection; it returns false if this daemon takes none now.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.carried >= maxCarried || s.o.Draining() {
		return false
	}
	s.carried++
	s.o.Metrics.SetCarriedConnections(s.carried)
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carried--
	s.o.Metrics.SetCarriedConnections(s.carried)
	if s.carried == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain waits until no connection is carried. New ones must have been excluded by
// ServerOptions.Draining.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if s.carried == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "carried connections are open")
	}
}

// respond sends the response, and clears the deadline that was set for the request.
func (s *Server) respond(c net.Conn, m openResponse) error {
	s.o.Metrics.ConnectionCarried(m.Result.String())
	if err := c.SetDeadline(time.Now().Add(carryWriteTimeout)); err != nil {
		return errors.WithStack(err)
	}
	if err := writeFrame(c, wire.TypeTunnel, &m); err != nil {
		return err
	}
	return errors.WithStack(c.SetDeadline(time.Time{}))
}

// carry copies bytes between the daemon behind origin and an upstream until one of them ends.
func (s *Server) carry(origin net.Conn, r *wire.Reader, up net.Conn, head *headReader) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer up.Close()
		s.logEnd(copyToUpstream(origin, r, up))
	})
	if err := copyToOrigin(origin, up, head); err != nil {
		s.logEnd(err)
		origin.Close()
	}
	// Otherwise the other daemon closes the connection once it has read the end. If this one
	// did, unread frames would reset the connection, and the end could be lost.
}

func (s *Server) logEnd(err error) {
	if err != nil {
		s.o.Logger.WithError(err).Debug("carried connection broke off")
	}
}

// copyToUpstream forwards the bytes of the daemon behind origin until that daemon closes the
// connection.
func copyToUpstream(origin net.Conn, r *wire.Reader, up net.Conn) error {
	for {
		if err := origin.SetReadDeadline(time.Now().Add(originTimeout)); err != nil {
			return errors.WithStack(err)
		}
		env, _, err := r.Read()
		if err != nil {
			return err
		}
		if env.Type != wire.TypeTunnelData {
			return errors.Errorf("unexpected frame of type %d", env.Type)
		}
		if len(env.Body) == 0 {
			continue
		}
		if err := up.SetWriteDeadline(time.Now().Add(carryWriteTimeout)); err != nil {
			return errors.WithStack(err)
		}
		if _, err := up.Write(env.Body); err != nil {
			return errors.WithStack(err)
		}
	}
}

// copyToOrigin forwards the bytes of an upstream, each as soon as it arrives, and how its
// connection ended.
func copyToOrigin(origin, up net.Conn, head *headReader) error {
	buf := make([]byte, carryBuffer)
	for {
		n, err := up.Read(buf)
		head.add(buf[:n])
		if e := origin.SetWriteDeadline(time.Now().Add(carryWriteTimeout)); e != nil {
			return errors.WithStack(e)
		}
		if n > 0 {
			if e := writeData(origin, buf[:n]); e != nil {
				return e
			}
		}
		if err != nil {
			return writeFrame(origin, wire.TypeTunnelEnd, &endMessage{Reset: !errors.Is(err, io.EOF)})
		}
	}
}
