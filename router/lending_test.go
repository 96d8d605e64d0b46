package router

import (
	"context"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/relay"
)

// fakeLender lends units until those that it has are used up. It implements loanClient.
type fakeLender struct {
	ledger *quota.Ledger
	units  float64
}

func (l *fakeLender) Borrow(_ context.Context, ask relay.LoanRequest) relay.LoanResult {
	if l.units < ask.Needs {
		return relay.LoanResult{Left: l.units, Wait: time.Minute}
	}
	l.units -= ask.Needs
	now := time.Now()
	l.ledger.AddLoan(now, ask.Account(), ask.Terms, now, quota.Loan{Units: ask.Needs})
	return relay.LoanResult{Lent: true, Left: l.units}
}

// Guards against an urgent request that backs off because a loan for a less urgent request was
// refused. Less urgent requests must leave a reserve for urgent ones, so lenders may still have
// units for an urgent request.
func TestBackoffDoesNotBlockMoreUrgentRequest(t *testing.T) {
	ledger := quota.NewLedger(time.Now(), false)
	l := newUnitBorrower(ledger)
	l.lenders = &fakeLender{ledger: ledger, units: 1.5}
	urgent := loanRequest{account: quota.Account{Upstream: "u"}, terms: quota.Terms{Rate: 1, Lifetime: quota.MaxLifetime}, units: 1, maxBackoff: time.Minute}
	lessUrgent := urgent
	lessUrgent.reserve, lessUrgent.call.Rank = 1, 1
	if _, _, ok := l.borrowAndSpend(t.Context(), lessUrgent); ok {
		t.Fatal("a less urgent request was lent the reserve for urgent ones")
	}
	if !l.backingOff(time.Now(), lessUrgent) || l.backingOff(time.Now(), urgent) {
		t.Error("the less urgent request does not back off, or the urgent one does")
	}
	if _, _, ok := l.borrowAndSpend(t.Context(), urgent); !ok {
		t.Error("an urgent request was lent nothing")
	}
	if _, _, ok := l.borrowAndSpend(t.Context(), urgent); ok || !l.backingOff(time.Now(), lessUrgent) || !l.backingOff(time.Now(), urgent) {
		t.Error("more was lent than the lender has, or a request does not back off")
	}
}
