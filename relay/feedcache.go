package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

// maxCachedBatches bounds the batches that are cached of each feed. A follower reads again
// within Timing.AnswerWithin, and a feed yields only a few batches in that time. A follower
// that asks for older records is sent a snapshot of the feed.
const maxCachedBatches = 64

// feedCount is the number of the store's feeds.
const feedCount = 2

// cachedBatch is the result of one read: the records from a position up to, but not including,
// batch.End(). If that is of a later epoch, the batch has what the restoration of the store changed.
type cachedBatch struct {
	from  logpos.Position
	batch fleet.Batch
}

// acrossEpochs reports whether the batch leads from one epoch of the store to a later one.
func (r cachedBatch) acrossEpochs() bool { return r.batch.Epoch.After(r.from.Epoch) }

// FeedCache caches what this daemon has read of the feeds: the newest record of each key and
// the most recent batches. It is safe for concurrent use.
type FeedCache struct {
	mu    sync.Mutex
	feeds [feedCount]feedState
	// lastContact is the time of the newest data from the store, read directly or through
	// another daemon. Both feeds share it because they belong to the same store.
	lastContact time.Time
	outages     outages
	// storeDown reports that the last direct read of this daemon failed, with no successful
	// read since.
	storeDown bool
	changed   chan struct{} // closed and replaced by each change
}

// feedState is the cached content of one feed.
type feedState struct {
	batches []cachedBatch
	// registrations and config are the newest record of each key up to position next, of the
	// upstreams and of the configuration feed. They are shared with the fleet.Registry.
	// registrations is nil before the first read, and after a gap in the records.
	registrations map[string]*fleet.Registration
	config        *fleet.Config
	next          logpos.Position
	// newest lists the newest record of each key; nil until a snapshot is asked for, and after
	// each change. Without it, a reader would list ten thousand upstreams anew for each of two
	// hundred followers that start together.
	newest []fleet.Change
	// recoveredAt is the time of the last successful read that followed an outage of the
	// store.
	recoveredAt time.Time
}

// recoveryWindow is how long after an outage of the store snapshots carry the flag
// fleet.Batch.Away. A registration that is missing from such a snapshot may only have
// expired during the outage. Running upstreams need this long to register again.
const recoveryWindow = 2 * time.Second

// CachedFeed is the result of FeedCache.Get: the cached content of a feed, starting at the
// requested offset.
type CachedFeed struct {
	// Known reports that the feed has been read. Batch then holds the records starting at
	// the requested position or, if some of these are not cached, a snapshot. Its records are
	// shared and must not be modified.
	Known bool
	Batch fleet.Batch
	// Epoch is the store's epoch up to which the feed is cached.
	Epoch logpos.Epoch
	// Age is the time since the last contact with the store. It includes time during which
	// the machine was suspended.
	Age time.Duration
	// StoreDown reports that a call to the store has failed since data was last added.
	StoreDown bool
	// Changed is closed when any other field than Age changes.
	Changed <-chan struct{}
}

// NewFeedCache returns an empty FeedCache.
func NewFeedCache() *FeedCache { return &FeedCache{changed: make(chan struct{})} }

// Add stores a batch of a feed that another daemon returned, read starting at the position
// "from". readAt is when the store returned the data.
func (c *FeedCache) Add(readAt time.Time, f fleet.Feed, from logpos.Position, b fleet.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(contact{at: readAt}, f, from, b)
}

// AddFromStore is Add for a batch that this daemon read from the store itself. If the store
// may have been unavailable since the last read of the feed, or was restored from a copy, it sets the
// flag Away of the batch, also in the copy for followers, because a registration that the batch removes
// or lacks may only have expired during the outage, or be lost until its upstream writes it again.
func (c *FeedCache) AddFromStore(readAt time.Time, f fleet.Feed, from logpos.Position, b fleet.Batch) fleet.Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.Away = c.outages.suspected(int(f)) || b.Epoch.After(c.feeds[f].next.Epoch)
	c.add(contact{at: readAt, direct: true}, f, from, b)
	return b
}

// add stores a batch and records the contact with the store.
func (c *FeedCache) add(read contact, f fleet.Feed, from logpos.Position, b fleet.Batch) {
	s := &c.feeds[f]
	if s.next.Epoch.After(b.Epoch) {
		return // an answer from before the store was restored, which came late
	}
	readAt := read.at
	c.outages.recordContact(int(f), read)
	if readAt.After(c.lastContact) {
		c.lastContact = readAt
	}
	c.storeDown = false
	if len(b.Changes) > 0 || b.Whole || s.next.Before(from) {
		s.newest = nil
	}
	if b.Away {
		s.recoveredAt = readAt
	}
	switch {
	case b.Whole:
		s.replace(b)
	case s.next.Before(from):
		// Records between s.next and from are missing, so the state is incomplete and is
		// dropped.
		s.batches, s.registrations, s.config = nil, nil, nil
	case s.registrations != nil && s.next.Before(b.End()):
		s.addBatch(cachedBatch{from: from, batch: b})
		s.apply(b)
	}
	c.notify()
}

