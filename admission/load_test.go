package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// load is a pool of engines that is full for seconds, in virtual time of 1 ms steps.
type load struct {
	daemons, engines int
	// perSecond requests arrive, of which one in urgentEvery is urgent. The engines end about half
	// as many a second.
	perSecond, urgentEvery int
}

const (
	engineTokens = 27890
	engineSlots  = 12
	urgentRank   = 0
	commonRank   = 2
	// loadTime is the time simulated; figures are taken after warmUp.
	loadTime = 10 * time.Second
	// A first token takes about 0.3 s from the reservation; targets are 0.8 and 2 s. longWait is how
	// long urgent requests and those of callers that return may wait.
	urgentInTime = 500 * time.Millisecond
	commonInTime = 1700 * time.Millisecond
	longWait     = 3 * time.Second
	warmUp       = 6 * time.Second
)

// simRequest is a request of the simulation.
type simRequest struct {
	Waiting
	joinedAt time.Time // when it reached the coordinator; zero before
	done     bool      // admitted or given up
}

// lateness returns 1 if the request counts as late for the queue, and 0 otherwise.
func (r *simRequest) lateness(now time.Time) int {
	if now.Add(lateMargin).Before(r.Late) {
		return 0
	}
	return 1
}

type simEngine struct{ requests, tokens int }

// sim runs a load against a Queue. Messages take 1 ms.
type sim struct {
	load
	now        time.Time
	rng        *rand.Rand
	queue      *Queue
	engines    []simEngine
	names      map[string]int
	events     map[int64][]func() // by the millisecond
	live       map[Key]*simRequest
	sentAt     []time.Time // when each daemon was last sentAt that requests wait
	lastSentTo int
	requests   uint64
	// ordered is false for the comparison, in which every request asks as soon as it can.
	ordered bool

	admitted, refused, overtaking int
	wanted, served, inTime        map[int]int // by rank
}

func newSim(l load, ordered bool) *sim {
	s := &sim{
		load: l, now: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(1, 2)), queue: NewQueue(), engines: make([]simEngine, l.engines),
		names: map[string]int{}, events: map[int64][]func(){}, live: map[Key]*simRequest{}, sentAt: make([]time.Time, l.daemons), ordered: ordered,
		wanted: map[int]int{}, served: map[int]int{}, inTime: map[int]int{},
	}
	for i := range s.engines {
		s.names[engineName(i)] = i
	}
	return s
}

func engineName(i int) string { return "e" + string(rune('A'+i%26)) + string(rune('A'+i/26)) }

func (s *sim) after(d time.Duration, f func()) {
	at := s.now.UnixMilli() + max(d.Milliseconds(), 1)
	s.events[at] = append(s.events[at], f)
}

// run simulates the load.
func (s *sim) run() *sim {
	began := s.now
	end := began.Add(loadTime)
	due := 0.0
	for ; s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		if s.now.Sub(began) == warmUp {
			s.admitted, s.refused, s.overtaking = 0, 0, 0
			clear(s.wanted)
			clear(s.served)
			clear(s.inTime)
		}
		for due += float64(s.perSecond) / 1000; due >= 1; due-- {
			s.arrive()
		}
		for _, f := range s.events[s.now.UnixMilli()] {
			f()
		}
		delete(s.events, s.now.UnixMilli())
		for _, t := range s.queue.Turns(s.now) {
			s.after(time.Millisecond, func() { s.turn(t) })
		}
		if s.queue.Len() > 0 && s.now.UnixMilli()%10 == 0 {
			s.sentAt[s.lastSentTo%s.daemons] = s.now
			s.lastSentTo++
		}
	}
	return s
}

