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
	lastRecords       [feedCount]time.Time   // when the store last returned records
	lastDirect        time.Time              // when the store last answered this daemon
	successionVersion uint64                 // version of the last succession received
	cursors           map[string]newsCursors // keyed by the address of the reader
	loggedSource      string                 // the daemon last logged as the source of reads, "" for the store
	readsStore        bool                   // the last read was made at the store itself
}

// newsCursors are the sequence numbers up to which one reader has sent its samples and its
// quarantine records to this daemon.
//
// Each reader has its own sequence numbers. Suppose that a follower had one cursor for all
// readers, and that two daemons name each other as the reader while the store is
// unavailable. The follower asks the two alternately and would send each of them the cursor
// of the other. Each daemon would not recognize the number, treat the caller as a new follower
// and answer at once, thousands of times a second.
type newsCursors struct{ samples, quarantine uint64 }

// maxCursors bounds the readers whose cursors are kept. A daemon reads through only a few
// others: the reader of its data centre, the successors and the readers of other data
// centres.
const maxCursors = 64

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
		cursors: map[string]newsCursors{},
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

// readFromPeer reads from another daemon; ok is false if that daemon returned no fresh data,
// or if the call was cancelled. storeAnswers reports that it did, and has known of no outage since the store
// last answered this daemon.
func (s *Store) readFromPeer(ctx context.Context, q query, step Step) (b fleet.Batch, storeAnswers, ok bool) {
	s.setSource(step.Peer.Instance, "")
	call := s.buildRequest(q, step)
	callCtx, cancel := context.WithCancel(ctx) // cancelled when a follower calls this daemon
	defer cancel()
	if !step.Substitute {
		defer s.o.Followers.OnActive(cancel)()
	}
	reply, b, err := s.clients[q.feed].read(callCtx, step.Peer.Address, call, s.o.Timing.Slack)
	if callCtx.Err() != nil {
		return b, false, false // this daemon is to read the store itself, or is stopping
	}
	now := s.o.Now()
	s.recordPeerReply(step.Peer, reply, err)
	if err == nil {
		if !step.Substitute {
			s.recordOutage(now, reply)
		}
		s.o.Time.recordStamp(now, step.Peer.Address, reply.Stamp)
		s.applyNews(q.feed, step.Peer.Address, reply)
	}
	if err != nil || reply.Status != statusFresh {
		return b, false, false
	}
	if b.Epoch == 0 { // the other daemon runs older software, which knows no epochs
		b.Epoch = q.from.Epoch
	}
	s.o.Epochs.Learn(b.Epoch)
	if newest, _ := s.o.Epochs.Newest(); newest.After(b.Epoch) {
		return b, false, false
	}
	b.Age = reply.Age
	s.o.Cache.Add(now.Add(-reply.Age), q.feed, q.from, b)
	s.countRead(q, ViaPeer)
	return b, !s.outageSinceDirectRead(now, reply.SinceOutage), true
}

// outageSinceDirectRead reports whether an outage, of which a peer told how long ago it was, came after the
// last answer of the store to this daemon; 0 means none.
func (s *Store) outageSinceDirectRead(now time.Time, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return since > 0 && !now.Add(-since).Before(s.lastDirect)
}

// recordOutage records the outage of the store that a response tells of. A reader without
// fresh data has had no answer from the store for longer than any read waits there.
func (s *Store) recordOutage(now time.Time, reply readResponse) {
	if reply.SinceOutage > 0 {
		s.o.Cache.RecordOutage(now.Add(-reply.SinceOutage))
	}
	if reply.Status != statusFresh {
		s.o.Cache.RecordOutage(now)
	}
}

// recordPeerReply updates the plan with the response or error of a peer.
func (s *Store) recordPeerReply(peer Peer, reply readResponse, err error) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.plan.PeerUnreachable(now, peer)
		s.o.Logger.WithField("reader", peer.Instance).WithError(err).Info("reader lost")
		return
	case reply.Status == statusStoreDown:
		s.plan.PeerStoreDown(now, peer)
	case reply.Status == statusStale:
		s.plan.PeerStale(now, peer)
	default:
		s.plan.PeerFresh(now, peer)
	}
	// A daemon of another data centre knows of this one only its reader.
	if reply.Succession != nil && peer.DataCentre == s.o.Self.DataCentre && !s.o.Roster.IsReader() {
		s.o.Roster.SetSuccession(*reply.Succession)
		s.successionVersion = reply.Version
	}
}

// buildRequest returns the request to send to a peer.
func (s *Store) buildRequest(q query, step Step) readRequest {
	known, _ := s.o.Epochs.Newest()
	s.mu.Lock()
	defer s.mu.Unlock()
	call := readRequest{
		Feed: q.feed, From: q.from.Offset, FromEpoch: q.from.Epoch, KnownEpoch: known, Whole: q.whole, Wait: s.o.Timing.answerWithin(step), Patient: step.Patient, Self: s.o.Roster.Self(),
		KnownVersion: s.successionVersion, HandedOver: s.o.Time.handOver(s.o.Now(), step.Peer),
	}
	if !step.Substitute { // that one is asked whether there is an outage
		call.SinceOutage = s.o.Cache.SinceOutage(s.o.Now())
	}
	if q.feed == fleet.FeedUpstreams {
		cursors := s.cursors[step.Peer.Address]
		call.Samples = toWireSamples(s.o.Samples.TakeForReader())
		call.SamplesUpTo, call.QuarantineUpTo = cursors.samples, cursors.quarantine
		call.Limits = s.o.Limits.Changes(q.whole)
	}
	return call
}

