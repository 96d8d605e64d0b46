package router

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
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

// Symptom: a caller repeats a large order with its bound token for ever.
// Sequence: the balancer takes it to another daemon; it fits no frame.
// Cause: what can never be sent was answered like an owner out of reach.
func TestForwardTooLargeIsFinal(t *testing.T) {
	s := newShop(t)
	r, stop, done := s.daemon("one", bound)
	_, err := r.forward(t.Context(), r.Self(), wire.Forward{Body: make([]byte, wire.MaxFrame)})
	if err == nil || err.Kind != errkind.BodyTooLarge || errkind.Answer(err).Run != errkind.Unknown {
		t.Errorf("got %v", err)
	}
	stop()
	if err := waittest.Receive(t, "the daemon ends", done); err != nil {
		t.Fatal(err)
	}
}

// Symptom: an order ends as "outcome unknown" for good though it never ran.
// Sequence: the balancer has not noticed yet that a daemon drains; the caller
// gets a bound token there and uses it when the daemon is gone.
// Cause: a token lives no longer than the daemon that minted it.
func TestDrainingDaemonMintsNoTokens(t *testing.T) {
	s := newShop(t)
	r, stop, done := s.daemon("one", bound)
	if _, err := r.mintToken("red"); err != nil {
		t.Fatal(err)
	}
	stop()
	if err := waittest.Receive(t, "the daemon ends", done); err != nil {
		t.Fatal(err)
	}
	if _, err := r.mintToken("red"); err == nil || err.Kind != errkind.Draining {
		t.Errorf("got %v", err)
	}
}
