package retry

import (
	"sync"
	"time"
)

// windowParts is the number of parts that a window is counted in. More are exacter: a
// window that begins within a part is taken to hold all of its retries and none of its
// first attempts.
const windowParts = 20

// Window allows, in each span of a window's length, ratio retries for each first
// attempt and slack retries besides. It reads no clock and is safe for concurrent use.
//
// A bucket of tokens that holds the same bound has to be half as deep and fills up
// slowly, so that a request which meets two engines that refuse finds it empty while
// the window as a whole has room.
type Window struct {
	mu           sync.Mutex
	ratio, slack float64
	part         time.Duration
	// counts is a ring over parts, which are numbered from the first moment seen, so
	// that a wall clock that jumps moves nothing; last is the newest part.
	counts [windowParts + 1]windowCount
	begin  time.Time
	last   int64
}

// windowCount counts one part of the window.
type windowCount struct{ firsts, retries int }

// NewWindow returns a budget that has counted nothing.
func NewWindow(ratio, slack float64, window time.Duration) *Window {
	b := &Window{}
	b.Set(ratio, slack, window)
	return b
}

// Set changes the bounds. A window of another length begins anew.
func (b *Window) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
	if part := max(window/windowParts, 1); part != b.part {
		b.part, b.begin, b.last, b.counts = part, time.Time{}, 0, [windowParts + 1]windowCount{}
	}
}

// OnFirstAttempt counts a first attempt.
func (b *Window) OnFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).firsts++
}

// Allow counts n retries, or says that not so many are left.
func (b *Window) Allow(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held(now) < float64(n) {
		return false
	}
	b.at(now).retries += n
	return true
}

// Held returns how many retries are left.
func (b *Window) Held(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held(now)
}

func (b *Window) held(now time.Time) float64 {
	b.at(now)
	firsts, retries := 0, 0
	for i, c := range b.counts {
		retries += c.retries
		if int64(i) != b.slot(b.last+1) { // the oldest part, of which some is past
			firsts += c.firsts
		}
	}
	return b.ratio*float64(firsts) + b.slack - float64(retries)
}

// slot returns the place of a part in the ring.
func (b *Window) slot(part int64) int64 { return part % int64(len(b.counts)) }

// at returns the part of a moment and forgets those that the window has left. A moment
// before the newest part counts to that: the clock is read by many goroutines.
func (b *Window) at(now time.Time) *windowCount {
	if b.begin.IsZero() {
		b.begin = now
	}
	part := int64(now.Sub(b.begin) / b.part)
	if part-b.last > int64(len(b.counts)) {
		b.last = part - int64(len(b.counts))
	}
	for b.last < part {
		b.last++
		b.counts[b.slot(b.last)] = windowCount{}
	}
	return &b.counts[b.slot(b.last)]
}
