package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

var loanTerms = quota.Bounds{Window: 8 * time.Second, Slack: 1000}.Terms(quota.Limit{Rate: 1000, Burst: 1000})

// newTestLedger returns a ledger with the units of one second, at the given share of the rate.
func newTestLedger(share float64) *quota.Ledger {
	now := time.Now()
	l := quota.NewLedger(now.Add(-time.Second), true)
	for ago := time.Second; ago >= 0; ago -= quota.TickInterval {
		l.Tick(now.Add(-ago), share, true)
	}
	return l
}

// serveLoans runs the server of a reader that lends units from a ledger.
func serveLoans(t *testing.T, l *quota.Ledger, dataCentre string) Peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := peer(ln.Addr().String(), dataCentre, 800)
	s := NewServer(ServerOptions{
		Cache: newTestFeedCache(time.Now(), "a"), Roster: NewRoster(p, nil), Followers: NewFollowerActivity(), Samples: NewSamples(time.Now()), Quarantine: newQuarantine(), Quota: l,
		LendUnits: func(c LoanRequest) quota.Loan {
			return l.Lend(time.Now(), c.Account(), loanTerms, c.Needs, c.Wants, 0, c.PartialOK)
		},
		Timing: testTiming, Logger: discardLogger, Now: time.Now,
	})
	s.Listen(ln)
	runUntilCleanup(t, s.Run)
	return p
}

// newTestLoans returns the Loans and the ledger of a daemon of data centre a. own is the
// reader of that data centre, others are the readers of other data centres.
func newTestLoans(t *testing.T, own Peer, others ...Peer) (*Loans, *quota.Ledger) {
	t.Helper()
	r := NewRoster(peer("me", "a", 1), []string{"a", "b"})
	r.SetSuccession(Succession{Order: []Peer{own}, Others: others, Daemons: 20, ShareCount: 20, LocalDaemons: 10})
	l := quota.NewLedger(time.Now(), false)
	loans := NewLoans(LoansOptions{Roster: r, Time: NewAccrualSender(l, r), Quota: l, Dial: DialTCP, Logger: discardLogger, Now: time.Now})
	t.Cleanup(func() {
		for _, conn := range loans.conns {
			conn.client.close()
		}
	})
	return loans, l
}

// Guards against requests that are refused in one data centre while daemons of another have
// unused units.
func TestLoansOfOtherDataCentres(t *testing.T) {
	loans, l := newTestLoans(t, serveLoans(t, newTestLedger(0.1), "a"), serveLoans(t, newTestLedger(1), "b"))
	answer := loans.Borrow(t.Context(), LoanRequest{Team: "red", Terms: loanTerms, Needs: 500, Wants: 600})
	if left := l.Available(time.Now(), quota.Account{Team: "red"}, loanTerms); !answer.Lent || left < 500 {
		t.Errorf("%+v, %v left", answer, left)
	}
	answer = loans.Borrow(t.Context(), LoanRequest{Team: "red", Terms: loanTerms, Needs: 5000, Wants: 5000})
	if answer.Lent || answer.Left <= 0 || answer.Wait <= 0 {
		t.Errorf("%+v for more units than all lenders have", answer)
	}
	if some := loans.Borrow(t.Context(), LoanRequest{Team: "red", Terms: loanTerms, Needs: answer.Left * 0.95, Wants: answer.Left * 0.95, PartialOK: true}); !some.Lent {
		t.Errorf("%+v for units that two lenders have together", some)
	}
}

// Guards against requests of a team that each wait for the same unreachable lender.
func TestUnreachableLenderIsSkipped(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loans, _ := newTestLoans(t, peer(gone.Addr().String(), "a", 1), serveLoans(t, newTestLedger(1), "b"))
	gone.Close()
	if answer := loans.Borrow(t.Context(), LoanRequest{Team: "red", Terms: loanTerms, Needs: 10, Wants: 10}); !answer.Lent {
		t.Errorf("%+v", answer)
	}
	if conn := loans.conn(gone.Addr().String()); !time.Now().Before(conn.backoffUntil) {
		t.Error("an unreachable lender is asked again at once")
	}
}

// Guards against lenders that count as unreachable because they closed an idle connection,
// or because the caller of a request disconnected during the loan.
func TestLenderStaysReachable(t *testing.T) {
	lender := serveLoans(t, newTestLedger(1), "a")
	loans, _ := newTestLoans(t, lender)
	now := time.Now()
	loans.o.Now = func() time.Time { return now }
	ask := LoanRequest{Team: "red", Terms: loanTerms, Needs: 10, Wants: 10}
	if answer := loans.Borrow(t.Context(), ask); !answer.Lent {
		t.Fatal("nothing lent")
	}
	conn := loans.conn(lender.Address)
	conn.client.conn.Close() // a lender closes idle connections
	now = now.Add(maxLoanIdle)
	if answer := loans.Borrow(t.Context(), ask); !answer.Lent {
		t.Error("the lender counts as unreachable after an idle time")
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if answer := loans.Borrow(ended, ask); !answer.Lent || now.Before(conn.backoffUntil) {
		t.Error("the lender counts as unreachable after a caller disconnected")
	}
}

// Guards against limits that remain unused because followers do not hand over their time
// to the reader, or do not ask the reader for loans.
func TestFollowersHandOverTime(t *testing.T) {
	ledger := newTestLedger(0.1)
	reader := serveLoans(t, ledger, "a")
	d := newTestDaemon(&fakeFeedStore{}, reader, testSelf)
	own := quota.NewLedger(d.now, true)
	d.o.Time = NewAccrualSender(own, d.o.Roster)
	own.Tick(d.now, 0.1, false)
	if _, err := d.readFrom(t, 0); err != nil { // the response contains the reader's stamp
		t.Fatal(err)
	}
	before := ledger.Available(time.Now(), quota.Account{Team: "red"}, loanTerms)
	d.now = d.now.Add(500 * time.Millisecond)
	own.Tick(d.now, 0.1, false)
	if _, err := d.readFrom(t, 0); err != nil {
		t.Fatal(err)
	}
	if after := ledger.Available(time.Now(), quota.Account{Team: "red"}, loanTerms); after <= before {
		t.Errorf("the reader has %v, %v before", after, before)
	}
	if got := d.o.Time.lastRecipient(); got.Address != reader.Address {
		t.Errorf("time was handed over to %v", got)
	}
	if candidates := d.o.Roster.LoanCandidates(d.now, d.o.Time.lastRecipient()); len(candidates) == 0 || candidates[0].Address != reader.Address {
		t.Errorf("the lenders are %v", candidates)
	}
	if span := d.o.Time.handOver(d.now, peer("other", "b", 1)); span.Length != 0 {
		t.Error("time is handed over to another data centre")
	}
}

// Guards against a restarted reader that knows few of its followers and therefore adds
// too many units to its ledger for each of them.
func TestShareUsesLargerCountOfFollower(t *testing.T) {
	r := NewRoster(peer("r", "a", 1), []string{"a", "b", "c"})
	if got := r.Share(t0); got != 0 {
		t.Errorf("a share of %v before another daemon is known", got)
	}
	r.RecordCall(t0, peer("x", "a", 1))
	if got := r.Share(t0); got != 1.0/6 {
		t.Errorf("a share of %v, want half of a third", got)
	}
	r.RaiseLocalDaemons(24)
	if got := r.Share(t0); got != 1.0/72 {
		t.Errorf("a share of %v, want a 24th of a third", got)
	}
}
