// Package rest counts the calls that reach a stand-in although it has asked for a time without calls.
package rest

import (
	"sync"
	"time"
)

// Grace is the time after a request for rest in which calls may still arrive, and Allowed the number of
// calls that may arrive between then and the end of the rest.
const (
	Grace   = 500 * time.Millisecond
	Allowed = 2
)

// Log holds the calls of one caller, and the rests that it was asked for. It is safe for concurrent use.
type Log struct {
	mu    sync.Mutex
	calls []time.Time
	rests []span
}

type span struct{ from, until time.Time }

// Call records that a call arrived.
func (l *Log) Call() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, time.Now())
}

// Told records that the caller was asked for a rest.
func (l *Log) Told(rest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.rests = append(l.rests, span{now, now.Add(rest)})
}

// Asked reports whether the caller was ever asked for a rest.
func (l *Log) Asked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rests) > 0
}

// Most returns the largest number of calls in one rest, without those of its first Grace.
func (l *Log) Most() (most int) {
	most, _, _ = l.worst()
	return most
}

// Worst returns when the rest began that Most counts, and when the first of its calls arrived.
func (l *Log) Worst() (from, first time.Time) {
	_, from, first = l.worst()
	return from, first
}

func (l *Log) worst() (most int, from, first time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rest := range l.rests {
		n, earliest := 0, time.Time{}
		for _, at := range l.calls {
			if at.Sub(rest.from) <= Grace || !at.Before(rest.until) {
				continue
			}
			if n++; n == 1 {
				earliest = at
			}
		}
		if n > most {
			most, from, first = n, rest.from, earliest
		}
	}
	return most, from, first
}
