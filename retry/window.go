package retry

import "time"

// windowParts is the number of parts that a window is counted in. More are exacter: what
// was spent counts until its whole part has left the window.
const windowParts = 20

// window sums what was spent in the last span of a fixed length. It is not safe for
// concurrent use.
type window struct {
	part time.Duration
	// spent is a ring over parts, which are numbered from the first moment seen; last is
	// the newest part.
	spent [windowParts + 1]float64
	begin time.Time
	last  int64
}

// newWindow returns an empty window of a length.
func newWindow(length time.Duration) window { return window{part: max(length/windowParts, 1)} }

// sum returns what was spent in the window that ends now.
func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, n := range w.spent {
		sum += n
	}
	return sum
}

// add notes that n was spent now.
func (w *window) add(now time.Time, n float64) {
	w.advance(now)
	w.spent[w.slot(w.last)] += n
}

func (w *window) slot(part int64) int64 { return part % int64(len(w.spent)) }

// advance forgets the parts that the window has left. A moment before the newest part
// counts to that: the clock is read by many goroutines.
func (w *window) advance(now time.Time) {
	if w.begin.IsZero() {
		w.begin = now
	}
	part := int64(now.Sub(w.begin) / w.part)
	w.last = max(w.last, part-int64(len(w.spent)))
	for w.last < part {
		w.last++
		w.spent[w.slot(w.last)] = 0
	}
}
