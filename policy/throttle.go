package policy

import (
	"sync"
	"time"
)

const (
	// outcomeWindow is the length of the sliding window of call outcomes, in windowSlots slots.
	// It allows for calls that run until their timeout and for the outcomes of other daemons'
	// calls, which arrive a second later.
	outcomeWindow = 2 * time.Second
	windowSlots   = 8
	// minOutcomes is the number of outcomes in the window needed to reduce the share. If one in
	// four calls is abandoned by chance, half of eight consecutive calls rarely are.
	minOutcomes = 8
	// The share is reduced when the ratio of abandoned calls is over highLossRatio, and raised
	// when it is at most lowLossRatio. In a pool near its capacity, with calls arriving at
	// random, a fifth of the calls are abandoned, and briefly more in a burst that the pool can
	// absorb. In a pool far over its capacity all of them are.
	highLossRatio = 0.5
	lowLossRatio  = 0.2
	// decreaseInterval is the minimum time between two reductions of the share, because the
	// effect of the first one shows only after that time. A reduction multiplies the share by
	// the sum 1 + lowLossRatio less the ratio of abandoned calls, but by no less than
	// maxDecreaseFactor. Every increaseInterval the share may be multiplied by increaseFactor,
	// to which increaseAcceleration is added for each second since the last reduction, because
	// the overload may be over. In a simulation of a pool as described at Throttle, at one to
	// four times its capacity, 0.46 to 0.39 of the capacity does useful work. The best fixed
	// share for each load gives 0.53, and no throttling 0.44 to 0.00.
	decreaseInterval     = 1500 * time.Millisecond
	maxDecreaseFactor    = 0.5
	increaseFactor       = 1.04
	increaseInterval     = 500 * time.Millisecond
	increaseAcceleration = 0.012
	// minAdmitShare lets some calls through, so that the end of an overload can be detected.
	minAdmitShare = 0.05
)

// Throttle limits the share of requests that may start a call to a pool that may be
// overloaded, based on the outcomes of recent calls. It is safe for concurrent use.
//
// It is made for engines that share their time among all calls, where each call is abandoned
// after a fixed timeout. At twice their capacity every call exceeds the timeout: the engines
// are always busy and none of their results are used. With 22 engines that prefill 9 tokens a
// millisecond and twice as many prompts as they can process, only 278 of the 3,540 prompts
// that were prefilled were used.
//
// As in congestion control, the share decreases multiplicatively while calls are abandoned
// and grows slowly otherwise, so that the calls that are started complete. The speed of the
// engines need not be known. A request that may not start a call is refused at once.
type Throttle struct {
	mu           sync.Mutex
	share        float64 // 0 until the first outcome
	window       [windowSlots]outcomeCounts
	lastDecrease time.Time // time of the last reduction of share
	lastIncrease time.Time
	newestSlot   int64 // number of the latest slot, counted from the Unix epoch
}

// outcomeCounts counts the outcomes of the calls that ended in one slot of the window.
type outcomeCounts struct{ completed, abandoned int }

// RecordOutcome records the outcome of a call; abandoned is set if it was given up at its timeout.
func (t *Throttle) RecordOutcome(now time.Time, abandoned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireSlots(now)
	slot := &t.window[t.newestSlot%windowSlots]
	if abandoned {
		slot.abandoned++
	} else {
		slot.completed++
	}
	t.adjustShare(now)
}

// expireSlots clears the slots that have left the window.
func (t *Throttle) expireSlots(now time.Time) {
	number := now.UnixNano() / int64(outcomeWindow/windowSlots)
	for n := max(t.newestSlot+1, number-windowSlots+1); n <= number; n++ {
		t.window[n%windowSlots] = outcomeCounts{}
	}
	t.newestSlot = max(t.newestSlot, number)
}

// adjustShare raises or reduces the share by the outcomes in the window.
func (t *Throttle) adjustShare(now time.Time) {
	if t.share == 0 {
		t.share = 1
	}
	var sum outcomeCounts
	for _, s := range t.window {
		sum.completed, sum.abandoned = sum.completed+s.completed, sum.abandoned+s.abandoned
	}
	total := sum.completed + sum.abandoned
	lossRatio := float64(sum.abandoned) / float64(max(1, total))
	switch {
	case total >= minOutcomes && lossRatio > highLossRatio && now.Sub(t.lastDecrease) >= decreaseInterval:
		t.share = max(minAdmitShare, t.share*max(maxDecreaseFactor, 1+lowLossRatio-lossRatio))
		t.lastDecrease, t.lastIncrease = now, now
	case lossRatio <= lowLossRatio && now.Sub(t.lastIncrease) >= increaseInterval:
		t.share = min(1, t.share*(increaseFactor+increaseAcceleration*now.Sub(t.lastDecrease).Seconds()))
		t.lastIncrease = now
	}
}

// Admit reports whether a request may start its call. draw is a uniform random number from
// 0 to 1.
func (t *Throttle) Admit(now time.Time, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireSlots(now)
	if t.share == 0 {
		return true
	}
	t.adjustShare(now)
	return draw < t.share
}

// Share returns the share of requests that may start a call, from minAdmitShare to 1.
func (t *Throttle) Share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share == 0 {
		return 1
	}
	return t.share
}
