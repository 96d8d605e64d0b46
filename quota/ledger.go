package quota

import (
	"math"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

const (
	// slotLength is the length of a slot, the interval by which accrued time and spent units
	// are grouped. It is the resolution at which their age is tracked.
	slotLength = 100 * time.Millisecond
	// slots is the number of slots kept: the longest lifetime and the slot being filled.
	slots = int64(MaxLifetime/slotLength) + 2
	// TickInterval is the interval at which Tick must be called.
	TickInterval = slotLength
	// stallGap is the time without a tick above which the process counts as stalled.
	stallGap = 10 * TickInterval
	// handOverTimeout is how long a daemon waits for a chance to hand its time over before it
	// accrues that time itself. It spans a few calls of a follower to its reader.
	handOverTimeout = 1500 * time.Millisecond
	// startupDelay is how long after its share became known a restarted daemon begins to accrue
	// time itself. It then also accrues the time of the delay, unless it has handed that time
	// over. Until the daemon has discovered most other daemons, its share is too large.
	// Hand-overs need no delay: a span carries the number of daemons that its sender has
	// discovered.
	startupDelay = time.Second
	// accountIdleTimeout is how long an unused account is kept.
	accountIdleTimeout = 2 * MaxLifetime
)

// Ledger holds the time that this daemon has accrued or received from others and, for each
// account, the units spent, lent and borrowed. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// newFleet is set if no daemon of the fleet ran before; startupDelay does not apply then.
	newFleet bool
	epoch    time.Time // start of slot 0
	// incarnation changes whenever a restart or a stall empties the ledger. It invalidates stamps
	// and tickets issued before.
	incarnation uint64
	lastTick    time.Time
	// shareKnownAt is when this daemon's share became known, and settledUntil the time up to
	// which its own time has been accrued or handed over. Both are zero while it has no share.
	shareKnownAt, settledUntil time.Time
	accrued                    ring // seconds at the full rate of the fleet, by the slot they were accrued in
	accounts                   map[Account]*account
	lastSweep                  time.Time
}

// account is the state of one limit in the ledger.
type account struct {
	rates rateHistory
	// used is the number of units spent or lent from each slot; it is negative where more were
	// borrowed.
	used       ring
	demand     Demand
	lastAccess time.Time
	// backlog is the number of units, as of backlogAt, that refused callers were told to retry
	// for and that the fleet has yet to accrue.
	backlog   float64
	backlogAt time.Time
}

// NewLedger returns an empty ledger for a daemon that starts now. newFleet says that no daemon
// of the fleet ran before.
func NewLedger(now time.Time, newFleet bool) *Ledger {
	return &Ledger{newFleet: newFleet, epoch: now, incarnation: uint64(now.UnixNano()), lastTick: now, accounts: map[Account]*account{}}
}

// Tick accrues the part of this daemon's time that is not handed over, and detects stalls. share
// is this daemon's share of the rate, 0 while unknown; accruesLocally says that this daemon
// hands its time over to no other daemon.
func (l *Ledger) Tick(now time.Time, share float64, accruesLocally bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAfterStall(now)
	l.lastTick = now
	l.evictIdleAccounts(now)
	if share <= 0 {
		l.shareKnownAt, l.settledUntil = time.Time{}, time.Time{}
		return
	}
	if l.shareKnownAt.IsZero() {
		l.shareKnownAt, l.settledUntil = now, now
	}
	if !l.newFleet && now.Sub(l.shareKnownAt) < startupDelay {
		return
	}
	if accruesLocally || now.Sub(l.settledUntil) >= handOverTimeout {
		l.accrue(l.settledUntil, now, share)
		l.settledUntil = now
	}
}

// resetAfterStall clears the ledger if the process has stalled. The monotonic clock stops while
// the machine is suspended, so accrued time may be older than its slots say.
func (l *Ledger) resetAfterStall(now time.Time) {
	if clock.Elapsed(l.lastTick, now) <= stallGap {
		return
	}
	l.incarnation++
	l.accrued = ring{}
	l.accounts = map[Account]*account{}
	l.shareKnownAt, l.settledUntil, l.newFleet = time.Time{}, time.Time{}, false
	l.lastTick = now
}

// evictIdleAccounts removes accounts that were not used for accountIdleTimeout.
func (l *Ledger) evictIdleAccounts(now time.Time) {
	if now.Sub(l.lastSweep) < accountIdleTimeout {
		return
	}
	l.lastSweep = now
	for name, a := range l.accounts {
		if now.Sub(a.lastAccess) >= accountIdleTimeout {
			delete(l.accounts, name)
		}
	}
}

