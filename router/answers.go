package router

import (
	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/platform"
)

// beginAnswers returns the lease of a request on the memory for upstreams' answers; ok is false if that is used up.
func (a *Attached) beginAnswers(request string) (l *answers.Lease, ok bool) {
	if l, ok = a.answers.Begin(); !ok {
		a.metrics.AnswerLimited(telemetry.AnswersRefused)
		a.logger.WithFields(log.Fields{"request": request, "held": a.answers.Held()}).Warn("request refused: no memory for answers")
	}
	return l, ok
}

// answerLimited records that an answer of an upstream exceeds a bound. It is a platform.OnAnswerLimit.
func (a *Attached) answerLimited(upstream, limit string, err error) {
	a.metrics.AnswerLimited(limit)
	a.logger.WithFields(log.Fields{"upstream": upstream, "limit": limit}).WithError(err).Warn("answer of an upstream over a bound")
}

// answerLimited records that an answer of an upstream exceeds a bound. It is an upstream.OnAnswerLimit.
func (r *Router) answerLimited(upstream string, err error) {
	limit := platform.LimitSize
	if answers.IsMemory(err) {
		limit = platform.LimitMemory
	}
	r.metrics.AnswerLimited(limit)
	r.logger.WithFields(log.Fields{"upstream": upstream, "limit": limit}).WithError(err).Warn("answer of an upstream over a bound")
}
