package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/request"
)

// phase is the progress of one of this daemon's own claims.
type phase uint8

// The phases of a claim.
const (
	// phaseWaiting: the claim is not decided yet and its caller waits.
	phaseWaiting phase = iota
	// phaseGranted: this daemon may run the request or is running it.
	phaseGranted
	// phaseDone: the claim has ended with a final status.
	phaseDone
)

// ownClaim is a claim made by this daemon.
type ownClaim struct {
	claim       Claim
	phase       phase
	status      Status    // final status; valid in phaseDone
	maybeLogged bool      // an append was started that may have put the claim on the log
	started     time.Time // when the request arrived
	answer      answerSlot
}

// claimTable holds this daemon's own claims: waiting and granted ones, and finished
// ones until their keys expire. The total size of their cached answers is limited;
// the oldest answers are evicted first.
type claimTable struct {
	bySeq   map[uint64]*ownClaim
	byKey   map[Key]*ownClaim // the last claim for each key
	order   queue[*ownClaim]  // in order of arrival, except that prune moves claims in progress to the end
	answers answerCache
}

func newClaimTable(answerBytes int) *claimTable {
	return &claimTable{bySeq: make(map[uint64]*ownClaim), byKey: make(map[Key]*ownClaim), answers: answerCache{limit: answerBytes}}
}

// add adds a claim. It becomes the last one for its key.
func (t *claimTable) add(o *ownClaim) {
	t.bySeq[o.claim.ID.Seq] = o
	t.byKey[o.claim.Key] = o
	t.order.push(o)
}

// remove removes a claim and its cached answer.
func (t *claimTable) remove(o *ownClaim) {
	delete(t.bySeq, o.claim.ID.Seq)
	if t.byKey[o.claim.Key] == o {
		delete(t.byKey, o.claim.Key)
	}
	t.answers.remove(&o.answer)
}

// cacheAnswer caches the answer to the request of a claim, if there is one.
func (t *claimTable) cacheAnswer(o *ownClaim, a *request.CallAnswer) {
	if a != nil {
		t.answers.put(&o.answer, answerSlot{answer: a}, len(a.Body))
	}
}

// prune removes finished claims that started before the given time. It stops at the
// first claim in progress.
func (t *claimTable) prune(before time.Time) {
	for {
		o, ok := t.order.peek()
		if !ok || !o.started.Before(before) {
			return
		}
		t.order.pop()
		if t.bySeq[o.claim.ID.Seq] != o {
			continue
		}
		if o.phase == phaseDone {
			t.remove(o)
			continue
		}
		t.order.push(o)
		return
	}
}
