package admission

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// firstReplyTimeout is the time without a sign of life after a join, and silenceTimeout the one while
	// requests wait, after which the coordinator counts as lost. Small instances are at times given no
	// processor for a tenth of a second.
	firstReplyTimeout = 100 * time.Millisecond
	silenceTimeout    = 700 * time.Millisecond
	// silenceCheckInterval is the time between two checks for a sign of life. Two checks in a row must find
	// none: on a daemon that was given no processor, a message may have arrived and not been read.
	silenceCheckInterval = 25 * time.Millisecond
	silentChecks         = 2
	// lostBackoff is how long a coordinator that was lost is left alone.
	lostBackoff = time.Second
	// clientIdleTimeout is how long a connection without messages is kept.
	clientIdleTimeout = 5 * time.Second
	// stateTTL is how long a state that a coordinator sent counts.
	stateTTL = time.Second
	// turnTTL is how long a daemon may begin to use a turn. After turnTimeout the coordinator gives
	// it to another request.
	turnTTL = turnTimeout / 2
	// maxTickets bounds the requests of a daemon that wait at one coordinator.
	maxTickets = 2 * maxWaitingPerDaemon
	// maxPending bounds the releases that wait to be sent; more are dropped.
	maxPending = 256
)

// The reasons for which a coordinator counts as lost.
const (
	lostUnreachable = "unreachable"
	lostClosed      = "closed"
	lostSilent      = "silent"
)

// Coordinator is a daemon that hands out turns.
type Coordinator struct{ Instance, Address string }

// ClientOptions configure a Client; all fields are required.
type ClientOptions struct {
	// Instance and Incarnation identify this daemon.
	Instance    string
	Incarnation uint64
	// Coordinator returns the coordinator of a pool, or false if none is known.
	Coordinator func(pool string) (Coordinator, bool)
	// Dial connects to another daemon.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Metrics Metrics
	Logger  log.Interface
	Now     func() time.Time
}

// Client is the side of a daemon whose requests wait. It is safe for concurrent use.
type Client struct {
	o      ClientOptions
	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	mu    sync.Mutex
	conns map[string]*clientConn // by address
	// backoff holds until when a lost coordinator is left alone, by address.
	backoff map[string]time.Time
	states  map[string]poolState // by pool
	// lastRequest is the number of the last request that joined.
	lastRequest uint64
	drops       dropLog
}

// poolState is the state of a pool that a coordinator sent.
type poolState struct {
	conn  *clientConn
	at    time.Time
	ranks []RankState
}

// clientConn is the connection to one coordinator.
type clientConn struct {
	coordinator Coordinator
	out         outbox
	tickets     map[uint64]*Ticket
	// waitingSince is when requests began to wait here, receivedAt when the coordinator last sent
	// something, and usedAt when either side last did.
	waitingSince, receivedAt, usedAt time.Time
	lost                             bool
	// lastID is the number of the coordinator's last message.
	lastID uint64
}

// Ticket is the place of one request in the queue of its pool. Its methods may be called on nil.
type Ticket struct {
	client *Client
	conn   *clientConn
	pool   string
	id     uint64
	joined time.Time
	turns  chan GrantedTurn
	gone   bool // the request does not wait at the coordinator any more
}

// GrantedTurn is a turn that a request has got. Engine is empty if the request may ask any.
type GrantedTurn struct {
	Number uint64
	Engine string
	At     time.Time
}

// Expired reports whether the turn is too old to be used.
func (t GrantedTurn) Expired(now time.Time) bool { return now.Sub(t.At) >= turnTTL }

// Request describes a request that joins a queue.
type Request struct {
	Rank, Tokens int
	// Waited is the time since the caller's first try. Left is the time after which the request gives
	// up, and InTime the one after which its answer will be late, negative if it will be in any case;
	// each is 0 if there is no such time.
	Waited, Left, InTime time.Duration
}

// NewClient returns a client. Close ends its connections.
func NewClient(o ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		o: o, ctx: ctx, cancel: cancel, conns: map[string]*clientConn{}, backoff: map[string]time.Time{}, states: map[string]poolState{},
		drops: dropLog{metrics: o.Metrics, logger: o.Logger},
	}
}

// Close ends all connections.
func (c *Client) Close() { c.cancel() }

