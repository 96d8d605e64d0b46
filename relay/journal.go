package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// keptReadings bounds the readings of one feed that are kept for others. A follower
// asks again within AnswerWithin, in which a feed has a few readings; one that asks
// for older ones reads the store itself. Assumed.
const keptReadings = 64

// feeds is the number of the store's feeds.
const feeds = 2

// reading is what one call to the store returned: the records from an offset on, up
// to Batch.Next.
type reading struct {
	from  uint64
	batch fleet.Batch
}

// Journal holds what this daemon read of the feeds of late. It is safe for
// concurrent use.
type Journal struct {
	mu    sync.Mutex
	feeds [feeds]journalFeed
}

type journalFeed struct {
	readings []reading
	heard    time.Time
	changed  chan struct{} // closed and replaced with each reading
}

// NewJournal returns a journal of nothing.
func NewJournal() *Journal {
	j := &Journal{}
	for i := range j.feeds {
		j.feeds[i].changed = make(chan struct{})
	}
	return j
}

// Add takes what a call to the store returned at a time.
func (j *Journal) Add(now time.Time, f fleet.Feed, from uint64, b fleet.Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &j.feeds[f]
	s.heard = now
	if b.Next > from {
		s.add(reading{from: from, batch: b})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// add appends a reading. One that does not follow the last begins anew: what lies
// between was not read here.
func (s *journalFeed) add(r reading) {
	if n := len(s.readings); n > 0 && s.readings[n-1].batch.Next != r.from {
		s.readings = nil
	}
	if len(s.readings) == keptReadings {
		s.readings = append(s.readings[:0], s.readings[1:]...)
	}
	s.readings = append(s.readings, r)
}

// Since returns the records of a feed from an offset on, as far as they were read,
// and a channel that is closed with the next reading. ok is false when records
// between the offset and the first kept reading may be missing.
func (j *Journal) Since(f fleet.Feed, from uint64) (b fleet.Batch, changed <-chan struct{}, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &j.feeds[f]
	b = fleet.Batch{Next: from}
	for _, r := range s.readings {
		switch {
		case r.batch.Next <= from:
		case r.from > b.Next:
			return fleet.Batch{}, nil, false
		default:
			// A reading that begins before the offset is passed on whole: taking a
			// record twice, in order, leads to the same.
			b.Changes = append(b.Changes, r.batch.Changes...)
			b.Away = b.Away || r.batch.Away
			b.Next = r.batch.Next
		}
	}
	return b, s.changed, true
}

// Age returns how long ago the store last answered for a feed, or false when it
// never did. A machine that was suspended counts the time that it stood still.
func (j *Journal) Age(now time.Time, f fleet.Feed) (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	heard := j.feeds[f].heard
	if heard.IsZero() {
		return 0, false
	}
	return clock.Elapsed(heard, now), true
}
