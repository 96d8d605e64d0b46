package retry

import "time"

// windowSlots is the number of slots into which a window is divided. An amount counts until its
// whole slot has left the window, so more slots make the window more precise.
const windowSlots = 20

// slidingWindow sums the amounts added during the last span of a fixed length. It is not safe for
// concurrent use.
type slidingWindow struct {
	slotLength time.Duration
	// slots is a ring buffer. Slots are numbered from the start; newest is the number of the most
	// recent one.
	slots  [windowSlots + 1]float64
	start  time.Time
	newest int64
}

// newSlidingWindow returns an empty window of the given length.
func newSlidingWindow(length time.Duration) slidingWindow {
	return slidingWindow{slotLength: max(length/windowSlots, 1)}
}

// sum returns the total of the window that ends now.
func (w *slidingWindow) sum(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, n := range w.slots {
		sum += n
	}
	return sum
}

// add adds an amount at the time now.
func (w *slidingWindow) add(now time.Time, n float64) {
	w.advance(now)
	w.slots[w.index(w.newest)] += n
}

func (w *slidingWindow) index(slot int64) int64 { return slot % int64(len(w.slots)) }

// advance clears the slots that have left the window. A time before the newest slot counts as the
// newest slot, because concurrent callers read the clock before they take the lock.
func (w *slidingWindow) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	slot := int64(now.Sub(w.start) / w.slotLength)
	w.newest = max(w.newest, slot-int64(len(w.slots)))
	for w.newest < slot {
		w.newest++
		w.slots[w.index(w.newest)] = 0
	}
}
