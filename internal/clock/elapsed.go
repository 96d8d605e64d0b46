package clock

import "time"

// Elapsed returns the larger of the monotonic and the wall-clock time from one instant
// to another: the monotonic clock stands still while a machine is suspended, the wall
// clock runs on. A wall clock that was set forward looks like a long time.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
