package estimate

import "time"

const (
	// fastQuantile is the quantile of the call times that is used as the engine's
	// speed. Calls that waited in a queue unknown to this daemon look slow. A few look
	// too fast because part of their result was cached by an earlier call; these are
	// rarer than a tenth of all. With a quarter, a burst doubled the estimated cost of
	// a prompt, and two of fourteen engines were moved to prefill without need.
	fastQuantile = 0.1
	// minSpeedSamples is the number of calls needed before a speed is used. At least
	// one of them is then likely to have found the engine idle, even if most wait.
	minSpeedSamples = 12
)

// Speed estimates how long an engine takes for one unit of work, from calls some of
// which waited in a queue. The zero value has no samples. It is not safe for concurrent
// use.
//
// It is meant for bursts, in which most calls wait for earlier ones. With the mean of
// all calls, a busy engine would look slow, and other engines would be assigned to its
// role (prefill or decode) without need.
type Speed struct{ durations distribution }

// Add adds a call, given its time per unit of work. Times that are not positive are
// ignored.
func (s *Speed) Add(now time.Time, perUnit time.Duration) {
	if perUnit <= 0 {
		return
	}
	if s.expired(now) {
		*s = Speed{}
	}
	s.durations.add(now, perUnit.Seconds()/time.Microsecond.Seconds())
}

func (s *Speed) expired(now time.Time) bool {
	return s.durations.samples > 0 && now.Sub(s.durations.at) >= lifetime
}

// Value returns the time for one unit of work. It returns false while there are too few
// calls or if the last one is too old.
func (s *Speed) Value(now time.Time) (time.Duration, bool) {
	if s.durations.samples < minSpeedSamples || s.expired(now) {
		return 0, false
	}
	return time.Duration(s.durations.quantile(fastQuantile) * float64(time.Microsecond)), true
}

// Samples returns the number of calls seen, and the time of the last one.
func (s *Speed) Samples() (int, time.Time) { return s.durations.samples, s.durations.at }

// ExpiresAt returns when the speed expires if no further call is added; zero if there are
// none.
func (s *Speed) ExpiresAt() time.Time {
	if s.durations.samples == 0 {
		return time.Time{}
	}
	return s.durations.at.Add(lifetime)
}
