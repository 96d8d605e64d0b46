package board

import "time"

const (
	// minUnanswered is the number of upstreams of a data centre that must have failed
	// to answer for the data centre to be considered unreachable. A single one may have
	// crashed.
	minUnanswered = 2
	// noAnswerWindow is the time without an answer from any upstream of a data centre
	// that is needed for the data centre to be considered unreachable. It is about the
	// timeout of a call that needs an immediate answer. So an answer within the window
	// came after the unanswered call had started, and shows that the data centre is
	// reachable.
	noAnswerWindow = 150 * time.Millisecond
	// unansweredWindow is how long an unanswered call counts. An older one may be due
	// to a crash and says nothing about the network now. The window is a few times as
	// long as a busy daemon takes to call two upstreams of the same data centre.
	unansweredWindow = 2 * time.Second
)

// RecordUnanswered records that an upstream did not answer a call that needs an immediate
// answer: a connection could not be opened, or a reservation got no reply. With
// Config.EjectUnanswered, a single such failure ejects the upstream. hostReached says
// that the upstream's host refused the connection, which shows that the host is
// reachable. A call that began on trial, before the end of an ejection, does not eject.
//
// Without EjectUnanswered, when a data centre becomes unreachable, each request tries
// its upstreams one after the other and waits for a timeout each time. All requests are
// then late for seconds although the upstreams of the daemon's own data centre are
// idle.
func (b *Board) RecordUnanswered(now time.Time, upstream string, hostReached bool) {
	e := b.entries[upstream]
	if e == nil {
		return
	}
	if hostReached {
		b.markReachable(now, e)
	} else {
		e.unansweredAt = now
	}
	b.setRefused(now, e, hostReached)
	if !hostReached && now.Sub(e.health.ejectedUntil) < noAnswerWindow {
		return // the call began during the ejection
	}
	if b.cfg.EjectUnanswered && !e.health.ejected(now) {
		e.health.failures = b.cfg.FailureThreshold - 1
	}
	if e.health.recordFailure(now, b.cfg) {
		b.markChanged(e, true)
		b.ejectDataCentre(now, e)
	}
}

// RecordAnswered records that an upstream has answered a call, whether it accepted or
// refused it.
func (b *Board) RecordAnswered(now time.Time, upstream string) {
	if e := b.entries[upstream]; e != nil {
		b.markAnswered(now, e)
	}
}

// markAnswered records an answer of an upstream, whatever its contents.
func (b *Board) markAnswered(now time.Time, e *entry) {
	b.endSilence(now, e)
	b.markReachable(now, e)
}

// markReachable records that the host of an upstream responded. If its data centre was
// considered unreachable, it is reachable again, and the upstreams that were ejected
// only for that reason may take requests again.
func (b *Board) markReachable(now time.Time, e *entry) {
	e.unansweredAt, e.answeredAt = time.Time{}, now
	if !b.unreachableDCs[e.spec.DataCentre] {
		return
	}
	delete(b.unreachableDCs, e.spec.DataCentre)
	for _, o := range b.entries {
		if o.ejectedWithDC && o.spec.DataCentre == e.spec.DataCentre {
			o.ejectedWithDC = false
			o.health.endEjection(now)
			b.markChanged(o, true)
		}
	}
}

// ejectDataCentre ejects all upstreams of e's data centre until the end of e's ejection
// if the data centre is considered unreachable. Otherwise each of them would cost one
// more request its timeout.
//
// The check for recent answers in dataCentreUnreachable is needed for crashes across
// the fleet. If a quarter of the engines crash, a few in each data centre, every
// upstream of the fleet, including plain services, would be ejected without it, and
// callers would get no-upstream errors although most replicas work.
func (b *Board) ejectDataCentre(now time.Time, e *entry) {
	dc := e.spec.DataCentre
	if !b.cfg.EjectUnanswered || dc == b.cfg.DataCentre || !b.dataCentreUnreachable(now, dc) {
		return
	}
	b.unreachableDCs[dc] = true
	for _, o := range b.entries {
		if o.spec.DataCentre == dc && o.health.ejectedUntil.Before(e.health.ejectedUntil) {
			o.ejectedWithDC = true
			o.health.eject(now, e.health.ejectedUntil)
			b.markChanged(o, true)
		}
	}
}

// dataCentreUnreachable reports whether a data centre is considered unreachable: at
// least minUnanswered of its upstreams have recently failed to answer, and none has
// answered within noAnswerWindow.
func (b *Board) dataCentreUnreachable(now time.Time, dc string) bool {
	unanswered := 0
	for _, o := range b.entries {
		if o.spec.DataCentre != dc {
			continue
		}
		if !o.unansweredAt.IsZero() && now.Sub(o.unansweredAt) < unansweredWindow {
			unanswered++
		}
		if !o.answeredAt.IsZero() && now.Sub(o.answeredAt) < noAnswerWindow {
			return false
		}
	}
	return unanswered >= minUnanswered
}
