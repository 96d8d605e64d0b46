// Package estimate estimates properties of engines and requests from observed calls:
// times per token and lengths of answers. Its types take samples together with the
// current time and return an estimate with the number of its samples and the time of
// the last one. The package does no I/O, reads no clock and starts no goroutine.
//
// There are no initial values: without enough samples a quantity is unknown. Callers
// may then use a default to order or size requests, but must not refuse any because of
// it.
package estimate

import "time"

const (
	// minMeanSamples is the number of samples needed before a mean is used. With three,
	// one outlier can be distinguished from the other two samples.
	minMeanSamples = 3
	// minSampleWeight is the least weight of a new sample in the mean. The last twenty
	// or so samples count, which one engine produces in a few seconds at the expected
	// request rates.
	minSampleWeight = 0.05
	// outlierFactor limits the effect of an outlier: a sample counts as at most this
	// many times the mean, and at least the mean divided by it.
	outlierFactor = 1.5
	// shiftSamples is the number of consecutive outliers on the same side that are
	// taken as a change of the quantity itself. Isolated outliers are followed by
	// normal samples.
	shiftSamples = 5
	// lifetime is how long an estimate remains valid after its last sample. While an
	// estimate is too high, admission control may refuse the requests that would
	// correct it, so it must expire.
	lifetime = 30 * time.Second
)

// Mean is a moving mean of a positive quantity that may change at any time. Isolated
// outliers have little effect; several in a row restart the mean from their values. The
// zero value has no samples. It is not safe for concurrent use.
type Mean struct {
	value   float64
	samples int
	at      time.Time
	// outlierRun is the number of consecutive outliers, positive if they are above the
	// mean and negative if below. outlierMean is the mean of these outliers.
	outlierRun  int
	outlierMean float64
}

// Add adds a sample. Samples that are not positive are ignored.
func (m *Mean) Add(now time.Time, v float64) {
	if v <= 0 {
		return
	}
	if m.expired(now) {
		*m = Mean{}
	}
	m.at = now
	m.samples++
	if m.samples <= minMeanSamples {
		m.value += (v - m.value) / float64(m.samples)
		return
	}
	low, high := m.value/outlierFactor, m.value*outlierFactor
	if m.detectShift(v, low, high) {
		m.value, m.samples, m.outlierRun = m.outlierMean, minMeanSamples, 0
		return
	}
	weight := max(1/float64(m.samples), minSampleWeight)
	m.value += weight * (min(max(v, low), high) - m.value)
}

// detectShift updates the run of consecutive outliers with a sample and reports whether
// the run is long enough to restart the mean. Samples between low and high are not
// outliers.
func (m *Mean) detectShift(v, low, high float64) bool {
	side := 0
	switch {
	case v > high:
		side = 1
	case v < low:
		side = -1
	}
	if side == 0 || side*m.outlierRun < 0 {
		m.outlierRun = 0
	}
	if side == 0 {
		return false
	}
	m.outlierRun += side
	n := float64(max(m.outlierRun, -m.outlierRun))
	if n == 1 {
		m.outlierMean = 0
	}
	m.outlierMean += (v - m.outlierMean) / n
	return n >= shiftSamples
}

func (m *Mean) expired(now time.Time) bool {
	return m.samples > 0 && now.Sub(m.at) >= lifetime
}

// Value returns the mean. It returns false while there are too few samples or if the
// last one is too old.
func (m *Mean) Value(now time.Time) (float64, bool) {
	return m.value, m.samples >= minMeanSamples && !m.expired(now)
}

// Samples returns the number of samples in the mean, and the time of the last one.
func (m *Mean) Samples() (int, time.Time) { return m.samples, m.at }

// ExpiresAt returns when the mean expires if no further sample is added; zero if it has no
// samples.
func (m *Mean) ExpiresAt() time.Time {
	if m.samples == 0 {
		return time.Time{}
	}
	return m.at.Add(lifetime)
}
