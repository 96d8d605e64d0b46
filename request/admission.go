package request

import (
	"time"

	"github.com/corianderturn/corianderturn/admission"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
)

// Admission admits requests that wait for a decode slot in turns over all daemons. admission.Client
// implements all but Enabled. Implementations are safe for concurrent use and do not block.
type Admission interface {
	// Enabled reports whether the requests of a model are admitted in turns.
	Enabled(m bundle.Model) bool
	// Join adds a request to the queue of a pool; it returns nil if there is no coordinator now.
	Join(pool string, r admission.Request) *admission.Ticket
	// Contended reports whether requests of a rank or more urgent ones are known to wait.
	Contended(pool string, rank int) bool
	// ExpectedWait returns the time until a request of a rank is admitted; 0 if unknown.
	ExpectedWait(pool string, rank int) time.Duration
	// Released reports that a request has ended at an engine, where it held memory.
	Released(pool, engine string, tokens int)
}

// noAdmission leaves the order to this daemon's own queue.
type noAdmission struct{}

func (noAdmission) Enabled(bundle.Model) bool                        { return false }
func (noAdmission) Join(string, admission.Request) *admission.Ticket { return nil }
func (noAdmission) Contended(string, int) bool                       { return false }
func (noAdmission) ExpectedWait(string, int) time.Duration           { return 0 }
func (noAdmission) Released(string, string, int)                     {}

const (
	// maxTurnPlans is how many engines a request may ask in a turn that names none.
	maxTurnPlans = 2
	// maxTicketAge is the age at which a request that still waits joins again: coordinators drop older
	// entries.
	maxTicketAge = 4 * time.Second
	// unorderedTime is how long a request asks without turns after its coordinator was lost or did not
	// take it.
	unorderedTime = time.Second
)

// chooseInTurn asks the policy for the attempt's engines. If the pool's requests are admitted in turns
// and this one is to wait, it joins the queue; if there is no coordinator now, it waits as without
// turns.
func (d *driver) chooseInTurn(now time.Time, a Action, s *policy.Snapshot, p policy.Policy) (policy.Plan, *errkind.Error) {
	q := d.planQuery(now, a, s.Bundle)
	d.setAdmission(now, a, s.Bundle, &q)
	plan, err := d.chooseEngines(now, s, p, q)
	if q.Admission == policy.AdmissionOff {
		return plan, err
	}
	if waits := err == nil && plan.Wait > 0; !waits {
		if err != nil {
			d.endTurn()
		}
		return plan, err
	}
	d.endTurn()
	if d.ticket == nil && !d.join(s.Bundle, plan) {
		q.Admission = policy.AdmissionOff
		return d.chooseEngines(now, s, p, q)
	}
	if q.Admission == policy.AdmissionOpen {
		q.Admission = policy.AdmissionWaits
		return d.chooseEngines(now, s, p, q)
	}
	return plan, err
}

// setAdmission sets whether the request may ask for a slot. The first reservation is asked for as
// without turns, unless requests that precede this one are known to wait, and so is one for an
// attempt whose prefill result would expire in the queue. A request that is bound to a version, or
// that replaces a stalled call, does not wait for turns: few engines can take it.
func (d *driver) setAdmission(now time.Time, a Action, b *bundle.Bundle, q *policy.Query) {
	model := b.Models[d.c.Model]
	if now.Before(d.unorderedUntil) || model.PrefillPool == "" || q.Version != "" || d.m.stalled != nil || !d.r.o.Admission.Enabled(model) {
		return
	}
	rank := policy.QueueRank(b, d.c.Model, d.c.Class)
	q.ExpectedWait = d.r.o.Admission.ExpectedWait(model.DecodePool, rank)
	if d.ticket != nil && d.turn == nil && d.ticket.Age(now) >= maxTicketAge {
		d.ticket.Leave()
		d.ticket = nil
	}
	if d.turn != nil && (d.turn.Expired(now) || d.turnPlans >= d.plansPerTurn()) {
		d.endTurn()
	}
	switch {
	case d.turn != nil:
		d.turnPlans++
		q.Admission, q.Engine = policy.AdmissionTurn, d.turn.Engine
	case d.ticket != nil || a.RefusalStreak > 0:
		q.Admission = policy.AdmissionWaits
	case a.Reoffered.Name == "" && d.r.o.Admission.Contended(model.DecodePool, rank):
		q.Admission = policy.AdmissionWaits
	default:
		q.Admission = policy.AdmissionOpen
	}
}

// plansPerTurn returns how many engines the request may ask in its turn.
func (d *driver) plansPerTurn() int {
	if d.turn.Engine != "" {
		return 1
	}
	return maxTurnPlans
}

// join adds the request to the queue of all daemons. It is ordered by its caller's first try.
func (d *driver) join(b *bundle.Bundle, plan policy.Plan) bool {
	now := d.r.o.Now()
	left := d.c.Deadline.Sub(now)
	if plan.MayWait > 0 {
		left = min(left, plan.MayWait)
	}
	d.ticket = d.r.o.Admission.Join(b.Models[d.c.Model].DecodePool, admission.Request{
		Rank: policy.QueueRank(b, d.c.Model, d.c.Class), Tokens: d.reservedTokens(),
		Waited: now.Sub(d.c.Accepted) + d.c.PreviousWait, Left: max(left, time.Millisecond), InTime: plan.InTime,
	})
	return d.ticket != nil
}

// takeTurn handles a turn, or the loss of the coordinator if ok is false. Both make a request that
// waits ask for a slot.
func (d *driver) takeTurn(turn admission.GrantedTurn, ok bool) Event {
	switch {
	case !ok:
		d.ticket, d.turn, d.unorderedUntil = nil, nil, d.r.o.Now().Add(unorderedTime)
	case d.m.State() != StateQueued: // it has come while the request uses an earlier one
		d.ticket.Report(turn.Number, false, 0)
	default:
		d.turn, d.turnPlans, d.turnRefusals = &turn, 0, 0
	}
	return Event{Kind: EventSlotAvailable}
}

// endTurn reports that the request has found no room in its turn, if it has one.
func (d *driver) endTurn() {
	if d.turn == nil {
		return
	}
	d.ticket.Report(d.turn.Number, false, d.turnRefusals)
	d.turn = nil
}

// noteReserved records that a decode engine has reserved a slot, and ends the request's wait.
func (d *driver) noteReserved(ev Event) {
	if ev.Call != d.m.call {
		return
	}
	d.reservedMemory = d.reservedTokens()
	if d.ticket == nil {
		return
	}
	number := uint64(0)
	if d.turn != nil {
		number = d.turn.Number
	}
	d.ticket.Report(number, true, d.turnRefusals)
	d.ticket, d.turn = nil, nil
}

// reportReleased tells the pool's coordinator that the attempt's decode slot is free.
func (d *driver) reportReleased() {
	if d.reservedMemory > 0 {
		d.r.o.Admission.Released(d.slotPool, d.decodeTarget.Name, d.reservedMemory)
		d.reservedMemory = 0
	}
}
