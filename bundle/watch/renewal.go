package watch

import (
	"math/rand/v2"
	"time"
)

// renewal decides when this daemon appends a checkpoint. One on the log is
// enough for everybody, so each daemon waits a random time after the need
// arose; the first one's append shows up in the others' reads and ends it.
//
// Without it retention drops the records that the version in force is made
// of, and a daemon that starts then finds no base. One would notice daemons
// that stay unready with "gap" verdicts. The start of the log counts as a
// checkpoint through offset 0.
type renewal struct {
	every time.Duration
	rng   *rand.Rand
	// through is the offset that the last good checkpoint speaks from, and at when it was written.
	through uint64
	at      time.Time
	// due is when this daemon acts; zero while there is no need.
	due time.Time
}

// jitterShare is the part of the period over which daemons spread their appends.
const jitterShare = 4

func newRenewal(now time.Time, every time.Duration, rng *rand.Rand) *renewal {
	return &renewal{every: every, rng: rng, at: now}
}

// seen tells of a checkpoint on the log that agrees with this daemon's chain.
// written is the log's clock; a log that runs ahead counts as now.
func (r *renewal) seen(now time.Time, through uint64, written time.Time) {
	if written.After(now) {
		written = now
	}
	if through < r.through || through == r.through && written.Before(r.at) {
		return
	}
	r.through = through
	r.at = written
	r.due = time.Time{}
}

// check reports whether to append now. first is the oldest offset the log
// keeps: a checkpoint that speaks from below it is of no use to anybody new.
// The same holds for one from below doubt, the end of the last record that a
// new daemon cannot judge; but anybody may append such records at any rate, so
// the wait after the last checkpoint is only made shorter.
func (r *renewal) check(now time.Time, first, doubt uint64) bool {
	every := r.every
	if r.through < doubt {
		every /= jitterShare
	}
	if r.through >= first && now.Sub(r.at) < every {
		r.due = time.Time{}
		return false
	}
	if r.due.IsZero() {
		r.due = now.Add(time.Duration(r.rng.Int64N(int64(r.every/jitterShare) + 1)))
	}
	return !now.Before(r.due)
}

// tried waits before another append: reading the log will say whether this
// one took effect.
func (r *renewal) tried(now time.Time) {
	spread := r.every / jitterShare
	r.due = now.Add(spread + time.Duration(r.rng.Int64N(int64(spread)+1)))
}
