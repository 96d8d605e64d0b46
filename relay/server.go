package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/internal/accept"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/origin"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/quota"
)

const (
	// MaxConns bounds the open connections. Each follower opens four, one for each feed and two
	// for the origins of streams. A daemon that searches for its reader opens one, and when a
	// whole fleet starts, all of its daemons do. Other daemons ask for origins when their own data
	// centre does not know them. admission.Server bounds the daemons whose requests wait for turns
	// here to 1024.
	MaxConns = 1280 + 1024
	// idleTimeout is how long a connection without calls is kept open.
	idleTimeout = 10 * time.Second
	// freshDataWait is how long a call waits for fresh data when this daemon has only just
	// begun to read the store. A slow store takes 0.3 s to answer.
	freshDataWait = 300 * time.Millisecond
	// startupDiscoverWait is how long after its start a daemon delays answers about which
	// daemon is the reader. When a whole fleet starts, the daemons start within 0.3 s, and
	// the last one may have the largest capacity. Without the delay, two of five data
	// centres first got a small daemon as reader, which was replaced 5 s later.
	startupDiscoverWait = 400 * time.Millisecond
	// successionTTL is how long a computed succession is used for answers to followers.
	successionTTL = 250 * time.Millisecond
)

// ServerOptions configure a Server; all fields but Limits, Lend, Quota, LendUnits,
// Tunnels, Admission, Origins, LinkRate, FrameBytes and MaxConns are required.
type ServerOptions struct {
	Cache     *FeedCache
	Roster    *Roster
	Followers *FollowerActivity
	Samples   *Samples
	// Quarantine supplies the quarantine records that are sent to followers in responses for
	// the upstreams feed.
	Quarantine Quarantine
	// Limits receives the upstreams' rate limits in requests and supplies those in
	// responses. With nil, none are stored or sent.
	Limits Limits
	// OnSamples receives samples that other daemons have taken of completions on engines.
	OnSamples func(list []estimate.Sample)
	// Lend deducts n retries for a target from this daemon's budget, or returns false if
	// the budget has fewer. With nil, nothing is lent.
	Lend func(target string, n int) bool
	// Quota is the ledger to which the followers' units are added for the time that they hand
	// over (see AccrualSender); with nil these units are lost. LendUnits lends
	// units of an account; with nil nothing is lent.
	Quota     *quota.Ledger
	LendUnits func(ask LoanRequest) quota.Loan
	// Tunnels carries connections to upstreams for other daemons. With nil, none are carried.
	Tunnels Tunnels
	// Admission hands out turns to the requests of other daemons. With nil, none are handed out.
	Admission Tunnels
	// Origins keeps records of the origins of streams for other daemons. With nil, none are kept.
	Origins OriginKeeper
	// LinkRate is the bandwidth of this daemon's network link, in bytes per second; 0 if
	// unknown.
	LinkRate float64
	// FrameBytes is the memory that the large requests of other daemons may hold together, if it suffices for one.
	FrameBytes int64
	// MaxConns is the maximum number of open connections, at most MaxConns, which 0 stands for.
	MaxConns int
	// Epochs receives the epochs of the store that callers know. With nil, they are not stored.
	Epochs *logpos.Tracker
	Timing Timing
	Logger log.Interface
	Now    func() time.Time
}

// Tunnels takes over a connection after its first request, of type wire.TypeTunnel or
// wire.TypeAdmission, with the body of that request and the reader of what follows, until it returns.
// reach.Server and admission.Server implement it.
type Tunnels interface {
	Serve(ctx context.Context, c net.Conn, r *wire.Reader, body []byte) error
}

// Quarantine holds records of requests during which upstreams ended. quarantine.Keeper
// implements it. Implementations are safe for concurrent use.
type Quarantine interface {
	// HasRecords reports whether there are records after the sequence number seen, and
	// returns a channel that is closed when records are added.
	HasRecords(seen uint64) (more bool, changed <-chan struct{})
	// Since returns the records after the sequence number seen, and the number to use in
	// the next call.
	Since(seen uint64) (list []quarantine.Record, next uint64)
	// ApplyRemote adds records received from another daemon.
	ApplyRemote(list []quarantine.Record)
}

