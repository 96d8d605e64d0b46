package estimate

import (
	"sync"
	"time"
)

// The weights of a new sample in the mean and in the deviation, and the number of deviations above
// the mean at which a reply counts as lost, as for the retransmission timer of TCP (RFC 6298).
const (
	roundTripMeanWeight      = 1.0 / 8
	roundTripDeviationWeight = 1.0 / 4
	roundTripDeviations      = 4
)

// roundTripTTL is how long an estimate is used after its last sample.
const roundTripTTL = 10 * time.Second

// RoundTrip estimates from recent replies how long the next one may take. The zero value has no
// samples. It is safe for concurrent use.
//
// Load pattern: instances that are short of processor time for a while, so that replies of sound
// upstreams take longer than a fixed timeout allows.
type RoundTrip struct {
	mu              sync.Mutex
	mean, deviation time.Duration
	at              time.Time // of the last sample; zero if there is none
}

// Add records the time that a reply took.
func (r *RoundTrip) Add(now time.Time, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(now) {
		r.mean, r.deviation = took, took/2
	} else {
		r.deviation += time.Duration(roundTripDeviationWeight * float64((took-r.mean).Abs()-r.deviation))
		r.mean += time.Duration(roundTripMeanWeight * float64(took-r.mean))
	}
	r.at = now
}

// Timeout returns the time after which a reply probably does not come any more; 0 if there are no
// recent samples.
func (r *RoundTrip) Timeout(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(now) {
		return 0
	}
	return r.mean + roundTripDeviations*r.deviation
}

func (r *RoundTrip) stale(now time.Time) bool { return r.at.IsZero() || now.Sub(r.at) >= roundTripTTL }
