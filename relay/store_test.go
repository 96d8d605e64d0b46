package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/quarantine"
)

var discardLogger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

// fakeFeedStore is a store with a single feed. It answers at once.
type fakeFeedStore struct {
	mu      sync.Mutex
	records []string
	down    bool
	waits   []time.Duration // the waits of all calls
}

// setDown makes the store fail all calls, or serve them again.
func (s *fakeFeedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// callWaits returns the wait parameter of each call so far.
func (s *fakeFeedStore) callWaits() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration{}, s.waits...)
}

func (s *fakeFeedStore) Snapshot(context.Context, fleet.Feed) (fleet.Batch, error) {
	return s.read(0, 0)
}

func (s *fakeFeedStore) Read(_ context.Context, _ fleet.Feed, from logpos.Position, wait time.Duration) (fleet.Batch, error) {
	return s.read(from.Offset, wait)
}

func (s *fakeFeedStore) read(from uint64, wait time.Duration) (fleet.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
	if s.down {
		return fleet.Batch{}, errors.New("the store is down")
	}
	return removals(uint64(len(s.records)), s.records[from:]...), nil
}

// emptyDirectory lists no readers.
type emptyDirectory struct{}

func (emptyDirectory) Readers(context.Context) ([]Peer, error) { return nil, nil }

// testDaemon is the Store of one daemon, with the parts that it uses and a clock that only
// the test moves.
type testDaemon struct {
	*Store
	cache     *FeedCache
	followers *FollowerActivity
	source    *fakeFeedStore
	now       time.Time
}

var (
	testTiming = TimingFor(minBound)
	testSelf   = peer("me", "a", 192)
)

// newTestDaemon returns a daemon of a large fleet that has received a succession with the
// given order.
func newTestDaemon(s *fakeFeedStore, order ...Peer) *testDaemon {
	out := &testDaemon{cache: NewFeedCache(), followers: NewFollowerActivity(), source: s, now: time.Now()}
	roster := NewRoster(testSelf, nil)
	roster.SetSuccession(Succession{Order: order, Daemons: 300})
	out.Store = NewStore(Options{
		Direct: s, Directory: emptyDirectory{}, Cache: out.cache, Roster: roster, Followers: out.followers, Dial: DialTCP, Timing: testTiming,
		Quarantine: newQuarantine(), Samples: NewSamples(out.now), OnSamples: func([]estimate.Sample) {}, Self: testSelf, Random: rand.New(rand.NewPCG(1, 1)), Logger: discardLogger, Now: func() time.Time { return out.now },
	})
	return out
}

// newFollower returns a daemon whose reader listens at an address. The daemon is the first
// successor of that reader.
func newFollower(s *fakeFeedStore, reader string) *testDaemon {
	return newTestDaemon(s, Peer{Instance: "reader", DataCentre: "a", Address: reader}, testSelf)
}

// serveFeedCache runs a reader's server with a feed cache and returns its address.
func serveFeedCache(t *testing.T, c *FeedCache) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	s := NewServer(ServerOptions{Cache: c, Roster: NewRoster(peer(address, "a", 800), nil), Followers: NewFollowerActivity(), Samples: NewSamples(time.Now()), Quarantine: newQuarantine(), Timing: testTiming, Logger: discardLogger, Now: time.Now})
	s.Listen(ln)
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(wg.Wait)
	t.Cleanup(stop)
	return address
}

// readFrom reads the upstreams feed and closes the connection at the end of the test.
func (d *testDaemon) readFrom(t *testing.T, from uint64) (fleet.Batch, error) {
	t.Helper()
	t.Cleanup(d.clients[fleet.FeedUpstreams].close)
	return d.Read(t.Context(), fleet.FeedUpstreams, pos(from), 2*time.Second)
}

// newTestFeedCache returns a feed cache with a snapshot at offset 1, followed by removals of
// the given names, both read at the given time.
func newTestFeedCache(readAt time.Time, removed ...string) *FeedCache {
	c := NewFeedCache()
	c.Add(readAt, fleet.FeedUpstreams, pos(0), snapshotOf(1, "a", "b", "z"))
	if len(removed) > 0 {
		c.Add(readAt, fleet.FeedUpstreams, pos(1), removals(uint64(1+len(removed)), removed...))
	}
	return c
}

