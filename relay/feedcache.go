package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// maxCachedBatches bounds the batches that are cached of each feed. A follower reads again
// within Timing.AnswerWithin, in which a feed yields only a few batches. A follower that asks
// for older records is sent a snapshot of the feed.
const maxCachedBatches = 64

// feedCount is the number of the store's feeds.
const feedCount = 2

// cachedBatch is the result of one read: the records from offset from up to batch.Next.
type cachedBatch struct {
	from  uint64
	batch fleet.Batch
}

// FeedCache caches what this daemon has read of the feeds: the newest record of each key and
// the most recent batches. It is safe for concurrent use.
type FeedCache struct {
	mu    sync.Mutex
	feeds [feedCount]feedState
	// lastContact is the time of the newest data from the store, read directly or through
	// another daemon. Both feeds share it because they belong to the same store.
	lastContact time.Time
	// storeDown reports that the last direct read of this daemon failed, with no successful
	// read since.
	storeDown bool
	changed   chan struct{} // closed and replaced by each change
}

// feedState is the cached content of one feed.
type feedState struct {
	batches []cachedBatch
	// state holds the newest record of each key up to offset next. It is nil before the
	// first read.
	state map[string]fleet.Change
	next  uint64
	// recoveredAt is the time of the last successful read that followed an outage of the
	// store.
	recoveredAt time.Time
}

// recoveryWindow is how long after an outage of the store snapshots are marked with Away. A
// registration that is missing then may only have expired during the outage. Running
// upstreams need this long to register again.
const recoveryWindow = 2 * time.Second

// CachedFeed is the cached content of a feed from an offset on.
type CachedFeed struct {
	// Known reports that the feed has been read. Batch then holds the records from the
	// offset on or, where these are no longer cached, a snapshot.
	Known bool
	Batch fleet.Batch
	// Age is the time since the last contact with the store. It includes time during which
	// the machine was suspended.
	Age time.Duration
	// StoreDown reports that a call to the store has failed since the last contact.
	StoreDown bool
	// Changed is closed when any other field than Age changes.
	Changed <-chan struct{}
}

// NewFeedCache returns an empty FeedCache.
func NewFeedCache() *FeedCache { return &FeedCache{changed: make(chan struct{})} }

// Add stores a batch of a feed that was read from the offset from on. readAt is when its
// data came from the store.
func (j *FeedCache) Add(readAt time.Time, f fleet.Feed, from uint64, b fleet.Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if readAt.After(j.lastContact) {
		j.lastContact = readAt
	}
	j.storeDown = false
	s := &j.feeds[f]
	if b.Away {
		s.recoveredAt = readAt
	}
	switch {
	case b.Whole:
		s.batches, s.state = nil, map[string]fleet.Change{}
		s.apply(b)
	case from > s.next:
		// Records between s.next and from are missing, so the state is incomplete and is
		// dropped.
		s.batches, s.state = nil, nil
	case s.state != nil && b.Next > s.next:
		s.addBatch(cachedBatch{from: from, batch: b})
		s.apply(b)
	}
	j.notify()
}

// MarkStoreDown records that the store failed to answer this daemon.
func (j *FeedCache) MarkStoreDown() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.storeDown = true
	j.notify()
}

// notify wakes the callers that wait for a change.
func (j *FeedCache) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// addBatch caches a batch and drops the oldest one if there are too many.
func (s *feedState) addBatch(r cachedBatch) {
	if len(s.batches) == maxCachedBatches {
		s.batches = append(s.batches[:0], s.batches[1:]...)
	}
	s.batches = append(s.batches, r)
}

// apply applies the records of a batch to the state.
func (s *feedState) apply(b fleet.Batch) {
	s.next = b.Next
	for _, c := range b.Changes {
		switch {
		case c.Gone != "":
			delete(s.state, c.Gone)
		case c.Put != nil:
			s.state[c.Put.Name] = c
		case c.Config != nil:
			s.state[""] = c // the configuration feed has a single key
		}
	}
}

// Get returns the cached records of a feed from the offset from on, or a snapshot if whole
// is set.
func (j *FeedCache) Get(now time.Time, f fleet.Feed, from uint64, whole bool) CachedFeed {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &j.feeds[f]
	l := CachedFeed{Known: s.state != nil, StoreDown: j.storeDown, Changed: j.changed}
	if !l.Known {
		return l
	}
	l.Age = clock.Elapsed(j.lastContact, now)
	if b, ok := s.changesSince(from); ok && !whole {
		l.Batch = b
	} else {
		l.Batch = s.snapshot(now)
	}
	return l
}

// changesSince returns the records from an offset on; ok is false if some of them may be
// missing.
func (s *feedState) changesSince(from uint64) (b fleet.Batch, ok bool) {
	b = fleet.Batch{Next: from}
	for _, r := range s.batches {
		switch {
		case r.batch.Next <= from:
		case r.from > b.Next:
			return fleet.Batch{}, false
		default:
			// A batch that begins before the offset is returned as a whole, because
			// applying a record twice in order has the same result.
			b.Changes = append(b.Changes, r.batch.Changes...)
			b.Away = b.Away || r.batch.Away
			b.Next = r.batch.Next
		}
	}
	// A caller with a larger offset than this daemon has read elsewhere; there is nothing
	// new for it.
	return b, b.Next >= s.next
}

// snapshot returns the newest records of all keys.
func (s *feedState) snapshot(now time.Time) fleet.Batch {
	b := fleet.Batch{Next: s.next, Whole: true, Changes: make([]fleet.Change, 0, len(s.state))}
	b.Away = !s.recoveredAt.IsZero() && clock.Elapsed(s.recoveredAt, now) < recoveryWindow
	for _, c := range s.state {
		b.Changes = append(b.Changes, c)
	}
	return b
}
