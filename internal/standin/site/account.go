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
}

func newAccount(s *Site) *Account {
	return &Account{site: s, runs: map[string][]Run{}, seen: map[string]bool{}, prompts: map[string]bool{}}
}

func (a *Account) ran(id, upstream, body, from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[id] = append(a.runs[id], Run{upstream, body, from})
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
