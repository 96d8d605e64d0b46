package site

import (
	"slices"
	"sync"
	"time"
)

// Execution is one request that an upstream began to execute.
type Execution struct {
	Upstream string // name of the upstream
	Body     string
	// From is the Last-Event-Id of the request: the last event that the client
	// had received before.
	From string
	// Team is the name of the team in the request's header.
	Team string
	// At is when the execution began.
	At time.Time
}

// Repeat is an arrival of a request that had arrived at an upstream before.
type Repeat struct {
	At      time.Time
	Service string
}

// Recorder records which requests arrived at the upstreams and which were executed.
// It is safe for concurrent use.
type Recorder struct {
	site *Site
	mu   sync.Mutex
	runs map[string][]Execution
	// arrived has the ids of the requests that arrived, and prompts the ids of those
	// with a prefill that was accepted.
	arrived, prompts map[string]bool
	repeats          []Repeat
	// reachTimes has the times at which requests reached an upstream that did not
	// reject them, and endTimes those at which requests crashed an upstream, both by
	// the body of the request.
	reachTimes, endTimes map[string][]time.Time
	// idsWithKey has the ids of the requests and prefills that reached an upstream
	// with a client's API key.
	idsWithKey []string
}

func newAccount(s *Site) *Recorder {
	return &Recorder{site: s, runs: map[string][]Execution{}, arrived: map[string]bool{}, prompts: map[string]bool{}, reachTimes: map[string][]time.Time{}, endTimes: map[string][]time.Time{}}
}

// recordRun records that an upstream begins to execute a request.
func (a *Recorder) recordRun(id string, run Execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run.At = time.Now()
	a.runs[id] = append(a.runs[id], run)
}

// recordKey records that a request reached an upstream with a client's API key.
func (a *Recorder) recordKey(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idsWithKey = append(a.idsWithKey, id)
}

// RequestsWithKey returns the ids of the requests and prefills that reached an upstream with a
// client's API key, which daemons are to remove.
func (a *Recorder) RequestsWithKey() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.idsWithKey)
}

// recordReach records that a request or a prefill with this body reached an upstream
// that did not reject it.
func (a *Recorder) recordReach(body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reachTimes[body] = append(a.reachTimes[body], time.Now())
}

// recordEnd records that a request with this body crashed an upstream.
func (a *Recorder) recordEnd(body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endTimes[body] = append(a.endTimes[body], time.Now())
}

// CrashTimes returns the times at which requests with this body crashed an upstream.
func (a *Recorder) CrashTimes(body string) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.endTimes[body])
}

// ReachTimes returns the times at which requests and prefills with this body reached an
// upstream that did not reject them.
func (a *Recorder) ReachTimes(body string) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.reachTimes[body])
}

// recordArrival records the arrival of a request, whether or not it is rejected.
func (a *Recorder) recordArrival(id, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countArrival(id, service)
}

// recordPrompt records a prefill that an engine accepts. The first prefill of a
// request does not count as an arrival, but each further one does.
func (a *Recorder) recordPrompt(id, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.prompts[id] {
		a.countArrival(id, service)
	}
	a.prompts[id] = true
}

// countArrival records an arrival, as a repeat unless it is the first of the
// request; a.mu must be held.
func (a *Recorder) countArrival(id, service string) {
	if a.arrived[id] {
		a.repeats = append(a.repeats, Repeat{At: time.Now(), Service: service})
	}
	a.arrived[id] = true
}

// Executions returns the executions of a request, in the order in which they began.
func (a *Recorder) Executions(id string) []Execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs[id])
}

// Repeats returns all arrivals except the first one of each request, in order of
// time.
func (a *Recorder) Repeats() []Repeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.repeats)
}
