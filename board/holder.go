package board

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/policy"
)

const (
	// buildInterval is the least time between two snapshots when only loads changed,
	// for each buildUnit upstreams: a build costs time by their number, and loads
	// are about a second old at that size anyway. docs/design/load-board.md has
	// the figures.
	buildInterval = 5 * time.Millisecond
	buildUnit     = 200
	// refreshInterval is the most time between two snapshots that are asked for.
	refreshInterval = time.Second
)

// Holder makes a Board safe for concurrent use. Snapshots are built when one is
// asked for, not when the board changes: at most every few milliseconds while
// only loads change, at once when an upstream may no longer take new work.
type Holder struct {
	clock func() time.Time
	last  atomic.Pointer[policy.Snapshot]
	state atomic.Uint32
	// wake is Board.wake in nanoseconds since the epoch; 0 for never.
	wake atomic.Int64
	// interval is the least time between two snapshots in nanoseconds.
	interval atomic.Int64

	mu    sync.Mutex
	board *Board
}

// The states of the last snapshot.
const (
	fresh   uint32 = iota
	changed        // loads changed
	invalid        // who may take new work changed
)

// NewHolder returns a holder by the system's clock. The caller gives up b.
func NewHolder(b *Board) *Holder { return NewHolderClock(b, time.Now) }

// NewHolderClock returns a holder by the given clock.
func NewHolderClock(b *Board, clock func() time.Time) *Holder {
	h := &Holder{clock: clock, board: b}
	h.state.Store(invalid)
	return h
}

// Update calls fn with the board, alone. fn must not keep the board.
func (h *Holder) Update(fn func(*Board)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fn(h.board)
	switch {
	case h.board.urgent:
		h.state.Store(invalid)
	case h.board.dirty:
		h.state.CompareAndSwap(fresh, changed)
	}
}

// Snapshot returns the present snapshot; it never returns nil.
func (h *Holder) Snapshot() *policy.Snapshot {
	now := h.clock()
	s := h.last.Load()
	if s != nil && !h.stale(s, now) {
		return s
	}
	if s != nil && h.state.Load() != invalid {
		if !h.mu.TryLock() {
			return s // somebody else is building or changing it
		}
	} else {
		h.mu.Lock()
	}
	defer h.mu.Unlock()
	if s = h.last.Load(); s == nil || h.stale(s, now) {
		s = h.build(now)
	}
	return s
}

func (h *Holder) stale(s *policy.Snapshot, now time.Time) bool {
	age := now.Sub(s.At)
	switch h.state.Load() {
	case invalid:
		return true
	case changed:
		if age >= time.Duration(h.interval.Load()) {
			return true
		}
	}
	wake := h.wake.Load()
	return age >= refreshInterval || (wake != 0 && now.UnixNano() >= wake)
}

func (h *Holder) build(now time.Time) *policy.Snapshot {
	s := h.board.Snapshot(now)
	h.state.Store(fresh)
	h.interval.Store(int64(buildInterval) * int64(1+len(h.board.names)/buildUnit))
	h.wake.Store(0)
	if !h.board.wake.IsZero() {
		h.wake.Store(h.board.wake.UnixNano())
	}
	h.last.Store(s)
	return s
}
