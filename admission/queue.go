package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// turnTimeout is the time without a result after which a turn lapses. A reservation is usually
	// answered within a few milliseconds, and one that takes longer holds room back from the next request.
	turnTimeout = 200 * time.Millisecond
	// maxLapses is the number of lapsed turns after which a request is removed: its daemon has died,
	// or cannot be reached.
	maxLapses = 2
	// roomTTL is how long released room is offered. After that it counts as taken by a request that
	// asked without a turn.
	roomTTL = 300 * time.Millisecond
	// maxWait bounds how long an entry is kept. Requests wait for at most 3 s, or join again.
	maxWait = 5 * time.Second
	// maxWaiting and maxWaitingPerDaemon bound the entries. A daemon's own queue holds little more
	// than 64 requests for each pool.
	maxWaiting          = 8192
	maxWaitingPerDaemon = 256
	// maxRooms bounds the engines whose released room is remembered.
	maxRooms = 4096
	// oldestEvery is how often a turn goes to the request that has waited longest, whatever its rank,
	// so that urgent requests cannot keep the others waiting for good.
	oldestEvery = 8
	// minTurnTime is the time that a request must have left to get a turn. In overload the first
	// requests of the queue are about to give up, and a turn takes a few milliseconds to reach them.
	minTurnTime = 10 * time.Millisecond
	// lateMargin is how much earlier than predicted a request counts as late. In overload the first
	// requests of a rank are those that are about to be late, and a turn takes a few milliseconds.
	lateMargin = 100 * time.Millisecond
	// settleTime is the time after which a request counts as waiting in State.
	settleTime = 25 * time.Millisecond
	// roomSlack is the factor by which a request may exceed the memory that was released: engines
	// usually have some more that is free.
	roomSlack = 1.25
)

// The rate of the turns that search for room that nobody reported, per second. It grows by
// searchIncrease with each success and shrinks by the factor searchDecrease with each failure. A
// success also permits searchBonus further turns at once, so that an idle pool is filled within a
// few round trips.
const (
	minSearchRate  = 8.0
	maxSearchRate  = 512.0
	searchIncrease = 16.0
	searchDecrease = 0.95
	searchBonus    = 2.0
	maxSearchBurst = 16.0
)

// After a refused turn a request is passed over for refusedBackoff, doubled with each refusal in a
// row up to maxRefusedBackoff, so that a request whose daemon reaches no engine does not use up the
// turns of the others. Turns for released room ignore the backoff of the first
// refusalsBeforeBackoff refusals: such a refusal mostly means that another request was faster.
const (
	refusedBackoff        = 10 * time.Millisecond
	maxRefusedBackoff     = 80 * time.Millisecond
	refusalsBeforeBackoff = 4
)

// Key identifies a waiting request: the connection of its daemon, and the daemon's number for it.
type Key struct {
	Daemon  uint64
	Request uint64
}

// Waiting describes a request that waits.
type Waiting struct {
	Key Key
	// Rank orders requests; a lower one goes first. Since is when the caller's first try began, by
	// the clock of the coordinator. Tokens is the memory that the request needs on an engine.
	Rank   int
	Since  time.Time
	Tokens int
	// Until is when the request gives up, and Late when its answer will be late even if it is admitted
	// at once; each is zero if there is no such time.
	Until, Late time.Time
}

// Turn permits a request to ask for a reservation, at Engine if it is set.
type Turn struct {
	Key    Key
	Number uint64
	Engine string
}

// Result is the outcome of a turn. Refused is the number of engines that refused a reservation.
type Result struct {
	Key      Key
	Turn     uint64
	Admitted bool
	Refused  int
}

// Queue orders the requests that wait for one pool of decode engines: by rank, and then by the time
// since which they wait. In each rank, those whose answers will be late anyway come after the others. It
// is not safe for concurrent use.
//
// Load pattern: hundreds of daemons whose requests ask for more than a full pool of engines can
// hold, for seconds. A few of them are urgent, engines end about a hundred requests a second, and each
// end is worth one turn to the first request in order. A request that asks out of order takes room
// from one that precedes it, and a turn without room is a refused reservation. Callers
// that were refused return once, and their requests have waited longest: if these were always first,
// then after two seconds of overload every admitted request would be late.
type Queue struct {
	entries map[Key]*entry
	// order holds the entries by rank, waiting time and order of arrival.
	order     []*entry
	perDaemon map[uint64]int
	// turns holds the entries with a turn, by the time at which it lapses.
	turns    []*entry
	lastTurn uint64
	arrivals uint64
	// rooms holds the room that ended requests have released, and released its engines in the order
	// of release.
	rooms    map[string]*room
	released []string

	searchRate, searchCredit float64
	creditAt                 time.Time // when searchCredit was last updated
	checkedAt                time.Time // when entries were last checked for expiry
	admitted                 rateMeter
	stats                    Stats
}

