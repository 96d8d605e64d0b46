package infra

import (
	"fmt"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"
)

// ErrTrimmed is returned by LogClient.Read when the wanted offset is older than the oldest
// record that the log keeps; the reply's First and Next are set.
var ErrTrimmed = errors.New("platform: the log no longer keeps this offset")

// Effect says whether a failed call changed anything on the platform.
type Effect int

// The effects. EffectUnknown is the zero value, so that an error nobody
// classified is never taken for "nothing happened".
const (
	// EffectUnknown: the call may have taken effect; read to find out.
	EffectUnknown Effect = iota
	// EffectNone: the call definitely did nothing; it may be made again.
	EffectNone
)

// String implements fmt.Stringer.
func (e Effect) String() string {
	if e == EffectNone {
		return "no effect"
	}
	return "effect unknown"
}

// Error is the error type of all clients, but for ErrTrimmed.
type Error struct {
	// Op names the call: "append", "read", "list", "weights".
	Op string
	// Effect says whether the call may have changed anything.
	Effect Effect
	// Status is the HTTP status of the answer; 0 when there was none.
	Status int

	cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("platform %s: status %d (%s): %v", e.Op, e.Status, e.Effect, e.cause)
	}
	return fmt.Sprintf("platform %s (%s): %v", e.Op, e.Effect, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// NotApplied reports whether err says that the call definitely had no effect.
// It is false for every error of another kind.
func NotApplied(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Effect == EffectNone
}

// transportEffect classifies an error that came instead of an answer. Only a
// connection that was never made proves that no byte of the request left.
func transportEffect(err error) Effect {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return EffectNone
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return EffectNone
	}
	return EffectUnknown
}

// statusEffect classifies an answer that is not a success. The log's contract
// is that a 4xx or a 503 answer is a refusal; any other 5xx may come from a
// service that failed after the write.
func statusEffect(status int) Effect {
	refused := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if refused || status == http.StatusServiceUnavailable {
		return EffectNone
	}
	return EffectUnknown
}
