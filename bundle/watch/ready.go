package watch

import "time"

const (
	// freezeThreshold is the gap between two ticks above which the process is assumed
	// to have been frozen, that is suspended. Its state is then as old as the gap.
	freezeThreshold = 2 * time.Second
	// unreachableTimeout is how long a daemon with a version in force stays unready
	// while neither the log nor a peer responds. After that, it uses this version.
	unreachableTimeout = 5 * time.Second
)

// readiness decides whether the version in force is confirmed as current: no
// higher version can be learned from the log or the peers. It starts unconfirmed.
// Once confirmed, it stays so until the process is found to have been frozen.
//
// A response to a call that was sent before the freeze may be as old as the
// freeze and confirms nothing. So every response is passed with the time at which
// its call was started.
type readiness struct {
	startedAt  time.Time // start of the process, or the detection of the last freeze
	lastTick   time.Time
	confirmed  bool
	readFailed bool // whether the last read of the log failed
	readToEnd  bool // whether a read that began after startedAt reached the end of the log
}

func newReadiness(now time.Time) *readiness {
	return &readiness{startedAt: now, lastTick: now}
}

// tick reports whether the process was frozen since the last tick.
func (r *readiness) tick(now time.Time) bool {
	frozen := now.Sub(r.lastTick) > freezeThreshold
	r.lastTick = now
	if frozen {
		r.startedAt = now
		r.confirmed = false
		r.readToEnd = false
	}
	return frozen
}

// handleRead processes a read of the log that was started at began. caughtUp is set
// if the log as read so far yields the version in force, and peerAhead if a peer
// announced a higher version.
func (r *readiness) handleRead(began time.Time, failed, atEnd, caughtUp, peerAhead bool) {
	r.readFailed = failed
	if failed || !atEnd || began.Before(r.startedAt) {
		return
	}
	r.readToEnd = true
	r.confirmed = r.confirmed || caughtUp && !peerAhead
}

// handlePeerResponse processes a peer's response, whose records have been offered
// to the chain, to a call that was started at began. The response confirms the
// version in force if the log is unreachable, or if it was read to its end but
// provides no base.
//
// In the second case, untrustedRecord is set if the base is missing because of a
// record that this daemon's keys cannot verify. Then the response confirms
// nothing: a peer that started with the same keys has the same outdated version.
// A peer that can evaluate the log sends its position, which becomes the base.
func (r *readiness) handlePeerResponse(began time.Time, based, peerAhead, untrustedRecord bool) {
	if began.Before(r.startedAt) || peerAhead {
		return
	}
	logInconclusive := r.readFailed || r.readToEnd && !based && !untrustedRecord
	r.confirmed = r.confirmed || logInconclusive
}

// confirmOnTimeout confirms the version in force after unreachableTimeout without a
// response from the log or a peer, unless a peer announced a higher version. This
// lets a data centre that is cut off from the log and from its peers continue to
// work.
func (r *readiness) confirmOnTimeout(now time.Time, peerAhead bool) {
	if r.readFailed && !peerAhead && now.Sub(r.startedAt) >= unreachableTimeout {
		r.confirmed = true
	}
}
