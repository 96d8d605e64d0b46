package relay

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// followerTimeout is how long after the last call of a follower a daemon goes on reading
// the store for followers. It is several times the pause between two calls of a follower.
// It is not longer because, during a rolling restart, every daemon that has replaced a
// reader goes on reading the store for this long in addition to the current reader.
const followerTimeout = 3 * time.Second

// FollowerActivity records when another daemon last read the store's feeds through this one.
// It is safe for concurrent use.
type FollowerActivity struct {
	mu        sync.Mutex
	lastCall  time.Time
	callbacks map[int]func() // registered with OnActive
	nextID    int
}

// NewFollowerActivity returns a FollowerActivity without any recorded call.
func NewFollowerActivity() *FollowerActivity { return &FollowerActivity{callbacks: map[int]func(){}} }

// RecordCall records a call of a follower. If no follower has called within followerTimeout
// before, it runs the callbacks registered with OnActive.
func (a *FollowerActivity) RecordCall(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.calledRecently(now) {
		for _, call := range a.callbacks {
			call()
		}
	}
	a.lastCall = now
}

// Recent reports whether a follower has called within followerTimeout. While this is so,
// this daemon reads the store itself, with short waits.
func (a *FollowerActivity) Recent(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calledRecently(now)
}

func (a *FollowerActivity) calledRecently(now time.Time) bool {
	return !a.lastCall.IsZero() && clock.Elapsed(a.lastCall, now) < followerTimeout
}

// OnActive registers f, which is run when a follower calls and none has called within
// followerTimeout before. A Store uses it to cancel a read through another daemon, which may
// be unreachable. f must neither block nor call methods of a. stop removes f.
func (a *FollowerActivity) OnActive(f func()) (stop func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := a.nextID
	a.nextID++
	a.callbacks[id] = f
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.callbacks, id)
	}
}
