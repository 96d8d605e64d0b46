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
)

// Directory tells which daemons read the store, by the store's own word.
type Directory interface {
	Readers(ctx context.Context) ([]Peer, error)
}

// Options wire a Store; all but Limits, Time and Counted are required.
type Options struct {
	Direct    fleet.Store
	Directory Directory
	Journal   *Journal
	Roster    *Roster
	Asked     *Asked
	Dial      Dialer
	Pace      Pace
	Samples   *Samples
	// Quarantine takes what a reader tells of beside the records of upstreams.
	Quarantine Quarantine
	// Limits are told of and heard of beside them too; nil does neither.
	Limits Limits
	// Learned is told of what other daemons have seen of engines.
	Learned func(list []estimate.Sample)
	// Time hands the daemon's time over to the reader that it asks; nil hands none over.
	Time *TimeKeeper
	// Self is this daemon as it tells others, and Seeds the addresses of daemons at which
	// to look for a reader first.
	Self   Peer
	Seeds  []string
	Random *rand.Rand
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

const (
	// listTime bounds a look for readers at the store: as long as one answer of a store
	// that is slow.
	listTime = 300 * time.Millisecond
	// meetTime bounds the answer of a daemon that was asked who reads; youngMeetTime does
	// so for one that starts, as may the daemon that it asks (see meetWait). Both feeds wait
	// for it, and one that stands still accepts connections as ever.
	meetTime      = 200 * time.Millisecond
	youngMeetTime = meetWait + meetTime
)

// Store reads the feeds as its Plan says. It implements fleet.Store; each feed must be
// read by one goroutine at a time.
type Store struct {
	o       Options
	started time.Time
	clients [feeds]*client
	finder  *client
	// finding is held by the goroutine that looks for a reader; the other one waits for
	// what it finds.
	finding chan struct{}

	mu      sync.Mutex // guards the fields below
	plan    *Plan
	away    [feeds]bool
	news    [feeds]time.Time // when a call to the store last brought records
	version uint64           // of the succession that this daemon was told
	marks   map[string]marks // by the address of the daemon that told
	source  string           // the daemon that is asked, as the log was last told
	itself  bool             // the store itself was asked last
}

// marks are the numbers up to which a daemon has told this one: of what others saw of
// engines, and of the quarantine.
//
// Each daemon numbers by itself. What goes wrong with one number for all: two daemons name
// each other as the reader while the store is away, and this one asks them by turns; each
// is shown the other's number, takes it for one that was told nothing, and answers at once,
// thousands of times a second.
type marks struct{ seen, told uint64 }

// maxMarks bounds the daemons whose numbers are kept; a succession names a few.
const maxMarks = 64

// NewStore returns a store that has found no reader yet.
func NewStore(o Options) *Store {
	if o.Limits == nil {
		o.Limits = noLimits{}
	}
	s := &Store{
		o: o, started: o.Now(), plan: NewPlan(o.Now(), o.Self, o.Seeds, o.Roster, o.Random), finding: make(chan struct{}, 1),
		marks: map[string]marks{},
	}
	for f := range s.clients {
		s.clients[f] = &client{dial: o.Dial}
	}
	s.finder = &client{dial: o.Dial}
	return s
}

// Reads says whether this daemon reads the store itself for good.
func (s *Store) Reads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Reads(s.o.Now())
}

// Provides says whether this daemon asks the store itself now and does so for others, or
// for good.
//
// What goes wrong where all read the quarantine who ask the store: a data centre whose
// reader is gone is without one for a second, each of its daemons asks the store meanwhile,
// and each reads the quarantine too.
func (s *Store) Provides() bool {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.itself && (s.plan.Reads(now) || s.o.Asked.Lately(now))
}

// Newest implements fleet.Store.
func (s *Store) Newest(ctx context.Context, f fleet.Feed) (fleet.Batch, error) {
	return s.read(ctx, query{feed: f, whole: true})
}

// Read implements fleet.Store.
func (s *Store) Read(ctx context.Context, f fleet.Feed, from uint64, wait time.Duration) (fleet.Batch, error) {
	return s.read(ctx, query{feed: f, from: from, wait: wait})
}

