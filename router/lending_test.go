package router

import (
	"context"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/relay"
)

// oneLender is a daemon that has some units to lend.
type oneLender struct {
	to    *quota.Ledger
	units float64
}

func (l *oneLender) Borrow(_ context.Context, ask relay.LoanCall) relay.Answer {
	if l.units < ask.Needs {
		return relay.Answer{Left: l.units, Wait: time.Minute}
	}
	l.units -= ask.Needs
	now := time.Now()
	l.to.Borrowed(now, ask.Account(), ask.Terms, now, quota.Loan{Units: ask.Needs})
	return relay.Answer{Lent: true, Left: l.units}
}

// Guards against urgent requests that are lent nothing, since less urgent ones, which are to
// leave some for them, asked just before and got nothing.
func TestUrgentRequestBorrowsAfterLessUrgentOneCouldNot(t *testing.T) {
	ledger := quota.NewLedger(time.Now(), false)
	l := newLending(ledger)
	l.loans = &oneLender{to: ledger, units: 1.5}
	urgent := wish{account: quota.Account{Upstream: "u"}, terms: quota.Terms{Rate: 1, Life: quota.MostLife}, units: 1, mostRest: time.Minute}
	lessUrgent := urgent
	lessUrgent.reserve, lessUrgent.call.Rank = 1, 1
	if _, _, ok := l.spend(t.Context(), lessUrgent); ok {
		t.Fatal("a less urgent request takes what is left for urgent ones")
	}
	if !l.rests(time.Now(), lessUrgent) || l.rests(time.Now(), urgent) {
		t.Error("others are asked again by a less urgent request, or not by an urgent one")
	}
	if _, _, ok := l.spend(t.Context(), urgent); !ok {
		t.Error("an urgent request is lent nothing")
	}
	if _, _, ok := l.spend(t.Context(), urgent); ok || !l.rests(time.Now(), lessUrgent) || !l.rests(time.Now(), urgent) {
		t.Error("more is lent than there is, or others are asked again")
	}
}
