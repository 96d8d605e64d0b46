package watch

import (
	"math/rand/v2"
	"time"
)

// checkpointSchedule decides when this daemon appends a checkpoint to the log. One
// checkpoint is enough for all daemons. So when one is due, each daemon waits for a
// random time, and the others stop waiting when they read the first one's
// checkpoint.
//
// Without checkpoints, retention would drop the records that the version in force
// is built from. Daemons that start afterwards would find no base, and stay
// unready with "gap" verdicts. The start of the log counts as a checkpoint whose
// Through offset is 0.
type checkpointSchedule struct {
	period time.Duration
	rng    *rand.Rand
	// through is the highest Through offset of the valid checkpoints read so far, and
	// writtenAt the time at which that checkpoint was written.
	through   uint64
	writtenAt time.Time
	// due is when this daemon appends a checkpoint; zero while none is needed.
	due time.Time
}

// jitterDivisor sets the random delay of an append: up to period/jitterDivisor.
// isDue also divides the period by it while the log holds an unverifiable record.
const jitterDivisor = 4

func newCheckpointSchedule(now time.Time, period time.Duration, rng *rand.Rand) *checkpointSchedule {
	return &checkpointSchedule{period: period, rng: rng, writtenAt: now}
}

// observe records a checkpoint on the log that agrees with this daemon's chain.
// written is the time by the log's clock; a time in the future counts as now.
func (r *checkpointSchedule) observe(now time.Time, through uint64, written time.Time) {
	if written.After(now) {
		written = now
	}
	if through < r.through || through == r.through && written.Before(r.writtenAt) {
		return
	}
	r.through = through
	r.writtenAt = written
	r.due = time.Time{}
}

// isDue reports whether to append a checkpoint now. One is needed when the last
// checkpoint is older than the period, or when its Through offset is below oldest,
// the oldest offset that the log retains: a daemon that starts now could not use it.
//
// unverifiedEnd is the offset after the last record that a starting daemon cannot
// verify. A checkpoint whose Through offset is below it cannot be used either. But
// anybody who can append to the log can add such records at any rate, so in this
// case the period is only shortened.
func (r *checkpointSchedule) isDue(now time.Time, oldest, unverifiedEnd uint64) bool {
	maxAge := r.period
	if r.through < unverifiedEnd {
		maxAge /= jitterDivisor
	}
	if r.through >= oldest && now.Sub(r.writtenAt) < maxAge {
		r.due = time.Time{}
		return false
	}
	if r.due.IsZero() {
		r.due = now.Add(time.Duration(r.rng.Int64N(int64(r.period/jitterDivisor) + 1)))
	}
	return !now.Before(r.due)
}

// appendStarted schedules the next attempt. If the append that was just started
// takes effect, this daemon reads the checkpoint from the log and cancels the
// attempt.
func (r *checkpointSchedule) appendStarted(now time.Time) {
	spread := r.period / jitterDivisor
	r.due = now.Add(spread + time.Duration(r.rng.Int64N(int64(spread)+1)))
}
