package relay

import "time"

// Timing holds the durations that control how long reads wait and how long their results
// count as fresh. All of them derive from the propagation bound, the time within which a
// change in the store must be in force on all daemons.
type Timing struct {
	// AnswerWithin is how long a reader waits for new records before it answers a call, and
	// Slack how much longer its answer may take. A shorter AnswerWithin costs more messages,
	// each of which takes about 50 µs of CPU time on both sides; a longer one delays the
	// detection of an unreachable reader.
	AnswerWithin, Slack time.Duration
	// MaxAge is the age at which a reader's data becomes stale. The follower of a
	// partitioned reader then has half of the propagation bound left to ask another daemon.
	MaxAge time.Duration
	// Hold is the longest wait at the store for a read of the upstreams feed by a daemon
	// with followers, and ConfigHold the same for the configuration feed. Even if an answer
	// is lost, the timeout and one retry fit in the propagation bound.
	Hold, ConfigHold time.Duration
	// Gather is the pause before the next read after a read that returned records, so that
	// the records of many upstreams that register or drain together are read in few calls.
	// SharedGather is that pause for a daemon with followers.
	Gather, SharedGather time.Duration
}

// answerWithin returns how long the peer of a step may wait for new records. A substitute for the store
// answers sooner: its data is older than the store's, and must not become stale here between two answers.
func (t Timing) answerWithin(step Step) time.Duration {
	if step.Substitute {
		return t.AnswerWithin / 3
	}
	return t.AnswerWithin
}

// The durations as fractions of the propagation bound. Hold and SharedGather together stay
// below MaxAge, so that a healthy reader never counts as partitioned.
const (
	answerFraction       = 0.25
	maxAgeFraction       = 0.5
	holdFraction         = 0.3
	configHoldFraction   = 0.4
	gatherFraction       = 0.25
	sharedGatherFraction = 0.1
	// minBound is the smallest propagation bound used. With a smaller one, the short waits
	// would only add calls: a read and its way to a follower take some milliseconds, or 0.3 s
	// with a slow store.
	minBound = 2 * time.Second
	// answerSlack is how much longer than its wait a reader's answer may take. A reader
	// that is limited to a fifth of a core is sometimes this late.
	answerSlack = 250 * time.Millisecond
)

// TimingFor returns the durations for a propagation bound, which is raised to minBound if it
// is smaller.
func TimingFor(bound time.Duration) Timing {
	bound = max(bound, minBound)
	fraction := func(p float64) time.Duration { return time.Duration(p * float64(bound)) }
	return Timing{
		AnswerWithin: fraction(answerFraction),
		Slack:        answerSlack,
		MaxAge:       fraction(maxAgeFraction),
		Hold:         fraction(holdFraction),
		ConfigHold:   fraction(configHoldFraction),
		Gather:       fraction(gatherFraction),
		SharedGather: fraction(sharedGatherFraction),
	}
}
