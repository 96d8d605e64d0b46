package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// keptReadings bounds the readings of one feed that are kept for others. A follower
// asks again within AnswerWithin, in which a feed has a few readings; one that asks
// for older ones is given the state as a whole.
const keptReadings = 64

// feeds is the number of the store's feeds.
const feeds = 2

// reading is what one call to the store returned: the records from an offset on, up
// to Batch.Next.
type reading struct {
	from  uint64
	batch fleet.Batch
}

// Journal holds what this daemon has read of the feeds: the newest record of every key,
// and the readings of late. It is safe for concurrent use.
type Journal struct {
	mu    sync.Mutex
	feeds [feeds]journalFeed
	// heard is when the store last had a word, of whatever feed and by whatever way: the
	// feeds are one store's.
	heard time.Time
	// away says that the store gave this daemon no answer since.
	away    bool
	changed chan struct{} // closed and replaced with each reading
}

type journalFeed struct {
	readings []reading
	// state is the newest record of each key up to next; nil before the first reading.
	state map[string]fleet.Change
	next  uint64
	// returned is when the store last came back after it was away.
	returned time.Time
}

// returnTime is how long after the store's return records are told apart from others:
// what is missing then may only have lapsed. It is as long as upstreams that live have
// to register again.
const returnTime = 2 * time.Second

// Look is what a journal holds of a feed from an offset on.
type Look struct {
	// Known says that there is anything. Then Batch has the records, or the state as a
	// whole where those from the offset on are not kept.
	Known bool
	Batch fleet.Batch
	// Age is how long ago the store last had a word. A machine that was suspended counts
	// the time that it stood still.
	Age time.Duration
	// Away says that the store gave no answer since.
	Away bool
	// Changed is closed when any of this changes, but for the age.
	Changed <-chan struct{}
}

// NewJournal returns a journal of nothing.
func NewJournal() *Journal { return &Journal{changed: make(chan struct{})} }

// Add takes what was read of a feed from an offset on, as of a time.
func (j *Journal) Add(heard time.Time, f fleet.Feed, from uint64, b fleet.Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if heard.After(j.heard) {
		j.heard = heard
	}
	j.away = false
	s := &j.feeds[f]
	if b.Away {
		s.returned = heard
	}
	switch {
	case b.Whole:
		s.readings, s.state = nil, map[string]fleet.Change{}
		s.apply(b)
	case from > s.next:
		// What lies between was not read here: this daemon has no whole state to tell of.
		s.readings, s.state = nil, nil
	case s.state != nil && b.Next > s.next:
		s.add(reading{from: from, batch: b})
		s.apply(b)
	}
	j.wake()
}

// Away notes that the store gave no answer.
func (j *Journal) Away() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.away = true
	j.wake()
}

func (j *Journal) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (s *journalFeed) add(r reading) {
	if len(s.readings) == keptReadings {
		s.readings = append(s.readings[:0], s.readings[1:]...)
	}
	s.readings = append(s.readings, r)
}

func (s *journalFeed) apply(b fleet.Batch) {
	s.next = b.Next
	for _, c := range b.Changes {
		switch {
		case c.Gone != "":
			delete(s.state, c.Gone)
		case c.Put != nil:
			s.state[c.Put.Name] = c
		case c.Config != nil:
			s.state[""] = c // the one record of its feed
		}
	}
}

// Look returns what is held of a feed from an offset on, or the state as a whole.
func (j *Journal) Look(now time.Time, f fleet.Feed, from uint64, whole bool) Look {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &j.feeds[f]
	l := Look{Known: s.state != nil, Away: j.away, Changed: j.changed}
	if !l.Known {
		return l
	}
	l.Age = clock.Elapsed(j.heard, now)
	if b, ok := s.since(from); ok && !whole {
		l.Batch = b
	} else {
		l.Batch = s.whole(now)
	}
	return l
}

// since returns the records from an offset on; ok is false when some may be missing.
func (s *journalFeed) since(from uint64) (b fleet.Batch, ok bool) {
	b = fleet.Batch{Next: from}
	for _, r := range s.readings {
		switch {
		case r.batch.Next <= from:
		case r.from > b.Next:
			return fleet.Batch{}, false
		default:
			// A reading that begins before the offset is passed on whole: taking a
			// record twice, in order, leads to the same.
			b.Changes = append(b.Changes, r.batch.Changes...)
			b.Away = b.Away || r.batch.Away
			b.Next = r.batch.Next
		}
	}
	// A caller that is ahead of this daemon has read elsewhere: there is nothing new for it.
	return b, b.Next >= s.next
}

func (s *journalFeed) whole(now time.Time) fleet.Batch {
	b := fleet.Batch{Next: s.next, Whole: true, Changes: make([]fleet.Change, 0, len(s.state))}
	b.Away = !s.returned.IsZero() && clock.Elapsed(s.returned, now) < returnTime
	for _, c := range s.state {
		b.Changes = append(b.Changes, c)
	}
	return b
}