// arrive lets a request come to a random daemon.
func (s *sim) arrive() {
	s.requests++
	r := &simRequest{Waiting: Waiting{
		Key:  Key{Daemon: uint64(s.rng.IntN(s.daemons)), Request: s.requests},
		Rank: commonRank, Since: s.now, Tokens: 3200 + s.rng.IntN(200),
	}}
	r.Until, r.Late = s.now.Add(250*time.Millisecond), s.now.Add(commonInTime)
	if s.requests%uint64(s.urgentEvery) == 0 {
		r.Rank, r.Until, r.Late = urgentRank, s.now.Add(longWait), s.now.Add(urgentInTime)
	}
	s.wanted[r.Rank]++
	s.start(r)
}

// start lets a request ask or wait.
func (s *sim) start(r *simRequest) {
	s.live[r.Key] = r
	s.after(r.Until.Sub(s.now), func() { s.giveUp(r) })
	if s.ordered && s.now.Sub(s.sentAt[r.Key.Daemon]) < time.Second {
		s.join(r)
		return
	}
	s.ask(r, s.rng.IntN(s.load.engines), func(admitted bool) {
		switch {
		case admitted:
		case s.ordered:
			s.join(r)
		default:
			s.askAgain(r)
		}
	})
}

// askAgain asks random engines at intervals, as a daemon does without a coordinator.
func (s *sim) askAgain(r *simRequest) {
	s.after(5*time.Millisecond, func() {
		if r.done {
			return
		}
		s.ask(r, s.rng.IntN(s.load.engines), func(admitted bool) {
			if !admitted {
				s.askAgain(r)
			}
		})
	})
}

func (s *sim) join(r *simRequest) {
	s.after(time.Millisecond, func() {
		if r.done {
			return
		}
		r.joinedAt = s.now
		s.queue.Join(s.now, r.Waiting)
		s.after(time.Millisecond, func() { s.sentAt[r.Key.Daemon] = s.now })
	})
}

func (s *sim) giveUp(r *simRequest) {
	if r.done {
		return
	}
	r.done = true
	delete(s.live, r.Key)
	s.after(time.Millisecond, func() { s.queue.Leave(s.now, r.Key) })
	if until := r.Since.Add(longWait); until.After(s.now) { // the caller returns once, and may then wait longer
		s.after(time.Duration(300+s.rng.IntN(400))*time.Millisecond, func() {
			s.requests++
			again := *r
			again.Key, again.Until, again.joinedAt, again.done = Key{Daemon: uint64(s.rng.IntN(s.daemons)), Request: s.requests}, until, time.Time{}, false
			s.start(&again)
		})
	}
}

// ask asks an engine for a reservation; the answer takes a round trip.
func (s *sim) ask(r *simRequest, engine int, answer func(admitted bool)) {
	s.after(time.Millisecond, func() {
		e := &s.engines[engine]
		if r.done || e.requests >= engineSlots || e.tokens+r.Tokens > engineTokens {
			s.refused++
			s.after(time.Millisecond, func() { answer(false) })
			return
		}
		e.requests++
		e.tokens += r.Tokens
		s.countAdmitted(r)
		s.after(time.Duration(4000+s.rng.IntN(1500))*time.Millisecond, func() { s.end(r, engine) })
		s.after(time.Millisecond, func() { answer(true) })
	})
}

// flight is more than the time from a turn to the reservation, in which the order may change.
const flight = 10 * time.Millisecond

// countAdmitted counts an admission, and whether it overtook a request that precedes it and that
// the coordinator has known for a while.
func (s *sim) countAdmitted(r *simRequest) {
	r.done = true
	delete(s.live, r.Key)
	s.admitted++
	s.served[r.Rank]++
	if s.now.Before(r.Late) {
		s.inTime[r.Rank]++
	}
	for _, o := range s.live {
		known := !o.joinedAt.IsZero() && s.now.Sub(o.joinedAt) > flight || !s.ordered
		if known && cmp.Or(cmp.Compare(o.Rank, r.Rank), o.lateness(s.now.Add(flight))-r.lateness(s.now.Add(-flight)), o.Since.Compare(r.Since.Add(-flight))) < 0 {
			s.overtaking++
			return
		}
	}
}

