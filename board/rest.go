package board

import "time"

// restWeight returns the weight of an upstream after a rest. It grows as in a slow start after an
// ejection, so that the daemons do not all return at once, but a rest is not a failure and leaves the
// upstream's health alone.
func (e *entry) restWeight(now time.Time, cfg Config) float64 {
	if e.stated.RestEnd.IsZero() {
		return 1
	}
	return slowStartWeight(now.Sub(e.stated.RestEnd), cfg)
}

// nextRestChange returns when the upstream's replica will change only because of its rest: the rest
// ends, or the weight after it has grown; zero for never.
func (e *entry) nextRestChange(now time.Time, cfg Config) time.Time {
	switch {
	case e.stated.Resting(now):
		return e.stated.RestEnd
	case e.restWeight(now, cfg) < 1:
		return now.Add(weightInterval)
	}
	return time.Time{}
}
