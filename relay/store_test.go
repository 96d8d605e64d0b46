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
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/quarantine"
)

var quiet = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

// source is a store of one feed. It answers at once.
type source struct {
	mu      sync.Mutex
	records []string
	down    bool
	waits   []time.Duration // of the calls
}

func (s *source) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *source) calls() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration{}, s.waits...)
}

func (s *source) Newest(context.Context, fleet.Feed) (fleet.Batch, error) { return s.read(0, 0) }

func (s *source) Read(_ context.Context, _ fleet.Feed, from uint64, wait time.Duration) (fleet.Batch, error) {
	return s.read(from, wait)
}

func (s *source) read(from uint64, wait time.Duration) (fleet.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
	if s.down {
		return fleet.Batch{}, errors.New("the store is down")
	}
	return gone(uint64(len(s.records)), s.records[from:]...), nil
}

// directory lists no reader.
type directory struct{}

func (directory) Readers(context.Context) ([]Peer, error) { return nil, nil }

// single is one daemon's reading of the store, at a time that stands still.
type single struct {
	*Store
	journal *Journal
	asked   *Asked
	source  *source
	now     time.Time
}

var (
	testPace = PaceOf(leastBound)
	me       = peer("me", "a", 192)
)

// newSingle returns a daemon of a large fleet that was told of an order.
func newSingle(s *source, order ...Peer) *single {
	out := &single{journal: NewJournal(), asked: NewAsked(), source: s, now: time.Now()}
	roster := NewRoster(me, nil)
	roster.Told(Succession{Order: order, Daemons: 300})
	out.Store = NewStore(Options{
		Direct: s, Directory: directory{}, Journal: out.journal, Roster: roster, Asked: out.asked, Dial: DialTCP, Pace: testPace,
		Quarantine: keeper(), Samples: NewSamples(out.now), Learned: func([]estimate.Sample) {}, Self: me, Random: rand.New(rand.NewPCG(1, 1)), Logger: quiet, Now: func() time.Time { return out.now },
	})
	return out
}

// follower returns a daemon whose reader listens at an address, and which is next itself.
func follower(s *source, reader string) *single {
	return newSingle(s, Peer{Instance: "reader", DataCentre: "a", Address: reader}, me)
}

// serve runs a reader's server over a journal and returns its address.
func serve(t *testing.T, j *Journal) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	s := NewServer(ServerOptions{Journal: j, Roster: NewRoster(peer(address, "a", 800), nil), Asked: NewAsked(), Samples: NewSamples(time.Now()), Quarantine: keeper(), Pace: testPace, Logger: quiet, Now: time.Now})
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

// readFrom reads and ends the connection that was kept.
func (d *single) readFrom(t *testing.T, from uint64) (fleet.Batch, error) {
	t.Helper()
	t.Cleanup(d.clients[fleet.FeedUpstreams].close)
	return d.Read(t.Context(), fleet.FeedUpstreams, from, 2*time.Second)
}

// journalOf returns a journal whose state is of offset 1, as of a time, with records
// after it.
func journalOf(heard time.Time, records ...string) *Journal {
	j := NewJournal()
	j.Add(heard, fleet.FeedUpstreams, 0, puts(1, "a", "b", "z"))
	if len(records) > 0 {
		j.Add(heard, fleet.FeedUpstreams, 1, gone(uint64(1+len(records)), records...))
	}
	return j
}

func TestFollowersLeaveTheStoreAlone(t *testing.T) {
	d := follower(&source{}, serve(t, journalOf(time.Now(), "a", "b")))
	b, err := d.readFrom(t, 1)
	if err != nil || b.Next != 3 {
		t.Fatalf("%+v, %v", b, err)
	}
	if diff := cmp.Diff([]string{"a", "b"}, names(b)); diff != "" {
		t.Error(diff)
	}
	t.Cleanup(d.clients[fleet.FeedUpstreams].close)
	all, err := d.Newest(t.Context(), fleet.FeedUpstreams)
	if err != nil || !all.Whole || all.Next != 3 {
		t.Errorf("as a whole: %+v, %v", all, err)
	}
	if calls := d.source.calls(); len(calls) != 0 {
		t.Errorf("calls to the store: %v", calls)
	}
}

