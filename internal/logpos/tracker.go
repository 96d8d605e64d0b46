package logpos

import "sync"

// Tracker holds the newest epoch of a log that its responses have told. It is safe for concurrent
// use.
type Tracker struct {
	onChange func(previous, current Epoch)

	mu     sync.Mutex // guards newest
	newest Epoch
}

// NewTracker returns a tracker that knows no epoch. onChange is called when it learns of a newer
// one, one call at a time and in order; previous is zero at first. It may be nil.
func NewTracker(onChange func(previous, current Epoch)) *Tracker { return &Tracker{onChange: onChange} }

// Observe records the epoch of a response; an unknown one is ignored.
func (t *Tracker) Observe(e Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e <= t.newest {
		return
	}
	previous := t.newest
	t.newest = e
	if t.onChange != nil {
		t.onChange(previous, e)
	}
}

// Newest returns the newest epoch; zero if none is known.
func (t *Tracker) Newest() Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}
