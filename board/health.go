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
	// ejections since the last success after a complete slow start. ejectedAt and
	// ejectedUntil are the beginning and the end of the current or last ejection.
	failures                int
	ejections               int
	ejectedAt, ejectedUntil time.Time
	// silent is set if the current or last ejection is due to calls that failed, not to
	// what the upstream answered.
	silent bool
	// rampStart is the beginning of the slow start, which may be in the future; zero if
	// there is none.
	rampStart time.Time
}

// recordFailure counts a failure and reports whether it ejected the upstream. During a
// slow start one failure is enough. Failures during an ejection are ignored: they are
// of calls that started before it.
func (h *health) recordFailure(now time.Time, cfg Config) bool {
	if h.ejected(now) {
		return false
	}
	h.failures++
	if h.failures < cfg.FailureThreshold && h.rampStart.IsZero() {
		return false
	}
	h.failures = 0
	h.ejections++
	h.eject(now, now.Add(ejectionTime(h.ejections, cfg)))
	return true
}

// eject ejects the upstream until the given time. It does not lengthen later ejections.
func (h *health) eject(now, until time.Time) {
	h.ejectedAt, h.ejectedUntil, h.rampStart = now, until, until
	h.silent = true
}

// endEjection ends the ejection. The slow start begins.
func (h *health) endEjection(now time.Time) {
	h.ejectedUntil, h.rampStart = now, now
}

// ejected reports whether the upstream is ejected.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

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
	if h.ejected(now) {
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
	return slowStartWeight(now.Sub(h.rampStart), cfg)
}

// slowStartWeight returns the weight at a time after the beginning of a slow start.
func slowStartWeight(elapsed time.Duration, cfg Config) float64 {
	part := float64(elapsed) / float64(cfg.SlowStart)
	return min(1, max(0, part)*(1-initialWeight)+initialWeight)
}

// nextChange returns when the upstream's replica will change only because time has
// passed: an ejection ends or the weight has grown; zero for never.
func (h *health) nextChange(now time.Time, cfg Config) time.Time {
	if h.ejected(now) {
		return h.ejectedUntil
	}
	if h.ramping(now, cfg) {
		return now.Add(weightInterval)
	}
	return time.Time{}
}