// query is what a reading wants.
type query struct {
	feed  fleet.Feed
	from  uint64
	whole bool
	wait  time.Duration
	probe bool // see Step
}

// read takes steps until one brings an answer, or the store itself gives none.
func (s *Store) read(ctx context.Context, q query) (fleet.Batch, error) {
	for ctx.Err() == nil {
		step := s.next(ctx, q.feed)
		switch step.Do {
		case AskStore:
			q.probe = step.Probe
			return s.direct(ctx, q)
		case AskPeer:
			if b, ok := s.through(ctx, q, step); ok {
				return b, nil
			}
		case Wait:
			clock.Sleep(ctx, step.Pause)
		}
	}
	return fleet.Batch{}, errors.WithStack(ctx.Err())
}

// next returns the next step that is no look for a reader; such steps are taken here.
func (s *Store) next(ctx context.Context, f fleet.Feed) Step {
	select {
	case s.finding <- struct{}{}:
	case <-ctx.Done():
		return Step{Do: Wait}
	}
	defer func() { <-s.finding }()
	for {
		step := s.step(f)
		switch step.Do {
		case Meet:
			s.meet(ctx, step.Peer.Address)
		case List:
			s.list(ctx)
		default:
			return step
		}
		if ctx.Err() != nil {
			return Step{Do: Wait}
		}
	}
}

func (s *Store) step(f fleet.Feed) Step {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Next(now, f, s.o.Asked.Lately(now))
}

// meet asks a daemon who reads for this one's data centre.
func (s *Store) meet(ctx context.Context, address string) {
	call := meetCall{Self: s.o.Self, Limits: s.o.Limits.News(false), Silent: s.o.Roster.SilentOnes(s.o.Now())}
	within := meetTime
	if s.o.Now().Sub(s.started) < youngTime {
		within = youngMeetTime
	}
	reply, err := s.finder.meet(ctx, address, call, within)
	s.finder.close()
	if err != nil {
		s.o.Logger.WithField("daemon", address).WithError(err).Debug("no word of who reads")
		return
	}
	s.o.Roster.Claimed(s.o.Now(), reply.Claims)
	s.o.Limits.Told(reply.Limits)
	s.o.Time.stamped(s.o.Now(), address, reply.Stamp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Met(address, reply.Succession)
}

// list asks the store which daemons read.
func (s *Store) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	peers, err := s.o.Directory.Readers(ctx)
	if err != nil {
		s.o.Logger.WithError(err).Debug("readers not looked up")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Listed(peers)
}

// through asks another daemon; ok is false when it has no fresh word.
func (s *Store) through(ctx context.Context, q query, step Step) (b fleet.Batch, ok bool) {
	s.tell(step.Peer.Instance)
	call := s.call(q, step)
	asking, cancel := context.WithCancel(ctx) // until others begin to rely on this daemon
	defer cancel()
	defer s.o.Asked.OnFirst(cancel)()
	reply, b, err := s.clients[q.feed].read(asking, step.Peer.Address, call, s.o.Pace.Slack)
	if asking.Err() != nil {
		return b, false // this daemon is to read itself, or to end
	}
	now := s.o.Now()
	s.heard(step.Peer, reply, err)
	if err == nil {
		s.o.Time.stamped(now, step.Peer.Address, reply.Stamp)
		s.learn(q.feed, step.Peer.Address, reply)
	}
	if err != nil || reply.Verdict != fit {
		return b, false
	}
	s.o.Journal.Add(now.Add(-reply.Age), q.feed, q.from, b)
	s.count(q.feed, Through)
	return b, true
}

// heard takes a peer's answer into the plan.
func (s *Store) heard(peer Peer, reply readReply, err error) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.plan.Silent(now, peer)
		s.o.Logger.WithField("reader", peer.Instance).WithError(err).Info("reader lost")
		return
	case reply.Verdict == away:
		s.plan.Waits(now, peer)
	case reply.Verdict == unfit:
		s.plan.Unfit(now, peer)
	default:
		s.plan.Took(now, peer)
	}
	if reply.Succession != nil && !s.o.Roster.Leads() {
		s.o.Roster.Told(*reply.Succession)
		s.version = reply.Version
	}
}

