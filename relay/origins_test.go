package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/origin"
)

// fakeOriginKeeper is an OriginKeeper that answers queries without an ID with a reply, once released.
type fakeOriginKeeper struct {
	sole    origin.Reply
	release chan struct{} // nil: answers at once
	asked   atomic.Int64
}

func (*fakeOriginKeeper) Accept([]origin.Record) bool { return false }

func (k *fakeOriginKeeper) Lookup(ctx context.Context, q origin.Query) origin.Reply {
	if q.ID != (origin.ID{}) {
		return origin.Reply{Found: true}
	}
	k.asked.Add(1)
	if k.release != nil {
		select {
		case <-k.release:
		case <-ctx.Done():
		}
	}
	return k.sole
}

// serveOrigins runs the server of a daemon of data centre a that keeps records.
func serveOrigins(t *testing.T, k *fakeOriginKeeper) Peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := peer(ln.Addr().String(), "a", 800)
	s := NewServer(ServerOptions{
		Cache: newTestFeedCache(time.Now(), "a"), Roster: NewRoster(p, nil), Followers: NewFollowerActivity(), Samples: NewSamples(time.Now()), Quarantine: newQuarantine(),
		Origins: k, Timing: testTiming, Logger: discardLogger, Now: time.Now,
	})
	s.Listen(ln)
	runUntilCleanup(t, s.Run)
	return p
}

// newTestOrigins returns the Origins of a daemon of data centre a whose succession is given.
func newTestOrigins(t *testing.T, order ...Peer) *Origins {
	t.Helper()
	r := NewRoster(peer("me", "a", 1), []string{"a"})
	r.SetSuccession(Succession{Order: order, Daemons: 20, ShareCount: 20, LocalDaemons: 10})
	g := NewOrigins(OriginsOptions{Roster: r, Dial: DialTCP, Logger: discardLogger, Now: time.Now})
	t.Cleanup(func() {
		for _, conn := range g.conns {
			conn.client.close()
		}
	})
	return g
}

var soleQuery = origin.Query{Service: "llm", Window: time.Minute}

// Guards against a question for the only version of a service that makes many daemons read the store, and against
// one that ends at a reader which does not know.
func TestReaderIsAskedForTheOnlyVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		replies []origin.Reply // of the reader and its successors
		want    string
		several bool
		asked   int64
	}{
		"the reader knows":      {[]origin.Reply{{SoleVersion: "v1"}, {SoleVersion: "v1"}, {SoleVersion: "v1"}}, "v1", false, 1},
		"there are several":     {[]origin.Reply{{Several: true}, {SoleVersion: "v1"}, {SoleVersion: "v1"}}, "", true, 1},
		"the reader is cut off": {[]origin.Reply{{}, {SoleVersion: "v1"}, {SoleVersion: "v1"}}, "v1", false, 2},
		"the store is away":     {[]origin.Reply{{}, {}, {}, {}}, "", false, maxSoleAsked},
	} {
		t.Run(name, func(t *testing.T) {
			var keepers []*fakeOriginKeeper
			var order []Peer
			for _, reply := range tc.replies {
				k := &fakeOriginKeeper{sole: reply}
				keepers, order = append(keepers, k), append(order, serveOrigins(t, k))
			}
			got := newTestOrigins(t, order...).Ask(t.Context(), soleQuery)
			if got.SoleVersion != tc.want || got.Several != tc.several || !got.Answered {
				t.Errorf("%+v", got)
			}
			var asked int64
			for _, k := range keepers {
				asked += k.asked.Load()
			}
			if asked != tc.asked {
				t.Errorf("%d daemons asked, want %d", asked, tc.asked)
			}
		})
	}
}

// Guards against streams whose records are not found while another call waits for a store that is silent.
func TestRecordsAreFoundBesideProofs(t *testing.T) {
	k := &fakeOriginKeeper{release: make(chan struct{})}
	g := newTestOrigins(t, serveOrigins(t, k))
	proved := make(chan origin.Reply, 1)
	go func() { proved <- g.Ask(t.Context(), soleQuery) }()
	waittest.Until(t, "the reader is asked", func() bool { return k.asked.Load() == 1 })
	if got := g.Ask(t.Context(), origin.Query{ID: origin.IDOf("team", "a")}); !got.Found {
		t.Errorf("%+v", got)
	}
	close(k.release)
	<-proved
}
