package watch

import "time"

const (
	// frozenAfter is the gap between two ticks from which on this process counts
	// as having been stopped: its view is then as old as the gap.
	frozenAfter = 2 * time.Second
	// giveUpAfter is how long a daemon with a version in force stays unready
	// while neither the log nor a peer answers. After it, it serves what it has.
	giveUpAfter = 5 * time.Second
)

// readiness decides whether the version in force is the highest that the log
// or the peers can show. It starts unready, stays ready once confirmed, and
// starts over when the process was frozen.
//
// A call that was sent before the freeze proves nothing: its answer may be as
// old as the freeze. So each answer comes with the time its call began.
type readiness struct {
	since     time.Time // of the start or the last thaw
	lastTick  time.Time
	confirmed bool
	logDown   bool // the last read failed
	atEnd     bool // the log was read to its end since then
}

func newReadiness(now time.Time) *readiness {
	return &readiness{since: now, lastTick: now}
}

// tick reports whether the process was frozen since the last tick.
func (r *readiness) tick(now time.Time) bool {
	frozen := now.Sub(r.lastTick) > frozenAfter
	r.lastTick = now
	if frozen {
		r.since = now
		r.confirmed = false
		r.atEnd = false
	}
	return frozen
}

// logRead tells of a read that began at a time. shown says whether the log, as
// read so far, shows the version in force; behind whether a peer told of a higher one.
func (r *readiness) logRead(began time.Time, failed, atEnd, shown, behind bool) {
	r.logDown = failed
	if failed || !atEnd || began.Before(r.since) {
		return
	}
	r.atEnd = true
	r.confirmed = r.confirmed || shown && !behind
}

// peerAnswered tells of a peer's answer to a call that began at a time, after
// its records were taken. It counts when the log cannot say. It does not count
// while the log holds a record that this daemon's keys cannot judge: a peer that
// started with the same keys knows no more, and a version that is long replaced
// would be served. A peer that does know gives its place on the log, which is a base.
func (r *readiness) peerAnswered(began time.Time, based, behind, doubts bool) {
	if began.Before(r.since) || behind {
		return
	}
	logSilent := r.logDown || r.atEnd && !based && !doubts
	r.confirmed = r.confirmed || logSilent
}

// settle confirms a version that neither the log nor a peer could be asked
// about for a while: a data centre cut off from both goes on serving.
func (r *readiness) settle(now time.Time, behind bool) {
	if r.logDown && !behind && now.Sub(r.since) >= giveUpAfter {
		r.confirmed = true
	}
}
