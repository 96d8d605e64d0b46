//go:build !race

// See world_test.go for why these tests run without the race detector.

package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// slowRate and fastRate are link rates in bytes per second: 20 and 1,000 Mbit/s.
	slowRate = 2_500_000
	fastRate = 125_000_000
	// chunkSize is how many bytes of one connection a link sends before it turns to the next.
	chunkSize = 8 << 10
)

// slowLink is the outgoing link that all connections of one daemon share. The link of each
// receiver carries slowRate.
type slowLink struct {
	rate int // bytes per second
	// sending is a semaphore of the goroutine that sends a chunk. A mutex would stop the
	// virtual clock for those that wait.
	sending chan struct{}

	mu                       sync.Mutex
	total, inFlight, maximum int // bytes: sent, passed to Write calls that run, and the largest inFlight
}

// slowListener sends what is written to its connections over a slowLink.
type slowListener struct {
	net.Listener
	link *slowLink
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l.link}, err
}

// Write implements net.Conn.
func (c slowConn) Write(p []byte) (n int, err error) {
	c.link.begin(len(p))
	defer c.link.end(len(p))
	for n < len(p) && err == nil {
		chunk := p[n:min(n+chunkSize, len(p))]
		c.link.send(len(chunk))
		time.Sleep(transferTime(len(chunk), slowRate)) // on the receiver's link
		var written int
		written, err = c.Conn.Write(chunk)
		n += written
	}
	return n, err
}

// transferTime returns how long a link of the given rate takes to send size bytes.
func transferTime(size, rate int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(rate)
}

func (l *slowLink) begin(size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight += size
	l.maximum = max(l.maximum, l.inFlight)
}

func (l *slowLink) end(size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight -= size
}

func (l *slowLink) send(size int) {
	l.sending <- struct{}{}
	defer func() { <-l.sending }()
	time.Sleep(transferTime(size, l.rate))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total += size
}

// Load: all followers of a reader ask for a snapshot of 10,000 upstreams over its link of
// 20 Mbit/s at the same moment. Guards against snapshots of which none arrives because all
// share the link, and against a reader's memory that grows with its followers.
func TestSnapshotsOverSlowLink(t *testing.T) {
	for _, followers := range []int{40, 160} {
		t.Run(fmt.Sprint(followers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newSlowReader(t, slowRate)
				defer r.stop()
				size := r.sendSnapshots(t, followers)
				t.Logf("%d bytes a snapshot, %d sent, at most %d at once", size, r.link.total, r.link.maximum)
				if r.link.total > followers*size*3/2 {
					t.Errorf("%d bytes were sent for %d snapshots of %d", r.link.total, followers, size)
				}
				if limit := minLargeReplyLimit + largeReplySize; r.link.maximum > limit { // other replies are small
					t.Errorf("%d bytes were sent at once, want at most %d", r.link.maximum, limit)
				}
			})
		})
	}
}

// Load: all followers of a reader ask for a snapshot at the same moment; the reader's link
// carries 1,000 Mbit/s and the followers' links 20. Guards against a fast reader that waits
// for its followers' links, a few at a time: a fleet would then serve seconds late after a
// restart.
func TestSnapshotsOverSlowLinksOfFollowers(t *testing.T) {
	for _, followers := range []int{40, 160} {
		t.Run(fmt.Sprint(followers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newSlowReader(t, fastRate)
				defer r.stop()
				start := time.Now()
				size := r.sendSnapshots(t, followers)
				limit := transferTime(followers*size, fastRate) + 3*transferTime(size, slowRate)
				if took := time.Since(start); took > limit {
					t.Errorf("all have their snapshots after %v, want %v", took, limit)
				}
			})
		})
	}
}

// largeSnapshot returns a snapshot of n upstreams whose names do not compress well.
func largeSnapshot(n int) fleet.Batch {
	b := fleet.Batch{Next: 1, Whole: true}
	for i := range n {
		r := upstream(i)
		r.Name = fmt.Sprintf("u-%x", uint32(i)*2654435761)
		b.Changes = append(b.Changes, fleet.Change{Put: &r})
	}
	return b
}

