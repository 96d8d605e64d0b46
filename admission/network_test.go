package admission

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// testClock is a clock that tests advance.
type testClock struct{ nanos atomic.Int64 }

func (c *testClock) now() time.Time { return time.Unix(1e9, c.nanos.Load()) }

func (c *testClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// recorder is a Metrics that passes reasons on.
type recorder struct{ dropped, lost chan string }

func newRecorder() recorder {
	return recorder{dropped: make(chan string, 100), lost: make(chan string, 100)}
}

func (recorder) AdmissionWaiting(int, int)                   {}
func (recorder) AdmissionTurns(string, uint64)               {}
func (recorder) AdmissionReservations(string, uint64)        {}
func (r recorder) AdmissionDropped(reason string)            { r.dropped <- reason }
func (r recorder) AdmissionCoordinatorLost(reason string)    { r.lost <- reason }
func testLogger() log.Interface                              { return &log.Logger{Handler: discard.New()} }
func dialTest(_ context.Context, a string) (net.Conn, error) { return net.Dial("tcp", a) }

// site is a coordinator on a loopback listener.
type site struct {
	t        *testing.T
	clock    *testClock
	server   *Server
	draining atomic.Bool
	metrics  recorder
	ln       net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

const testPool = "decode"

// newSite starts a coordinator. If answer is not nil, it gets the connections in place of the server.
func newSite(t *testing.T, answer func(net.Conn)) *site {
	s := &site{t: t, clock: &testClock{}, metrics: newRecorder()}
	s.server = NewServer(ServerOptions{
		Instance: "coordinator", Incarnation: 1, Known: func(pool string) bool { return pool == testPool },
		Draining: s.draining.Load, Metrics: s.metrics, Logger: testLogger(), Now: s.clock.now,
	})
	var err error
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			if answer == nil {
				wg.Go(func() { s.serve(c) })
			} else {
				wg.Go(func() { answer(c) })
			}
		}
	})
	t.Cleanup(func() {
		s.ln.Close()
		s.closeConns()
		wg.Wait()
	})
	return s
}

// serve serves a connection as relay.Server does.
func (s *site) serve(c net.Conn) {
	defer c.Close()
	r := wire.NewReader(c, wire.MaxFrame)
	if env, _, err := r.Read(); err == nil {
		_ = s.server.Serve(context.Background(), c, r, env.Body)
	}
}

func (s *site) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// newClient returns a daemon whose coordinator is at an address.
func (s *site) newClient(instance, address string) (*Client, recorder) {
	m := newRecorder()
	c := NewClient(ClientOptions{
		Instance: instance, Incarnation: 1, Dial: dialTest, Metrics: m, Logger: testLogger(), Now: s.clock.now,
		Coordinator: func(string) (Coordinator, bool) { return Coordinator{Instance: "coordinator", Address: address}, true },
	})
	s.t.Cleanup(c.Close)
	return c, m
}

func (s *site) address() string { return s.ln.Addr().String() }

// wantTurn returns the next turn of a ticket.
func wantTurn(t *testing.T, ticket *Ticket) GrantedTurn {
	t.Helper()
	turn, ok := <-ticket.Turns()
	if !ok {
		t.Fatal("the coordinator was lost")
	}
	return turn
}

// wantLost waits until a ticket has no coordinator any more, checks the reason, and that the
// coordinator is then left alone for a second.
func (s *site) wantLost(c *Client, m recorder, ticket *Ticket, reason string) {
	s.t.Helper()
	if _, ok := <-ticket.Turns(); ok {
		s.t.Fatal("got a turn")
	}
	if got := <-m.lost; got != reason {
		s.t.Errorf("lost as %s, want %s", got, reason)
	}
	if c.Join(testPool, Request{}) != nil {
		s.t.Error("a request joined at a coordinator that was lost a moment ago")
	}
	s.clock.advance(lostBackoff)
	if c.Join(testPool, Request{}) == nil {
		s.t.Error("no request joined a second later")
	}
}

