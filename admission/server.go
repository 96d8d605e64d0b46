package admission

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// maxConns bounds the daemons that are connected. Each takes a file descriptor and about 20 KB.
	maxConns = 1024
	// maxIncarnations bounds the instances whose newest incarnation is remembered.
	maxIncarnations = 4096
	// serverIdleTimeout is how long a connection without messages is kept. Daemons close theirs
	// earlier.
	serverIdleTimeout = 3 * clientIdleTimeout
	// tickInterval is the time between two looks for lapsed turns and due searches while requests
	// wait.
	tickInterval = 10 * time.Millisecond
	// A daemon whose requests wait is sent the state, which is also a keepalive, at intervals of
	// keepaliveInterval, or keepaliveIntervalPerDaemon for each daemon with such requests, at most
	// maxKeepaliveInterval.
	keepaliveInterval          = 150 * time.Millisecond
	keepaliveIntervalPerDaemon = 2500 * time.Microsecond
	maxKeepaliveInterval       = 300 * time.Millisecond
	// sendInterval is the time between two checks for daemons to which the state is due. At each of
	// them the state also goes to idleReceivers daemons, in turn, whose requests do not wait.
	sendInterval  = 50 * time.Millisecond
	idleReceivers = 5
	// stateInterval is how long a computed state is sent, and observeInterval the time between two
	// updates of the metrics.
	stateInterval   = 20 * time.Millisecond
	observeInterval = 250 * time.Millisecond
	// calmTime is how long a pool must be without waiting requests until that is logged.
	calmTime = time.Second
)

// errNotTaken ends the connection of a daemon that is not served.
var errNotTaken = errors.New("the coordinator takes no connection from this daemon")

// ServerOptions configure a Server; all fields are required.
type ServerOptions struct {
	// Instance and Incarnation identify this daemon.
	Instance    string
	Incarnation uint64
	// Known reports whether there is a pool of a name.
	Known func(pool string) bool
	// Draining reports whether this daemon is shutting down.
	Draining func() bool
	Metrics  Metrics
	Logger   log.Interface
	Now      func() time.Time
}

// Server is the coordinator's side: it hands out the turns of the pools whose requests other daemons
// let join here. It is safe for concurrent use.
type Server struct {
	o ServerOptions

	mu    sync.Mutex
	pools map[string]*pool
	conns map[uint64]*serverConn
	// incarnations holds the newest incarnation of each instance.
	incarnations map[string]uint64
	lastConn     uint64
	ticking      bool
	// lastSentTo is the last connection that got the state in turn.
	lastSentTo uint64
	drops      dropLog
}

// pool is the queue of one pool.
type pool struct {
	name  string
	queue *Queue
	// counted are the stats that metrics have received; began the stats when requests began to wait,
	// at contendedSince. contendedSince is zero while nobody waits.
	counted, began              Stats
	contendedSince, lastWaiting time.Time
	statesSentAt, observedAt    time.Time // when sendStates and observe last ran
	state                       []RankState
	stateAt                     time.Time
	ranks                       []int // with a metric that is not 0
	duplicates, unknown         uint64
}

// serverConn is the connection of one daemon.
type serverConn struct {
	id     uint64
	hello  hello
	conn   net.Conn
	out    outbox
	sentAt map[string]time.Time // when the daemon was last sent the state of a pool
	// lastID is the number of the daemon's last message.
	lastID uint64
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
	return &Server{o: o, pools: map[string]*pool{}, conns: map[uint64]*serverConn{}, incarnations: map[string]uint64{}, drops: dropLog{metrics: o.Metrics, logger: o.Logger}}
}

// Serve serves a connection whose first message had the given body, until it ends. The caller closes
// it afterwards.
func (s *Server) Serve(ctx context.Context, c net.Conn, r *wire.Reader, body []byte) error {
	var first message
	if err := wire.Decode(body, &first); err != nil {
		return err
	}
	sc, err := s.open(c, first.Hello)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.close(sc)
	wg.Go(func() { s.write(ctx, sc) })
	for {
		if err := c.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
			return errors.WithStack(err)
		}
		env, _, err := r.Read()
		if err != nil {
			return err
		}
		if env.Type != wire.TypeAdmission {
			return errors.Errorf("unexpected frame of type %d", env.Type)
		}
		var m message
		if err := wire.Decode(env.Body, &m); err != nil {
			return err
		}
		if s.o.Draining() {
			return errNotTaken
		}
		s.handle(sc, env.ID, &m)
	}
}

