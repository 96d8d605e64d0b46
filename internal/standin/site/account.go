package site

import (
	"slices"
	"sync"
	"time"
)

// Run is one request that an upstream began to work on.
type Run struct {
	Upstream string
	Body     string
	// From is the id of the last event that the caller had.
	From string
	// Team is the name that the request bore, and At when it ran.
	Team string
	At   time.Time
}

// Repeat is an arrival at a service beyond the first of its request.
type Repeat struct {
	At      time.Time
	Service string
}

// Account tells what ran and what arrived, by request id. It is safe for concurrent use.
type Account struct {
	site *Site
	mu   sync.Mutex
	runs map[string][]Run
	// seen says which requests arrived, and prompts of which a prompt was accepted.
	seen, prompts map[string]bool
	repeats       []Repeat
	// reaches and ends are by the body of a request.
	reaches, ends map[string][]time.Time
	// keyed are the requests, prompts among them, with which a key came.
	keyed []string
}

func newAccount(s *Site) *Account {
	return &Account{site: s, runs: map[string][]Run{}, seen: map[string]bool{}, prompts: map[string]bool{}, reaches: map[string][]time.Time{}, ends: map[string][]time.Time{}}
}

func (a *Account) ran(id string, run Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run.At = time.Now()
	a.runs[id] = append(a.runs[id], run)
}

// gotKey notes that a caller's key reached an upstream.
func (a *Account) gotKey(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keyed = append(a.keyed, id)
}

// Keyed returns the requests with which a caller's key reached an upstream.
func (a *Account) Keyed() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.keyed)
}

// reached notes that a request reached an upstream that did not reject it.
func (a *Account) reached(body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reaches[body] = append(a.reaches[body], time.Now())
}

// ended notes that an upstream ended under a request.
func (a *Account) ended(body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ends[body] = append(a.ends[body], time.Now())
}

// Ends returns when upstreams ended under requests with a body, and Reaches when such
// requests reached upstreams, prompts too.
func (a *Account) Ends(body string) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.ends[body])
}

// Reaches returns when requests with a body reached upstreams; see Ends.
func (a *Account) Reaches(body string) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.reaches[body])
}

// arrived counts an arrival, also of a request that is rejected.
func (a *Account) arrived(id, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(id, service)
}

// read counts a prompt that an engine accepts; the first of a request is no arrival.
func (a *Account) read(id, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.prompts[id] {
		a.count(id, service)
	}
	a.prompts[id] = true
}

// count notes an arrival; a.mu is held.
func (a *Account) count(id, service string) {
	if a.seen[id] {
		a.repeats = append(a.repeats, Repeat{At: time.Now(), Service: service})
	}
	a.seen[id] = true
}

// Runs returns the runs of a request.
func (a *Account) Runs(id string) []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs[id])
}

// Repeats returns the arrivals beyond the first of each request, in their order.
func (a *Account) Repeats() []Repeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.repeats)
}
