package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

// Directory lists the daemons that are registered in the store as readers.
type Directory interface {
	Readers(ctx context.Context) ([]Peer, error)
}

// Options configure a Store; all fields but Limits, Time, Epochs and OnRead are required.
type Options struct {
	Direct    fleet.Store
	Directory Directory
	Cache     *FeedCache
	Roster    *Roster
	Followers *FollowerActivity
	Dial      Dialer
	Timing    Timing
	Samples   *Samples
	// Quarantine receives the quarantine records that come with reads of the upstreams
	// feed.
	Quarantine Quarantine
	// Limits supplies the upstreams' rate limits that requests to other daemons contain, and
	// receives those in responses. With nil, none are sent or stored.
	Limits Limits
	// OnSamples receives samples that other daemons have taken of completions on engines.
	OnSamples func(list []estimate.Sample)
	// Time supplies the span of time for which the reader, not this daemon, adds this daemon's
	// units to its ledger (see AccrualSender). It is sent with each read; with nil none is
	// sent.
	Time *AccrualSender
	// Epochs holds the newest known epoch of the store. Data of other daemons that is older is not
	// used. With nil, only what comes from other daemons counts.
	Epochs *logpos.Tracker
	// Self describes this daemon. Seeds are the addresses of the daemons that are asked for
	// a reader first.
	Self   Peer
	Seeds  []string
	Random *rand.Rand
	Logger log.Interface
	Now    func() time.Time
	// OnRead is called after each read; nil is allowed. The reason is that of a read of the
	// store itself, empty for a read through another daemon.
	OnRead func(f fleet.Feed, w Outcome, reason ReadReason)
}

// Outcome is the source of a read, or Failed.
type Outcome uint8

// The outcomes of a read.
const (
	Direct  Outcome = iota // answered by the store
	ViaPeer                // answered by another daemon
	Failed                 // the call to the store failed
)

const (
	// listTimeout bounds the call that asks the store for its list of readers. It is as
	// long as one answer of a slow store.
	listTimeout = 300 * time.Millisecond
	// discoverTimeout bounds the call that asks another daemon for the reader.
	// startupDiscoverTimeout does so while this daemon starts, because the other one may be
	// starting too and delay its answer (see startupDiscoverWait). The timeouts are short
	// because the reads of both feeds wait for the answer, and a frozen daemon still accepts
	// connections.
	discoverTimeout        = 200 * time.Millisecond
	startupDiscoverTimeout = startupDiscoverWait + discoverTimeout
	// lateAnswer is how much longer than its wait a read of the store takes only if the store
	// was unavailable meanwhile. It is as long as one answer of a slow store.
	lateAnswer = 300 * time.Millisecond
)

// Store reads the feeds from the source that its Plan selects, which is another daemon or
// the store itself. It implements fleet.Store. Each feed must be read by one goroutine at a
// time.
type Store struct {
	o              Options
	started        time.Time
	clients        [feedCount]*client // one for each feed
	discoverClient *client
	// searchLock is a semaphore held by the goroutine that searches for a reader. The
	// goroutine of the other feed waits for the result.
	searchLock chan struct{}

	mu                sync.Mutex // guards the fields below
	plan              *Plan
	lastRecords       [feedCount]time.Time     // when the store last returned records
	lastDirect        time.Time                // when the store last answered this daemon
	successionVersion uint64                   // version of the last succession received
	cursors           map[string]recordCursors // keyed by the address of the reader
	loggedSource      string                   // the daemon last logged as the source of reads, "" for the store
	readsStore        bool                     // the last read was made at the store itself
}

// NewStore returns a store that has not searched for a reader yet.
func NewStore(o Options) *Store {
	if o.Limits == nil {
		o.Limits = noLimits{}
	}
	if o.Epochs == nil {
		o.Epochs = logpos.NewTracker(nil)
	}
	s := &Store{
		o: o, started: o.Now(), plan: NewPlan(o.Now(), o.Self, o.Seeds, o.Roster, o.Random), searchLock: make(chan struct{}, 1),
		cursors: map[string]recordCursors{},
	}
	for f := range s.clients {
		s.clients[f] = &client{dial: o.Dial}
	}
	s.discoverClient = &client{dial: o.Dial}
	return s
}

// ReadsStore reports whether this daemon reads the store itself in normal operation.
func (s *Store) ReadsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.ReadsStore(s.o.Now())
}

// ReadsForOthers reports whether this daemon reads the store itself at present, and does so
// either in normal operation or because it has followers. Only such daemons read the
// quarantine log.
//
// If every daemon that reads the store also read the quarantine log, the loss of a reader
// would cause a burst of calls: for about a second all daemons of its data centre read the
// store, and each would read the quarantine log too.
func (s *Store) ReadsForOthers() bool {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readsStore && (s.plan.ReadsStore(now) || s.o.Followers.Recent(now))
}