// Join adds a request to the queue of a pool. It returns nil if no coordinator is known, or if the
// coordinator was lost a moment ago; the request then asks without a turn.
func (c *Client) Join(name string, r Request) *Ticket {
	coordinator, ok := c.o.Coordinator(name)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	if now.Before(c.backoff[coordinator.Address]) || c.ctx.Err() != nil {
		return nil
	}
	delete(c.backoff, coordinator.Address)
	conn := c.conns[coordinator.Address]
	if conn == nil {
		conn = &clientConn{coordinator: coordinator, out: newOutbox(), tickets: map[uint64]*Ticket{}}
		c.conns[coordinator.Address] = conn
		go c.run(conn)
	}
	if len(conn.tickets) >= maxTickets {
		return nil
	}
	if len(conn.tickets) == 0 {
		conn.waitingSince = now
	}
	conn.usedAt = now
	c.lastRequest++
	t := &Ticket{client: c, conn: conn, pool: name, id: c.lastRequest, joined: now, turns: make(chan GrantedTurn, 1)}
	conn.tickets[t.id] = t
	out := conn.out.message(name)
	out.Joins = append(out.Joins, join{Request: t.id, Rank: r.Rank, Tokens: r.Tokens, WaitedMillis: r.Waited.Milliseconds(), LeftMillis: r.Left.Milliseconds(), InTimeMillis: r.InTime.Milliseconds()})
	return t
}

// Contended reports whether a coordinator has said within the last second that requests of a rank, or
// more urgent ones, wait for a pool.
func (c *Client) Contended(name string, rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[name]
	return c.o.Now().Sub(s.at) < stateTTL && len(s.ranks) > 0 && s.ranks[0].Rank <= rank
}

// ExpectedWait returns the time until a request of a rank that joins now is admitted; 0 if unknown.
func (c *Client) ExpectedWait(name string, rank int) (wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[name]
	if c.o.Now().Sub(s.at) >= stateTTL {
		return 0
	}
	for _, r := range s.ranks {
		if r.Rank <= rank {
			wait = r.ExpectedWait
		}
	}
	return wait
}

// Released reports that a request of this daemon has ended at an engine. Nothing is sent unless
// requests wait for the pool.
func (c *Client) Released(name, engine string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.states[name], c.o.Now()
	if s.conn == nil || s.conn.lost || len(s.ranks) == 0 || now.Sub(s.at) >= stateTTL {
		return
	}
	out := s.conn.out.message(name)
	if len(out.Releases) < maxPending {
		out.Releases = append(out.Releases, released{Engine: engine, Tokens: tokens})
		s.conn.usedAt = now
	}
}

// Turns returns the channel on which the request gets turns. It is closed when the coordinator is
// lost, or does not take the request; the request then asks without a turn. A nil ticket has a nil
// channel, which never delivers.
func (t *Ticket) Turns() <-chan GrantedTurn {
	if t == nil {
		return nil
	}
	return t.turns
}

// Age returns the time since the request joined.
func (t *Ticket) Age(now time.Time) time.Duration { return now.Sub(t.joined) }

// Report tells the coordinator the outcome of a turn. If the request was admitted, with the turn or
// without one (number 0), it leaves the queue.
func (t *Ticket) Report(number uint64, admitted bool, refused int) {
	if t == nil {
		return
	}
	t.client.mu.Lock()
	defer t.client.mu.Unlock()
	if t.gone {
		return
	}
	out := t.message()
	out.Results = append(out.Results, result{Request: t.id, Turn: number, Admitted: admitted, Refused: refused})
	if admitted {
		t.remove()
	}
}

// Leave ends the wait of the request.
func (t *Ticket) Leave() {
	if t == nil {
		return
	}
	t.client.mu.Lock()
	defer t.client.mu.Unlock()
	if t.gone {
		return
	}
	out := t.message()
	out.Leaves = append(out.Leaves, t.id)
	t.remove()
}

// message returns the message that collects what is sent for the ticket's pool.
func (t *Ticket) message() *message {
	t.conn.usedAt = t.client.o.Now()
	return t.conn.out.message(t.pool)
}

// remove ends the ticket. The caller holds the lock.
func (t *Ticket) remove() {
	t.gone = true
	delete(t.conn.tickets, t.id)
}