func TestFollowersDoNotReadStore(t *testing.T) {
	d := newFollower(&fakeFeedStore{}, serveFeedCache(t, newTestFeedCache(time.Now(), "a", "b")))
	b, err := d.readFrom(t, 1)
	if err != nil || b.Next != 3 {
		t.Fatalf("%+v, %v", b, err)
	}
	if diff := cmp.Diff([]string{"a", "b"}, recordNames(b)); diff != "" {
		t.Error(diff)
	}
	t.Cleanup(d.clients[fleet.FeedUpstreams].close)
	all, err := d.Snapshot(t.Context(), fleet.FeedUpstreams)
	if err != nil || !all.Whole || all.Next != 3 {
		t.Errorf("snapshot: %+v, %v", all, err)
	}
	if calls := d.source.callWaits(); len(calls) != 0 {
		t.Errorf("calls to the store: %v", calls)
	}
}

// Guards against requests sent to draining upstreams by a daemon that could reach the store
// but whose reader can't. The reader is partitioned, frozen, stopped, or faulty. The
// follower must not take a stale or missing answer to mean that there are no new records,
// and must read the store itself.
func TestFollowersDoWithoutTheirReader(t *testing.T) {
	for name, reader := range map[string]func(*testing.T) string{
		"cut from the store": func(t *testing.T) string {
			return serveFeedCache(t, newTestFeedCache(time.Now().Add(-testTiming.MaxAge)))
		},
		"cut while it is asked": func(t *testing.T) string {
			return serveFeedCache(t, newTestFeedCache(time.Now().Add(testTiming.AnswerWithin/2-testTiming.MaxAge)))
		},
		"waits for the store": func(t *testing.T) string {
			j := newTestFeedCache(time.Now().Add(-testTiming.MaxAge))
			j.MarkStoreDown(time.Now())
			return serveFeedCache(t, j)
		},
		"not read yet": func(t *testing.T) string { return serveFeedCache(t, NewFeedCache()) },
		"records missing": func(t *testing.T) string {
			j := newTestFeedCache(time.Now())
			j.Add(time.Now(), fleet.FeedUpstreams, pos(5), removals(6, "z"))
			return serveFeedCache(t, j)
		},
		"stands still": func(t *testing.T) string { return listenAndHandle(t, func(net.Conn) {}) },
		"gone":         func(*testing.T) string { return "127.0.0.1:1" },
		"ends":         func(t *testing.T) string { return listenAndHandle(t, func(c net.Conn) { c.Close() }) },
		"garbled": func(t *testing.T) string {
			return listenAndHandle(t, func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) })
		},
		"answers something else": func(t *testing.T) string {
			return listenAndHandle(t, func(c net.Conn) {
				if err := writeMessage(c, wire.Envelope{Type: wire.TypeBoard, ID: 1, Reply: true}, &readResponse{}); err != nil {
					t.Error(err)
				}
			})
		},
		"records garbled": func(t *testing.T) string {
			return listenAndHandle(t, func(c net.Conn) {
				if err := writeMessage(c, wire.Envelope{Type: wire.TypeFeedRead, ID: 1, Reply: true}, &readResponse{Batch: []byte{9}}); err != nil {
					t.Error(err)
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newFollower(&fakeFeedStore{records: []string{"a", "b"}}, reader(t))
			b, err := d.readFrom(t, 1)
			if err != nil || b.Next != 2 {
				t.Fatalf("%+v, %v", b, err)
			}
			if calls := d.source.callWaits(); len(calls) != 1 {
				t.Errorf("calls to the store: %v", calls)
			}
		})
	}
}

// listenAndHandle returns an address at which it accepts connections until the end of the
// test. It calls f with each connection and closes all of them when the test ends.
func listenAndHandle(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			f(c)
		}
	})
	t.Cleanup(wg.Wait)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// Guards against records that reach followers seconds late. A follower's call that waits at
// the reader must be answered as soon as the reader gets a record, not when the wait is
// over.
func TestServerAnswersOnNewRecord(t *testing.T) {
	c := newTestFeedCache(time.Now())
	d := newFollower(&fakeFeedStore{}, serveFeedCache(t, c))
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.Add(time.Now(), fleet.FeedUpstreams, pos(1), removals(2, "b")) })
	for from := uint64(1); from < 2; { // the first answer may be empty
		b, err := d.readFrom(t, from)
		if err != nil {
			t.Fatal(err)
		}
		from = b.Next
	}
	if calls := d.source.callWaits(); len(calls) != 0 {
		t.Errorf("calls to the store: %v", calls)
	}
}