// open registers the connection of a daemon. One of an older incarnation is not taken; an older
// connection of the same instance is closed.
func (s *Server) open(c net.Conn, h *hello) (*serverConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Now()
	switch {
	case h == nil || h.Instance == "" || h.Incarnation == 0:
		s.drops.drop(now, DropUnnamed, "", "")
		return nil, errNotTaken
	case h.Incarnation < s.incarnations[h.Instance]:
		s.drops.drop(now, DropIncarnation, h.Instance, "")
		return nil, errNotTaken
	case s.o.Draining() || len(s.conns) >= maxConns:
		return nil, errNotTaken
	}
	for _, other := range s.conns {
		if other.hello.Instance == h.Instance {
			s.drop(now, other)
		}
	}
	if s.incarnations[h.Instance] == 0 && len(s.incarnations) >= maxIncarnations {
		s.forgetIncarnations()
	}
	s.incarnations[h.Instance] = h.Incarnation
	s.lastConn++
	sc := &serverConn{id: s.lastConn, hello: *h, conn: c, out: newOutbox(), sentAt: map[string]time.Time{}}
	s.conns[sc.id] = sc
	sc.out.message("").Hello = &hello{Instance: s.o.Instance, Incarnation: s.o.Incarnation}
	return sc, nil
}

// forgetIncarnations forgets the instances that have no connection.
func (s *Server) forgetIncarnations() {
	clear(s.incarnations)
	for _, sc := range s.conns {
		s.incarnations[sc.hello.Instance] = sc.hello.Incarnation
	}
}

// drop removes a connection and the requests of its daemon. The caller holds the lock.
func (s *Server) drop(now time.Time, sc *serverConn) {
	if s.conns[sc.id] == nil {
		return
	}
	delete(s.conns, sc.id)
	sc.conn.Close()
	for _, p := range s.pools {
		p.queue.LeaveAll(now, sc.id)
		s.giveTurns(now, p)
	}
}

func (s *Server) close(sc *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(s.o.Now(), sc)
}

// write sends what is collected for a daemon until the connection ends.
func (s *Server) write(ctx context.Context, sc *serverConn) {
	for id := uint64(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-sc.out.ready:
		}
		s.mu.Lock()
		list := sc.out.take()
		s.mu.Unlock()
		for _, m := range list {
			id++
			if err := write(sc.conn, id, m); err != nil {
				s.o.Logger.WithField("instance", sc.hello.Instance).WithError(err).Debug("admission connection broke off")
				sc.conn.Close() // ends the reader
				return
			}
		}
	}
}

// handle applies a message of a daemon.
func (s *Server) handle(sc *serverConn, id uint64, m *message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Now()
	switch {
	case s.conns[sc.id] == nil: // replaced by a newer connection
		s.drops.drop(now, DropIncarnation, sc.hello.Instance, m.Pool)
		return
	case id <= sc.lastID:
		s.drops.drop(now, DropDuplicate, sc.hello.Instance, m.Pool)
		return
	case !s.o.Known(m.Pool):
		s.drops.drop(now, DropPool, sc.hello.Instance, m.Pool)
		sc.lastID = id
		for _, j := range m.Joins {
			out := sc.out.message(m.Pool)
			out.Rejected = append(out.Rejected, j.Request)
		}
		return
	}
	sc.lastID = id
	p := s.pool(m.Pool)
	for _, r := range m.Releases {
		p.queue.Release(now, r.Engine, r.Tokens)
	}
	for _, r := range m.Results {
		p.queue.Result(now, Result{Key: Key{sc.id, r.Request}, Turn: r.Turn, Admitted: r.Admitted, Refused: r.Refused})
	}
	for _, request := range m.Leaves {
		p.queue.Leave(now, Key{sc.id, request})
	}
	for _, j := range m.Joins {
		s.join(now, sc, p, j)
	}
	s.giveTurns(now, p)
	if len(m.Joins) > 0 { // the answer shows that this daemon coordinates the pool
		s.sendState(now, sc, p)
	}
	s.reportDrops(now, sc, p)
	s.startTicking()
}

// pool returns the queue of a pool, which is created if necessary.
func (s *Server) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, queue: NewQueue()}
		s.pools[name] = p
	}
	return p
}

// join adds a request to a queue.
func (s *Server) join(now time.Time, sc *serverConn, p *pool, j join) {
	w := Waiting{
		Key: Key{sc.id, j.Request}, Rank: j.Rank, Tokens: j.Tokens,
		Since: now.Add(-time.Duration(max(j.WaitedMillis, 0)) * time.Millisecond),
	}
	if j.LeftMillis > 0 {
		w.Until = now.Add(time.Duration(j.LeftMillis) * time.Millisecond)
	}
	if j.InTimeMillis != 0 {
		w.Late = now.Add(time.Duration(j.InTimeMillis) * time.Millisecond)
	}
	if p.queue.Join(now, w) {
		return
	}
	s.drops.drop(now, DropFull, sc.hello.Instance, p.name)
	out := sc.out.message(p.name)
	out.Rejected = append(out.Rejected, j.Request)
}

// reportDrops counts what the queue has dropped of a message of a daemon.
func (s *Server) reportDrops(now time.Time, sc *serverConn, p *pool) {
	stats := p.queue.Stats()
	for ; p.duplicates < stats.Duplicate; p.duplicates++ {
		s.drops.drop(now, DropDuplicate, sc.hello.Instance, p.name)
	}
	for ; p.unknown < stats.Unknown; p.unknown++ {
		s.drops.drop(now, DropRequest, sc.hello.Instance, p.name)
	}
}

