package board

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/policy"
)

const (
	// buildInterval and upstreamsPerInterval set the minimum time between two snapshots
	// while only loads change. For n upstreams it is buildInterval * (1 +
	// n/upstreamsPerInterval), because the cost of a build grows with n, and in large
	// fleets loads are about a second old anyway. docs/design/load-board.md has the
	// figures.
	buildInterval        = 5 * time.Millisecond
	upstreamsPerInterval = 200
	// refreshInterval is the maximum age of a snapshot that is returned.
	refreshInterval = time.Second
)

// Holder makes a Board safe for concurrent use. A snapshot is built when it is
// requested, not when the board changes: at most every few milliseconds while only
// loads change (see buildInterval), and immediately when an upstream may take new
// requests from now on or no longer may.
type Holder struct {
	clock func() time.Time
	last  atomic.Pointer[policy.Snapshot]
	state atomic.Uint32
	// nextChange is Board.nextChange in nanoseconds since the Unix epoch; 0 for never.
	nextChange atomic.Int64
	// interval is the current minimum time between two snapshots, in nanoseconds.
	interval atomic.Int64

	mu    sync.Mutex
	board *Board
}

// The states of the last snapshot, relative to the board.
const (
	fresh   uint32 = iota
	changed        // only loads have changed
	invalid        // the availability of an upstream has changed
)

// NewHolder returns a holder for b that uses the system clock. The caller must not use
// b afterwards.
func NewHolder(b *Board) *Holder { return NewHolderClock(b, time.Now) }

// NewHolderClock is NewHolder with a given clock.
func NewHolderClock(b *Board, clock func() time.Time) *Holder {
	h := &Holder{clock: clock, board: b}
	h.state.Store(invalid)
	return h
}

// Update calls fn with exclusive access to the board. fn must not keep a reference to
// it.
func (h *Holder) Update(fn func(*Board)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fn(h.board)
	switch {
	case h.board.availabilityChanged:
		h.state.Store(invalid)
	case h.board.dirty:
		h.state.CompareAndSwap(fresh, changed)
	}
}

// Snapshot returns the current snapshot, which is never nil. While another goroutine
// uses the board, it may return an outdated one, but not when the availability of an
// upstream has changed.
func (h *Holder) Snapshot() *policy.Snapshot {
	now := h.clock()
	s := h.last.Load()
	if s != nil && !h.stale(s, now) {
		return s
	}
	if s != nil && h.state.Load() != invalid {
		if !h.mu.TryLock() {
			return s // another goroutine is building a snapshot or updating the board
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
	next := h.nextChange.Load()
	return age >= refreshInterval || (next != 0 && now.UnixNano() >= next)
}

func (h *Holder) build(now time.Time) *policy.Snapshot {
	s := h.board.Snapshot(now)
	h.state.Store(fresh)
	h.interval.Store(int64(buildInterval) * int64(1+len(h.board.names)/upstreamsPerInterval))
	h.nextChange.Store(0)
	if !h.board.nextChange.IsZero() {
		h.nextChange.Store(h.board.nextChange.UnixNano())
	}
	h.last.Store(s)
	return s
}
