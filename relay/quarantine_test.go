//go:build !race

// See world_test.go for why these tests run without the race detector.

package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/durablelog"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/quarantine"
)

// quarantineBound is the time within which every daemon with a connection to others must
// refuse a request after a third upstream has ended during it.
const quarantineBound = 3 * time.Second

// quarantineTopic is one daemon's client of the quarantine log. It implements durablelog.Topic.
type quarantineTopic struct{ storeClient }

func (l quarantineTopic) Append(ctx context.Context, list []quarantine.Record) (logpos.Position, error) {
	return l.append(ctx, list, nil)
}

func (l quarantineTopic) AppendAt(ctx context.Context, at logpos.Position, list []quarantine.Record) (logpos.Position, error) {
	return l.append(ctx, list, &at)
}

// append appends records if the log ends at a position; nil means that it may end anywhere.
func (l quarantineTopic) append(ctx context.Context, list []quarantine.Record, at *logpos.Position) (end logpos.Position, err error) {
	if err := l.store.serveCall(ctx, l.instance, "append quarantine", 1); err != nil {
		return end, err
	}
	l.store.update(func() {
		if at != nil && *at != l.store.quarantineEnd() {
			err = durablelog.ErrEndMoved
			return
		}
		l.store.quarantineRecords = append(l.store.quarantineRecords, list...)
		end = l.store.quarantineEnd()
	})
	l.epochs.Observe(end.Epoch)
	return end, err
}

// quarantineEnd returns the end of the quarantine log; s.mu must be held.
func (s *fakeStore) quarantineEnd() logpos.Position {
	return logpos.Position{Epoch: s.epoch, Offset: uint64(len(s.quarantineRecords))}
}

