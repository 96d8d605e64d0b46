package board

import (
	"sync"
	"sync/atomic"
	"time"
)

// Inflight counts the requests that this daemon has in flight, per upstream and per
// team, and holds its bookings of KV links, over which KV caches are transferred. It
// implements policy.Inflight and is safe for concurrent use. Begin and BeginTeam
// allocate nothing once an upstream or team has had as many requests in flight before.
//
// A load report already includes the requests that the upstream had received by then.
// So a decision adds only those that began after the time of the report. A request that
// was sent just before that time and arrived just after it would be missing from both
// counts; Config.ReportLag dates reports back by more than the network delay to prevent
// this. In return, requests that arrived within the lag are counted twice, once here
// and once in the report, until the next report. Requests that ended after the report
// are still included in it, so errors make an upstream look fuller than it is, not
// emptier.
type Inflight struct {
	clock func() time.Time

	mu    sync.RWMutex
	works map[string]*upstreamWork

	teamMu        sync.RWMutex
	teams         map[string]*teamWork
	totalRequests int
	activeTeams   int
}

// NewInflight returns an Inflight that uses the system clock.
func NewInflight() *Inflight { return NewInflightClock(time.Now) }

// NewInflightClock returns an Inflight with a given clock, which must agree with the
// times passed to Board.
func NewInflightClock(clock func() time.Time) *Inflight {
	return &Inflight{
		clock: clock,
		works: map[string]*upstreamWork{},
		teams: map[string]*teamWork{},
	}
}

// upstreamWork holds this daemon's requests on one upstream, its bookings of the
// upstream's KV link and its backoff after refusals.
type upstreamWork struct {
	mu sync.Mutex
	// inFlight holds the requests in flight in no particular order. free holds ended
	// ones for reuse.
	inFlight, free []*work
	link           link
	// fullUntil is when the backoff after a refused reservation or prompt ends; no
	// requests are sent to the upstream before. promptBackoff is the last backoff after
	// a refused prompt; 0 once the upstream has accepted one.
	fullUntil     time.Time
	promptBackoff time.Duration
	pausable      atomic.Int64
}

// work is one request in flight.
type work struct {
	upstream *upstreamWork
	began    time.Time
	tokens   int
	// index is the position in upstream.inFlight; -1 after the request has ended.
	index int
	done  func()
}

// Begin counts a request on an upstream until done is called. tokens is the number of
// prompt tokens to compute or, on a decode engine, the number of tokens that its KV
// cache is expected to hold for the request. done must be called exactly once; for a
// prefill, when the prefill ends.
func (f *Inflight) Begin(upstream string, tokens int) (done func()) {
	return f.upstream(upstream).begin(f.clock(), tokens)
}

func (f *Inflight) upstream(name string) *upstreamWork {
	f.mu.RLock()
	w := f.works[name]
	f.mu.RUnlock()
	if w != nil {
		return w
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w = f.works[name]; w == nil {
		w = &upstreamWork{}
		f.works[name] = w
	}
	return w
}

func (u *upstreamWork) begin(now time.Time, tokens int) func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.newWork()
	w.began, w.tokens, w.index = now, tokens, len(u.inFlight)
	u.inFlight = append(u.inFlight, w)
	return w.done
}

func (u *upstreamWork) newWork() *work {
	if n := len(u.free); n > 0 {
		w := u.free[n-1]
		u.free = u.free[:n-1]
		return w
	}
	w := &work{upstream: u}
	w.done = w.end
	return w
}

func (w *work) end() {
	u := w.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	if w.index < 0 {
		return
	}
	last := len(u.inFlight) - 1
	u.inFlight[w.index] = u.inFlight[last]
	u.inFlight[w.index].index = w.index
	u.inFlight = u.inFlight[:last]
	w.index = -1
	u.free = append(u.free, w)
}