// Guards against two daemons that take each other for the reader, so that neither reads the
// store. A daemon with followers must read the store itself.
func TestDaemonWithFollowersReadsStore(t *testing.T) {
	d := newFollower(&fakeFeedStore{records: []string{"a", "b"}}, serveFeedCache(t, newTestFeedCache(time.Now())))
	d.followers.RecordCall(d.now)
	if b, err := d.readFrom(t, 1); err != nil || b.Next != 2 {
		t.Errorf("%+v, %v", b, err)
	}
	if diff := cmp.Diff([]time.Duration{testTiming.Hold}, d.source.callWaits()); diff != "" {
		t.Error(diff)
	}
	d.now = d.now.Add(followerTimeout)
	if step := d.step(fleet.FeedUpstreams); step.Action != AskPeer {
		t.Error("it still reads the store itself after followerTimeout")
	}
}

// Guards against a follower that waits for a successor which itself waits for the frozen
// reader. When a follower calls the successor, the successor must cancel its own call to
// the reader.
func TestFollowerCallCancelsOwnRead(t *testing.T) {
	arrived := make(chan struct{}, 1)
	d := newFollower(&fakeFeedStore{records: []string{"a", "b"}}, listenAndHandle(t, func(net.Conn) { arrived <- struct{}{} }))
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-arrived
		d.followers.RecordCall(d.now)
	})
	if b, err := d.readFrom(t, 1); err != nil || b.Next != 2 {
		t.Errorf("%+v, %v", b, err)
	}
	if len(d.o.Roster.Unreachable(d.now)) != 0 {
		t.Error("the reader counts as unreachable")
	}
}

// Guards against running upstreams that are dropped after an outage of the store. The first
// batch after the outage removes expired registrations. It must be marked with Away,
// also for followers that made no reads during the outage.
func TestFirstBatchAfterOutageIsMarkedAway(t *testing.T) {
	s := &fakeFeedStore{records: []string{"a"}}
	d := newTestDaemon(s, testSelf)
	d.cache.Add(d.now, fleet.FeedUpstreams, pos(0), snapshotOf(0, "a"))
	s.setDown(true)
	if _, err := d.readFrom(t, 0); err == nil {
		t.Fatal("no error from a store that is down")
	}
	if !d.cache.Get(d.now, fleet.FeedUpstreams, pos(0), false).StoreDown {
		t.Error("the cache does not report that the store is unavailable")
	}
	s.setDown(false)
	d.now = d.now.Add(2 * maxReaderProbeInterval)
	first, err := d.readFrom(t, 0)
	if err != nil || !first.Away {
		t.Errorf("first read: away %t, %v", first.Away, err)
	}
	if diff := cmp.Diff([]time.Duration{2 * time.Second, 0}, s.callWaits()); diff != "" {
		t.Errorf("the first read after a failure waits: %s", diff)
	}
	if l := d.cache.Get(d.now, fleet.FeedUpstreams, pos(0), false); !l.Batch.Away || l.StoreDown {
		t.Errorf("followers are sent %+v", l)
	}
	if next, err := d.readFrom(t, 1); err != nil || next.Away {
		t.Errorf("second read: away %t, %v", next.Away, err)
	}
}

// Guards against running upstreams that are dropped by a follower which reaches the store
// before its reader does after an outage. None of the follower's own calls has failed, but
// the removals in its first batch may still be of registrations that expired in the outage.
func TestFirstBatchAfterOutageOfReaderIsMarkedAway(t *testing.T) {
	readers := newTestFeedCache(time.Now().Add(-testTiming.MaxAge))
	readers.MarkStoreDown(time.Now())
	d := newFollower(&fakeFeedStore{records: []string{"a"}}, serveFeedCache(t, readers))
	d.cache.Add(d.now, fleet.FeedUpstreams, pos(0), snapshotOf(0, "a"))
	if first, err := d.readFrom(t, 0); err != nil || !first.Away {
		t.Errorf("first read: away %t, %v", first.Away, err)
	}
	if l := d.cache.Get(d.now, fleet.FeedUpstreams, pos(0), false); !l.Batch.Away {
		t.Errorf("followers are sent %+v", l)
	}
	if next, err := d.readFrom(t, 1); err != nil || next.Away {
		t.Errorf("second read: away %t, %v", next.Away, err)
	}
}

