package board

import "time"

// maxBookings is the largest number of bookings kept for one link. Further bookings
// extend the last one.
const maxBookings = 64

// booking is the time range of one transfer, in nanoseconds since the Unix epoch.
type booking struct{ from, to int64 }

// link holds the bookings of one KV link, sorted and without overlap. Storing only the
// end of the last booking would not be enough: a transfer booked for the end of a long
// prefill queue would make the link look busy until then, and a request ahead of that
// queue would wait for no reason, or be refused.
type link struct{ bookings []booking }

// fit returns the earliest start, not before from, of d free nanoseconds, and the index
// at which to insert a booking for them.
func (l *link) fit(from, d int64) (at int64, index int) {
	at = from
	for i, s := range l.bookings {
		if at+d <= s.from {
			return at, i
		}
		at = max(at, s.to)
	}
	return at, len(l.bookings)
}

// book books the first d free nanoseconds that start at from or later.
func (l *link) book(now, from, d int64) {
	l.dropEnded(now)
	at, i := l.fit(from, d)
	if len(l.bookings) == maxBookings {
		last := &l.bookings[maxBookings-1]
		last.to = max(last.to, at) + d
		return
	}
	l.bookings = append(l.bookings, booking{})
	copy(l.bookings[i+1:], l.bookings[i:])
	l.bookings[i] = booking{at, at + d}
}

// dropEnded removes the bookings that have ended.
func (l *link) dropEnded(now int64) {
	n := 0
	for n < len(l.bookings) && l.bookings[n].to <= now {
		n++
	}
	l.bookings = append(l.bookings[:0], l.bookings[n:]...)
}

// Book books an upstream's KV link for a transfer of duration d, at the given time or
// at the first later time at which the link is free for that long. Bookings of failed
// transfers are not cancelled; they end soon by themselves.
func (f *Inflight) Book(upstream string, from time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	u := f.upstream(upstream)
	now := f.clock().UnixNano()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.link.book(now, from.UnixNano(), int64(d))
}

// LinkFree implements policy.Inflight.
func (f *Inflight) LinkFree(name string, from time.Time, d time.Duration) time.Time {
	f.mu.RLock()
	u := f.works[name]
	f.mu.RUnlock()
	if u == nil {
		return from
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	at, _ := u.link.fit(from.UnixNano(), int64(d))
	return time.Unix(0, at)
}
