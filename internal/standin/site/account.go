package site

import (
	"maps"
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
	// Version is the version of the upstream's software, and PrefillVersion that of the engine
	// whose prefill result the upstream fetched; empty if it fetched none.
	Version, PrefillVersion string
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
	site       *Site
	mu         sync.Mutex
	executions map[string][]Execution
	// arrived has the ids of the requests that arrived, and prompts the ids of those
	// with a prefill that was accepted.
	arrived, prompts map[string]bool
	repeats          []Repeat
	// reachTimes has the times at which requests reached an upstream that did not
	// reject them, and crashTimes those at which requests crashed an upstream, both by
	// the body of the request.
	reachTimes, crashTimes map[string][]time.Time
	// idsWithKey has the ids of the requests and prefills that reached an upstream
	// with a client's API key.
	idsWithKey []string
}

func newRecorder(s *Site) *Recorder {
	return &Recorder{site: s, executions: map[string][]Execution{}, arrived: map[string]bool{}, prompts: map[string]bool{}, reachTimes: map[string][]time.Time{}, crashTimes: map[string][]time.Time{}}
}

// recordExecution records that an upstream begins to execute a request.
func (r *Recorder) recordExecution(id string, run Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.At = time.Now()
	r.executions[id] = append(r.executions[id], run)
}

// recordKey records that a request reached an upstream with a client's API key.
func (r *Recorder) recordKey(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idsWithKey = append(r.idsWithKey, id)
}

// RequestsWithKey returns the ids of the requests and prefills that reached an upstream
// with a client's API key. Daemons must remove the key, so there should be none.
func (r *Recorder) RequestsWithKey() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.idsWithKey)
}

// recordReach records that a request or a prefill with this body reached an upstream
// that did not reject it.
func (r *Recorder) recordReach(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachTimes[body] = append(r.reachTimes[body], time.Now())
}

// recordCrash records that a request with this body crashed an upstream.
func (r *Recorder) recordCrash(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashTimes[body] = append(r.crashTimes[body], time.Now())
}

// CrashTimes returns the times at which requests with this body crashed an upstream.
func (r *Recorder) CrashTimes(body string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.crashTimes[body])
}

// ReachTimes returns the times at which requests and prefills with this body reached an
// upstream that did not reject them.
func (r *Recorder) ReachTimes(body string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.reachTimes[body])
}

// recordArrival records the arrival of a request, whether or not it is rejected.
func (r *Recorder) recordArrival(id, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countArrival(id, service)
}

// recordPrompt records a prefill that an engine accepts. The first prefill of a
// request does not count as an arrival, but each further one does.
func (r *Recorder) recordPrompt(id, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prompts[id] {
		r.countArrival(id, service)
	}
	r.prompts[id] = true
}

// countArrival records an arrival, as a repeat unless it is the first of the
// request; r.mu must be held.
func (r *Recorder) countArrival(id, service string) {
	if r.arrived[id] {
		r.repeats = append(r.repeats, Repeat{At: time.Now(), Service: service})
	}
	r.arrived[id] = true
}

// Executions returns the executions of a request, in the order in which they began.
func (r *Recorder) Executions(id string) []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.executions[id])
}

// Repeats returns all arrivals except the first one of each request, in order of
// time.
func (r *Recorder) Repeats() []Repeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.repeats)
}

// AllExecutions returns the executions of all requests by their ids.
func (r *Recorder) AllExecutions() map[string][]Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.executions)
}
