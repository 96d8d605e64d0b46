package estimate

import "time"

const (
	// quick is the share of calls that are taken to have found their engine idle. A
	// call that waited in a queue nobody told of looks slow; one whose work was kept
	// from an earlier call looks quick; a tenth is past the second kind, which is rare.
	// With a quarter, a burst doubled the learned cost of a prompt and moved two engines
	// of fourteen to prefill that nobody needed there.
	quick = 0.1
	// fewestTimed is the number of calls from which on a speed is known: one of them then
	// is quick even where most wait.
	fewestTimed = 12
)

// Speed learns how long an engine takes for one unit of work, from calls of which some
// waited in a queue. The zero value knows nothing. It is not safe for concurrent use.
//
// Load pattern: bursts, in which most calls wait for the ones before. Their mean would
// take the engine for slow because it is busy, and move others to help it that help
// nobody.
type Speed struct{ calls distribution }

// Add takes a call's time for one unit of work.
func (s *Speed) Add(now time.Time, perUnit time.Duration) {
	if perUnit <= 0 {
		return
	}
	if s.lapsed(now) {
		*s = Speed{}
	}
	s.calls.add(now, perUnit.Seconds()/time.Microsecond.Seconds())
}

func (s *Speed) lapsed(now time.Time) bool {
	return s.calls.samples > 0 && now.Sub(s.calls.at) >= life
}

// Value returns the time for one unit, or false while too few calls are known or the
// last one is too old.
func (s *Speed) Value(now time.Time) (time.Duration, bool) {
	if s.calls.samples < fewestTimed || s.lapsed(now) {
		return 0, false
	}
	return time.Duration(s.calls.quantile(quick) * float64(time.Microsecond)), true
}

// Samples returns how many calls the speed rests on, and the time of the last one.
func (s *Speed) Samples() (int, time.Time) { return s.calls.samples, s.calls.at }

// Lapses returns when the speed lapses without a further call; zero when it has none.
func (s *Speed) Lapses() time.Time {
	if s.calls.samples == 0 {
		return time.Time{}
	}
	return s.calls.at.Add(life)
}
