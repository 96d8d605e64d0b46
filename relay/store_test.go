package relay

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

func (s *source) Newest(context.Context, fleet.Feed) (fleet.Batch, error) {
	return s.read(0, 0)
}

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

// directory lists readers.
type directory []Peer

func (d directory) Readers(context.Context) ([]Peer, error) { return d, nil }

// readers returns a directory in which address is the reader of data centre a.
func readers(address string) directory {
	return append(directory{{Instance: "reader", DataCentre: "a", Address: address}}, fleetOf(minReaders)...)
}

// daemon is one daemon's reading of the store.
type daemon struct {
	*Store
	journal *Journal
	asked   *Asked
	source  *source
	now     time.Time
}

func newDaemon(s *source, d Directory, self Peer) *daemon {
	out := &daemon{journal: NewJournal(), asked: NewAsked(), source: s, now: time.Now()}
	out.Store = NewStore(Options{
		Direct: s, Directory: d, Journal: out.journal, Asked: out.asked, Self: self, Logger: quiet,
		Now: func() time.Time { return out.now },
	})
	return out
}

func follower(s *source, reader string) *daemon {
	return newDaemon(s, readers(reader), Peer{Instance: "me", DataCentre: "a", Address: "me"})
}

// serve runs a reader's server over a journal and returns its address.
func serve(t *testing.T, j *Journal) string {
	t.Helper()
	s := NewServer("127.0.0.1:0", j, NewAsked(), quiet)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(wg.Wait)
	t.Cleanup(stop)
	return s.Addr().String()
}

const longWait = 2 * time.Second

// readFrom reads and ends the connection that was kept.
func (d *daemon) readFrom(t *testing.T, from uint64) (fleet.Batch, error) {
	t.Helper()
	t.Cleanup(d.clients[fleet.FeedUpstreams].close)
	return d.Read(t.Context(), fleet.FeedUpstreams, from, longWait)
}

func TestFollowersLeaveTheStoreAlone(t *testing.T) {
	j := NewJournal()
	j.Add(time.Now(), fleet.FeedUpstreams, 0, gone(2, "a", "b"))
	d := follower(&source{}, serve(t, j))
	b, err := d.readFrom(t, 0)
	if err != nil || b.Next != 2 {
		t.Fatalf("%+v, %v", b, err)
	}
	if diff := cmp.Diff([]string{"a", "b"}, names(b)); diff != "" {
		t.Error(diff)
	}
	if calls := d.source.calls(); len(calls) != 0 {
		t.Errorf("calls to the store: %v", calls)
	}
}

// Load: a configuration of many routes, and thirty followers of a small instance: its
// link would take seconds to send it to all, more than they have to put it in force.
func TestConfigurationIsReadFromTheStore(t *testing.T) {
	j := NewJournal()
	j.Add(time.Now(), fleet.FeedUpstreams, 0, fleet.Batch{Next: 1, Changes: []fleet.Change{{Config: &fleet.Config{Version: 7}}}})
	d := follower(&source{records: []string{"new"}}, serve(t, j))
	if b, err := d.readFrom(t, 0); err != nil || b.Next != 1 || names(b)[0] != "new" {
		t.Fatalf("%+v, %v", b, err)
	}
	if diff := cmp.Diff([]time.Duration{0}, d.source.calls()); diff != "" {
		t.Error(diff)
	}
	if _, ok := d.pick(t.Context()); !ok {
		t.Error("the reader counts as lost")
	}
}

