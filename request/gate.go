package request

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// ClaimKey identifies one non-idempotent request of one team.
type ClaimKey struct {
	Team      string
	Key       string
	RequestID string
	// Body is the digest of everything in the request that shapes its answer, so that the
	// reuse of a key for another request can be distinguished from a repeat.
	Body [32]byte
}

// Outcome is the result of a granted request.
type Outcome struct {
	Run errkind.RunState
	// Answer is stored, within size limits, for a later request with the same key.
	Answer *CallAnswer
}

// Grant is the result of a claim: the right to run the request once, or the answer of its
// earlier run.
type Grant interface {
	// Run reports whether this request may run now. If not, Answer returns the answer of the
	// earlier run.
	Run() bool
	// Answer returns the stored answer of the earlier run.
	Answer() *CallAnswer
	// Owner returns the daemon that alone may run this request, if that is another one. Run
	// then returns false, Answer returns nil, and the request must be forwarded.
	Owner() (wire.NodeID, bool)
	// Deadline is the wall-clock time from which on the request must not be dispatched,
	// because the key may then be forgotten and granted again. Compare it with time.Now right
	// before the first byte is sent upstream, since the process may have been frozen after the
	// grant. For a request that was not dispatched before the deadline, the caller gets
	// errkind.Unknown, because the request may have run under a later grant, whereas Finish gets
	// errkind.NotRun. Deadline is zero when Run returns false.
	Deadline() time.Time
	// Finish records the outcome. Call it exactly once if Run returns true. An outcome of
	// errkind.NotRun states that nothing was sent upstream and nothing will be.
	Finish(out Outcome)
}

// Gate ensures that the request of each idempotency key runs at most once across all daemons. A
// claimed key is stored for a limited time and then forgotten.
// Package claims implements it.
type Gate interface {
	// Claim returns a grant, or the error for the caller. Until a key is forgotten, at most
	// one of its grants allows the request to run.
	Claim(ctx context.Context, k ClaimKey) (Grant, *errkind.Error)
}