// Upstream implements policy.Inflight.
func (f *Inflight) Upstream(name string, since time.Time) (requests, tokens int) {
	f.mu.RLock()
	u := f.works[name]
	f.mu.RUnlock()
	if u == nil {
		return 0, 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range u.inFlight {
		if w.began.After(since) {
			requests++
			tokens += w.tokens
		}
	}
	return requests, tokens
}

// fullBackoff is how long no requests are sent to an upstream after it refused a
// reservation. It saves a burst of requests one round trip each to get the same
// refusal. In a batch of twelve, a slot becomes free every few tens of milliseconds, so
// a longer backoff would leave slots unused.
const fullBackoff = 20 * time.Millisecond

// MarkFull records that an upstream refused a reservation for lack of capacity.
func (f *Inflight) MarkFull(upstream string) {
	u := f.upstream(upstream)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fullUntil = f.clock().Add(fullBackoff)
}

// minPromptBackoff and maxPromptBackoff limit the exponential backoff after a prefill
// engine refused a prompt. A full engine finishes its next prompt in about a tenth of a
// second. An engine that is changing its role refuses prompts for seconds, while it is
// still registered as a prefill engine.
const (
	minPromptBackoff = 100 * time.Millisecond
	maxPromptBackoff = 2 * time.Second
)

// MarkPromptRefused records that a prefill engine refused a prompt. Further refusals during the
// backoff are of prompts that were sent before it, and are ignored.
func (f *Inflight) MarkPromptRefused(upstream string) {
	u := f.upstream(upstream)
	now := f.clock()
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.fullUntil) {
		return
	}
	u.promptBackoff = min(max(2*u.promptBackoff, minPromptBackoff), maxPromptBackoff)
	u.fullUntil = now.Add(u.promptBackoff)
}

// MarkPromptAccepted records that a prefill engine accepted a prompt, and ends the backoff.
func (f *Inflight) MarkPromptAccepted(upstream string) {
	u := f.upstream(upstream)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.promptBackoff, u.fullUntil = 0, time.Time{}
}

// Full implements policy.Inflight.
func (f *Inflight) Full(name string, now time.Time) bool {
	f.mu.RLock()
	u := f.works[name]
	f.mu.RUnlock()
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.fullUntil)
}

// AddPausable adds delta to the number of this daemon's drafts (requests of class
// draft) on an upstream that are decoding and can be paused: +1 when a draft starts to
// decode or is resumed, -1 when it is paused or ends.
func (f *Inflight) AddPausable(upstream string, delta int) {
	f.upstream(upstream).pausable.Add(int64(delta))
}

// Pausable implements policy.Inflight.
func (f *Inflight) Pausable(name string) int {
	f.mu.RLock()
	u := f.works[name]
	f.mu.RUnlock()
	if u == nil {
		return 0
	}
	return max(0, int(u.pausable.Load()))
}

// teamWork counts the requests of one team.
type teamWork struct {
	requests int
	done     func()
}

// BeginTeam counts a request of a team until done is called. done must be called
// exactly once.
func (f *Inflight) BeginTeam(team string) (done func()) {
	f.teamMu.Lock()
	defer f.teamMu.Unlock()
	t := f.teams[team]
	if t == nil {
		t = &teamWork{}
		t.done = func() { f.endTeam(t) }
		f.teams[team] = t
	}
	if t.requests == 0 {
		f.activeTeams++
	}
	t.requests++
	f.totalRequests++
	return t.done
}

func (f *Inflight) endTeam(t *teamWork) {
	f.teamMu.Lock()
	defer f.teamMu.Unlock()
	t.requests--
	f.totalRequests--
	if t.requests == 0 {
		f.activeTeams--
	}
}

// Team implements policy.Inflight.
func (f *Inflight) Team(name string) (team, total, teams int) {
	f.teamMu.RLock()
	defer f.teamMu.RUnlock()
	if t := f.teams[name]; t != nil {
		team = t.requests
	}
	return team, f.totalRequests, f.activeTeams
}