// A registration goes through frames as it is.
func TestRegistrationPassesWhole(t *testing.T) {
	want := fleet.Batch{Next: 2, Away: true, Changes: []fleet.Change{
		{Put: &fleet.Registration{Name: "a", Service: "s", Address: "10.0.0.1:1", DataCentre: "dc", Role: fleet.RoleDecode, Slots: 12, Draining: true}},
		{Gone: "b"},
	}}
	j := NewJournal()
	j.Add(time.Now(), fleet.FeedUpstreams, 0, want)
	d := follower(&source{}, serve(t, j))
	got, err := d.readFrom(t, 0)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Symptom: a daemon in touch gives new work to upstreams that left, as its reader is
// not in touch.
// Sequence: the reader is cut from the store, stands still, ends, never was one, or
// lacks the records; a record comes; the follower asks.
// Cause: an answer, or a silence, that is taken for nothing new.
func TestFollowersDoWithoutTheirReader(t *testing.T) {
	for name, reader := range map[string]func(*testing.T) string{
		"cut from the store": func(t *testing.T) string {
			j := NewJournal()
			j.Add(time.Now().Add(-MaxAge), fleet.FeedUpstreams, 1, fleet.Batch{Next: 1})
			return serve(t, j)
		},
		"cut while it is asked": func(t *testing.T) string {
			j := NewJournal()
			j.Add(time.Now().Add(AnswerWithin/2-MaxAge), fleet.FeedUpstreams, 1, fleet.Batch{Next: 1})
			return serve(t, j)
		},
		"not read yet": func(t *testing.T) string { return serve(t, NewJournal()) },
		"records missing": func(t *testing.T) string {
			j := NewJournal()
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
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := follower(&source{records: []string{"a", "b"}}, reader(t))
			b, err := d.readFrom(t, 1)
			if err != nil || b.Next != 2 {
				t.Fatalf("%+v, %v", b, err)
			}
			if diff := cmp.Diff([]time.Duration{0}, d.source.calls()); diff != "" {
				t.Errorf("the store was not asked at once: %s", diff)
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
	j := NewJournal()
	j.Add(time.Now(), fleet.FeedUpstreams, 0, gone(1, "a"))
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
	j := NewJournal()
	j.Add(time.Now(), fleet.FeedUpstreams, 0, gone(1, "a"))
	d := follower(&source{records: []string{"a", "b"}}, serve(t, j))
	d.asked.Note(d.now)
	if b, err := d.readFrom(t, 1); err != nil || b.Next != 2 {
		t.Errorf("%+v, %v", b, err)
	}
	if diff := cmp.Diff([]time.Duration{readWait}, d.source.calls()); diff != "" {
		t.Error(diff)
	}
	d.now = d.now.Add(askedTime)
	if _, ok := d.pick(t.Context()); !ok {
		t.Error("it reads itself for ever")
	}
}

// Symptom: upstreams that live are dropped after an outage of the store.
// Sequence: the store is away while the reader reads; it returns with records of
// leases that ran out; a follower that read nothing meanwhile takes them.
// Cause: records that were passed on as any others.
func TestFirstReadingAfterAnOutageSaysSo(t *testing.T) {
	s := &source{records: []string{"a"}}
	d := newDaemon(s, directory(nil), Peer{})
	s.setDown(true)
	if _, err := d.readFrom(t, 0); err == nil {
		t.Fatal("no error from a store that is down")
	}
	s.setDown(false)
	first, err := d.readFrom(t, 0)
	if err != nil || !first.Away {
		t.Errorf("first reading: away %t, %v", first.Away, err)
	}
	if kept, _, _ := d.journal.Since(fleet.FeedUpstreams, 0); !kept.Away {
		t.Error("followers are not told")
	}
	if next, err := d.readFrom(t, 1); err != nil || next.Away {
		t.Errorf("second reading: away %t, %v", next.Away, err)
	}
}

// Load: fifty upstreams register within seconds, each with a record of its own.
func TestRecordsAreGathered(t *testing.T) {
	s := &source{records: []string{"a"}}
	d := newDaemon(s, directory(nil), Peer{})
	if _, err := d.readFrom(t, 0); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		later time.Duration
		asked bool
		want  time.Duration
	}{
		{100 * time.Millisecond, false, gatherTime - 100*time.Millisecond},
		{100 * time.Millisecond, true, sharedGather - 100*time.Millisecond},
		{gatherTime, false, 0},
	} {
		d.now = d.news[fleet.FeedUpstreams].Add(tc.later)
		*d.asked = Asked{}
		if tc.asked {
			d.asked.Note(d.now)
		}
		if got := d.pause(fleet.FeedUpstreams); got != tc.want {
			t.Errorf("%v after records, asked %t: pause of %v, want %v", tc.later, tc.asked, got, tc.want)
		}
	}
}

func TestServerEndsConnections(t *testing.T) {
	j := NewJournal()
	j.Add(time.Now(), fleet.FeedUpstreams, 0, gone(1, "a"))
	s := NewServer("127.0.0.1:0", j, NewAsked(), quiet)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	d := follower(&source{records: []string{"a"}}, s.Addr().String())
	if b, err := d.readFrom(t, 0); err != nil || len(b.Changes) != 1 {
		t.Fatalf("%+v, %v", b, err)
	}
	stop()
	wg.Wait() // would hang with a connection that is kept
	if b, err := d.readFrom(t, 0); err != nil || b.Next != 1 {
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
	c := &client{feed: fleet.FeedUpstreams}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-arrived
		cancel()
	})
	if _, err := c.read(ctx, address, 0, longWait); err == nil {
		t.Error("an answer of a reader that says nothing")
	}
	if c.conn != nil {
		t.Error("the connection is kept")
	}
}
