package board

import "time"

const (
	// initialWeight is the weight of an upstream at the beginning of its slow start.
	initialWeight = 0.1
	// weightInterval is the time between updates of a growing weight in the snapshots.
	weightInterval = 250 * time.Millisecond
)

// health implements outlier ejection for one upstream. An upstream that keeps failing
// is ejected for exponentially longer times, so that few requests go to it; afterwards
// a slow start protects it from a burst.
type health struct {
	// failures is the number of consecutive failures. ejections is the number of
	// ejections since the last success after a complete slow start. ejectedUntil is the
	// end of the current or last ejection.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// rampStart is the beginning of the slow start, which may be in the future; zero if
	// there is none.
	rampStart time.Time
}

// recordFailure counts a failure and reports whether it ejected the upstream. During a
// slow start one failure is enough. Failures during an ejection are ignored: they are
// of calls that started before it.
func (h *health) recordFailure(now time.Time, cfg Config) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.failures++
	if h.failures < cfg.FailureThreshold && h.rampStart.IsZero() {
		return false
	}
	h.failures = 0
	h.ejections++
	h.ejectedUntil = now.Add(ejectionTime(h.ejections, cfg))
	h.rampStart = h.ejectedUntil
	return true
}

// eject ejects the upstream until the given time for a reason other than its own
// consecutive failures. The ejection does not lengthen later ones.
func (h *health) eject(until time.Time) {
	h.ejectedUntil, h.rampStart = until, until
}

// ejectionTime returns the duration of the nth ejection. It doubles each time, up to
// EjectMax.
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

// recordSuccess resets the count of consecutive failures. After the slow start it also
// resets the count of ejections, so that the next one is short again.
func (h *health) recordSuccess(now time.Time, cfg Config) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.failures = 0
	if !h.ramping(now, cfg) {
		h.ejections = 0
		h.rampStart = time.Time{}
	}
}

// ramping reports whether the slow start has not ended yet. It includes one more
// weightInterval so that a snapshot gets the full weight.
func (h *health) ramping(now time.Time, cfg Config) bool {
	return !h.rampStart.IsZero() && now.Before(h.rampStart.Add(cfg.SlowStart+weightInterval))
}

// weight returns the upstream's weight, which grows linearly from initialWeight to 1
// during the slow start.
func (h *health) weight(now time.Time, cfg Config) float64 {
	if h.rampStart.IsZero() {
		return 1
	}
	part := float64(now.Sub(h.rampStart)) / float64(cfg.SlowStart)
	return min(1, max(0, part)*(1-initialWeight)+initialWeight)
}

// nextChange returns when the upstream's replica will change only because time has
// passed: an ejection ends or the weight has grown; zero for never.
func (h *health) nextChange(now time.Time, cfg Config) time.Time {
	if now.Before(h.ejectedUntil) {
		return h.ejectedUntil
	}
	if h.ramping(now, cfg) {
		return now.Add(weightInterval)
	}
	return time.Time{}
}
