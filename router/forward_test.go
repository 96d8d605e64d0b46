package router

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/peer"
)

// Guards against reporting an unknown outcome, which is final for the caller, for a forwarded
// request that was certainly not processed: it was not sent, or the owner of the token was
// too busy to take it. The caller can retry those with the same token.
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
		t.Error("an error without a failure")
	}
}

// Guards against an endless retry of a request that must be forwarded and exceeds a frame. It
// can never be sent, so the error must not be the retryable one for an unreachable owner.
func TestForwardTooLargeIsFinal(t *testing.T) {
	s := newServiceFixture(t)
	r, stop, done := s.startReady("one", testTimeout)
	_, err := r.forward(t.Context(), r.Self(), wire.Forward{Body: make([]byte, wire.MaxFrame)})
	if err == nil || err.Kind != errkind.BodyTooLarge || errkind.Answer(err).Run != errkind.Unknown {
		t.Errorf("got %v", err)
	}
	stop()
	if err := waittest.Receive(t, "the daemon ends", done); err != nil {
		t.Fatal(err)
	}
}

// Guards against a request that never ran but ends with an unknown outcome. A token is valid
// only while the daemon that issued it runs: a draining daemon to which the load balancer
// still sends callers must not mint tokens that are used after it has exited.
func TestDrainingDaemonMintsNoTokens(t *testing.T) {
	s := newServiceFixture(t)
	r, stop, done := s.startReady("one", testTimeout)
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
