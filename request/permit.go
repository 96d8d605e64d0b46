package request

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/bundle"
)

// RetryBudget bounds the retries over all requests of a daemon. Package retry implements it.
// Implementations are safe for concurrent use.
type RetryBudget interface {
	// OnFirstAttempt records a first attempt, which adds a fraction of a permit to the budget.
	OnFirstAttempt(now time.Time)
	// Allow takes n permits; it returns false if fewer are left.
	Allow(now time.Time, n int) bool
	// Remaining returns how many permits are left.
	Remaining(now time.Time) float64
}

// permitRequest is one request to a retry budget, with the fields for its log line.
type permitRequest struct {
	request string
	class   bundle.Class
	attempt int
	// target is the model or plain service whose budget is used.
	target string
	// needs is the number of permits requested, and keep the number that must be left.
	needs, keep int
}

// requestPermits takes permits from the retry budget. It logs how many permits were left and
// whether the request was granted; otherwise it could not be determined which budget allowed
// too many retries, or denied one although upstreams had room.
func (r *Runner) requestPermits(p permitRequest) bool {
	budget, now := r.o.RetryBudget(p.target), r.o.Now()
	remaining := budget.Remaining(now)
	allowed := (p.keep == 0 || remaining >= float64(p.needs+p.keep)) && budget.Allow(now, p.needs)
	r.o.Metrics.Permitted(allowed)
	r.o.Logger.WithFields(log.Fields{
		"request": p.request, "class": p.class, "attempt": p.attempt, "target": p.target,
		"needs": p.needs, "keep": p.keep, "held": remaining, "allowed": allowed,
	}).Info("retry")
	return allowed
}