// call returns the call to a peer.
func (s *Store) call(q query, step Step) readCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := readCall{
		Feed: q.feed, From: q.from, Whole: q.whole, Wait: s.o.Pace.AnswerWithin, Patient: step.Patient, Self: s.o.Self,
		Known: s.version, Accrued: s.o.Time.handOver(s.o.Now(), step.Peer),
	}
	if q.feed == fleet.FeedUpstreams {
		m := s.marks[step.Peer.Address]
		call.Saw = packSamples(s.o.Samples.Take())
		call.Seen, call.Told = m.seen, m.told
		call.Limits = s.o.Limits.News(q.whole)
	}
	return call
}

// learn takes what others have seen, as the daemon at an address told.
func (s *Store) learn(f fleet.Feed, address string, reply readReply) {
	if f != fleet.FeedUpstreams {
		return
	}
	s.mark(address, marks{seen: reply.Seen, told: reply.Told})
	s.o.Limits.Told(reply.Limits)
	if len(reply.Quarantine) > 0 {
		s.o.Quarantine.Take(reply.Quarantine)
	}
	if len(reply.Saw) > 0 {
		s.o.Learned(unpackSamples(reply.Saw))
	}
}

// mark notes up to which numbers the daemon at an address has told this one.
func (s *Store) mark(address string, m marks) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.marks[address]; !known && len(s.marks) >= maxMarks {
		clear(s.marks) // each is told anew once
	}
	s.marks[address] = m
}

// direct reads the store itself.
func (s *Store) direct(ctx context.Context, q query) (fleet.Batch, error) {
	s.tell("")
	if !clock.Sleep(ctx, s.pause(q.feed)) {
		return fleet.Batch{}, errors.WithStack(ctx.Err())
	}
	var b fleet.Batch
	var err error
	if q.whole {
		b, err = s.o.Direct.Newest(ctx, q.feed)
		b.Whole = true
	} else {
		b, err = s.o.Direct.Read(ctx, q.feed, q.from, s.bound(q))
	}
	if ctx.Err() != nil {
		return b, err
	}
	s.answered(q, &b, err)
	return b, err
}

// answered takes what a call to the store came to. The first reading after one that
// failed is marked: what it shows as gone may only have lapsed while the store was away,
// for followers too.
func (s *Store) answered(q query, b *fleet.Batch, err error) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, fleet.ErrTrimmed):
		s.count(q.feed, Direct)
		s.plan.Answered()
		return
	case err != nil:
		s.count(q.feed, Failed)
		s.away[q.feed] = true
		s.plan.Failed(now)
		s.o.Journal.Away()
		return
	}
	s.count(q.feed, Direct)
	s.plan.Answered()
	b.Away, s.away[q.feed] = s.away[q.feed], false
	if b.Next > q.from {
		s.news[q.feed] = now
	}
	s.o.Journal.Add(now, q.feed, q.from, *b)
}

// pause returns how long records are still gathered before the next call.
func (s *Store) pause(f fleet.Feed) time.Duration {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	gather := s.o.Pace.Gather
	if s.o.Asked.Lately(now) {
		gather = s.o.Pace.SharedGather
	}
	return max(0, s.news[f].Add(gather).Sub(now))
}

// bound shortens the wait of a reading while others rely on its answer. One after a
// failure does not wait at all: what it shows as gone may only have lapsed, and what is
// withdrawn long after the store's return must not be among it.
func (s *Store) bound(q query) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away[q.feed], q.probe:
		return 0
	case !s.o.Asked.Lately(s.o.Now()):
		return q.wait
	case q.feed == fleet.FeedConfig:
		return min(q.wait, s.o.Pace.ConfigHold)
	}
	return min(q.wait, s.o.Pace.Hold)
}

func (s *Store) count(f fleet.Feed, w Way) {
	if s.o.Counted != nil {
		s.o.Counted(f, w)
	}
}

// tell logs a change of whom this daemon asks; "" is the store.
func (s *Store) tell(source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.itself = source == ""
	if s.source == source {
		return
	}
	s.source = source
	if source == "" {
		s.o.Logger.Info("store read by this instance")
		return
	}
	s.o.Logger.WithField("reader", source).Info("store read by another instance")
}