// Symptom: a daemon in touch gives new work to upstreams that left, as its reader is
// not in touch.
// Sequence: the reader is cut from the store, stands still, ends, or never was one; a
// record comes; the follower asks.
// Cause: an answer, or a silence, that is taken for nothing new.
func TestFollowersDoWithoutTheirReader(t *testing.T) {
	for name, reader := range map[string]func(*testing.T) string{
		"cut from the store": func(t *testing.T) string {
			return serve(t, journalOf(time.Now().Add(-testPace.MaxAge)))
		},
		"cut while it is asked": func(t *testing.T) string {
			return serve(t, journalOf(time.Now().Add(testPace.AnswerWithin/2-testPace.MaxAge)))
		},
		"waits for the store": func(t *testing.T) string {
			j := journalOf(time.Now().Add(-testPace.MaxAge))
			j.Away()
			return serve(t, j)
		},
		"not read yet": func(t *testing.T) string { return serve(t, NewJournal()) },
		"records missing": func(t *testing.T) string {
			j := journalOf(time.Now())
			j.Add(time.Now(), fleet.FeedUpstreams, 5, gone(6, "z"))
			return serve(t, j)
		},
		"stands still": func(t *testing.T) string { return listen(t, func(net.Conn) {}) },
		"gone":         func(*testing.T) string { return "127.0.0.1:1" },
		"ends":         func(t *testing.T) string { return listen(t, func(c net.Conn) { c.Close() }) },
		"garbled": func(t *testing.T) string {
			return listen(t, func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) })
		},
		"answers something else": func(t *testing.T) string {
			return listen(t, func(c net.Conn) {
				if err := send(c, wire.Envelope{Type: wire.TypeBoard, ID: 1, Reply: true}, &readReply{}); err != nil {
					t.Error(err)
				}
			})
		},
		"records garbled": func(t *testing.T) string {
			return listen(t, func(c net.Conn) {
				if err := send(c, wire.Envelope{Type: wire.TypeFeedRead, ID: 1, Reply: true}, &readReply{Batch: []byte{9}}); err != nil {
					t.Error(err)
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := follower(&source{records: []string{"a", "b"}}, reader(t))
			b, err := d.readFrom(t, 1)
			if err != nil || b.Next != 2 {
				t.Fatalf("%+v, %v", b, err)
			}
			if calls := d.source.calls(); len(calls) != 1 {
				t.Errorf("calls to the store: %v", calls)
			}
		})
	}
}

// listen accepts connections, hands each to f and closes them at the test's end.
func listen(t *testing.T, f func(net.Conn)) string {
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

// Symptom: a record reaches followers seconds late.
// Sequence: a follower's call waits at the reader; the reader reads the record.
// Cause: a call that waits until its time is over.
func TestServerAnswersWithTheRecord(t *testing.T) {
	j := journalOf(time.Now())
	d := follower(&source{}, serve(t, j))
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { j.Add(time.Now(), fleet.FeedUpstreams, 1, gone(2, "b")) })
	for from := uint64(1); from < 2; { // an answer without a record may come first
		b, err := d.readFrom(t, from)
		if err != nil {
			t.Fatal(err)
		}
		from = b.Next
	}
	if calls := d.source.calls(); len(calls) != 0 {
		t.Errorf("calls to the store: %v", calls)
	}
}

// Symptom: nobody reads the store.
// Sequence: each of two daemons takes the other for the reader.
// Cause: a daemon that is asked went on asking.
func TestWhoIsAskedReadsItself(t *testing.T) {
	d := follower(&source{records: []string{"a", "b"}}, serve(t, journalOf(time.Now())))
	d.asked.Note(d.now)
	if b, err := d.readFrom(t, 1); err != nil || b.Next != 2 {
		t.Errorf("%+v, %v", b, err)
	}
	if diff := cmp.Diff([]time.Duration{testPace.Hold}, d.source.calls()); diff != "" {
		t.Error(diff)
	}
	d.now = d.now.Add(askedTime)
	if step := d.step(fleet.FeedUpstreams); step.Do != AskPeer {
		t.Error("it reads itself for ever")
	}
}

// Symptom: a follower whose reader was lost waits for one that waits itself.
// Sequence: the reader stands still; a second follower asks the next in the succession,
// whose own call to the reader is under way.
// Cause: the next one waits for the reader's answer to the end.
func TestWhoIsAskedGivesItsOwnCallUp(t *testing.T) {
	arrived := make(chan struct{}, 1)
	d := follower(&source{records: []string{"a", "b"}}, listen(t, func(net.Conn) { arrived <- struct{}{} }))
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-arrived
		d.asked.Note(d.now)
	})
	if b, err := d.readFrom(t, 1); err != nil || b.Next != 2 {
		t.Errorf("%+v, %v", b, err)
	}
	if len(d.o.Roster.SilentOnes(d.now)) != 0 {
		t.Error("the reader counts as silent")
	}
}