// giveTurns sends the turns that are due. The caller holds the lock.
func (s *Server) giveTurns(now time.Time, p *pool) {
	for _, t := range p.queue.Turns(now) {
		sc := s.conns[t.Key.Daemon]
		if sc == nil {
			continue // its turn lapses
		}
		out := sc.out.message(p.name)
		out.Turns = append(out.Turns, turn{Request: t.Key.Request, Number: t.Number, Engine: t.Engine})
	}
}

// currentState returns the state of the queue, computed at most stateInterval ago.
func (p *pool) currentState(now time.Time) []RankState {
	if p.stateAt.IsZero() || now.Sub(p.stateAt) >= stateInterval {
		p.state, p.stateAt = p.queue.State(now), now
	}
	return p.state
}

// sendState sends a daemon the state of a pool.
func (s *Server) sendState(now time.Time, sc *serverConn, p *pool) {
	out := sc.out.message(p.name)
	out.HasState, out.State = true, p.currentState(now)
	sc.sentAt[p.name] = now
}

// startTicking makes tick run while requests wait. The caller holds the lock.
func (s *Server) startTicking() {
	if s.ticking {
		return
	}
	for _, p := range s.pools {
		if p.queue.Len() > 0 || !p.contendedSince.IsZero() {
			s.ticking = true
			time.AfterFunc(tickInterval, s.tick)
			return
		}
	}
}

// tick gives the turns that are due, sends signs of life, and records metrics.
func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Now()
	if s.o.Draining() {
		for _, sc := range s.conns {
			s.drop(now, sc) // the requests ask without turns, or wait at the next coordinator
		}
	}
	for _, p := range s.pools {
		s.giveTurns(now, p)
		s.sendStates(now, p)
		s.observe(now, p)
	}
	s.ticking = false
	s.startTicking()
}

// sendStates sends the state to the daemons whose requests wait, and to a few more, in turn, so that all
// daemons that are connected know that requests wait.
func (s *Server) sendStates(now time.Time, p *pool) {
	if p.queue.Len() == 0 || now.Sub(p.statesSentAt) < sendInterval {
		return
	}
	p.statesSentAt = now
	interval := min(max(keepaliveInterval, time.Duration(len(p.queue.perDaemon))*keepaliveIntervalPerDaemon), maxKeepaliveInterval)
	var others []uint64
	for id, sc := range s.conns {
		due := now.Sub(sc.sentAt[p.name]) >= interval
		switch {
		case due && p.queue.perDaemon[id] > 0:
			s.sendState(now, sc, p)
		case due:
			others = append(others, id)
		}
	}
	slices.Sort(others)
	next, _ := slices.BinarySearch(others, s.lastSentTo+1)
	for i := range min(idleReceivers, len(others)) {
		s.lastSentTo = others[(next+i)%len(others)]
		s.sendState(now, s.conns[s.lastSentTo], p)
	}
}

// observe records the metrics of a pool, and logs when requests begin to wait and when nobody has
// waited for a while.
func (s *Server) observe(now time.Time, p *pool) {
	if now.Sub(p.observedAt) < observeInterval {
		return
	}
	p.observedAt = now
	stats := p.queue.Stats()
	m := s.o.Metrics
	m.AdmissionTurns("room", stats.GivenRoom-p.counted.GivenRoom)
	m.AdmissionTurns("search", stats.GivenSearch-p.counted.GivenSearch)
	m.AdmissionTurns("lapsed", stats.Lapsed-p.counted.Lapsed)
	m.AdmissionReservations("admitted", stats.Admitted-p.counted.Admitted)
	m.AdmissionReservations("refused", stats.Refused-p.counted.Refused)
	p.counted = stats
	state := p.currentState(now)
	for _, rank := range p.ranks {
		if !slices.ContainsFunc(state, func(r RankState) bool { return r.Rank == rank }) {
			m.AdmissionWaiting(rank, 0)
		}
	}
	p.ranks = p.ranks[:0]
	for _, r := range state {
		m.AdmissionWaiting(r.Rank, r.Waiting)
		p.ranks = append(p.ranks, r.Rank)
	}
	if len(state) > 0 {
		p.lastWaiting = now
	}
	logger := s.o.Logger.WithField("pool", p.name)
	switch {
	case len(state) > 0 && p.contendedSince.IsZero():
		p.contendedSince, p.began = now, stats
		logger.WithField("waiting", p.queue.Len()).Info("requests wait for turns")
	case !p.contendedSince.IsZero() && now.Sub(p.lastWaiting) >= calmTime:
		logger.WithFields(log.Fields{
			"after_ms": now.Sub(p.contendedSince).Milliseconds(), "admitted": stats.Admitted - p.began.Admitted, "refused": stats.Refused - p.began.Refused,
			"room": stats.GivenRoom - p.began.GivenRoom, "search": stats.GivenSearch - p.began.GivenSearch, "lapsed": stats.Lapsed - p.began.Lapsed,
		}).Info("no requests wait for turns")
		p.contendedSince = time.Time{}
	}
}