func (s *sim) end(r *simRequest, engine int) {
	s.engines[engine].requests--
	s.engines[engine].tokens -= r.Tokens
	if s.now.Sub(s.sentAt[r.Key.Daemon]) < time.Second {
		s.after(time.Millisecond, func() { s.queue.Release(s.now, engineName(engine), r.Tokens) })
	}
}

// turn lets the daemon of a request use a turn.
func (s *sim) turn(t Turn) {
	r := s.live[t.Key]
	if r == nil {
		s.after(time.Millisecond, func() { s.queue.Result(s.now, Result{Key: t.Key, Turn: t.Number}) })
		return
	}
	s.askInTurn(r, t, 0)
}

func (s *sim) askInTurn(r *simRequest, t Turn, refused int) {
	engine, tries := s.rng.IntN(s.load.engines), 2
	if t.Engine != "" {
		engine, tries = s.names[t.Engine], 1
	}
	s.ask(r, engine, func(admitted bool) {
		if !admitted && refused+1 < tries && !r.done {
			s.askInTurn(r, t, refused+1)
			return
		}
		if !admitted {
			refused++
		}
		s.after(time.Millisecond, func() {
			s.queue.Result(s.now, Result{Key: t.Key, Turn: t.Number, Admitted: admitted, Refused: refused})
		})
	})
}

func (s *sim) refusedPerAdmitted() float64 { return float64(s.refused) / float64(s.admitted) }

func (s *sim) overtakingShare() float64 { return float64(s.overtaking) / float64(s.admitted) }

func (s *sim) inTimeShare(rank int) float64 { return float64(s.inTime[rank]) / float64(s.wanted[rank]) }

func (s *sim) servedShare(rank int) float64 { return float64(s.served[rank]) / float64(s.wanted[rank]) }

// loads are a pool of deployment A and one of a fleet of 985 daemons, with twice the requests that
// the engines can take.
var loads = map[string]load{
	"60 daemons":  {daemons: 60, engines: 71, perSecond: 240, urgentEvery: 14},
	"985 daemons": {daemons: 985, engines: 600, perSecond: 2000, urgentEvery: 14},
}

// Guards against admission in the order of luck. Without turns, the room that a request leaves
// goes to whoever asks in that millisecond: urgent requests are refused as often as others, and
// each admission costs many refused reservations.
func TestAdmissionUnderLoad(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			lottery, ordered := newSim(l, false).run(), newSim(l, true).run()
			for which, s := range map[string]*sim{"without turns": lottery, "with turns": ordered} {
				t.Logf("%s: %d admitted, %.2f refused reservations for each, %.3f overtook, served %.3f of the urgent (%.3f in time) and %.3f (%.3f) of the others; stats %+v",
					which, s.admitted, s.refusedPerAdmitted(), s.overtakingShare(), s.servedShare(urgentRank), s.inTimeShare(urgentRank), s.servedShare(commonRank), s.inTimeShare(commonRank), s.queue.Stats())
			}
			if got := ordered.refusedPerAdmitted(); got > 3 {
				t.Errorf("%.2f refused reservations for each admitted request, want at most 3", got)
			}
			// One turn in oldestEvery goes to the request that has waited longest.
			if got := ordered.overtakingShare(); got > 0.3 {
				t.Errorf("%.3f of the admitted requests overtook one that precedes them", got)
			}
			if got := ordered.servedShare(urgentRank); got < 0.98 {
				t.Errorf("%.3f of the urgent requests served", got)
			}
			if got, want := ordered.inTimeShare(commonRank), lottery.inTimeShare(commonRank); got < want {
				t.Errorf("%.3f of the other requests served in time, %.3f without turns", got, want)
			}
			if ordered.admitted < lottery.admitted*97/100 {
				t.Errorf("%d requests admitted, %d without turns: room stays unused", ordered.admitted, lottery.admitted)
			}
		})
	}
}