// Server answers the calls of other daemons from the feed cache and the roster. It is a
// supervise.Service.
type Server struct {
	o       ServerOptions
	started time.Time
	ln      net.Listener
	limiter replyLimiter
	frames  *wire.Budget

	mu          sync.Mutex // guards the fields below
	conns       map[net.Conn]bool
	encoded     [feedCount]encodedBatch
	successions map[string]cachedSuccession // keyed by data centre
}

// cachedSuccession is a succession as computed at a time, with its version.
type cachedSuccession struct {
	at         time.Time
	succession Succession
	version    uint64
}

// NewServer returns a server that has no listener yet.
func NewServer(o ServerOptions) *Server {
	if o.Quota == nil {
		o.Quota = quota.NewLedger(o.Now(), false)
	}
	if o.Limits == nil {
		o.Limits = noLimits{}
	}
	if o.Epochs == nil {
		o.Epochs = logpos.NewTracker(nil)
	}
	if o.MaxConns == 0 {
		o.MaxConns = MaxConns
	}
	return &Server{o: o, started: o.Now(), limiter: newReplyLimiter(o.LinkRate), frames: wire.NewBudget(o.FrameBytes), conns: map[net.Conn]bool{}, successions: map[string]cachedSuccession{}}
}

// Name implements supervise.Service.
func (s *Server) Name() string { return "relay" }

// Listen sets the listener for the calls of other daemons. It must be called before Run.
func (s *Server) Listen(ln net.Listener) { s.ln = netutil.LimitListener(ln, s.o.MaxConns) }

// Run implements supervise.Service. When it ends it closes the followers' connections, so
// that the followers ask the next daemon of the succession at once.
func (s *Server) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		c, err := accept.Next(ctx, s.ln)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrap(err, "accept connection")
		}
		if s.track(ctx, c) {
			wg.Go(func() { s.serve(ctx, c) })
		}
	}
}

// track registers a connection so that close can close it; it returns false if the server
// is stopping.
func (s *Server) track(ctx context.Context, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

// close closes the listener and all connections.
func (s *Server) close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// serve answers the calls of one connection one after the other.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	r := wire.NewReader(c, wire.MaxFrame).WithBudget(s.frames)
	defer r.Release()
	for {
		if err := s.handleNext(ctx, c, r); err != nil {
			s.o.Logger.WithError(err).Debug("follower disconnected")
			return
		}
	}
}

// handleNext reads one request and writes its response.
func (s *Server) handleNext(ctx context.Context, c net.Conn, r *wire.Reader) error {
	if err := c.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
		return errors.WithStack(err)
	}
	env, _, err := r.Read()
	if err != nil {
		return err
	}
	if env.Type == wire.TypeTunnel && s.o.Tunnels != nil {
		return s.o.Tunnels.Serve(ctx, c, r, env.Body)
	}
	if env.Type == wire.TypeAdmission && s.o.Admission != nil {
		return s.o.Admission.Serve(ctx, c, r, env.Body)
	}
	arrived := time.Now()
	reply, err := s.handle(ctx, env)
	if err != nil {
		return err
	}
	envelope := wire.Envelope{Type: env.Type, ID: env.ID, Reply: true}
	if r, ok := reply.(*readResponse); ok {
		return s.writeBatch(ctx, c, arrived, envelope, r)
	}
	return writeMessage(c, envelope, reply)
}

// handle returns the response to a request.
func (s *Server) handle(ctx context.Context, env *wire.Envelope) (any, error) {
	switch env.Type {
	case wire.TypeFeedRead:
		var call readRequest
		if err := wire.Decode(env.Body, &call); err != nil {
			return nil, err
		}
		if int(call.Feed) >= feedCount {
			return nil, errors.Errorf("read of unknown feed %d", call.Feed)
		}
		return s.handleRead(ctx, call)
	case wire.TypePermit:
		var call borrowRequest
		if err := wire.Decode(env.Body, &call); err != nil {
			return nil, err
		}
		return &borrowResponse{Lent: s.o.Lend != nil && call.Needs > 0 && s.o.Lend(call.Target, call.Needs)}, nil
	case wire.TypeLoan:
		var call LoanRequest
		if err := wire.Decode(env.Body, &call); err != nil {
			return nil, err
		}
		if s.o.LendUnits == nil {
			return &quota.Loan{}, nil
		}
		s.addUnitsFor(call.From, call.HandedOver)
		s.o.Limits.Update(call.Limits)
		loan := s.o.LendUnits(call)
		return &loan, nil
	case wire.TypeCarriers:
		var call carriersRequest
		if err := wire.Decode(env.Body, &call); err != nil {
			return nil, err
		}
		return &carriersResponse{Peers: s.o.Roster.Carriers(s.o.Now(), call.Address)}, nil
	case wire.TypeOrigins:
		var call originRecords
		if err := wire.Decode(env.Body, &call); err != nil {
			return nil, err
		}
		return s.handleOrigins(call)
	case wire.TypeOriginGet:
		var call origin.Query
		if err := wire.Decode(env.Body, &call); err != nil {
			return nil, err
		}
		return s.handleOriginGet(ctx, call), nil
	case wire.TypeReaders:
		var call discoverRequest
		if err := wire.Decode(env.Body, &call); err != nil {
			return nil, err
		}
		return s.handleDiscover(ctx, call), nil
	default:
		return nil, errors.Errorf("unexpected request of type %d", env.Type)
	}
}

