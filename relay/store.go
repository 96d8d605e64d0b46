package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
)

// Directory tells which daemons may read the store for others.
type Directory interface {
	// Readers returns them in an order that all daemons see alike.
	Readers(ctx context.Context) ([]Peer, error)
}

// Options wire a Store; all but Counted are required.
type Options struct {
	Direct    fleet.Store
	Directory Directory
	Journal   *Journal
	Asked     *Asked
	// Self is this daemon as Readers names it.
	Self   Peer
	Logger log.Interface
	Now    func() time.Time
	// Counted is told of each reading; nil tells nobody.
	Counted func(f fleet.Feed, w Way)
}

// Way says how a reading went.
type Way uint8

// The ways.
const (
	Direct  Way = iota // the store itself answered
	Through            // another daemon answered
	Failed             // neither did
)

// Store reads the feeds through another daemon where there is one for it, else from
// the store itself. It implements fleet.Store; each feed must be read by one goroutine
// at a time.
type Store struct {
	o       Options
	clients [feeds]*client

	mu     sync.Mutex // guards the fields below
	picker *Picker
	away   [feeds]bool
	news   [feeds]time.Time // when a call to the store last brought records
	told   string           // the reader that the log was last told of
}

// NewStore returns a store that reads for itself until it has found a reader.
func NewStore(o Options) *Store {
	s := &Store{o: o, picker: NewPicker(o.Now(), o.Self)}
	for f := range s.clients {
		s.clients[f] = &client{feed: fleet.Feed(f)}
	}
	return s
}

// Newest implements fleet.Store. It is rare, and always asks the store itself.
func (s *Store) Newest(ctx context.Context, f fleet.Feed) (fleet.Batch, error) {
	b, err := s.o.Direct.Newest(ctx, f)
	s.note(f, &b, err)
	return b, err
}

// Read implements fleet.Store. A reading that may not wait is asked of the store
// itself: it is the first one after a failure.
func (s *Store) Read(ctx context.Context, f fleet.Feed, from uint64, wait time.Duration) (fleet.Batch, error) {
	if wait > 0 {
		if peer, ok := s.pick(ctx); ok {
			b, err := s.clients[f].read(ctx, peer.Address, from, min(wait, AnswerWithin))
			if err == nil {
				s.answered(f)
			}
			if err == nil || ctx.Err() != nil {
				return b, err
			}
			if !errors.Is(err, errFetch) {
				s.failed(peer, err)
			}
			wait = 0 // what came meanwhile is there already
		}
	}
	return s.direct(ctx, f, from, wait)
}

// direct reads the store itself.
func (s *Store) direct(ctx context.Context, f fleet.Feed, from uint64, wait time.Duration) (fleet.Batch, error) {
	if !clock.Sleep(ctx, s.pause(f)) {
		return fleet.Batch{}, errors.WithStack(ctx.Err())
	}
	b, err := s.o.Direct.Read(ctx, f, from, s.bound(wait))
	s.note(f, &b, err)
	if err == nil {
		s.o.Journal.Add(s.o.Now(), f, from, b)
		s.brought(f, b.Next > from)
	}
	return b, err
}

// pause returns how long records are still gathered before the next call, so that
// those of many upstreams that register, leave or are replaced together come in few.
func (s *Store) pause(f fleet.Feed) time.Duration {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	gather := gatherTime
	if s.o.Asked.Lately(now) {
		gather = sharedGather
	}
	return max(0, s.news[f].Add(gather).Sub(now))
}

// brought notes whether a call brought records.
func (s *Store) brought(f fleet.Feed, news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if news {
		s.news[f] = s.o.Now()
	}
}

func (s *Store) answered(f fleet.Feed) {
	s.count(f, Through)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Answered()
}

func (s *Store) count(f fleet.Feed, w Way) {
	if s.o.Counted != nil {
		s.o.Counted(f, w)
	}
}

// note counts a reading of the store itself and marks the first after a failed one: what it shows as gone may only have
// lapsed while the store was away, for followers too.
func (s *Store) note(f fleet.Feed, b *fleet.Batch, err error) {
	if err == nil {
		s.count(f, Direct)
	} else {
		s.count(f, Failed)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.away[f] = s.away[f] || !errors.Is(err, fleet.ErrTrimmed)
		return
	}
	b.Away, s.away[f] = s.away[f], false
}

// bound shortens the wait of a reading while others rely on its answer.
func (s *Store) bound(wait time.Duration) time.Duration {
	if s.o.Asked.Lately(s.o.Now()) {
		return min(wait, readWait)
	}
	return wait
}

// pick returns the reader to ask. A daemon that others ask reads for itself, so that
// none waits for one that waits for it.
func (s *Store) pick(ctx context.Context) (Peer, bool) {
	now := s.o.Now()
	s.mu.Lock()
	due := s.picker.Due(now)
	if due {
		s.picker.Listed(now, nil) // the other feed's goroutine leaves it to this one
	}
	s.mu.Unlock()
	if due {
		s.list(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, ok := s.picker.Pick(now)
	ok = ok && !s.o.Asked.Lately(now)
	s.tell(peer, ok)
	return peer, ok
}

// listTime bounds a look for readers. Assumed: as long as one answer of a store that
// is slow; the reading that waits for it must still end in time.
const listTime = 300 * time.Millisecond

func (s *Store) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	list, err := s.o.Directory.Readers(ctx)
	if err != nil {
		s.o.Logger.WithError(err).Debug("readers not looked up")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Listed(s.o.Now(), list)
}

func (s *Store) failed(peer Peer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, errUnfit) {
		s.picker.Unfit(s.o.Now(), peer)
	} else {
		s.picker.Failed(s.o.Now(), peer)
	}
	s.told = ""
	s.o.Logger.WithField("reader", peer.Instance).WithError(err).Info("reader lost")
}

// tell logs a change of the reader; s.mu is held.
func (s *Store) tell(peer Peer, ok bool) {
	if ok && s.told != peer.Instance {
		s.told = peer.Instance
		s.o.Logger.WithField("reader", peer.Instance).Info("store read by another instance")
	}
}
