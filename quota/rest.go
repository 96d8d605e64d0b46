package quota

import "time"

// leastRest is the least time for which nobody is asked again.
const leastRest = 100 * time.Millisecond

// Rest is for how long nobody is asked again for units of an account of which all that were
// asked had too little. Its zero value is no rest.
//
// Load pattern: dozens of requests a second that nobody can lend for, and now and then one
// that goes before them.
type Rest struct {
	until time.Time
	units float64
	rank  int
}

// Set begins a rest after a request for units was lent nothing. rank is lower for what goes
// first; wait is when those that were asked will have more, and most bounds the rest.
func (r *Rest) Set(now time.Time, units float64, rank int, wait, most time.Duration) {
	*r = Rest{until: now.Add(max(leastRest, min(wait, most))), units: units, rank: rank}
}

// Holds says whether asking for a request is of no use now.
//
// What goes wrong without the rank: a less urgent request, which is lent nothing of what is
// left for more urgent ones, keeps those from asking too, and they are refused beside it.
func (r *Rest) Holds(now time.Time, units float64, rank int) bool {
	return now.Before(r.until) && units >= r.units && rank >= r.rank
}
