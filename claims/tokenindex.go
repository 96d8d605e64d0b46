package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/request"
)

// tokenIndex remembers the used bound tokens of this incarnation until they expire.
// It is not safe for concurrent use.
type tokenIndex struct {
	entries   map[Key]*tokenEntry
	order     queue[*tokenEntry] // in order of first use
	answers   answerCache
	maxTokens int
}

// tokenEntry is the state of a bound token that was used.
type tokenEntry struct {
	key    Key
	body   BodyDigest
	expiry time.Time
	phase  phase
	status Status
	answer answerSlot
}

func newTokenIndex(maxTokens, answerBytes int) *tokenIndex {
	return &tokenIndex{entries: make(map[Key]*tokenEntry), maxTokens: maxTokens, answers: answerCache{limit: answerBytes}}
}

// claim decides a request with the token that key identifies.
func (x *tokenIndex) claim(now time.Time, key Key, body BodyDigest, expiry time.Time) Decision {
	x.prune(now)
	e := x.entries[key]
	switch {
	case e == nil && len(x.entries) >= x.maxTokens:
		return refuse(errkind.Overloaded, "too many bound tokens are in use", retryAfterLong)
	case e == nil:
		e = &tokenEntry{key: key, body: body, expiry: expiry}
		x.entries[key] = e
		x.order.push(e)
	case e.body != body:
		return keyReused()
	case e.phase == phaseGranted:
		return keyInProgress()
	case e.status == Ran:
		return replayAnswer(e.answer.answer)
	case e.status == Unknown:
		return outcomeUnknown()
	}
	e.phase = phaseGranted
	return Decision{Run: true}
}

// finish records the outcome of the request that a token was granted to.
func (x *tokenIndex) finish(key Key, out request.Outcome) {
	e := x.entries[key]
	if e == nil || e.phase != phaseGranted {
		return
	}
	e.phase, e.status = phaseDone, statusFromRun(out.Run)
	if e.status == Ran && out.Answer != nil {
		x.answers.put(&e.answer, answerSlot{answer: out.Answer}, len(out.Answer.Body))
	}
}

// tokenMargin is how long a used token is remembered after its expiry. Without it,
// setting the wall clock back by up to this much would make a used token valid again
// after its entry was removed.
const tokenMargin = time.Minute

// prune removes tokens that expired more than tokenMargin ago. It goes by order of
// first use and stops at the first token to keep, so a token first used late in its
// life delays the removal of those first used after it.
func (x *tokenIndex) prune(now time.Time) {
	for {
		e, ok := x.order.peek()
		if !ok || now.Before(e.expiry.Add(tokenMargin)) {
			return
		}
		x.order.pop()
		x.answers.remove(&e.answer)
		delete(x.entries, e.key)
	}
}