// entry is a request that waits.
type entry struct {
	Waiting
	arrival  uint64
	joinedAt time.Time
	// turn is the number of the request's turn, 0 if it has none; engine and at belong to the turn.
	turn   uint64
	engine string
	at     time.Time
	lapses int
	// refusals counts turns that were refused in a row, the last one at refusedAt.
	refusals  int
	refusedAt time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		entries: map[Key]*entry{}, perDaemon: map[uint64]int{}, rooms: map[string]*room{},
		searchRate: minSearchRate, searchCredit: maxSearchBurst,
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Stats returns the counts of the queue.
func (q *Queue) Stats() Stats { return q.stats }

// before reports whether a precedes b.
func (e *entry) before(o *entry) int {
	return cmp.Or(cmp.Compare(e.Rank, o.Rank), e.Since.Compare(o.Since), cmp.Compare(e.arrival, o.arrival))
}

// Join adds a request. It returns false if the queue, or the daemon's part of it, is full. A request
// that waits already is not added again.
func (q *Queue) Join(now time.Time, w Waiting) bool {
	if q.entries[w.Key] != nil {
		q.stats.Duplicate++
		return true
	}
	if len(q.entries) >= maxWaiting || q.perDaemon[w.Key.Daemon] >= maxWaitingPerDaemon {
		return false
	}
	q.arrivals++
	e := &entry{Waiting: w, arrival: q.arrivals, joinedAt: now}
	i, _ := slices.BinarySearchFunc(q.order, e, (*entry).before)
	q.order = slices.Insert(q.order, i, e)
	q.entries[w.Key] = e
	q.perDaemon[w.Key.Daemon]++
	return true
}

// Leave removes a request that no longer waits. A turn that it has goes to the next one.
func (q *Queue) Leave(now time.Time, k Key) {
	if e := q.entries[k]; e != nil {
		q.returnRoom(now, e)
		q.remove(e)
	}
}

// LeaveAll removes the requests of a daemon.
func (q *Queue) LeaveAll(now time.Time, daemon uint64) {
	if q.perDaemon[daemon] == 0 {
		return
	}
	for _, e := range slices.Clone(q.order) {
		if e.Key.Daemon == daemon {
			q.Leave(now, e.Key)
		}
	}
}

// remove removes an entry.
func (q *Queue) remove(e *entry) {
	q.endTurn(e)
	if i, ok := slices.BinarySearchFunc(q.order, e, (*entry).before); ok {
		q.order = slices.Delete(q.order, i, i+1)
	}
	delete(q.entries, e.Key)
	if q.perDaemon[e.Key.Daemon]--; q.perDaemon[e.Key.Daemon] <= 0 {
		delete(q.perDaemon, e.Key.Daemon)
	}
}

// endTurn ends the turn of an entry, if it has one.
func (q *Queue) endTurn(e *entry) {
	if e.turn == 0 {
		return
	}
	e.turn, e.engine = 0, ""
	if i := slices.Index(q.turns, e); i >= 0 {
		q.turns = slices.Delete(q.turns, i, i+1)
	}
}

// Result records the outcome of a turn. An outcome that comes after its turn has lapsed counts too,
// if the request still waits.
func (q *Queue) Result(now time.Time, r Result) {
	e := q.entries[r.Key]
	q.stats.Refused += uint64(max(r.Refused, 0))
	if r.Admitted {
		q.stats.Admitted++
		q.admitted.add(now)
	}
	if e == nil {
		q.stats.Unknown++
		return
	}
	current := e.turn != 0 && e.turn == r.Turn
	if current {
		e.lapses = 0
		q.countSearch(e, r.Admitted)
	}
	switch {
	case r.Admitted:
		q.remove(e)
	case current:
		if e.engine != "" && r.Refused > 0 {
			q.forgetRoom(e.engine)
		}
		q.endTurn(e)
		e.refusals++
		e.refusedAt = now
	}
}

// countSearch adapts the rate of searching turns to the outcome of one.
func (q *Queue) countSearch(e *entry, admitted bool) {
	switch {
	case e.engine != "":
	case admitted:
		q.searchRate = min(q.searchRate+searchIncrease, maxSearchRate)
		q.searchCredit = min(q.searchCredit+searchBonus, maxSearchBurst)
	default:
		q.searchRate = max(q.searchRate*searchDecrease, minSearchRate)
	}
}

// Turns returns the turns to give now. It must be called after the other methods and at short
// intervals while Len is not 0.
func (q *Queue) Turns(now time.Time) []Turn {
	q.lapse(now)
	q.expire(now)
	out := q.turnsForRoom(now, nil)
	return q.searchTurns(now, out)
}

// lapse ends turns without a result. Their room goes to the next request.
func (q *Queue) lapse(now time.Time) {
	for len(q.turns) > 0 && now.Sub(q.turns[0].at) >= turnTimeout {
		e := q.turns[0]
		q.stats.Lapsed++
		q.returnRoom(now, e)
		q.countSearch(e, false)
		q.endTurn(e)
		e.refusedAt = now
		e.refusals++
		if e.lapses++; e.lapses >= maxLapses {
			q.remove(e)
		}
	}
}

// expiryInterval is the time between two checks for entries and rooms that are too old.
const expiryInterval = 50 * time.Millisecond

// expire removes entries and rooms that are too old.
func (q *Queue) expire(now time.Time) {
	if now.Sub(q.checkedAt) < expiryInterval {
		return
	}
	q.checkedAt = now
	for _, e := range slices.Clone(q.order) {
		if now.Sub(e.joinedAt) >= maxWait || e.turn == 0 && e.endsBefore(now) {
			q.remove(e)
		}
	}
	for _, engine := range slices.Clone(q.released) {
		if now.Sub(q.rooms[engine].at) >= roomTTL {
			q.forgetRoom(engine)
		}
	}
}

// turnsForRoom gives turns for released room, in the order of release.
func (q *Queue) turnsForRoom(now time.Time, out []Turn) []Turn {
	for _, engine := range slices.Clone(q.released) {
		r := q.rooms[engine]
		for r.slots > 0 {
			e := q.next(now, func(e *entry) bool {
				return float64(e.Tokens) <= roomSlack*float64(r.tokens) && (e.refusals < refusalsBeforeBackoff && e.lapses == 0 || !e.backingOff(now))
			})
			if e == nil {
				break
			}
			r.slots--
			r.tokens = max(0, r.tokens-e.Tokens)
			q.stats.GivenRoom++
			out = append(out, q.give(now, e, engine))
		}
		if r.slots <= 0 {
			q.forgetRoom(engine)
		}
	}
	return out
}

// searchTurns gives turns that search for room that nobody reported.
func (q *Queue) searchTurns(now time.Time, out []Turn) []Turn {
	if elapsed := now.Sub(q.creditAt); elapsed > 0 {
		if !q.creditAt.IsZero() {
			q.searchCredit = min(q.searchCredit+q.searchRate*elapsed.Seconds(), maxSearchBurst)
		}
		q.creditAt = now
	}
	for q.searchCredit >= 1 {
		e := q.next(now, func(e *entry) bool { return !e.backingOff(now) })
		if e == nil {
			return out
		}
		q.searchCredit--
		q.stats.GivenSearch++
		out = append(out, q.give(now, e, ""))
	}
	return out
}

// next returns the request that precedes the others among those that have no turn and that satisfy
// the condition, or nil. In each rank, those that will be late come last. Each oldestEvery-th turn goes
// to the one that has waited longest.
func (q *Queue) next(now time.Time, eligible func(e *entry) bool) *entry {
	oldest := (q.lastTurn+1)%oldestEvery == 0
	var longest, late *entry // late is the first late one of the rank that is looked at
	for _, e := range q.order {
		if e.turn != 0 || e.endsBefore(now.Add(minTurnTime)) || !eligible(e) {
			continue
		}
		switch {
		case oldest:
			if longest == nil || e.Since.Before(longest.Since) {
				longest = e
			}
		case late != nil && late.Rank != e.Rank:
			return late
		case !e.isLate(now):
			return e
		case late == nil:
			late = e
		}
	}
	if oldest {
		return longest
	}
	return late
}

// endsBefore reports whether the request gives up before a time.
func (e *entry) endsBefore(at time.Time) bool { return !e.Until.IsZero() && e.Until.Before(at) }

// isLate reports whether the request's answer is likely to be late.
func (e *entry) isLate(now time.Time) bool {
	return !e.Late.IsZero() && !now.Add(lateMargin).Before(e.Late)
}

// backingOff reports whether the request is passed over because its last turns were refused.
func (e *entry) backingOff(now time.Time) bool {
	if e.refusals == 0 {
		return false
	}
	return now.Sub(e.refusedAt) < min(refusedBackoff<<min(e.refusals-1, 8), maxRefusedBackoff)
}

// give gives a turn to an entry.
func (q *Queue) give(now time.Time, e *entry, engine string) Turn {
	q.lastTurn++
	e.turn, e.engine, e.at = q.lastTurn, engine, now
	q.turns = append(q.turns, e)
	return Turn{Key: e.Key, Number: e.turn, Engine: engine}
}
