package quota

import (
	"iter"
	"time"
)

// Loan is units of an account that one daemon lends to another.
type Loan struct {
	Units float64 `msgpack:"u"`
	// Age is how long before the loan the oldest of them was accrued.
	Age time.Duration `msgpack:"a"`
	// Left is what the lender has left.
	Left float64 `msgpack:"l"`
	// Wait is after which time what is lacking will have been accrued; 0 where nothing is.
	Wait time.Duration `msgpack:"w"`
}

// extraShare is the part of what is left that is lent beyond what a request needs, so that
// one daemon does not keep from others what it may not spend.
const extraShare = 0.25

// Lend gives up units of an account: what a request needs and some of what the borrower wants
// besides; or, where less than that is left, all of it if whatever there is helps, else
// nothing. A reserve is kept in any case.
func (l *Ledger) Lend(now time.Time, name Account, t Terms, needs, wants, reserve float64, whatever bool) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, name, t)
	left := max(0, l.left(now, a, t)-reserve)
	if !(wants > needs) { // or no number: what is asked comes from another process
		wants = needs
	}
	units := needs + max(0, min(wants-needs, extraShare*(left-needs)))
	if left < needs {
		units = 0
		if whatever {
			units = left
		}
	}
	out := Loan{Units: units, Left: left - units}
	if left < needs {
		out.Wait = l.wait(now, a, t, needs-left)
	}
	for slot := range l.lent(now, t, reserve) {
		if n := min(units, l.of(a, slot)); n > 0 {
			a.used.add(slot, n)
			units -= n
			out.Age = max(out.Age, now.Sub(l.epoch.Add(time.Duration(slot)*slotLength)))
		}
	}
	return out
}

// expiring is how many of the oldest slots may be over before what is lent of them is spent.
const expiring = 2

// lent returns the slots in the order in which their units are lent: the youngest first, which
// are of use for longest to the borrower, or the oldest first where a reserve is to last here.
//
// What goes wrong with the youngest first beside a reserve: it is always what is about to
// expire, and a large part of the limit is used by nobody.
func (l *Ledger) lent(now time.Time, t Terms, reserve float64) iter.Seq[int64] {
	newest, oldest := l.slot(now), l.oldest(now, t)
	n := newest - oldest + 1
	return func(yield func(int64) bool) {
		for i := range n {
			slot := newest - i
			if reserve > 0 {
				slot = oldest + (i+expiring)%n
			}
			if !yield(slot) {
				return
			}
		}
	}
}

// Borrowed takes a loan that was asked for at a moment.
func (l *Ledger) Borrowed(now time.Time, name Account, t Terms, asked time.Time, loan Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, name, t)
	if asked.Before(l.epoch) || loan.Age < 0 || !(loan.Units > 0) {
		return
	}
	slot := l.slot(asked.Add(-loan.Age))
	if l.slot(now)-slot < slots {
		a.used.add(slot, -loan.Units)
	}
}
