package relay

import "time"

// Pace is how long readings are held, kept and believed. All of it follows from the
// bound within which a change of the store has to be in force everywhere.
type Pace struct {
	// AnswerWithin is how long a reader keeps a call for which there is nothing new, and
	// Slack how much longer its answer may take. Shorter costs frames, of which one takes
	// about 50 µs on each side; longer delays the discovery of a reader that is silent.
	AnswerWithin, Slack time.Duration
	// MaxAge is the age of a reader's last word from the store from which on its answers
	// count for nothing. A follower of a reader that is cut off then still has half of
	// the bound to ask another one.
	MaxAge time.Duration
	// Hold is how long a daemon that reads for others lets the store hold a reading of
	// upstreams, and ConfigHold of the configuration: with its time-out and a retry an
	// answer that was lost is made up for within the bound.
	Hold, ConfigHold time.Duration
	// Gather is how long records are gathered after some have come, so that those of
	// many upstreams that register or leave together come in few calls, and SharedGather
	// the same for a daemon that reads for others.
	Gather, SharedGather time.Duration
}

// The parts of the bound. Hold and SharedGather together stay under MaxAge, so that a
// reader that is well is never taken for one that is cut off.
const (
	answerPart       = 0.25
	maxAgePart       = 0.5
	holdPart         = 0.3
	configHoldPart   = 0.4
	gatherPart       = 0.25
	sharedGatherPart = 0.1
	// leastBound is the bound below which waits would only make calls: a reading and the
	// way to a follower take some milliseconds, a slow store 0.3 s.
	leastBound = 2 * time.Second
	// answerSlack is how much longer than the wait a reader's answer may take: a reader
	// on a fifth of a processor is at times this late.
	answerSlack = 250 * time.Millisecond
)

// PaceOf returns the pace for a bound.
func PaceOf(bound time.Duration) Pace {
	bound = max(bound, leastBound)
	part := func(p float64) time.Duration { return time.Duration(p * float64(bound)) }
	return Pace{
		AnswerWithin: part(answerPart),
		Slack:        answerSlack,
		MaxAge:       part(maxAgePart),
		Hold:         part(holdPart),
		ConfigHold:   part(configHoldPart),
		Gather:       part(gatherPart),
		SharedGather: part(sharedGatherPart),
	}
}
