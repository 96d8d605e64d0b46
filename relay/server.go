package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// maxConns bounds the connections of followers, two for each daemon of a data centre.
	maxConns = 256
	// quietTime is how long a connection without a call is kept.
	quietTime = 10 * time.Second
)

// Server answers other daemons from the journal. It is a supervise.Service.
type Server struct {
	address string
	journal *Journal
	asked   *Asked
	logger  log.Interface
	ln      net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewServer returns a server that listens at address, host:port, once Listen is called.
func NewServer(address string, j *Journal, asked *Asked, logger log.Interface) *Server {
	return &Server{address: address, journal: j, asked: asked, logger: logger, conns: map[net.Conn]bool{}}
}

// Name implements supervise.Service.
func (s *Server) Name() string { return "relay" }

// Listen opens the listener.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	s.ln = netutil.LimitListener(ln, maxConns)
	return nil
}

// Addr returns the address that Listen bound.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Run implements supervise.Service. Its end closes the followers' connections, so that
// they read the store themselves at once.
func (s *Server) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		c, err := s.ln.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrap(err, "accept a follower")
		}
		if s.keep(ctx, c) {
			wg.Go(func() { s.serve(ctx, c) })
		}
	}
}

// keep notes a connection, unless the server ends.
func (s *Server) keep(ctx context.Context, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// serve answers the calls of one connection, one after the other.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	r := wire.NewReader(c, wire.MaxFrame)
	for {
		if err := s.answer(ctx, c, r); err != nil {
			s.logger.WithError(err).Debug("follower left")
			return
		}
	}
}

func (s *Server) answer(ctx context.Context, c net.Conn, r *wire.Reader) error {
	if err := c.SetDeadline(time.Now().Add(quietTime)); err != nil {
		return errors.WithStack(err)
	}
	env, _, err := r.Read()
	if err != nil {
		return err
	}
	var call readCall
	if err := wire.Decode(env.Body, &call); err != nil {
		return err
	}
	if env.Type != wire.TypeFeedRead || int(call.Feed) >= feeds {
		return errors.Errorf("unexpected call of type %d for feed %d", env.Type, call.Feed)
	}
	s.asked.Note(time.Now())
	reply := s.read(ctx, call)
	return send(c, wire.Envelope{Type: wire.TypeFeedRead, ID: env.ID, Reply: true}, &reply)
}

// read waits for what the call asks for.
func (s *Server) read(ctx context.Context, call readCall) readReply {
	limit := time.NewTimer(min(max(call.Wait, 0), AnswerWithin))
	defer limit.Stop()
	for last := false; ; {
		age, known := s.journal.Age(time.Now(), call.Feed)
		batch, changed, ok := s.journal.Since(call.Feed, call.From)
		if !known || !ok || age >= MaxAge {
			return readReply{Unfit: true}
		}
		if large(batch) {
			return readReply{Fetch: true}
		}
		if last || batch.Next > call.From {
			return readReply{Batch: batch}
		}
		last = wait(ctx, changed, limit.C, MaxAge-age)
	}
}

// large says that a batch is better read from the store by each follower.
func large(b fleet.Batch) bool {
	return slices.ContainsFunc(b.Changes, func(c fleet.Change) bool { return c.Config != nil })
}

// wait waits for the next reading, at most as long as the last one counts; it reports
// whether the call's own time is over.
func wait(ctx context.Context, changed <-chan struct{}, limit <-chan time.Time, fit time.Duration) bool {
	timer := time.NewTimer(fit)
	defer timer.Stop()
	select {
	case <-changed:
		return false
	case <-timer.C:
		return false
	case <-limit:
		return true
	case <-ctx.Done():
		return true
	}
}

// send writes one message.
func send(c net.Conn, e wire.Envelope, msg any) error {
	f, err := wire.Encode(e, msg, wire.MaxFrame)
	if err != nil {
		return err
	}
	defer f.Release()
	_, err = c.Write(f.Bytes())
	return errors.WithStack(err)
}
