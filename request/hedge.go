package request

import "time"

// hedgeInterval is the time after which a call that found no other replica seeks one again.
const hedgeInterval = 250 * time.Millisecond

// hedge decides when a call to a plain service is sent to another replica while the earlier ones
// are silent. It reads no clock.
//
// A silent replica may be lost, or may answer in a moment; nothing tells which. The call therefore
// stays in progress there until another replica has answered, as the other one may fail, and may
// not be found at all.
type hedge struct {
	// silence is how long the latest replica may be silent until another one is sought; 0 means that
	// none is sought.
	silence time.Duration
	// maxAttempts bounds the dispatches, and maxSends those that were not refused; 0 means no bound.
	maxAttempts, maxSends int
	seekAt                time.Time
}

// sent records that the call was sent to one more replica.
func (h *hedge) sent(now time.Time) { h.seekAt = now.Add(h.silence) }

// lost records that the replica that was sent to last failed.
func (h *hedge) lost(now time.Time) { h.seekAt = now }

// notFound records that no other replica was found.
func (h *hedge) notFound(now time.Time) { h.seekAt = now.Add(hedgeInterval) }

// allowed reports whether another dispatch is allowed after the given numbers of attempts, of
// dispatches that ended without a refusal, and of dispatches in progress.
func (h *hedge) allowed(attempts, ended, inProgress int) bool {
	return attempts < h.maxAttempts && (h.maxSends == 0 || ended+inProgress < h.maxSends)
}

// wait returns the time until another replica is sought; ok is false if none is.
func (h *hedge) wait(now time.Time, attempts, ended, inProgress int) (d time.Duration, ok bool) {
	if h.silence <= 0 || !h.allowed(attempts, ended, inProgress) {
		return 0, false
	}
	return max(0, h.seekAt.Sub(now)), true
}

// overdue reports whether a replica has been silent for so long that another one was sought.
func (h *hedge) overdue(silent time.Duration) bool { return h.silence > 0 && silent >= h.silence }
