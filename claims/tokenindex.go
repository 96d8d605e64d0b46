package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/request"
)

// tokenIndex remembers the bound tokens used at this incarnation until they
// expire. It is not safe for concurrent use.
type tokenIndex struct {
	entries   map[Key]*tokenEntry
	order     queue[*tokenEntry] // by first use
	answers   answerStore
	maxTokens int
}

type tokenEntry struct {
	key    Key
	body   Body
	expiry time.Time
	phase  phase
	status Status
	answer slot
}

func newTokenIndex(maxTokens, answerBytes int) *tokenIndex {
	return &tokenIndex{entries: make(map[Key]*tokenEntry), maxTokens: maxTokens, answers: answerStore{limit: answerBytes}}
}

func (x *tokenIndex) claim(now time.Time, key Key, body Body, expiry time.Time) Decision {
	x.prune(now)
	e := x.entries[key]
	switch {
	case e == nil && len(x.entries) >= x.maxTokens:
		return refuse(errkind.Overloaded, "too many bound tokens are in use", retryLog)
	case e == nil:
		e = &tokenEntry{key: key, body: body, expiry: expiry}
		x.entries[key] = e
		x.order.push(e)
	case e.body != body:
		return reused()
	case e.phase == granted:
		return inProgress()
	case e.status == Ran:
		return answered(e.answer.answer)
	case e.status == Unknown:
		return unknown()
	}
	e.phase = granted
	return Decision{Run: true}
}

func (x *tokenIndex) finish(key Key, out request.Outcome) {
	e := x.entries[key]
	if e == nil || e.phase != granted {
		return
	}
	e.phase, e.status = done, statusOf(out.Run)
	if e.status == Ran && out.Answer != nil {
		x.answers.keep(&e.answer, slot{answer: out.Answer}, len(out.Answer.Body))
	}
}

// tokenMargin is how far a wall clock may be set back without making a token
// valid again that was used and forgotten.
const tokenMargin = time.Minute

// prune forgets tokens that expired a margin ago. All live equally long from their minting, so
// one that is used late may keep those behind it a little longer.
func (x *tokenIndex) prune(now time.Time) {
	for {
		e, ok := x.order.peek()
		if !ok || now.Before(e.expiry.Add(tokenMargin)) {
			return
		}
		x.order.pop()
		x.answers.forget(&e.answer)
		delete(x.entries, e.key)
	}
}
