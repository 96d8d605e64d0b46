package loadgen

import (
	"math/rand/v2"
	"time"
)

// arrivals generates the arrival times of a Poisson process: the gaps between them are
// independent and exponentially distributed. It is not safe for concurrent use.
type arrivals struct {
	rate float64 // mean arrivals per second
	rng  *rand.Rand
	last time.Duration // latest arrival, relative to the start of the run
}

// newArrivals returns a process with a mean of rate arrivals per second, drawn from rng.
func newArrivals(rate float64, rng *rand.Rand) *arrivals {
	return &arrivals{rate: rate, rng: rng}
}

// Next returns the next arrival time, relative to the start of the run.
func (a *arrivals) Next() time.Duration {
	gap := a.rng.ExpFloat64() / a.rate
	a.last += time.Duration(gap * float64(time.Second))
	return a.last
}