// Guards against requests that wait for turns of a coordinator that is gone: they have to ask without
// turns within a few keepaliveIntervals.
func TestCoordinatorLost(t *testing.T) {
	t.Run("killed", func(t *testing.T) {
		s := newSite(t, nil)
		c, m := s.newClient("a", s.address())
		ticket := c.Join(testPool, Request{Rank: 1})
		wantTurn(t, ticket)
		s.ln.Close()
		s.closeConns()
		s.wantLost(c, m, ticket, lostClosed)
	})
	t.Run("unreachable", func(t *testing.T) {
		s := newSite(t, nil)
		s.ln.Close()
		c, m := s.newClient("a", s.address())
		s.wantLost(c, m, c.Join(testPool, Request{}), lostUnreachable)
	})
	t.Run("frozen", func(t *testing.T) {
		accepted := make(chan bool, 10)
		s := newSite(t, func(net.Conn) { accepted <- true })
		c, m := s.newClient("a", s.address())
		ticket := c.Join(testPool, Request{})
		<-accepted
		s.clock.advance(firstReplyTimeout)
		s.wantLost(c, m, ticket, lostSilent)
	})
	t.Run("frozen later", func(t *testing.T) {
		s := newSite(t, nil)
		c, m := s.newClient("a", s.address())
		ticket := c.Join(testPool, Request{Rank: 1})
		wantTurn(t, ticket)
		s.server.mu.Lock() // nothing is sent from here on
		s.clock.advance(silenceTimeout)
		s.wantLost(c, m, ticket, lostSilent)
		s.server.mu.Unlock()
	})
	t.Run("draining", func(t *testing.T) {
		s := newSite(t, nil)
		c, m := s.newClient("a", s.address())
		ticket := c.Join(testPool, Request{Rank: 1})
		turn := wantTurn(t, ticket)
		s.draining.Store(true)
		ticket.Report(turn.Number, false, 1)
		s.wantLost(c, m, ticket, lostClosed)
	})
	t.Run("another daemon at its address", func(t *testing.T) {
		s := newSite(t, nil)
		s.server.o.Instance = "other"
		c, m := s.newClient("a", s.address())
		s.wantLost(c, m, c.Join(testPool, Request{}), lostClosed)
	})
	t.Run("unknown pool", func(t *testing.T) {
		s := newSite(t, nil)
		c, _ := s.newClient("a", s.address())
		if _, ok := <-c.Join("other", Request{}).Turns(); ok {
			t.Error("got a turn of an unknown pool")
		}
		if got := <-s.metrics.dropped; got != DropPool {
			t.Errorf("dropped as %s", got)
		}
	})
}