// Load: fifty upstreams register within seconds, each with a record of its own. The pause
// between two calls to the store must let one call read several of these records.
func TestRecordsAreReadInBatches(t *testing.T) {
	d := newTestDaemon(&fakeFeedStore{records: []string{"a"}}, testSelf)
	if _, err := d.readFrom(t, 0); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		later time.Duration
		asked bool
		want  time.Duration
	}{
		{100 * time.Millisecond, false, testTiming.Gather - 100*time.Millisecond},
		{100 * time.Millisecond, true, testTiming.SharedGather - 100*time.Millisecond},
		{testTiming.Gather, false, 0},
	} {
		d.now = d.lastRecords[fleet.FeedUpstreams].Add(tc.later)
		d.followers = NewFollowerActivity()
		d.o.Followers = d.followers
		if tc.asked {
			d.followers.RecordCall(d.now)
		}
		if got := d.delayBeforeRead(fleet.FeedUpstreams); got != tc.want {
			t.Errorf("%v after records, with followers %t: pause of %v, want %v", tc.later, tc.asked, got, tc.want)
		}
	}
}

// The timeouts leave the follower of a partitioned reader half of the propagation bound (see
// Timing), and the data of a healthy reader never becomes stale.
func TestTiming(t *testing.T) {
	for _, bound := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second, 14 * time.Second} {
		p := TimingFor(bound)
		if p.Hold+p.SharedGather >= p.MaxAge {
			t.Errorf("%v: data may be %v old, of at most %v", bound, p.Hold+p.SharedGather, p.MaxAge)
		}
		if late := max(p.MaxAge, p.AnswerWithin+p.Slack); late > max(bound, minBound)/2 {
			t.Errorf("%v: the loss of a reader is detected after %v", bound, late)
		}
	}
}

func TestServerClosesConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerOptions{Cache: newTestFeedCache(time.Now(), "a"), Roster: NewRoster(peer("r", "a", 1), nil), Followers: NewFollowerActivity(), Samples: NewSamples(time.Now()), Quarantine: newQuarantine(), Timing: testTiming, Logger: discardLogger, Now: time.Now})
	s.Listen(ln)
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	d := newFollower(&fakeFeedStore{records: []string{"a", "b"}}, ln.Addr().String())
	if b, err := d.readFrom(t, 1); err != nil || len(b.Changes) != 1 {
		t.Fatalf("%+v, %v", b, err)
	}
	stop()
	wg.Wait() // blocks if the server keeps a connection open
	if b, err := d.readFrom(t, 1); err != nil || b.Next != 2 {
		t.Errorf("%+v, %v", b, err)
	}
	if calls := d.source.callWaits(); len(calls) != 1 {
		t.Errorf("calls to the store: %v", calls)
	}
}

// When its context ends, a call that waits at the reader fails and closes its connection.
func TestCallEndsWithItsContext(t *testing.T) {
	arrived := make(chan struct{}, 1)
	address := listenAndHandle(t, func(net.Conn) { arrived <- struct{}{} })
	ctx, cancel := context.WithCancel(t.Context())
	c := &client{dial: DialTCP}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-arrived
		cancel()
	})
	if _, _, err := c.read(ctx, address, readRequest{Feed: fleet.FeedUpstreams, Wait: 2 * time.Second}, time.Second); err == nil {
		t.Error("no error from a reader that does not answer")
	}
	if c.conn != nil {
		t.Error("the connection is still open")
	}
}

// newQuarantine returns an empty quarantine.
func newQuarantine() *quarantine.Keeper {
	return quarantine.NewKeeper(quarantine.Options{Logger: discardLogger, Now: time.Now})
}

// Guards against daemons that are left without a successor. A reader of another data centre
// knows only the reader of this one; its succession must not replace the whole one.
func TestSuccessionComesFromOwnDataCentre(t *testing.T) {
	d := newTestDaemon(&fakeFeedStore{}, peer("r", "a", 800), peer("s", "a", 800))
	short := Succession{Order: []Peer{peer("r", "a", 800)}, Daemons: 300}
	d.recordPeerReply(peer("x", "b", 800), readResponse{Succession: &short, Version: 1}, nil)
	wantPeers(t, "after an answer from b", d.o.Roster.Order(d.now), "r", "s")
	d.recordPeerReply(peer("s", "a", 800), readResponse{Succession: &short, Version: 1}, nil)
	wantPeers(t, "after an answer from a", d.o.Roster.Order(d.now), "r")
}
