package board

import "time"

// maxSpans bounds the bookings kept of one link; further ones extend the last.
const maxSpans = 64

// span is one booking in nanoseconds since the epoch.
type span struct{ from, to int64 }

// link holds the bookings of one KV link, in order and apart from each other. One
// time of "free at" would not do: a transfer booked for the end of a long prefill
// queue would make the link look taken until then, and a request that is ahead of
// that queue would wait for nothing, or be refused.
type link struct{ spans []span }

// fit returns the earliest time from `from` on at which d nanoseconds are free,
// and the place of such a booking.
func (l *link) fit(from, d int64) (at int64, place int) {
	at = from
	for i, s := range l.spans {
		if at+d <= s.from {
			return at, i
		}
		at = max(at, s.to)
	}
	return at, len(l.spans)
}

// book books d nanoseconds from `from` on, where they fit first.
func (l *link) book(now, from, d int64) {
	l.drop(now)
	at, i := l.fit(from, d)
	if len(l.spans) == maxSpans {
		last := &l.spans[maxSpans-1]
		last.to = max(last.to, at) + d
		return
	}
	l.spans = append(l.spans, span{})
	copy(l.spans[i+1:], l.spans[i:])
	l.spans[i] = span{at, at + d}
}

// drop forgets the bookings that have ended.
func (l *link) drop(now int64) {
	n := 0
	for n < len(l.spans) && l.spans[n].to <= now {
		n++
	}
	l.spans = append(l.spans[:0], l.spans[n:]...)
}

// Book books an upstream's KV link for a transfer that takes d, at the given time
// or the first time after it when the link is free for that long. A booking is
// not taken back when its transfer fails: it ends by itself soon.
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
