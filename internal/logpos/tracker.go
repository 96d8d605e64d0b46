package logpos

import (
	"context"
	"sync"
)

// Tracker holds the newest epoch of a log. It is safe for concurrent use.
type Tracker struct {
	onChange func(previous, current Epoch)

	mu sync.Mutex // guards the fields below
	// confirmed is the newest epoch that the log itself has told, and newest also counts what other
	// daemons have told.
	confirmed, newest Epoch
	changed           chan struct{} // closed and replaced when newest changes
}

// NewTracker returns a tracker that knows no epoch. onChange is called when it learns of a newer
// one, one call at a time and in order; previous is zero at first. It may be nil.
func NewTracker(onChange func(previous, current Epoch)) *Tracker {
	return &Tracker{onChange: onChange, changed: make(chan struct{})}
}

// Observe records the epoch that a response of the log tells, and reports whether the response is
// current: it is not if the log has told a later epoch before. An unknown epoch is current.
func (t *Tracker) Observe(e Epoch) (current bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed.After(e) {
		return false
	}
	t.confirmed = max(t.confirmed, e)
	t.raise(e)
	return true
}

// Learn records an epoch that another daemon has told.
//
// It does not make responses of the log outdated: if a daemon told an epoch that never was, all
// that the log says would be ignored for good.
func (t *Tracker) Learn(e Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raise(e)
}

// raise updates the newest epoch; t.mu must be held.
func (t *Tracker) raise(e Epoch) {
	if e <= t.newest {
		return
	}
	previous := t.newest
	t.newest = e
	close(t.changed)
	t.changed = make(chan struct{})
	if t.onChange != nil {
		t.onChange(previous, e)
	}
}

// Newest returns the newest epoch, zero if none is known, and a channel that is closed when there
// is a newer one.
func (t *Tracker) Newest() (e Epoch, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest, t.changed
}

// Confirmed returns the newest epoch that the log itself has told; zero if it has told none.
func (t *Tracker) Confirmed() Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

// Within returns a context that also ends when a later epoch than a known one becomes known, so that
// a call that waits for records in that epoch ends. The caller must call the returned function.
func (t *Tracker) Within(ctx context.Context, e Epoch) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if e == 0 {
		return ctx, cancel
	}
	began, _ := t.Newest() // if that is later already, only the log itself can confirm it
	go func() {
		defer cancel()
		for {
			newest, changed := t.Newest()
			if newest.After(e) && newest != began {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
