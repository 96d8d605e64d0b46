package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

const (
	// maxAhead bounds how many requests wait for a slot before another. Assumed.
	maxAhead = 64
	// firstRecheck and laterRecheck are how soon the first of the queue and the
	// others ask again: slots that other daemons gave back show in reports alone,
	// and a request whose target is out of reach is refused then. Assumed.
	firstRecheck = 5 * time.Millisecond
	laterRecheck = 50 * time.Millisecond
	// refusedRecheck is how soon a request asks again that engines have refused: a slot
	// of a pool of a dozen frees every few tens of milliseconds at the peak.
	refusedRecheck = 20 * time.Millisecond
	// maxStreak is how many engines a request asks one after the other before it waits,
	// at most all of the pool. Without a bound 2,400 requests before forty engines made
	// 404,000 calls that were refused; with four, a pool of eleven served 3% less.
	maxStreak = 12
)

// takeTurn picks a decode engine, unless others that wait come first.
func (d *decision) takeTurn(p *Pool) (decodeChoice, *errkind.Error) {
	if d.parts.queue && d.q.MayWait && d.q.Ahead > 0 && p.Len() > 0 {
		return decodeChoice{}, d.overloaded(p)
	}
	if d.q.MayWait && d.q.Streak >= min(maxStreak, max(p.Len(), 1)) {
		return decodeChoice{}, d.overloaded(p)
	}
	if limit := d.queueLimit(); limit > 0 && d.q.Streak > 0 && d.waited() >= limit {
		return decodeChoice{}, d.overloaded(p)
	}
	return d.pickDecode(p)
}

// wait returns a plan to wait when the request, for which there is no slot, is
// still expected to meet its targets after a wait for one. Without the wait a
// peak is refused in moments when all slots are taken, of which the next is free
// in a few milliseconds; with a longer one requests would take slots that are
// worth nothing to their callers any more.
func (d *decision) wait(decodePool, prefillPool *Pool) (Plan, bool) {
	if !d.parts.queue || !d.q.MayWait || d.q.Ahead >= maxAhead {
		return Plan{}, false
	}
	limit := d.queueLimit()
	if limit > 0 && d.waited() >= limit {
		return Plan{}, false
	}
	if decodePool.Len() == 0 {
		return Plan{}, false
	}
	ready, ok := d.soonestRead(decodePool, prefillPool)
	if !ok {
		return Plan{}, false
	}
	step := decodePool.step()
	first := d.turnWait(decodePool) + ready + step
	mayBeLate := d.q.Returned && limit > 0
	if !mayBeLate && d.late(first, step) || d.admitDeadline(first, step) != nil {
		return Plan{}, false
	}
	wait := d.recheck(first)
	if limit > 0 {
		wait = min(wait, max(limit-d.waited(), time.Millisecond))
	}
	return Plan{Wait: wait, FirstToken: first, BetweenTokens: step, Candidates: d.looked, Reason: reasonQueue}, true
}

// soonestRead predicts how long after it has its slot a request's prompt is read.
func (d *decision) soonestRead(decodePool, prefillPool *Pool) (time.Duration, bool) {
	any, decodeReads := decodePool.whole.all[0], d.s.Bundle.Models[d.q.Model].DecodeReads
	prefill, err := d.pickPrefill(prefillPool, any, 0, decodeReads)
	if err == nil {
		return prefill.ready, true
	}
	return callOverhead + d.readTime(any), decodeReads
}

// queueLimit returns how long a request may wait for a slot at most; 0 is no bound
// but the targets. A caller who is refused early has the time to come back.
//
// A caller who comes back after a refusal has paid with its time already, and most
// ask twice only. So it may wait for longer, also past its target: a late answer is
// worth something to it, a second refusal nothing.
func (d *decision) queueLimit() time.Duration {
	share := d.s.Bundle.Policy.QueueShare
	if share > 0 && d.q.Returned {
		return returnedWait
	}
	return time.Duration(share * float64(d.target.FirstToken()))
}

// returnedWait is how long, from its first attempt on, a caller who came back may
// wait for a slot. Callers leave a stream that has not begun after about four times
// their target, 3.6 s for the users' drafts.
const returnedWait = 3 * time.Second

// recheck returns how soon a request with the predicted first token asks again: no
// later than its target gets out of reach, so that it is refused right then.
func (d *decision) recheck(first time.Duration) time.Duration {
	wait := firstRecheck
	switch {
	case d.q.Ahead > 0 || d.q.Returned && d.q.Streak > 0:
		wait = laterRecheck
	case d.q.Streak > 0:
		wait = refusedRecheck
	}
	if target := d.target.FirstToken(); target > 0 && !d.q.Returned {
		wait = min(wait, d.strict(target)-d.waited()-first)
	}
	return max(wait, time.Millisecond)
}

// strict returns how much of a target a request that waits may use. The margin of
// admission may not stretch it: what has passed of it is no prediction.
func (d *decision) strict(target time.Duration) time.Duration {
	return time.Duration(min(d.margin(), 1) * float64(target))
}

// late says whether a request that waits would miss a target.
func (d *decision) late(first, step time.Duration) bool {
	over := func(predicted, target time.Duration) bool {
		return target > 0 && predicted > d.strict(target)
	}
	return over(d.waited()+first, d.target.FirstToken()) || over(step, d.target.BetweenTokens())
}

// turnWait estimates how long it is until this request's turn: a daemon gets
// about as many slots as it gives back, which is each of those it holds once in
// the time of an answer.
func (d *decision) turnWait(p *Pool) time.Duration {
	_, held, _ := d.in.Team(d.q.Team)
	return d.answerTime(p.step()) * time.Duration(1+d.q.Ahead) / time.Duration(max(held, 1))
}

// waited returns how long ago the request was accepted.
func (d *decision) waited() time.Duration {
	if d.q.Accepted.IsZero() {
		return 0
	}
	return max(0, d.q.Now.Sub(d.q.Accepted))
}
