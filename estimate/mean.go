// Package estimate learns what upstreams and answers are like from what passes:
// times per token, lengths of answers, memory over the coming seconds. Everything in
// it is a plain type: samples and the time go in, an estimate with the number and age
// of its samples comes out. It opens no socket, reads no clock and starts no goroutine.
//
// Nothing here begins with a figure. A quantity without enough samples is not known,
// and whoever decides may order or size work by a guess of its own then, but refuse
// nothing by it.
package estimate

import "time"

const (
	// fewest is the number of samples from which on a mean is known. Three tell a
	// sample that is far off from the other two.
	fewest = 3
	// leastWeight is the least part of a new sample in a mean: the last twenty or so
	// count, a few seconds of one engine at the users' rates.
	leastWeight = 0.05
	// outlier is how many times more or less than the mean a sample may count.
	outlier = 1.5
	// shift is how many samples in a row, all far off on the same side, are taken for a
	// change of the quantity itself. One odd call among others has neighbours that are
	// not.
	shift = 5
	// life is how long a mean holds without a sample. One that is too high may keep
	// away all that could correct it, so it must lapse.
	life = 30 * time.Second
)

// Mean is the mean of a positive quantity that may change at any time. Single samples
// that are far off move it little; several of them in a row begin it anew. The zero
// value knows nothing. It is not safe for concurrent use.
type Mean struct {
	value   float64
	samples int
	at      time.Time
	// far counts the samples in a row that were too large, negative ones too small, and
	// run is their mean.
	far int
	run float64
}

// Add takes a sample; one that is not positive is ignored.
func (m *Mean) Add(now time.Time, v float64) {
	if v <= 0 {
		return
	}
	if m.lapsed(now) {
		*m = Mean{}
	}
	m.at = now
	m.samples++
	if m.samples <= fewest {
		m.value += (v - m.value) / float64(m.samples)
		return
	}
	low, high := m.value/outlier, m.value*outlier
	if m.shifted(v, low, high) {
		m.value, m.samples, m.far = m.run, fewest, 0
		return
	}
	weight := max(1/float64(m.samples), leastWeight)
	m.value += weight * (min(max(v, low), high) - m.value)
}

// shifted notes a sample's side and says whether enough in a row were far off.
func (m *Mean) shifted(v, low, high float64) bool {
	side := 0
	switch {
	case v > high:
		side = 1
	case v < low:
		side = -1
	}
	if side == 0 || side*m.far < 0 {
		m.far = 0
	}
	if side == 0 {
		return false
	}
	m.far += side
	n := float64(max(m.far, -m.far))
	if n == 1 {
		m.run = 0
	}
	m.run += (v - m.run) / n
	return n >= shift
}

func (m *Mean) lapsed(now time.Time) bool {
	return m.samples > 0 && now.Sub(m.at) >= life
}

// Value returns the mean, or false while too few samples are known or the last one is
// too old.
func (m *Mean) Value(now time.Time) (float64, bool) {
	return m.value, m.samples >= fewest && !m.lapsed(now)
}

// Samples returns how many samples the mean rests on, and the time of the last one.
func (m *Mean) Samples() (int, time.Time) { return m.samples, m.at }

// Lapses returns when the mean lapses without a further sample; zero when it has none.
func (m *Mean) Lapses() time.Time {
	if m.samples == 0 {
		return time.Time{}
	}
	return m.at.Add(life)
}
