package clock

import "time"

// Elapsed returns the time between two instants by the monotonic clock or by the wall clock,
// whichever is longer: the monotonic clock stops while a machine is suspended, the wall clock does
// not. If the wall clock was set forward in between, the result is too long.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