// applyNews stores the samples, quarantine records and limits in the response of the daemon
// at an address.
func (s *Store) applyNews(f fleet.Feed, address string, reply readResponse) {
	if f != fleet.FeedUpstreams {
		return
	}
	s.setCursors(address, newsCursors{samples: reply.SamplesUpTo, quarantine: reply.QuarantineUpTo})
	s.o.Limits.Update(reply.Limits)
	if len(reply.Quarantine) > 0 {
		s.o.Quarantine.ApplyRemote(reply.Quarantine)
	}
	if len(reply.Samples) > 0 {
		s.o.OnSamples(fromWireSamples(reply.Samples))
	}
}

// setCursors stores the cursors of the reader at an address.
func (s *Store) setCursors(address string, cursors newsCursors) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.cursors[address]; !known && len(s.cursors) >= maxCursors {
		clear(s.cursors) // each reader then sends its news again, once
	}
	s.cursors[address] = cursors
}

// readFromStore reads the store itself.
func (s *Store) readFromStore(ctx context.Context, q query) (fleet.Batch, error) {
	if !clock.Sleep(ctx, s.delayBeforeRead(q.feed)) {
		return fleet.Batch{}, errors.WithStack(ctx.Err())
	}
	var b fleet.Batch
	var err error
	sentAt := s.o.Now()
	if q.whole {
		b, err = s.o.Direct.Snapshot(ctx, q.feed)
		b.Whole = true
	} else {
		b, err = s.readRecords(ctx, q)
	}
	if ctx.Err() != nil {
		return b, err
	}
	s.recordStoreReply(q, &b, err, sentAt)
	return b, err
}

// readRecords reads the records of a feed from the store. An answer that is late by lateAnswer
// counts as an outage.
//
// A store that falls silent may answer the calls that wait there once it is back. A silence
// shorter than the timeout then shows in no failed call, and the removals in such an answer would
// be taken for withdrawals.
func (s *Store) readRecords(ctx context.Context, q query) (fleet.Batch, error) {
	wait, sentAt := s.storeWait(q), s.o.Now()
	b, err := s.o.Direct.Read(ctx, q.feed, q.from, wait)
	if now := s.o.Now(); err == nil && now.Sub(sentAt) > wait+lateAnswer {
		s.o.Cache.RecordLateAnswer(now)
	}
	return b, err
}

// recordStoreReply updates the plan and the cache with the result of a call that was sent to the
// store at a time, and sets the flag Away of a batch that may cover an outage.
func (s *Store) recordStoreReply(q query, b *fleet.Batch, err error, sentAt time.Time) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case fleet.IsPositionLost(err):
		s.countRead(q, Direct)
		s.plan.StoreAnswered()
		return
	case err != nil:
		s.countRead(q, Failed)
		s.recordFailedCall(now, sentAt)
		return
	}
	s.countRead(q, Direct)
	s.plan.StoreAnswered()
	s.lastDirect = now
	if q.from.Before(b.End()) {
		s.lastRecords[q.feed] = now
	}
	*b = s.o.Cache.AddFromStore(now, q.feed, q.from, *b)
}

// recordFailedCall records that a call to the store, sent at a time, failed or is late. Followers are not
// sent away while a substitute may show that only this daemon's path is lost. s.mu must be held.
func (s *Store) recordFailedCall(now, sentAt time.Time) {
	mayBeSubstituted := len(s.plan.Substitutes(now)) > 0
	s.plan.StoreFailed(sentAt)
	if mayBeSubstituted {
		s.o.Cache.RecordFailedCall(now)
	} else {
		s.o.Cache.MarkStoreDown(now)
	}
}

// delayBeforeRead returns how long to wait before the next call to the store, so that records
// that are written shortly after each other are read in one call (see Timing.Gather).
func (s *Store) delayBeforeRead(f fleet.Feed) time.Duration {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	gather := s.o.Timing.Gather
	if s.o.Followers.Recent(now) {
		gather = s.o.Timing.SharedGather
	}
	return max(0, s.lastRecords[f].Add(gather).Sub(now))
}

// storeWait returns how long a read may wait at the store for new records. The wait is
// shortened while this daemon has followers. After an outage it is zero: the first batch
// after an outage carries the flag Away, and with a long wait it could also contain removals
// that were made on purpose after the recovery.
func (s *Store) storeWait(q query) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.o.Cache.OutageSuspected(q.feed), q.probe:
		return 0
	case !s.o.Followers.Recent(s.o.Now()):
		return q.wait
	case q.feed == fleet.FeedConfig:
		return min(q.wait, s.o.Timing.ConfigHold)
	}
	return min(q.wait, s.o.Timing.Hold)
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