// accrue adds the time between from and to, weighted by share, to the slots that it covers.
// The caller holds l.mu.
func (l *Ledger) accrue(from, to time.Time, share float64) {
	if oldest := to.Add(-MaxLifetime); from.Before(oldest) {
		from = oldest
	}
	l.accrued.advance(l.slotOf(to))
	for from.Before(to) {
		slot := l.slotOf(from)
		end := l.epoch.Add(time.Duration(slot+1) * slotLength)
		if end.After(to) {
			end = to
		}
		l.accrued.add(slot, end.Sub(from).Seconds()*share)
		from = end
	}
}

// slotOf returns the number of the slot that contains a time.
func (l *Ledger) slotOf(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(l.epoch)) / float64(slotLength)))
}

// slotSpend is the number of units that a request spent from one slot.
type slotSpend struct {
	slot  int64
	units float64
}

// Ticket records the units that one request has spent, so that they can be returned.
type Ticket struct {
	account     Account
	incarnation uint64
	spends      []slotSpend
}

// Spend takes units from an account, the oldest first. It returns false and takes nothing if
// the available units are fewer than the sum of units and reserve.
func (l *Ledger) Spend(now time.Time, name Account, t Terms, units, reserve float64) (Ticket, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, name, t)
	if l.available(now, a, t) < units+reserve {
		return Ticket{}, false
	}
	ticket := Ticket{account: name, incarnation: l.incarnation}
	for slot := l.oldestUsableSlot(now, t); slot <= l.slotOf(now) && units > 0; slot++ {
		if n := min(units, l.availableIn(a, slot)); n > 0 {
			a.used.add(slot, n)
			units -= n
			ticket.spends = append(ticket.spends, slotSpend{slot, n})
		}
	}
	return ticket, true
}

// Refund refunds the units of a request that did not run, to the slots they came from.
func (l *Ledger) Refund(now time.Time, t Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[t.account]
	if a == nil || t.incarnation != l.incarnation {
		return
	}
	a.used.advance(l.slotOf(now))
	for _, spend := range t.spends {
		a.used.add(spend.slot, -spend.units)
	}
}

// RecordDemand records units requested from an account at this daemon, as input to Demand.
func (l *Ledger) RecordDemand(now time.Time, name Account, t Terms, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(now, name, t).demand.Add(now, units)
}

// Demand returns the rate at which units of an account are requested at this daemon, in units
// a second.
func (l *Ledger) Demand(now time.Time, name Account) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return 0
	}
	return a.demand.Rate(now)
}

// Available returns the units of an account that are available at this daemon.
func (l *Ledger) Available(now time.Time, name Account, t Terms) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.available(now, l.account(now, name, t), t)
}

// maxWait bounds the retry delay that refused callers are given.
const maxWait = 10 * time.Second

// RetryAfter returns the time after which a refused request may be retried: when the whole fleet will
// have accrued the units that the request lacked (its shortfall) and those that the requests
// refused before it lacked.
func (l *Ledger) RetryAfter(now time.Time, name Account, t Terms, shortfall float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryDelay(now, l.account(now, name, t), t, shortfall)
}

// retryDelay adds the shortfall to the account's backlog and returns the time that the fleet
// needs to accrue the backlog. The caller holds l.mu.
func (l *Ledger) retryDelay(now time.Time, a *account, t Terms, shortfall float64) time.Duration {
	a.backlog = max(0, a.backlog-t.Rate*now.Sub(a.backlogAt).Seconds())
	a.backlog = min(a.backlog+max(0, shortfall), t.Rate*maxWait.Seconds())
	a.backlogAt = now
	return time.Duration(a.backlog / t.Rate * float64(time.Second))
}

// account returns an account, created if necessary, with its slots advanced to now and its
// rate set to that of the terms. The caller holds l.mu.
func (l *Ledger) account(now time.Time, name Account, t Terms) *account {
	l.resetAfterStall(now)
	slot := l.slotOf(now)
	a := l.accounts[name]
	if a == nil {
		a = &account{rates: rateHistory{current: t.Rate}}
		l.accounts[name] = a
	}
	a.lastAccess = now
	a.rates.set(slot, t.Rate)
	a.used.advance(slot)
	l.accrued.advance(slot)
	return a
}

// oldestUsableSlot returns the oldest slot of which no part has expired.
func (l *Ledger) oldestUsableSlot(now time.Time, t Terms) int64 {
	return max(l.slotOf(now)-slots+1, int64(math.Ceil(float64(now.Add(-t.Lifetime).Sub(l.epoch))/float64(slotLength))))
}

// availableIn returns the unspent units of one slot.
func (l *Ledger) availableIn(a *account, slot int64) float64 {
	return max(0, l.accrued.at(slot)*a.rates.effective(slot)-a.used.at(slot))
}

// available returns the unspent units of all slots that have not expired.
func (l *Ledger) available(now time.Time, a *account, t Terms) float64 {
	sum := 0.0
	for slot := l.oldestUsableSlot(now, t); slot <= l.slotOf(now); slot++ {
		sum += l.availableIn(a, slot)
	}
	return sum
}