// newWaiting returns a request of a daemon that began to wait at a time.
func newWaiting(daemon, request uint64, rank int, since time.Time) Waiting {
	return Waiting{Key: Key{Daemon: daemon, Request: request}, Rank: rank, Since: since, Tokens: 100}
}

// Guards against requests of a low rank that wait forever because urgent ones keep coming.
func TestOldestRequestIsServedWhileUrgentOnesCome(t *testing.T) {
	q, now := NewQueue(), time.Unix(1e9, 0)
	q.Join(now, newWaiting(1, 1, commonRank, now))
	for n := range uint64(2 * oldestEvery) {
		now = now.Add(time.Millisecond)
		q.Join(now, newWaiting(2, 100+2*n, urgentRank, now))
		q.Join(now, newWaiting(2, 101+2*n, urgentRank, now))
		q.Release(now, "e", 100)
		for _, turn := range q.Turns(now) {
			if turn.Key.Daemon == 1 {
				return
			}
			q.Result(now, Result{Key: turn.Key, Turn: turn.Number, Admitted: true})
		}
	}
	t.Error("the oldest request has got no turn")
}

// Guards against room that is lost with the turn of a daemon that dies, or of one that does not
// answer, and against a queue that goes on giving turns to such a daemon.
func TestLapsedTurnGoesToNext(t *testing.T) {
	q, now := NewQueue(), time.Unix(1e9, 0)
	q.searchCredit = 0
	q.Join(now, newWaiting(1, 1, urgentRank, now))
	q.Join(now, newWaiting(2, 1, commonRank, now))
	q.Release(now, "e", 100)
	turns := q.Turns(now)
	if len(turns) != 1 || turns[0].Key.Daemon != 1 || turns[0].Engine != "e" {
		t.Fatalf("turns %+v, want one for daemon 1 at e", turns)
	}
	q.LeaveAll(now, 1)
	turns = q.Turns(now)
	if len(turns) != 1 || turns[0].Key.Daemon != 2 || turns[0].Engine != "e" {
		t.Fatalf("turns %+v, want one for daemon 2 at e", turns)
	}
	q.Join(now, newWaiting(3, 1, commonRank, now))
	now = now.Add(turnTimeout)
	turns = q.Turns(now)
	if !slices.ContainsFunc(turns, func(t Turn) bool { return t.Engine == "e" && t.Key.Daemon == 3 }) {
		t.Fatalf("turns %+v, want one for daemon 3 at e", turns)
	}
	for range 20 * maxLapses {
		now = now.Add(turnTimeout)
		q.Turns(now)
	}
	if q.Len() != 0 {
		t.Errorf("%d requests of silent daemons left", q.Len())
	}
}

// Guards against a coordinator whose memory grows with what daemons send.
func TestQueueBounds(t *testing.T) {
	q, now := NewQueue(), time.Unix(1e9, 0)
	joined := 0
	for d := range uint64(100) {
		for r := range uint64(maxWaitingPerDaemon + 1) {
			if q.Join(now, newWaiting(d, r, commonRank, now)) {
				joined++
			}
		}
		if joined > maxWaiting || joined > int(d+1)*maxWaitingPerDaemon {
			t.Fatalf("%d requests after daemon %d", joined, d)
		}
	}
	q.Join(now, newWaiting(0, 0, commonRank, now))
	if q.Len() != maxWaiting || q.Stats().Duplicate != 1 {
		t.Errorf("%d requests, %d duplicates", q.Len(), q.Stats().Duplicate)
	}
	q.LeaveAll(now, 0)
	if got := q.Len(); got != maxWaiting-maxWaitingPerDaemon {
		t.Errorf("%d requests after a daemon has left", got)
	}
	q.Turns(now.Add(maxWait))
	if q.Len() != 0 {
		t.Errorf("%d requests older than maxWait", q.Len())
	}
}
