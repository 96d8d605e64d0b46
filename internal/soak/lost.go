package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// excuse is a period in which answers may end early: those of a daemon that is killed, or of an upstream
// that loses them. Without either, it holds for all answers.
type excuse struct {
	from, to time.Time
	daemon   *daemon
	upstream string
	service  string // requests of all its upstreams, also those not received
	unread   bool   // only requests that no upstream has received
}

// excusingActions are the actions that may end answers of their target early. Silence, planned work and
// outages of the store may not. Stalls and unanswered requests excuse since they may prolong a silence.
var excusingActions = []action{
	actKill, actReset, actLoseResponses, actCutStreams, actUnresponsive, actStall, actStallResponses, actUnframed, actUnframedCrash, actRepeat, actRepeatLate, actCutAnswers, actUpgrade, actLink, actPause,
	actEndlessLine, actEndlessAnswer, actSlowError,
}

// addExcuse adds the excuse for a fault that began at a time and has ended, if there is any.
func (r *run) addExcuse(f fault, from time.Time) {
	if !slices.Contains(excusingActions, f.action) {
		return
	}
	e := excuse{from: from, to: time.Now()}
	switch f.action {
	case actKill, actLink, actPause:
		e.unread = f.action == actPause
		if !r.hasLinks() || e.unread { // with links, daemons carry connections for each other
			e.daemon = r.daemons[f.target]
		}
	case actReset, actUpgrade: // connections end whose requests the upstream may not have read
		u, _ := r.upstream(f.target)
		e.service = u.Service
	default:
		u, _ := r.upstream(f.target)
		e.upstream = u.Name
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excuses = append(r.excuses, e)
}

// isExcused reports whether a request that the named upstreams received met an excuse.
func (r *run) isExcused(sent sentRequest, upstreams []string) bool {
	return slices.ContainsFunc(r.excuses, func(e excuse) bool {
		switch {
		case e.to.Before(sent.sentAt) || e.from.After(sent.endedAt):
			return false
		case e.upstream != "":
			return slices.Contains(upstreams, e.upstream)
		case e.service != "":
			return e.service == serviceOf(sent.path)
		case e.unread && len(upstreams) > 0:
			return false
		default:
			return e.daemon == nil || e.daemon == sent.daemon
		}
	})
}

// minAcknowledged is the time after which a request that was sent whole has been read.
const minAcknowledged = 200 * time.Millisecond

// lost describes how a request that a daemon has read ended without a complete answer or a refusal; it
// is empty if it did not. read is set if it is known that a daemon has read the request.
func (s sentRequest) lost(read bool) string {
	switch {
	case s.complete || s.left || !read:
		return ""
	case s.status == 0:
		return "neither an answer nor a refusal"
	case s.status == http.StatusOK:
		return "the answer was cut"
	case s.status >= http.StatusInternalServerError && s.status != http.StatusServiceUnavailable:
		return fmt.Sprintf("status %d", s.status)
	default:
		return ""
	}
}

// expired reports whether a daemon ended the request at its deadline.
func (s sentRequest) expired() bool { return s.status != 0 && s.endedAt.Sub(s.sentAt) >= s.timeout }

// checkLost checks that each request that a daemon has read whole was answered whole or refused, unless
// something other than silence disturbed the daemon or an upstream of the request.
func (r *run) checkLost() {
	upstreams := map[string][]string{}
	for _, u := range append(r.upstreams(), r.replaced...) {
		for _, arrival := range u.Requests() {
			upstreams[arrival.ID] = append(upstreams[arrival.ID], u.Name)
		}
	}
	for _, sent := range r.requests {
		received := upstreams[sent.id]
		// With Options.Skew, daemons close connections unread, late if the machine is busy.
		acknowledged := !r.options.Skew && !sent.writtenAt.IsZero() && sent.endedAt.Sub(sent.writtenAt) >= minAcknowledged
		how := sent.lost(acknowledged || len(received) > 0)
		if how == "" || sent.expired() || r.isExcused(sent, received) {
			continue
		}
		r.addViolation("%s %s of daemon %d, sent at %.2f s, ended at %.2f s: %s (%s), received by %v",
			sent.id, sent.path, sent.daemon.index, sent.sentAt.Sub(r.startedAt).Seconds(), sent.endedAt.Sub(r.startedAt).Seconds(), how, sent.problem, received)
	}
}