// run opens a connection, and sends what is collected for it until it ends.
func (c *Client) run(conn *clientConn) {
	reason, err := c.serve(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	conn.lost = true
	if c.conns[conn.coordinator.Address] == conn {
		delete(c.conns, conn.coordinator.Address)
	}
	for name, s := range c.states {
		if s.conn == conn {
			delete(c.states, name)
		}
	}
	waiting := len(conn.tickets)
	for _, t := range conn.tickets {
		t.remove()
		close(t.turns)
	}
	if reason == "" || c.ctx.Err() != nil {
		return // idle, or this daemon ends
	}
	c.backoff[conn.coordinator.Address] = now.Add(lostBackoff)
	c.o.Metrics.AdmissionCoordinatorLost(reason)
	c.o.Logger.WithFields(log.Fields{"coordinator": conn.coordinator.Instance, "reason": reason, "waiting": waiting}).WithError(err).Warn("coordinator lost")
}

// serve opens the connection and runs it. The reason is empty if it was closed because it was idle.
func (c *Client) serve(conn *clientConn) (reason string, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, firstReplyTimeout+silentChecks*silenceCheckInterval)
	nc, err := c.o.Dial(ctx, conn.coordinator.Address)
	cancel()
	if err != nil {
		return lostUnreachable, err
	}
	defer nc.Close()
	defer context.AfterFunc(c.ctx, func() { nc.Close() })()
	if err := write(nc, 0, &message{Hello: &hello{Instance: c.o.Instance, Incarnation: c.o.Incarnation}}); err != nil {
		return lostClosed, err
	}
	ended := make(chan error, 1)
	go func() { ended <- c.read(conn, nc) }()
	check := time.NewTicker(silenceCheckInterval)
	defer check.Stop()
	for id, silences := uint64(0), 0; ; {
		select {
		case err := <-ended:
			return lostClosed, err
		case <-conn.out.ready:
			for _, m := range c.take(conn) {
				id++
				if err := write(nc, id, m); err != nil {
					return lostClosed, err
				}
			}
		case <-check.C:
			silent, idle := c.check(conn)
			if idle {
				return "", nil
			}
			if !silent {
				silences = 0
			} else if silences++; silences >= silentChecks {
				return lostSilent, errors.New("no sign of life")
			}
		}
	}
}

// take returns what is to be sent.
func (c *Client) take(conn *clientConn) []*message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return conn.out.take()
}

// check reports whether the coordinator is silent although requests wait, and whether the connection
// has not been used for a while. It then takes the connection out of use.
func (c *Client) check(conn *clientConn) (silent, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	if len(conn.tickets) == 0 {
		if now.Sub(conn.usedAt) < clientIdleTimeout {
			return false, false
		}
		delete(c.conns, conn.coordinator.Address)
		return false, true
	}
	if conn.receivedAt.After(conn.waitingSince) {
		return now.Sub(conn.receivedAt) >= silenceTimeout, false
	}
	return now.Sub(conn.waitingSince) >= firstReplyTimeout, false
}

// read reads the coordinator's messages until the connection ends.
func (c *Client) read(conn *clientConn, nc net.Conn) error {
	r := wire.NewReader(nc, maxFrame)
	for named := false; ; {
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
		if !named {
			if m.Hello == nil || m.Hello.Instance != conn.coordinator.Instance {
				return errors.New("another daemon has the coordinator's address")
			}
			named = true
		}
		c.handle(conn, env.ID, &m)
	}
}

// handle applies a message of a coordinator.
func (c *Client) handle(conn *clientConn, id uint64, m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Now()
	if id <= conn.lastID {
		c.drops.drop(now, DropDuplicate, conn.coordinator.Instance, m.Pool)
		return
	}
	conn.lastID, conn.receivedAt, conn.usedAt = id, now, now
	if m.HasState {
		c.states[m.Pool] = poolState{conn: conn, at: now, ranks: m.State}
	}
	for _, request := range m.Rejected {
		if t := conn.tickets[request]; t != nil {
			t.remove()
			close(t.turns)
		}
	}
	for _, got := range m.Turns {
		c.grant(now, conn, m.Pool, got)
	}
}

// grant passes a turn to its request. A turn of a request that has left needs no answer: its leave is
// on the way.
func (c *Client) grant(now time.Time, conn *clientConn, pool string, got turn) {
	t := conn.tickets[got.Request]
	if t == nil || t.pool != pool {
		c.drops.drop(now, DropRequest, conn.coordinator.Instance, pool)
		return
	}
	select {
	case t.turns <- GrantedTurn{Number: got.Number, Engine: got.Engine, At: now}:
	default: // an earlier turn lies there unused; this one lapses
	}
}
