package board

import (
	"slices"
	"time"
)

// sharedSilence is the time before an answer within which an ejection counts as of the
// same silence. It is longer than a sound upstream may be silent.
const sharedSilence = 3 * time.Second

// endSilence records that e answers, and ends the ejections that this shows to be
// needless.
func (b *Board) endSilence(now time.Time, e *entry) {
	b.setRefused(now, e, false)
	if !e.health.ejected(now) || !e.silent() {
		return
	}
	for _, o := range b.silentWith(now, e) {
		o.health.endEjection(now)
		b.markChanged(o, true)
	}
}

// setRefused records whether the upstream's host refused the last connection.
func (b *Board) setRefused(now time.Time, e *entry, refused bool) {
	if e.refused != refused {
		e.refused = refused
		b.markChanged(e, e.health.ejected(now))
	}
}

// silentWith returns the ejected upstreams that may take requests again because e, one of
// them, answers: e and those that are taken to have been silent for the same reason.
// There are none while another upstream of the same pool and software version takes
// requests, because e may answer only some of its calls.
//
// If e alone returned, it would get the requests of its whole pool until the ejections of
// the others end.
func (b *Board) silentWith(now time.Time, e *entry) []*entry {
	members := b.pools[e.spec.Pool].members
	anyVersion := func(*entry) bool { return true }
	sameVersion := func(o *entry) bool { return o.spec.Version == e.spec.Version }
	for _, matches := range []func(*entry) bool{anyVersion, sameVersion} {
		if slices.ContainsFunc(members, func(o *entry) bool { return matches(o) && o.takesRequests(now) }) {
			continue
		}
		list := []*entry{e}
		for _, o := range members {
			if o != e && matches(o) && o.health.ejected(now) && b.sameSilence(now, o, e) {
				list = append(list, o)
			}
		}
		return list
	}
	return nil
}

// sameSilence reports whether o is taken to have been silent for the same reason as e: it
// was ejected shortly before, and its data centre is not considered unreachable.
func (b *Board) sameSilence(now time.Time, o, e *entry) bool {
	reachable := o.spec.DataCentre == e.spec.DataCentre || !b.unreachableDCs[o.spec.DataCentre]
	return o.silent() && reachable && now.Sub(o.health.ejectedAt) < sharedSilence
}

// silent reports whether an ejected upstream may only have been silent for a moment.
func (e *entry) silent() bool { return e.health.silent && !e.refused }

// takesRequests reports whether the upstream gets requests that are not on trial.
func (e *entry) takesRequests(now time.Time) bool {
	return e.serving() && !e.health.ejected(now)
}
