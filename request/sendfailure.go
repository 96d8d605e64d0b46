package request

import (
	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream"
)

// failedSend is a call to an upstream that failed.
type failedSend struct {
	request  string
	class    bundle.Class
	attempt  int
	step     Step
	upstream string
	err      error
}

// recordFailedSend logs and counts what shows whether the upstream ran the call. It ignores calls that do not carry
// the request, unless they got the response to another call or a malformed one.
func (r *Runner) recordFailedSend(f failedSend) {
	var foreign *upstream.ForeignResponseError
	proof := upstream.ProofOf(f.err)
	if !f.step.carriesRequest() && proof != upstream.ProofMalformed && !errors.As(f.err, &foreign) {
		return
	}
	delivery := upstream.DeliveryOf(f.err).String()
	r.o.Metrics.SendFailed(delivery, proof.String())
	r.o.Logger.WithFields(log.Fields{
		"request": f.request, "class": f.class, "attempt": f.attempt, "step": f.step.String(), "upstream": f.upstream,
		"delivery": delivery, "proof": proof.String(),
	}).WithError(f.err).Info("send failed")
}
