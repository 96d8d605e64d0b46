package router

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/peer"
)

// Symptom: a caller is told for good that its order's outcome is unknown, though
// its token could be used a moment later.
// Sequence: the owner refuses the forward because it has too many in progress.
// Cause: an answer that says "not taken" counts as none.
func TestForwardErrors(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want errkind.Kind
	}{
		"not sent":       {errors.Wrap(peer.ErrNotSent, "dial"), errkind.ClaimUnavailable},
		"owner busy":     {&peer.RemoteError{Kind: peer.FailureBusy}, errkind.ClaimUnavailable},
		"handler failed": {&peer.RemoteError{Kind: peer.FailureHandler}, errkind.KeyOutcomeUnknown},
		"link lost":      {peer.ErrLinkLost, errkind.KeyOutcomeUnknown},
	} {
		if got := forwardError(c.err); got == nil || got.Kind != c.want || errkind.Answer(got).Run != errkind.Unknown {
			t.Errorf("%s: %v", name, got)
		}
	}
	if forwardError(nil) != nil {
		t.Error("an error out of nothing")
	}
}
