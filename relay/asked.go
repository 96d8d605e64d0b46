package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// askedTime is how long after it was asked a daemon goes on reading for others. It is
// several times the pause between two calls of a follower, and no longer: while a fleet is
// restarted one by one, each daemon that stood in for a reader reads beside the next one.
const askedTime = 3 * time.Second

// Asked remembers when another daemon last asked this one to read for it. It is safe
// for concurrent use.
type Asked struct {
	mu    sync.Mutex
	at    time.Time
	calls map[int]func() // of OnFirst
	next  int
}

// NewAsked returns an Asked that nobody has asked.
func NewAsked() *Asked { return &Asked{calls: map[int]func(){}} }

// Note takes that another daemon asks now.
func (a *Asked) Note(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lately(now) {
		for _, call := range a.calls {
			call()
		}
	}
	a.at = now
}

// Lately says whether others rely on this daemon, which then reads the store itself,
// with short waits.
func (a *Asked) Lately(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lately(now)
}

func (a *Asked) lately(now time.Time) bool {
	return !a.at.IsZero() && clock.Elapsed(a.at, now) < askedTime
}

// OnFirst has f called when others begin to rely on this daemon, until stop: a reading
// through another one, which may have gone silent, is then worth nothing. f must not
// block nor call this Asked.
func (a *Asked) OnFirst(f func()) (stop func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := a.next
	a.next++
	a.calls[id] = f
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.calls, id)
	}
}
