package request

import (
	"context"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
)

// ClaimKey names one non-idempotent request of one team.
type ClaimKey struct {
	Team      string
	Key       string
	RequestID string
	// Body is the digest of the method, path and body, so that a key reused for
	// another request is told apart from a repeat.
	Body [32]byte
}

// Outcome says how a granted request ended.
type Outcome struct {
	Run errkind.Run
	// Answer is kept, within limits, for a repeat of the same key.
	Answer *CallAnswer
}

// Grant is the right to run a request once, or the answer of its earlier run.
type Grant interface {
	// Run says whether this request may run now. When false, Answer holds the
	// earlier run's answer.
	Run() bool
	// Answer returns the kept answer of the earlier run.
	Answer() *CallAnswer
	// Owner names the only daemon that may run this request, when that is not
	// this one: Run is then false, Answer is nil, and the request is forwarded.
	Owner() (wire.NodeID, bool)
	// Deadline is the wall time after which the request must not be dispatched:
	// past it the key may be forgotten and granted to somebody else. Compare it
	// with time.Now right before the first byte goes upstream, because this
	// process may have been frozen since the grant. Past it the caller is told
	// errkind.Unknown, since another attempt may have run by now; Finish still
	// gets errkind.NotRun. Zero when Run is false.
	Deadline() time.Time
	// Finish records the outcome. Call it exactly once when Run is true.
	// errkind.NotRun promises that nothing was sent upstream and never will be.
	Finish(out Outcome)
}

// Gate lets each key run at most once, across all daemons. Package claims
// implements it.
type Gate interface {
	// Claim returns a grant, or the error that the caller gets. It never grants
	// the same key twice.
	Claim(ctx context.Context, k ClaimKey) (Grant, *errkind.Error)
}