func (l quarantineTopic) Read(ctx context.Context, from logpos.Position, wait time.Duration) ([]quarantine.Record, logpos.Position, error) {
	if err := l.store.serveCall(ctx, l.instance, "read quarantine", 1); err != nil {
		return nil, from, err
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for over := wait == 0; ; {
		l.store.mu.Lock()
		end, refused, changed := l.store.quarantineEnd(), l.store.down || l.store.refusedInstances[l.instance], l.store.changed
		if from.Offset > end.Offset {
			from.Offset = 0 // the oldest record that is left
		}
		list := slices.Clone(l.store.quarantineRecords[from.Offset:])
		l.store.mu.Unlock()
		if !refused {
			l.epochs.Observe(end.Epoch)
		}
		switch {
		case refused:
			return nil, from, errRefused
		case end.Epoch.After(from.Epoch):
			return nil, from, logpos.ErrRestored
		case from.Epoch.After(end.Epoch):
			return nil, from, errRefused
		case over || len(list) > 0:
			return list, end, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			over = true
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

// testDigest is the digest of the request during which upstreams end.
var testDigest = quarantine.DigestOf("fatal")

// recordEnd appends to the quarantine log that an upstream ended during the request with
// testDigest.
func (s *fakeStore) recordEnd(name string) {
	s.update(func() {
		s.quarantineRecords = append(s.quarantineRecords, quarantine.Record{Digest: testDigest, Upstream: name, Millis: time.Now().UnixMilli()})
	})
}

// countNotRefusing returns how many running daemons do not refuse a request with testDigest.
func (w *testFleet) countNotRefusing() (n int) {
	for _, d := range w.running() {
		if !d.quarantine.Refuses(time.Now(), quarantine.SubjectOf(testDigest)).Refused {
			n++
		}
	}
	return n
}

// Guards against daemons that still send a request after three upstreams have ended during
// it. The upstreams end half a second apart, and the fault of the test case occurs after the
// first one has ended. Followers must receive the records too, and a record must not be delayed
// because an earlier one was sent shortly before.
func TestEndsAreTold(t *testing.T) {
	refuse := func(w *testFleet, which func(i int, d *daemon) bool) {
		w.store.update(func() {
			for i, d := range w.daemons {
				w.store.refusedInstances[d.self.Instance] = which(i, d)
			}
		})
	}
	for _, tc := range []struct {
		name    string
		trouble func(w *testFleet)
	}{
		{"none", func(*testFleet) {}},
		{"readers killed", func(w *testFleet) { w.kill(w.readers()...) }},
		{"readers refused by the store", func(w *testFleet) {
			refuse(w, func(_ int, d *daemon) bool { return d.roster.IsReader() })
		}},
		{"a third refused by the store", func(w *testFleet) {
			refuse(w, func(i int, d *daemon) bool { return i%3 == 0 || d.roster.IsReader() })
		}},
		{"all killed, and started again", func(w *testFleet) {
			w.kill(w.daemons...)
			w.startAll(w.daemons)
		}},
		{"the store refuses all, and is back", func(w *testFleet) {
			w.store.update(func() { w.store.down = true })
			time.Sleep(10 * time.Second)
			w.store.update(func() { w.store.down = false })
		}},
		{"a data centre cut off from the others", func(w *testFleet) {
			cut := map[string]bool{}
			for _, d := range w.daemons {
				cut[d.self.Address] = d.self.DataCentre == "dc0"
			}
			w.network.setPartition(func(a, b string) bool { return cut[a] != cut[b] })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runOnFleets(t, func(t *testing.T, w *testFleet) {
				w.store.recordEnd("before")
				time.Sleep(500 * time.Millisecond)
				tc.trouble(w)
				w.store.recordEnd("second")
				time.Sleep(500 * time.Millisecond)
				w.store.recordEnd("third")
				time.Sleep(quarantineBound)
				if n := w.countNotRefusing(); n > 0 {
					t.Errorf("%d of %d daemons still send the request %v after the third end", n, len(w.running()), quarantineBound)
				}
			})
		})
	}
}

// countingQuarantine counts the responses with quarantine records. It stops the test if
// there are more than maxAnswers, the number that one follower may cause.
type countingQuarantine struct {
	*quarantine.Keeper
	maxAnswers int64
	stop       func()
	answers    atomic.Int64
}

// Since implements Quarantine.
func (c *countingQuarantine) Since(seen uint64) ([]quarantine.Record, uint64) {
	if c.answers.Add(1) > c.maxAnswers {
		c.stop()
	}
	return c.Keeper.Since(seen)
}

// newQuarantineServer returns a server with data that stays fresh for at least freshFor, and
// one quarantine record. It names another daemon as the reader.
func newQuarantineServer(self, reader Peer, records *countingQuarantine, freshFor time.Duration) *Server {
	records.Keeper = newQuarantine()
	records.ApplyRemote([]quarantine.Record{{Digest: testDigest, Upstream: "u", Millis: time.Now().UnixMilli()}})
	roster := NewRoster(self, nil)
	roster.SetSuccession(Succession{Order: []Peer{reader}, Daemons: 300})
	return NewServer(ServerOptions{
		Cache: newTestFeedCache(time.Now().Add(freshFor)), Roster: roster, Followers: NewFollowerActivity(), Samples: NewSamples(time.Now()),
		Quarantine: records, Timing: testTiming, Logger: discardLogger, Now: time.Now,
	})
}

// Guards against thousands of calls a second between a follower and two daemons that name
// each other as the reader. This happens while the store is unavailable: the follower asks
// the two daemons alternately. If it sent to one daemon the sequence number that it got from
// the other, that daemon would not recognize the number and would answer at once with all
// records.
func TestFollowerOfTwoByTurns(t *testing.T) {
	const length = 20 * time.Second
	most := 2 * int64(length/testTiming.AnswerWithin)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		links := &network{listeners: map[string]*pipeListener{}}
		first, second := peer("a:1", "a", 800), peer("b:1", "a", 800)
		news := map[Peer]*countingQuarantine{first: {maxAnswers: most, stop: cancel}, second: {maxAnswers: most, stop: cancel}}
		var wg sync.WaitGroup
		defer wg.Wait()
		for self, reader := range map[Peer]Peer{first: second, second: first} {
			s := newQuarantineServer(self, reader, news[self], length)
			s.Listen(links.listen(self.Address))
			wg.Go(func() {
				if err := s.Run(ctx); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(10 * time.Millisecond) // sequence numbers derive from start times, which must differ
		}
		d := newTestDaemon(&fakeFeedStore{down: true}, first, second)
		d.o.Now = time.Now
		for f := range d.clients {
			d.clients[f].dial = func(ctx context.Context, to string) (net.Conn, error) { return links.dial(ctx, testSelf.Address, to) }
		}
		for ctx.Err() == nil {
			if _, err := d.Read(ctx, fleet.FeedUpstreams, pos(1), 2*time.Second); err != nil && ctx.Err() == nil {
				t.Fatal(err)
			}
		}
		for p, c := range news {
			if n := c.answers.Load(); n < 2 || n > most {
				t.Errorf("%s has sent its records %d times in %v, want 2 to %d", p.Address, n, length, most)
			}
		}
	})
}
