package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// fakeLender lends a limited number of retries for target "s".
type fakeLender struct {
	left  atomic.Int64
	asked atomic.Int64
}

func (l *fakeLender) lend(target string, n int) bool {
	l.asked.Add(1)
	return target == "s" && l.left.Add(-int64(n)) >= 0
}

// newTestBorrower starts a server for each lender. It returns a borrower whose roster has
// these daemons as reader and successors, and the borrower's clock.
func newTestBorrower(t *testing.T, list ...*fakeLender) (*Borrower, *time.Time) {
	t.Helper()
	roster := NewRoster(peer("me", "a", 1), nil)
	var order []Peer
	for _, l := range list {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := peer(ln.Addr().String(), "a", 1)
		s := NewServer(ServerOptions{Cache: NewFeedCache(), Roster: NewRoster(p, nil), Followers: NewFollowerActivity(), Samples: NewSamples(t0), Quarantine: newQuarantine(), Lend: l.lend, Timing: testTiming, Logger: discardLogger, Now: time.Now})
		s.Listen(ln)
		runUntilCleanup(t, s.Run)
		order = append(order, p)
	}
	roster.SetSuccession(Succession{Order: order, Daemons: 20})
	now := t0
	return NewBorrower(BorrowerOptions{
		Roster: roster, Dial: DialTCP, Random: rand.New(rand.NewPCG(1, 1)), Logger: discardLogger, Now: func() time.Time { return now },
	}), &now
}

// runUntilCleanup runs a service until the end of the test.
func runUntilCleanup(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Load: one daemon sees more rejections than its retry budget covers, the others see none.
func TestBorrow(t *testing.T) {
	funded, empty := &fakeLender{}, &fakeLender{}
	funded.left.Store(3)
	b, now := newTestBorrower(t, empty, funded)
	if !b.Borrow(t.Context(), "s", 2) {
		t.Error("two of three available retries were not lent")
	}
	if b.Borrow(t.Context(), "s", 2) {
		t.Error("more retries were lent than available")
	}
	before := funded.asked.Load() + empty.asked.Load()
	if b.Borrow(t.Context(), "s", 1) || funded.asked.Load()+empty.asked.Load() != before {
		t.Error("lenders were asked again before refusalBackoff")
	}
	funded.left.Store(1)
	*now = now.Add(refusalBackoff)
	if !b.Borrow(t.Context(), "s", 1) {
		t.Error("lenders were not asked again after refusalBackoff")
	}
}

// Guards against requests that wait for unreachable lenders. If many requests borrow at
// once, each call to a lender would wait for the one before it.
func TestBorrowerAsksOneAtATime(t *testing.T) {
	b, _ := newTestBorrower(t, &fakeLender{})
	entered, release := make(chan struct{}), make(chan struct{})
	b.o.Dial = func(context.Context, string) (net.Conn, error) {
		close(entered)
		<-release
		return nil, errors.New("unreachable")
	}
	first := make(chan bool)
	go func() { first <- b.Borrow(t.Context(), "s", 1) }()
	<-entered
	if b.Borrow(t.Context(), "s", 1) {
		t.Error("a concurrent call was not refused")
	}
	close(release)
	if <-first {
		t.Error("an unreachable daemon lent a retry")
	}
}

// A daemon without other known daemons has no lenders.
func TestBorrowWithoutLenders(t *testing.T) {
	b, _ := newTestBorrower(t)
	if b.Borrow(t.Context(), "s", 1) {
		t.Error("a retry was lent without a lender")
	}
}
