package board

import "time"

const (
	// leastWeight is the weight with which an upstream starts its slow return.
	leastWeight = 0.1
	// weightStep is how often a growing weight is put into a snapshot.
	weightStep = 250 * time.Millisecond
)

// health ejects an upstream that fails again and again, for longer each time,
// and lets it return slowly, so that what is broken is asked seldom and what
// comes back is not flooded at once.
type health struct {
	// failures counts those in a row, ejections those since it was last well.
	failures  int
	ejections int
	notBefore time.Time
	// recovering is when the slow return began or will begin; zero when well.
	recovering time.Time
}

// failed takes a failure and says whether it ejected the upstream. During a slow
// return one failure is enough. Failures of calls that were under way when it
// was ejected do not count again.
func (h *health) failed(now time.Time, cfg Config) bool {
	if now.Before(h.notBefore) {
		return false
	}
	h.failures++
	if h.failures < cfg.FailureThreshold && h.recovering.IsZero() {
		return false
	}
	h.failures = 0
	h.ejections++
	h.notBefore = now.Add(ejectionTime(h.ejections, cfg))
	h.recovering = h.notBefore
	return true
}

// eject ejects the upstream until a time, for a reason that is not its own failure.
func (h *health) eject(until time.Time) {
	h.notBefore, h.recovering = until, until
}

// ejectionTime doubles with each ejection up to the bound.
func ejectionTime(n int, cfg Config) time.Duration {
	d := cfg.EjectBase
	for range n - 1 {
		if d >= cfg.EjectMax {
			break
		}
		d *= 2
	}
	return min(d, cfg.EjectMax)
}

// succeeded takes a success. One that comes after the slow return makes the
// upstream well again; one that comes earlier only ends a row of failures.
func (h *health) succeeded(now time.Time, cfg Config) {
	if now.Before(h.notBefore) {
		return
	}
	h.failures = 0
	if !h.recoversAt(now, cfg) {
		h.ejections = 0
		h.recovering = time.Time{}
	}
}

// recoversAt says whether the weight is still growing.
func (h *health) recoversAt(now time.Time, cfg Config) bool {
	return !h.recovering.IsZero() && now.Before(h.recovering.Add(cfg.SlowReturn+weightStep))
}

// weight grows from leastWeight to 1 over the slow return.
func (h *health) weight(now time.Time, cfg Config) float64 {
	if h.recovering.IsZero() {
		return 1
	}
	part := float64(now.Sub(h.recovering)) / float64(cfg.SlowReturn)
	return min(1, max(0, part)*(1-leastWeight)+leastWeight)
}

// changes returns when the upstream's part of a snapshot changes by itself.
func (h *health) changes(now time.Time, cfg Config) time.Time {
	if now.Before(h.notBefore) {
		return h.notBefore
	}
	if h.recoversAt(now, cfg) {
		return now.Add(weightStep)
	}
	return time.Time{}
}
