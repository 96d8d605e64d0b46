package policy

import (
	"sync"
	"time"
)

const (
	// outcomeTime is how long the outcome of a call counts, in outcomeSlots slots. Calls of
	// which nobody uses the result take up to their bound, and news of those of other
	// daemons comes a second later.
	outcomeTime  = 2 * time.Second
	outcomeSlots = 8
	// fewestOutcomes is the number of outcomes from which on they say something: with one
	// in four lost by chance, eight in a row that are half lost are rare.
	fewestOutcomes = 8
	// lostMost is the part of lost calls from which on fewer are begun, and lostFew the one
	// up to which more are. A pool near its limit that is shared by chance loses a fifth, and
	// a burst that it bears more for a moment; one that is far over its limit loses all.
	lostMost = 0.5
	lostFew  = 0.2
	// throttleStep is the least time between two changes of the share: what the last one did
	// shows only then. Each takes away up to half. Every growthStep it grows by a part, by
	// speedUp more for each second since it fell: the overload may be over. In a model of
	// such a pool 0.46 to 0.39 of what the engines could do is used at one to four times
	// their load, where the best fixed share of each gives 0.53 and none 0.44 to 0.00.
	throttleStep = 1500 * time.Millisecond
	backOff      = 0.5
	growth       = 1.04
	growthStep   = 500 * time.Millisecond
	speedUp      = 0.012
	// leastShare keeps some calls going, by which the end of the overload is noticed.
	leastShare = 0.05
)

// Throttle decides which share of the requests may begin a call to a pool that may be
// overloaded, by what became of the calls of late. It is safe for concurrent use.
//
// Load pattern: engines that share their time among all calls, each of which is given up
// at a fixed bound. At twice the load that they can carry every call takes longer than
// the bound: they are busy all the time and nothing that they do is used. With 22 engines
// that read 9 tokens a ms before twice as many prompts, 278 of 3,540 prompts that were
// read were used.
//
// The grounds: as in congestion control, the share falls by a part while calls are lost
// and grows slowly else, so that those which are begun are of use. Nothing is assumed of
// the engines' speed. A request that may not begin is refused at once.
type Throttle struct {
	mu     sync.Mutex
	share  float64 // 0 until the first outcome
	slots  [outcomeSlots]outcomes
	step   time.Time // of the last fall
	grown  time.Time
	number int64 // of the slot that was written last
}

type outcomes struct{ used, lost int }

// Ended takes what became of a call: lost says that it was given up at its bound.
func (t *Throttle) Ended(now time.Time, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(now)
	slot := &t.slots[t.number%outcomeSlots]
	if lost {
		slot.lost++
	} else {
		slot.used++
	}
	t.settle(now)
}

// turn clears the slots whose time is over.
func (t *Throttle) turn(now time.Time) {
	number := now.UnixNano() / int64(outcomeTime/outcomeSlots)
	for n := max(t.number+1, number-outcomeSlots+1); n <= number; n++ {
		t.slots[n%outcomeSlots] = outcomes{}
	}
	t.number = max(t.number, number)
}

// settle changes the share by the outcomes of late.
func (t *Throttle) settle(now time.Time) {
	if t.share == 0 {
		t.share = 1
	}
	var sum outcomes
	for _, s := range t.slots {
		sum.used, sum.lost = sum.used+s.used, sum.lost+s.lost
	}
	all := sum.used + sum.lost
	lost := float64(sum.lost) / float64(max(1, all))
	switch {
	case all >= fewestOutcomes && lost > lostMost && now.Sub(t.step) >= throttleStep:
		t.share = max(leastShare, t.share*max(backOff, 1+lostFew-lost))
		t.step, t.grown = now, now
	case lost <= lostFew && now.Sub(t.grown) >= growthStep:
		t.share = min(1, t.share*(growth+speedUp*now.Sub(t.step).Seconds()))
		t.grown = now
	}
}

// Admit says whether a request may begin its call; draw is uniform from 0 to 1.
func (t *Throttle) Admit(now time.Time, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(now)
	if t.share == 0 {
		return true
	}
	t.settle(now)
	return draw < t.share
}

// Share returns the share of requests that may begin.
func (t *Throttle) Share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share == 0 {
		return 1
	}
	return t.share
}