// oneWay forwards what daemons send to a coordinator, and drops what it answers.
func oneWay(t *testing.T, to string) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				return
			}
			go func() { _, _ = up.(*net.TCPConn).ReadFrom(c); up.Close() }()
			go func() {
				buf := make([]byte, 1024)
				for {
					if _, err := up.Read(buf); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln
}

// Guards against room that is lost while a daemon's path from the coordinator is cut: its turns lapse,
// and the next daemon gets the room.
func TestDaemonCutOffOneWay(t *testing.T) {
	s := newSite(t, nil)
	deaf, m := s.newClient("deaf", oneWay(t, s.address()).Addr().String())
	ticket := deaf.Join(testPool, Request{Rank: 0})
	s.awaitWaiting(1)
	s.server.mu.Lock()
	s.server.pools[testPool].queue.Release(s.clock.now(), "e", 0)
	s.server.mu.Unlock()
	s.clock.advance(turnTimeout) // ends what the deaf daemon has got; it counts its coordinator as lost
	s.wantLost(deaf, m, ticket, lostSilent)
	other, _ := s.newClient("other", s.address())
	wantTurn(t, other.Join(testPool, Request{Rank: 1}))
}

// Guards against room that is lost with a daemon that dies while it holds a turn.
func TestDaemonDiesHoldingTurn(t *testing.T) {
	s := newSite(t, nil)
	dying, _ := s.newClient("dying", s.address())
	held := dying.Join(testPool, Request{Rank: 0})
	wantTurn(t, held)
	s.server.mu.Lock()
	q := s.server.pools[testPool].queue
	for _, e := range q.order {
		e.engine = "e"
	}
	q.searchCredit, q.searchRate, q.creditAt = 0, 0, s.clock.now()
	s.server.mu.Unlock()
	other, _ := s.newClient("other", s.address())
	ticket := other.Join(testPool, Request{Rank: 1})
	s.awaitWaiting(2)
	dying.Close()
	if turn := wantTurn(t, ticket); turn.Engine != "e" {
		t.Errorf("turn %+v, want one at e", turn)
	}
}

// awaitWaiting waits until n requests wait at the coordinator.
func (s *site) awaitWaiting(n int) {
	s.t.Helper()
	waittest.Until(s.t, "requests wait at the coordinator", func() bool {
		s.server.mu.Lock()
		defer s.server.mu.Unlock()
		p := s.server.pools[testPool]
		return p != nil && p.queue.Len() >= n
	})
}

// rawConn is a connection on which a test writes messages itself.
func (s *site) rawConn(h *hello) net.Conn {
	c, err := net.Dial("tcp", s.address())
	if err == nil {
		err = write(c, 0, &message{Hello: h})
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c
}

// Guards against messages that act although they come from an older process of a daemon, from nobody
// or twice.
func TestServerDropsMessages(t *testing.T) {
	s := newSite(t, nil)
	wantDropped := func(want string) {
		t.Helper()
		if got := <-s.metrics.dropped; got != want {
			t.Errorf("dropped as %s, want %s", got, want)
		}
	}
	joins := &message{Pool: testPool, Joins: []join{{Request: 1}}}
	c := s.rawConn(&hello{Instance: "a", Incarnation: 2})
	for range 2 {
		if err := write(c, 1, joins); err != nil {
			t.Fatal(err)
		}
	}
	wantDropped(DropDuplicate)
	if err := write(c, 2, joins); err != nil { // the same request again
		t.Fatal(err)
	}
	wantDropped(DropDuplicate)
	s.rawConn(&hello{Instance: "a", Incarnation: 1})
	wantDropped(DropIncarnation)
	s.rawConn(&hello{})
	wantDropped(DropUnnamed)
	s.rawConn(nil)
	wantDropped(DropUnnamed)
	s.server.mu.Lock()
	if got := s.server.pools[testPool].queue.Len(); got != 1 {
		t.Errorf("%d requests wait, want 1", got)
	}
	s.server.mu.Unlock()
	s.rawConn(&hello{Instance: "a", Incarnation: 3}) // a newer process of the daemon ends the older one's requests
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	for {
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			break
		}
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if got := s.server.pools[testPool].queue.Len(); got != 0 {
		t.Errorf("%d requests of an older process wait", got)
	}
}

// Guards against connections that stay open, and coordinators that go on working, when nobody waits.
func TestNothingHappensWhileNobodyWaits(t *testing.T) {
	s := newSite(t, nil)
	c, m := s.newClient("a", s.address())
	ticket := c.Join(testPool, Request{Rank: 1})
	ticket.Report(wantTurn(t, ticket).Number, true, 0)
	waittest.Until(t, "the coordinator rests and the connection is closed", func() bool {
		s.clock.advance(clientIdleTimeout)
		s.server.mu.Lock()
		defer s.server.mu.Unlock()
		return len(s.server.conns) == 0 && !s.server.ticking
	})
	if len(m.lost) > 0 {
		t.Errorf("an idle coordinator counts as lost: %s", <-m.lost)
	}
	if c.Contended(testPool, 9) {
		t.Error("requests seem to wait")
	}
	c.Released(testPool, "e", 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) != 0 {
		t.Error("a release opened a connection")
	}
}