// handleOrigins keeps the records of origins that another daemon sends.
func (s *Server) handleOrigins(call originRecords) (*originAck, error) {
	if s.o.Origins == nil || len(call.Records) > maxSharedRecords {
		return nil, errors.Errorf("%d records of origins are not kept", len(call.Records))
	}
	return &originAck{Logged: s.o.Origins.Accept(call.Records)}, nil
}

// handleOriginGet answers a daemon that looks for the origin of a stream.
func (s *Server) handleOriginGet(ctx context.Context, q origin.Query) *origin.Reply {
	if s.o.Origins == nil {
		return &origin.Reply{}
	}
	within := askTimeout
	if q.ID == (origin.ID{}) {
		within = serveSoleTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply := s.o.Origins.Lookup(ctx, q)
	return &reply
}

// handleDiscover answers with the succession of the caller's data centre.
func (s *Server) handleDiscover(ctx context.Context, call discoverRequest) *discoverResponse {
	s.o.Roster.RecordCall(s.o.Now(), call.Self)
	s.o.Roster.AddClaims(s.o.Now(), call.Claims)
	if samples := fromWireSamples(call.Samples); len(samples) > 0 {
		s.o.Samples.AddFromReader(s.o.Now(), samples)
		s.o.OnSamples(samples)
	}
	s.addUnitsFor(call.Self, call.HandedOver)
	s.o.Limits.Update(call.Limits)
	s.awaitStartup(ctx)
	now := s.o.Now()
	return &discoverResponse{
		Succession: s.o.Roster.Succession(now, call.Self.DataCentre, call.Unreachable),
		Claims:     s.o.Roster.Claims(now),
		Stamp:      s.o.Quota.Stamp(now),
		Limits:     s.o.Limits.Changes(s.o.Roster.IsSmall(now)),
	}
}

// addUnitsFor adds another daemon's units for the given span to this daemon's ledger. A
// daemon of another data centre is ignored, because it has a different share.
func (s *Server) addUnitsFor(from Peer, span quota.Span) {
	if span.Length > 0 && from.DataCentre == s.o.Roster.Self().DataCentre {
		now := s.o.Now()
		s.o.Roster.RaiseLocalDaemons(span.KnownDaemons)
		s.o.Quota.AcceptHandOver(now, span, s.o.Roster.Share(now))
	}
}

// awaitStartup waits until startupDiscoverWait has passed since the start. By then, in a
// fleet that starts as a whole, most other daemons have called this one.
func (s *Server) awaitStartup(ctx context.Context) {
	left := s.started.Add(startupDiscoverWait).Sub(s.o.Now())
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// succession returns the succession of a data centre, computed at most successionTTL ago.
func (s *Server) succession(dataCentre string) cachedSuccession {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, ok := s.successions[dataCentre]
	if ok && now.Sub(cached.at) < successionTTL {
		return cached
	}
	cached.at, cached.succession = now, s.o.Roster.Succession(now, dataCentre, nil)
	cached.version = cached.succession.version()
	s.successions[dataCentre] = cached
	return cached
}

// writeMessage writes one message to a connection.
func writeMessage(c net.Conn, e wire.Envelope, msg any) error {
	f, err := wire.Encode(e, msg, wire.MaxFrame)
	if err != nil {
		return err
	}
	defer f.Release()
	_, err = c.Write(f.Bytes())
	return errors.WithStack(err)
}
