package quota

import "time"

// Stamp is a point in time on the clock of one incarnation of a ledger. It lets a daemon
// describe a span of time to a ledger whose clock it does not share.
type Stamp struct {
	// Incarnation identifies the incarnation of the ledger that issued the stamp.
	Incarnation uint64 `msgpack:"l"`
	// At is the time since that ledger was created.
	At time.Duration `msgpack:"a"`
}

// Stamp returns the current time on the ledger's clock, for daemons that hand their time over
// to this ledger.
func (l *Ledger) Stamp(now time.Time) Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stamp{Incarnation: l.incarnation, At: now.Sub(l.epoch)}
}

// Span is elapsed time that one daemon hands over to the ledger of another, which accrues it.
// Its start is given on the receiver's clock and is never later than the true start, so that
// units accrued for it never expire too late.
type Span struct {
	From   Stamp         `msgpack:"f"`
	Length time.Duration `msgpack:"n"`
	// KnownDaemons is the number of daemons that the sender has discovered in its data centre.
	KnownDaemons int `msgpack:"r"`
}

// HandOver returns the time that this daemon has neither accrued nor handed over yet, to be
// sent to the ledger that issued stamp; stampReceived is when the stamp arrived here.
// knownDaemons is the number of daemons discovered in this data centre. The time is removed
// from this ledger even if the message is lost, so that it is never accrued twice.
func (l *Ledger) HandOver(now time.Time, stamp Stamp, stampReceived time.Time, knownDaemons int) Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAfterStall(now)
	if l.settledUntil.IsZero() || stamp.Incarnation == 0 {
		return Span{}
	}
	s := Span{From: Stamp{Incarnation: stamp.Incarnation, At: stamp.At + l.settledUntil.Sub(stampReceived)}, Length: now.Sub(l.settledUntil), KnownDaemons: knownDaemons}
	l.settledUntil = now
	return s
}

// AcceptHandOver accrues a span that another daemon handed over; share is that daemon's share of the
// rate. A span that was stamped by an earlier incarnation of this ledger is dropped.
func (l *Ledger) AcceptHandOver(now time.Time, s Span, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAfterStall(now)
	if s.From.Incarnation != l.incarnation || s.Length <= 0 || s.Length > MaxLifetime || share <= 0 {
		return
	}
	from := l.epoch.Add(s.From.At)
	to := from.Add(s.Length)
	if to.After(now) {
		from, to = now.Add(-s.Length), now
	}
	l.accrue(from, to, share)
}
