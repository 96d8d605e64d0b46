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
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/origin"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/quota"
)

const (
	// maxConns bounds the open connections. Each follower opens three, one for each feed and one
	// for the origins of streams. A daemon that searches for its reader opens one, and when a
	// whole fleet starts, all of its daemons do. Other daemons ask for origins when their own data
	// centre does not know them. admission.Server bounds the daemons whose requests wait for turns
	// here to 1024.
	maxConns = 1280 + 1024
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
// Tunnels, Admission, Origins and LinkRate are required.
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

	mu          sync.Mutex // guards the fields below
	conns       map[net.Conn]bool
	encoded     [feedCount]encodedBatch
	successions map[string]cachedSuccession // keyed by data centre
}

// encodedBatch caches the last encoded batch of a feed for followers that ask for the same
// records.
type encodedBatch struct {
	from, end logpos.Position
	whole     bool
	body      []byte
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
	return &Server{o: o, started: o.Now(), limiter: newReplyLimiter(o.LinkRate), conns: map[net.Conn]bool{}, successions: map[string]cachedSuccession{}}
}

// Name implements supervise.Service.
func (s *Server) Name() string { return "relay" }

// Listen sets the listener for the calls of other daemons. It must be called before Run.
func (s *Server) Listen(ln net.Listener) { s.ln = netutil.LimitListener(ln, maxConns) }

// Run implements supervise.Service. When it ends it closes the followers' connections, so
// that the followers ask the next daemon of the succession at once.
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
	r := wire.NewReader(c, wire.MaxFrame)
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

// writeBatch writes the response to a read that arrived at the given time. If other large
// batches are being sent until the follower's wait is over, it sends the response without
// its batch and as stale, so that the follower asks a successor and later this daemon again.
func (s *Server) writeBatch(ctx context.Context, c net.Conn, arrived time.Time, e wire.Envelope, r *readResponse) error {
	ready := time.Now()
	done, ok := s.limiter.admit(ctx, len(r.Batch), arrived.Add(s.o.Timing.AnswerWithin))
	if !ok {
		r.Status, r.Age, r.Batch = statusStale, 0, nil
		return writeMessage(c, e, r)
	}
	defer done()
	r.Age += time.Since(ready)
	// The follower gives up at this time. A write to one that does not read would otherwise
	// hold back the batches of the others for longer.
	if err := c.SetWriteDeadline(arrived.Add(s.o.Timing.AnswerWithin + s.o.Timing.Slack)); err != nil {
		return errors.WithStack(err)
	}
	return writeMessage(c, e, r)
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
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// handleRead answers a read as soon as there is fresh data with something new for the caller,
// and at the latest when the wait of the request is over. Without fresh data it answers
// earlier with a status that says so, unless readRequest.Patient is set.
func (s *Server) handleRead(ctx context.Context, call readRequest) (*readResponse, error) {
	s.o.Roster.RecordCall(s.o.Now(), call.Self)
	s.recordOutage(call.SinceOutage)
	s.o.Epochs.Learn(call.KnownEpoch)
	s.o.Followers.RecordCall(s.o.Now())
	s.addUnitsFor(call.Self, call.HandedOver)
	s.o.Limits.Update(call.Limits)
	if samples := fromWireSamples(call.Samples); len(samples) > 0 {
		s.o.Samples.AddFromFollower(s.o.Now(), call.Self.Address, samples)
		s.o.OnSamples(samples)
	}
	waitTimer := time.NewTimer(min(max(call.Wait, 0), s.o.Timing.AnswerWithin))
	defer waitTimer.Stop()
	freshTimer := time.NewTimer(freshDataWait)
	defer freshTimer.Stop()
	for timedOut, freshWaitOver := false, false; ; {
		cached := s.o.Cache.Get(s.o.Now(), call.Feed, call.from(), call.Whole)
		fresh := cached.Known && cached.Age < s.o.Timing.MaxAge && !call.KnownEpoch.After(cached.Epoch)
		hasQuarantineNews, quarantineChanged := s.o.Quarantine.HasRecords(call.QuarantineUpTo)
		hasNews := call.Whole || cached.Batch.Whole || call.from().Before(cached.Batch.End()) || call.Feed == fleet.FeedUpstreams && hasQuarantineNews
		switch {
		case fresh && (hasNews || timedOut):
			return s.respondWithBatch(call, cached)
		case !fresh && cached.StoreDown && (timedOut || !call.Patient):
			return s.addNews(call, &readResponse{Status: statusStoreDown}), nil
		case !fresh && (timedOut || freshWaitOver && !call.Patient):
			return s.addNews(call, &readResponse{Status: statusStale}), nil
		}
		var expired <-chan time.Time
		if fresh {
			timer := time.NewTimer(s.o.Timing.MaxAge - cached.Age)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-cached.Changed:
		case <-quarantineChanged:
		case <-expired:
		case <-waitTimer.C:
			timedOut = true
		case <-freshTimer.C:
			freshWaitOver = true
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// recordOutage records the outage of the store that a caller knows of; since is how long ago
// it was, 0 for none.
//
// A daemon that begins to read the store because a caller's own reads fail has seen no call
// fail itself. Without the caller's report, it would take registrations that expired in the
// outage for withdrawn ones.
func (s *Server) recordOutage(since time.Duration) {
	if since > 0 {
		s.o.Cache.RecordOutage(s.o.Now().Add(-since))
	}
}

// respondWithBatch returns a response with records.
func (s *Server) respondWithBatch(call readRequest, cached CachedFeed) (*readResponse, error) {
	body, err := s.encode(call.Feed, call.from(), cached.Batch)
	if err != nil {
		return nil, err
	}
	return s.addNews(call, &readResponse{Status: statusFresh, Age: cached.Age, Batch: body}), nil
}

// encode encodes a batch, reusing the result for all followers that ask for the same
// records.
func (s *Server) encode(f fleet.Feed, from logpos.Position, b fleet.Batch) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.encoded[f]
	if b.Whole {
		from = logpos.Position{}
	}
	if p.body != nil && p.from == from && p.end == b.End() && p.whole == b.Whole {
		return p.body, nil
	}
	body, err := encodeBatch(b)
	if err == nil {
		*p = encodedBatch{from: from, end: b.End(), whole: b.Whole, body: body}
	}
	return body, err
}

// addNews adds to a response what is sent besides the records of the feed: the current time
// of this daemon's ledger (see AccrualSender) and, if the caller has another version of it,
// the succession. For the upstreams feed it also adds samples, quarantine records and limits.
func (s *Server) addNews(call readRequest, reply *readResponse) *readResponse {
	current := s.succession(call.Self.DataCentre)
	reply.Stamp = s.o.Quota.Stamp(s.o.Now())
	reply.SinceOutage = s.o.Cache.SinceOutage(s.o.Now())
	if reply.Version = current.version; current.version != call.KnownVersion {
		reply.Succession = &current.succession
	}
	if call.Feed == fleet.FeedUpstreams { // followers read both feeds, so one of them is enough
		samples, upTo := s.o.Samples.Since(s.o.Now(), call.Self.Address, call.SamplesUpTo)
		reply.Samples, reply.SamplesUpTo = toWireSamples(samples), upTo
		reply.Quarantine, reply.QuarantineUpTo = s.o.Quarantine.Since(call.QuarantineUpTo)
		reply.Limits = s.o.Limits.Changes(call.Whole)
	}
	return reply
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