// replace replaces the state by a snapshot. If the store was restored from a copy, it adds a batch that
// leads from the old state to the new one, so that not every follower must be sent the snapshot.
func (s *feedState) replace(b fleet.Batch) {
	previous := *s
	s.batches, s.registrations = nil, make(map[string]*fleet.Registration, len(b.Changes))
	s.apply(b)
	if previous.registrations != nil && b.Epoch.After(previous.next.Epoch) {
		s.batches = previous.batches
		s.addBatch(cachedBatch{from: previous.next, batch: s.changesFrom(&previous, b)})
	}
}

// changesFrom returns what differs from the state before a snapshot.
func (s *feedState) changesFrom(previous *feedState, snapshot fleet.Batch) fleet.Batch {
	out := snapshot
	out.Whole, out.Changes = false, nil
	if s.config != previous.config {
		out.Changes = append(out.Changes, fleet.Change{Config: s.config})
	}
	for name, reg := range s.registrations {
		if old := previous.registrations[name]; old == nil || !old.SameState(reg) {
			out.Changes = append(out.Changes, fleet.Change{Put: reg})
		}
	}
	for name := range previous.registrations {
		if s.registrations[name] == nil {
			out.Changes = append(out.Changes, fleet.Change{Gone: name})
		}
	}
	return out
}

// RecordFailedCall records that a call of this daemon to the store has failed or is late. Unlike after
// MarkStoreDown, followers wait here for data that another daemon may have.
func (c *FeedCache) RecordFailedCall(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages.recordFailure(at)
}

// MarkStoreDown records that a call of this daemon to the store has failed.
func (c *FeedCache) MarkStoreDown(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDown = true
	c.outages.recordFailure(at)
	c.notify()
}

// RecordLateAnswer records that the store answered this daemon late, after an outage.
func (c *FeedCache) RecordLateAnswer(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages.recordFailure(at)
}

// RecordOutage records that another daemon reported an outage of the store.
func (c *FeedCache) RecordOutage(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages.recordReport(at)
}

// OutageSuspected reports whether the store may have been unavailable since the last read of a
// feed.
func (c *FeedCache) OutageSuspected(f fleet.Feed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outages.suspected(int(f))
}

// SinceOutage returns the time since the last known outage of the store, 0 if none is known.
func (c *FeedCache) SinceOutage(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outages.sinceLast(now)
}

// notify wakes the callers that wait for a change.
func (c *FeedCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
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
	s.next = b.End()
	for _, c := range b.Changes {
		switch {
		case c.Gone != "":
			delete(s.registrations, c.Gone)
		case c.Put != nil:
			s.registrations[c.Put.Name] = c.Put
		case c.Config != nil && (s.config == nil || c.Config.Version >= s.config.Version):
			s.config = c.Config // the copy from which a store was restored may have an older one
		}
	}
}

// Age returns the time since the last contact with the store, directly or through another
// daemon; known is false if there was none.
func (c *FeedCache) Age(now time.Time) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastContact.IsZero() {
		return 0, false
	}
	return clock.Elapsed(c.lastContact, now), true
}

// Get returns the cached records of a feed, starting at the position "from", or a snapshot if
// whole is set.
func (c *FeedCache) Get(now time.Time, f fleet.Feed, from logpos.Position, whole bool) CachedFeed {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.feeds[f]
	cached := CachedFeed{Known: s.registrations != nil, Epoch: s.next.Epoch, StoreDown: c.storeDown, Changed: c.changed}
	if !cached.Known {
		return cached
	}
	cached.Age = clock.Elapsed(c.lastContact, now)
	if b, ok := s.changesSince(from); ok && !whole {
		cached.Batch = b
	} else {
		cached.Batch = s.snapshot(now)
	}
	return cached
}

// changesSince returns the records starting at the position "from"; ok is false if some of
// them may be missing.
func (s *feedState) changesSince(from logpos.Position) (b fleet.Batch, ok bool) {
	b = fleet.Batch{Next: from.Offset, Epoch: from.Epoch}
	for _, r := range s.batches {
		switch {
		case !from.Before(r.batch.End()):
		case b.End().Before(r.from):
			return fleet.Batch{}, false
		case r.acrossEpochs() && r.from.Before(b.End()):
			// The caller has read records of the lost history that this daemon has not, and
			// what changed from these is not known here.
			return fleet.Batch{}, false
		default:
			// A batch that begins before the position is returned as a whole, because
			// applying a record twice in order has the same result.
			b.Changes = append(b.Changes, r.batch.Changes...)
			b.Away = b.Away || r.batch.Away
			b.Next, b.Epoch = r.batch.Next, r.batch.Epoch
		}
	}
	// If the position is beyond s.next, the caller has read newer records from another source,
	// and there is nothing new for it here.
	return b, !b.End().Before(s.next)
}

// snapshot returns a batch with the newest record of each key.
func (s *feedState) snapshot(now time.Time) fleet.Batch {
	if s.newest == nil {
		s.newest = s.listNewest()
	}
	b := fleet.Batch{Next: s.next.Offset, Epoch: s.next.Epoch, Whole: true, Changes: s.newest}
	b.Away = !s.recoveredAt.IsZero() && clock.Elapsed(s.recoveredAt, now) < recoveryWindow
	return b
}

// listNewest returns the newest record of each key.
func (s *feedState) listNewest() []fleet.Change {
	out := make([]fleet.Change, 0, len(s.registrations)+1)
	if s.config != nil {
		out = append(out, fleet.Change{Config: s.config})
	}
	for _, r := range s.registrations {
		out = append(out, fleet.Change{Put: r})
	}
	return out
}