// slowReader is a reader whose followers reach it over a slowLink.
type slowReader struct {
	link    *slowLink
	pipes   *network
	address string
	timing  Timing
	stop    func()
}

// newSlowReader starts a reader that has a snapshot of 10,000 upstreams and a link of the
// given rate, in bytes per second.
func newSlowReader(t *testing.T, rate int) *slowReader {
	cache := NewFeedCache()
	readAt := time.Now().Add(time.Minute) // so that the snapshot stays fresh
	cache.Add(readAt, fleet.FeedUpstreams, pos(0), largeSnapshot(10_000))
	self := peer("reader", "a", 800)
	r := &slowReader{
		link:    &slowLink{rate: rate, sending: make(chan struct{}, 1)},
		pipes:   &network{listeners: map[string]*pipeListener{}},
		address: self.Address,
		timing:  TimingFor(5 * time.Second),
	}
	server := NewServer(ServerOptions{Cache: cache, Roster: NewRoster(self, nil), Followers: NewFollowerActivity(), Samples: NewSamples(time.Now()), Quarantine: newQuarantine(), LinkRate: float64(rate), Timing: r.timing, Logger: discardLogger, Now: time.Now})
	server.Listen(slowListener{r.pipes.listen(self.Address), r.link})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := server.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	r.stop = func() {
		cancel()
		wg.Wait()
	}
	return r
}

// client returns a client of the follower with the given name.
func (r *slowReader) client(name string) *client {
	return &client{dial: func(ctx context.Context, address string) (net.Conn, error) { return r.pipes.dial(ctx, name, address) }}
}

// request returns a follower's request for a snapshot.
func (r *slowReader) request(name string) *readRequest {
	return &readRequest{Feed: fleet.FeedUpstreams, Whole: true, Wait: r.timing.AnswerWithin, Patient: true, Self: peer(name, "a", 192)}
}

// sendSnapshots has n followers ask until they have a snapshot, and returns its size in bytes.
func (r *slowReader) sendSnapshots(t *testing.T, n int) (size int) {
	var mu sync.Mutex
	var followers conc.WaitGroup
	for i := range n {
		followers.Go(func() {
			got := r.askUntilFresh(t, fmt.Sprintf("f%d", i))
			mu.Lock()
			defer mu.Unlock()
			size = got
		})
	}
	followers.Wait()
	return size
}

// askUntilFresh asks for a snapshot until it arrives, for a minute at the most, and returns
// its size in bytes.
func (r *slowReader) askUntilFresh(t *testing.T, name string) int {
	c := r.client(name)
	defer c.close()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		var reply readResponse
		err := c.call(t.Context(), r.address, wire.TypeFeedRead, r.timing.AnswerWithin+r.timing.Slack, r.request(name), &reply)
		if err == nil && reply.Status == statusFresh {
			return len(reply.Batch)
		}
	}
	t.Errorf("%s has no snapshot after a minute", name)
	return 0
}

// Guards against followers that ask for a snapshot and do not read it, as when they are
// frozen: they must not keep the others waiting for longer than they would wait themselves.
func TestFollowersThatDoNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowReader(t, slowRate)
		defer r.stop()
		for i := range 10 {
			name := fmt.Sprintf("frozen%d", i)
			conn, err := r.pipes.dial(t.Context(), name, r.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := writeMessage(conn, wire.Envelope{Type: wire.TypeFeedRead, ID: 1}, r.request(name)); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		size := r.sendSnapshots(t, 20)
		limit := 2*(r.timing.AnswerWithin+r.timing.Slack) + 2*transferTime(20*size, slowRate)
		if took := time.Since(start); took > limit {
			t.Errorf("the others have their snapshots after %v, want %v", took, limit)
		}
	})
}
