package request

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/bundle"
)

// RetryBudget bounds retries over all requests of a daemon. Package retry implements it.
// Implementations are safe for concurrent use.
type RetryBudget interface {
	// OnFirstAttempt notes a first attempt, which earns part of a retry.
	OnFirstAttempt(now time.Time)
	// Allow takes n retries, or says that not so many are left.
	Allow(now time.Time, n int) bool
	// Held returns how many retries are left.
	Held(now time.Time) float64
}

// permission is one question to a retry budget, for its log line.
type permission struct {
	request string
	class   bundle.Class
	attempt int
	// target is the model or plain service whose budget is asked.
	target string
	// needs is how many retries are asked for.
	needs int
}

// permit asks the retry budget, and tells what it held and what it answered.
//
// What goes wrong without the line: upstreams get more retries than are allowed, or
// requests end beside upstreams with room, and nobody can tell which budget said what.
func (r *Runner) permit(p permission) bool {
	budget, now := r.o.RetryBudget(p.target), r.o.Now()
	held := budget.Held(now)
	allowed := budget.Allow(now, p.needs)
	r.o.Metrics.Permitted(allowed)
	r.o.Logger.WithFields(log.Fields{
		"request": p.request, "class": p.class, "attempt": p.attempt, "target": p.target,
		"needs": p.needs, "held": held, "allowed": allowed,
	}).Info("retry")
	return allowed
}
