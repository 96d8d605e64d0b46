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
	slowLinkBytesPerSecond = 2_500_000 // 20 Mbit/s
	slowLinkChunk          = 8 << 10   // bytes
)

// slowLink is the outgoing link that all connections of one daemon share.
type slowLink struct {
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
		chunk := p[n:min(n+slowLinkChunk, len(p))]
		c.link.send(len(chunk))
		var written int
		written, err = c.Conn.Write(chunk)
		n += written
	}
	return n, err
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
	time.Sleep(time.Duration(size) * time.Second / slowLinkBytesPerSecond)
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
				link := &slowLink{sending: make(chan struct{}, 1)}
				cache := NewFeedCache()
				readAt := time.Now().Add(time.Minute) // so that the snapshot stays fresh
				cache.Add(readAt, fleet.FeedUpstreams, 0, largeSnapshot(10_000))
				size := sendSnapshots(t, link, cache, followers)
				took := float64(followers*size) / slowLinkBytesPerSecond
				t.Logf("%d bytes a snapshot, %.1f s on the link, %d bytes sent, at most %d at once", size, took, link.total, link.maximum)
				if link.total > followers*size*3/2 {
					t.Errorf("%d bytes were sent for %d snapshots of %d", link.total, followers, size)
				}
				if limit := maxLargeReplyBytes + largeReplySize; link.maximum > limit { // other replies are small
					t.Errorf("%d bytes were sent at once, want at most %d", link.maximum, limit)
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

// sendSnapshots serves one snapshot to each of n followers, which ask until they have it,
// and returns its size in bytes.
func sendSnapshots(t *testing.T, link *slowLink, cache *FeedCache, n int) (size int) {
	timing := TimingFor(5 * time.Second)
	pipes := &network{listeners: map[string]*pipeListener{}}
	reader := peer("reader", "a", 800)
	server := NewServer(ServerOptions{Cache: cache, Roster: NewRoster(reader, nil), Followers: NewFollowerActivity(), Samples: NewSamples(time.Now()), Quarantine: newQuarantine(), Timing: timing, Logger: discardLogger, Now: time.Now})
	server.Listen(slowListener{pipes.listen(reader.Address), link})
	ctx, stop := context.WithCancel(t.Context())
	var running, followers conc.WaitGroup
	running.Go(func() {
		if err := server.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	var mu sync.Mutex
	for i := range n {
		followers.Go(func() {
			got := askUntilFresh(t, pipes, reader.Address, fmt.Sprintf("f%d", i), timing)
			mu.Lock()
			defer mu.Unlock()
			size = got
		})
	}
	followers.Wait()
	stop()
	running.Wait()
	return size
}

// askUntilFresh asks a reader for a snapshot until it gets one, for a minute at the most, and
// returns the size of the snapshot in bytes.
func askUntilFresh(t *testing.T, pipes *network, reader, name string, timing Timing) int {
	c := &client{dial: func(ctx context.Context, address string) (net.Conn, error) { return pipes.dial(ctx, name, address) }}
	defer c.close()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		var reply readResponse
		call := readRequest{Feed: fleet.FeedUpstreams, Whole: true, Wait: timing.AnswerWithin, Patient: true, Self: peer(name, "a", 192)}
		err := c.call(t.Context(), reader, wire.TypeFeedRead, timing.AnswerWithin+timing.Slack, &call, &reply)
		if err == nil && reply.Status == statusFresh {
			return len(reply.Batch)
		}
	}
	t.Errorf("%s has no snapshot after a minute", name)
	return 0
}