// Symptom: upstreams that live are dropped after an outage of the store.
// Sequence: the store is away while the reader reads; it returns with records of
// leases that ran out; a follower that read nothing meanwhile takes them.
// Cause: records that were passed on as any others.
func TestFirstReadingAfterAnOutageSaysSo(t *testing.T) {
	s := &source{records: []string{"a"}}
	d := newSingle(s, me)
	d.journal.Add(d.now, fleet.FeedUpstreams, 0, puts(0, "a"))
	s.setDown(true)
	if _, err := d.readFrom(t, 0); err == nil {
		t.Fatal("no error from a store that is down")
	}
	if !d.journal.Look(d.now, fleet.FeedUpstreams, 0, false).Away {
		t.Error("followers are not told that the store is away")
	}
	s.setDown(false)
	d.now = d.now.Add(2 * probeMost)
	first, err := d.readFrom(t, 0)
	if err != nil || !first.Away {
		t.Errorf("first reading: away %t, %v", first.Away, err)
	}
	if diff := cmp.Diff([]time.Duration{2 * time.Second, 0}, s.calls()); diff != "" {
		t.Errorf("the first reading after a failure waits: %s", diff)
	}
	if l := d.journal.Look(d.now, fleet.FeedUpstreams, 0, false); !l.Batch.Away || l.Away {
		t.Errorf("followers are told %+v", l)
	}
	if next, err := d.readFrom(t, 1); err != nil || next.Away {
		t.Errorf("second reading: away %t, %v", next.Away, err)
	}
}

// Load: fifty upstreams register within seconds, each with a record of its own.
func TestRecordsAreGathered(t *testing.T) {
	d := newSingle(&source{records: []string{"a"}}, me)
	if _, err := d.readFrom(t, 0); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		later time.Duration
		asked bool
		want  time.Duration
	}{
		{100 * time.Millisecond, false, testPace.Gather - 100*time.Millisecond},
		{100 * time.Millisecond, true, testPace.SharedGather - 100*time.Millisecond},
		{testPace.Gather, false, 0},
	} {
		d.now = d.news[fleet.FeedUpstreams].Add(tc.later)
		d.asked = NewAsked()
		d.o.Asked = d.asked
		if tc.asked {
			d.asked.Note(d.now)
		}
		if got := d.pause(fleet.FeedUpstreams); got != tc.want {
			t.Errorf("%v after records, asked %t: pause of %v, want %v", tc.later, tc.asked, got, tc.want)
		}
	}
}

// The times leave a follower of a reader that is cut off half of the bound, and a reader
// that is well is never taken for one that is cut off.
func TestPace(t *testing.T) {
	for _, bound := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second, 14 * time.Second} {
		p := PaceOf(bound)
		if p.Hold+p.SharedGather >= p.MaxAge {
			t.Errorf("%v: a word may be %v old, of at most %v", bound, p.Hold+p.SharedGather, p.MaxAge)
		}
		if late := max(p.MaxAge, p.AnswerWithin+p.Slack); late > max(bound, leastBound)/2 {
			t.Errorf("%v: a lost reader is noticed after %v", bound, late)
		}
	}
}

func TestServerEndsConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerOptions{Journal: journalOf(time.Now(), "a"), Roster: NewRoster(peer("r", "a", 1), nil), Asked: NewAsked(), Samples: NewSamples(time.Now()), Quarantine: keeper(), Pace: testPace, Logger: quiet, Now: time.Now})
	s.Listen(ln)
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	d := follower(&source{records: []string{"a", "b"}}, ln.Addr().String())
	if b, err := d.readFrom(t, 1); err != nil || len(b.Changes) != 1 {
		t.Fatalf("%+v, %v", b, err)
	}
	stop()
	wg.Wait() // would hang with a connection that is kept
	if b, err := d.readFrom(t, 1); err != nil || b.Next != 2 {
		t.Errorf("%+v, %v", b, err)
	}
	if calls := d.source.calls(); len(calls) != 1 {
		t.Errorf("calls to the store: %v", calls)
	}
}

// A call that waits at its reader ends with its context, and so does its connection.
func TestCallEndsWithItsContext(t *testing.T) {
	arrived := make(chan struct{}, 1)
	address := listen(t, func(net.Conn) { arrived <- struct{}{} })
	ctx, cancel := context.WithCancel(t.Context())
	c := &client{dial: DialTCP}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-arrived
		cancel()
	})
	if _, _, err := c.read(ctx, address, readCall{Feed: fleet.FeedUpstreams, Wait: 2 * time.Second}, time.Second); err == nil {
		t.Error("an answer of a reader that says nothing")
	}
	if c.conn != nil {
		t.Error("the connection is kept")
	}
}

// keeper returns the quarantine of a daemon of which nothing is known.
func keeper() *quarantine.Keeper {
	return quarantine.NewKeeper(quarantine.Options{Logger: quiet, Now: time.Now})
}
