package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/request"
)

// phase is how far one of this daemon's own claims has come.
type phase uint8

const (
	// waiting: not decided yet; its caller waits.
	waiting phase = iota
	// granted: this daemon runs the request.
	granted
	// done: the request has ended; status tells how.
	done
)

// own is one of this daemon's claims, or the last one for its key.
type own struct {
	claim   Claim
	phase   phase
	status  Status // when done
	sent    bool   // an append may have put it on the log
	started time.Time
	answer  slot
}

// ledger keeps this daemon's own claims: those that wait, those that run, and
// the ended ones until their keys are forgotten. Its answers are bounded by
// bytes; the oldest go first.
type ledger struct {
	bySeq   map[uint64]*own
	byKey   map[Key]*own
	order   queue[*own]
	answers answerStore
}

func newLedger(answerBytes int) *ledger {
	return &ledger{bySeq: make(map[uint64]*own), byKey: make(map[Key]*own), answers: answerStore{limit: answerBytes}}
}

func (l *ledger) add(o *own) {
	l.bySeq[o.claim.ID.Seq] = o
	l.byKey[o.claim.Key] = o
	l.order.push(o)
}

func (l *ledger) remove(o *own) {
	delete(l.bySeq, o.claim.ID.Seq)
	if l.byKey[o.claim.Key] == o {
		delete(l.byKey, o.claim.Key)
	}
	l.answers.forget(&o.answer)
}

func (l *ledger) keep(o *own, a *request.CallAnswer) {
	if a != nil {
		l.answers.keep(&o.answer, slot{answer: a}, len(a.Body))
	}
}

// prune forgets claims made before a time. A running one stays.
func (l *ledger) prune(before time.Time) {
	for {
		o, ok := l.order.peek()
		if !ok || !o.started.Before(before) {
			return
		}
		l.order.pop()
		if l.bySeq[o.claim.ID.Seq] != o {
			continue
		}
		if o.phase == done {
			l.remove(o)
			continue
		}
		l.order.push(o)
		return
	}
}
