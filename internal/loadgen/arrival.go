package loadgen

import (
	"math/rand/v2"
	"time"
)

// arrivals is a Poisson process: independent, exponentially distributed gaps.
// It is not safe for concurrent use.
type arrivals struct {
	rate float64
	rng  *rand.Rand
	at   time.Duration
}

// newArrivals returns a process of rate arrivals a second, drawn from rng.
func newArrivals(rate float64, rng *rand.Rand) *arrivals {
	return &arrivals{rate: rate, rng: rng}
}

// Next returns the time of the next arrival since the start of the run.
func (a *arrivals) Next() time.Duration {
	gap := a.rng.ExpFloat64() / a.rate
	a.at += time.Duration(gap * float64(time.Second))
	return a.at
}
