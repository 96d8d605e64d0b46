package quota

import (
	"iter"
	"time"
)

// Loan is the answer to a request for a loan: units of an account, lent by one daemon to
// another.
type Loan struct {
	Units float64 `msgpack:"u"`
	// Age is the age of the oldest of the units when they were lent.
	Age time.Duration `msgpack:"a"`
	// Remaining is the number of units that the lender can still lend, beside its reserve.
	Remaining float64 `msgpack:"l"`
	// Wait is the time until the fleet will have accrued the shortfall and those of requests
	// refused before it; 0 if the lender had enough.
	Wait time.Duration `msgpack:"w"`
}

// extraFraction is the fraction of the remaining units that is lent beyond the immediate need.
// It is below 1 so that one borrower does not take all units, some of which it may never spend,
// while others need them.
const extraFraction = 0.25

// Lend deducts units from an account for a borrower. It lends the units that the borrower needs
// for its request plus up to extraFraction of the rest, but no more in total than it wants. If
// fewer units than needed are available, it lends all of them if partial is set, else none. The
// reserve is never lent.
func (l *Ledger) Lend(now time.Time, name Account, t Terms, needs, wants, reserve float64, partial bool) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, name, t)
	left := max(0, l.available(now, a, t)-reserve)
	if !(wants > needs) { // also true for NaN, which another process may send
		wants = needs
	}
	units := needs + max(0, min(wants-needs, extraFraction*(left-needs)))
	if left < needs {
		units = 0
		if partial {
			units = left
		}
	}
	out := Loan{Units: units, Remaining: left - units}
	if left < needs {
		out.Wait = l.retryDelay(now, a, t, needs-left)
	}
	for slot := range l.lendingOrder(now, t, reserve) {
		if n := min(units, l.availableIn(a, slot)); n > 0 {
			a.used.add(slot, n)
			units -= n
			out.Age = max(out.Age, now.Sub(l.epoch.Add(time.Duration(slot)*slotLength)))
		}
	}
	return out
}

// expiringSlots is the number of the oldest slots that may expire before a loan of their units
// is spent.
const expiringSlots = 2

// lendingOrder returns the slots in the order in which their units are lent. Without a reserve
// the newest come first, since they are usable longest by the borrower. With a reserve the
// oldest come first, except that those about to expire come last: lending the newest would
// leave a reserve that is always about to expire, and much of the limit would go unused.
func (l *Ledger) lendingOrder(now time.Time, t Terms, reserve float64) iter.Seq[int64] {
	newest, oldest := l.slotOf(now), l.oldestUsableSlot(now, t)
	n := newest - oldest + 1
	return func(yield func(int64) bool) {
		for i := range n {
			slot := newest - i
			if reserve > 0 {
				slot = oldest + (i+expiringSlots)%n
			}
			if !yield(slot) {
				return
			}
		}
	}
}

// AddLoan credits a loan to an account. All its units count as accrued loan.Age before the
// loan was requested, so that none is used after it would have expired at the lender.
func (l *Ledger) AddLoan(now time.Time, name Account, t Terms, requestedAt time.Time, loan Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, name, t)
	if requestedAt.Before(l.epoch) || loan.Age < 0 || !(loan.Units > 0) {
		return
	}
	slot := l.slotOf(requestedAt.Add(-loan.Age))
	if l.slotOf(now)-slot < slots {
		a.used.add(slot, -loan.Units)
	}
}