// Snapshot implements fleet.Store.
func (s *Store) Snapshot(ctx context.Context, f fleet.Feed) (fleet.Batch, error) {
	return s.read(ctx, query{feed: f, whole: true})
}

// Read implements fleet.Store.
func (s *Store) Read(ctx context.Context, f fleet.Feed, from logpos.Position, wait time.Duration) (fleet.Batch, error) {
	return s.read(ctx, query{feed: f, from: from, wait: wait})
}

// query holds the parameters of a read.
type query struct {
	feed  fleet.Feed
	from  logpos.Position
	whole bool
	wait  time.Duration
	probe bool // see Step
	// reason is why this daemon reads the store itself.
	reason ReadReason
}

// read follows the steps of the plan until another daemon returns fresh data or the store
// is called.
func (s *Store) read(ctx context.Context, q query) (fleet.Batch, error) {
	for ctx.Err() == nil {
		step := s.next(ctx, q.feed)
		switch step.Action {
		case AskStore:
			q.probe, q.reason = step.Probe, step.Reason
			s.setSource("", step.Reason)
			return s.readFromStoreOrSubstitute(ctx, q)
		case AskPeer:
			b, storeAnswers, ok := s.readFromPeer(ctx, q, step)
			if step.Substitute && !storeAnswers {
				s.endSubstitution()
			}
			if ok {
				return b, nil
			}
		case Wait:
			clock.Sleep(ctx, step.Pause)
		}
	}
	return fleet.Batch{}, errors.WithStack(ctx.Err())
}

// next returns the next step that isn't part of a search for a reader. It carries out the
// steps of a search itself.
func (s *Store) next(ctx context.Context, f fleet.Feed) Step {
	select {
	case s.searchLock <- struct{}{}:
	case <-ctx.Done():
		return Step{Action: Wait}
	}
	defer func() { <-s.searchLock }()
	for {
		step := s.step(f)
		switch step.Action {
		case AskReader:
			s.discover(ctx, step.Peer.Address)
		case ListReaders:
			s.listReaders(ctx)
		default:
			return step
		}
		if ctx.Err() != nil {
			return Step{Action: Wait}
		}
	}
}

// step returns the next step of the plan for a feed.
func (s *Store) step(f fleet.Feed) Step {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Next(now, f, s.o.Followers.Recent(now))
}

// discover asks the daemon at an address for the readers of this data centre.
func (s *Store) discover(ctx context.Context, address string) {
	call := discoverRequest{Self: s.o.Roster.Self(), Limits: s.o.Limits.Changes(false), Unreachable: s.o.Roster.Unreachable(s.o.Now())}
	within := discoverTimeout
	if s.o.Now().Sub(s.started) < startupPeriod {
		within = startupDiscoverTimeout
	}
	reply, err := s.discoverClient.discover(ctx, address, call, within)
	s.discoverClient.close()
	if err != nil {
		s.o.Logger.WithField("daemon", address).WithError(err).Debug("reader query unanswered")
		return
	}
	s.o.Roster.AddClaims(s.o.Now(), reply.Claims)
	s.o.Limits.Update(reply.Limits)
	s.o.Time.recordStamp(s.o.Now(), address, reply.Stamp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.ReaderFound(address, reply.Succession)
}

// listReaders asks the store for its list of readers.
func (s *Store) listReaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	peers, err := s.o.Directory.Readers(ctx)
	if err != nil {
		s.o.Logger.WithError(err).Debug("reader listing failed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.ReadersListed(peers)
}

// countRead reports a read to Options.OnRead.
func (s *Store) countRead(q query, outcome Outcome) {
	if s.o.OnRead != nil {
		s.o.OnRead(q.feed, outcome, q.reason)
	}
}

// setSource records the daemon that this one is going to read through, "" for the store
// itself, which it reads for a reason, and logs a change.
func (s *Store) setSource(source string, reason ReadReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsStore = source == ""
	if s.loggedSource == source {
		return
	}
	s.loggedSource = source
	if source == "" {
		s.o.Logger.WithFields(log.Fields{"reason": reason, "data_age_ms": s.dataAgeMillis()}).Info("store read by this instance")
		return
	}
	s.o.Logger.WithField("reader", source).Info("store read by another instance")
}

// dataAgeMillis returns the time since the store returned the newest data that this daemon
// has, in milliseconds; -1 if it has none.
func (s *Store) dataAgeMillis() int64 {
	age, known := s.o.Cache.Age(s.o.Now())
	if !known {
		return -1
	}
	return age.Milliseconds()
}
