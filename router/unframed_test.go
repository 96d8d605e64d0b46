package router

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/upstream"
)

// Guards against answers with neither a length nor chunks that are refused though they are whole, or
// passed on as whole though their upstream crashed in them, between two events of a stream too.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		crashAt    int
		whole      bool
	}{
		{"letter", site.PathLetter, 0, true},
		{"draft", site.PathDraft, 0, true},
		{"look-up", site.PathLookUp, 0, true},
		{"order", site.PathOrder, 0, true},
		{"letter, engine crashes between events", site.PathLetter, 2, false},
		{"draft, engine crashes between events", site.PathDraft, 2, true},
		{"look-up, service crashes", site.PathLookUp, 1, false},
		{"order, service crashes", site.PathOrder, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newAttachedFleet(t, nil)
			for _, u := range f.upstreams {
				u.SetFaults(site.Faults{Unframed: true, CrashAt: tc.crashAt})
			}
			want := site.Stream("r", streamEvents)
			if tc.path == site.PathLookUp || tc.path == site.PathOrder {
				want = "answer to r"
			}
			got := f.ask(t.Context(), tc.path, "r")
			complete := got.err == nil && got.status == http.StatusOK
			if complete != tc.whole || tc.whole && got.body != want {
				t.Errorf("complete %t: %+v", complete, got)
			}
		})
	}
}

// silentPath is a path to upstreams. The connection that is opened first to each of them works; after
// it, a number of attempts to open another one get no answer.
type silentPath struct {
	connect    upstream.DialFunc
	unanswered int

	mu     sync.Mutex
	dialed map[string]int // by address
}

// dial is an upstream.DialFunc.
func (p *silentPath) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	n := p.dialed[address]
	p.dialed[address]++
	p.mu.Unlock()
	if n == 0 || n > p.unanswered {
		return p.connect(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	<-ctx.Done()
	return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
}

// Guards against whole answers that are thrown away because no connection to their upstream can be
// opened for a moment when they end.
func TestAnswersThatEndOnASilentPath(t *testing.T) {
	for _, path := range []string{site.PathLookUp, site.PathOrder} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newAttachedSite(t)
			f.connect = (&silentPath{connect: f.connect, unanswered: 8, dialed: map[string]int{}}).dial
			f.start(nil)
			f.setFaults("s0 s1", site.Faults{Unframed: true})
			got := f.ask(t.Context(), path, "r")
			if got.err != nil || got.status != http.StatusOK || got.body != "answer to r" {
				t.Errorf("got %+v", got)
			}
			if runs := f.site.Account.Executions("r"); len(runs) != 1 {
				t.Errorf("ran %d times", len(runs))
			}
		})
	}
}
