package infra

import (
	"fmt"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"
)

// ErrTrimmed is returned by LogClient.Read if the requested offset is older than the
// oldest record that the log keeps. The First and Next fields of the reply are set.
var ErrTrimmed = errors.New("platform: the log no longer keeps this offset")

// Effect is what is known about the effect of a failed call on the service.
type Effect int

// The values of Effect. EffectUnknown is the zero value, so that an Error without a
// set Effect is not treated as a call without effect.
const (
	// EffectUnknown: the call may have taken effect. The caller has to read the
	// service's state to find out.
	EffectUnknown Effect = iota
	// EffectNone: the call had no effect and can be repeated.
	EffectNone
)

// String implements fmt.Stringer.
func (e Effect) String() string {
	if e == EffectNone {
		return "no effect"
	}
	return "effect unknown"
}

// Error is the type of all errors of the clients except ErrTrimmed.
type Error struct {
	// Op is the called operation: "append", "read", "list" or "weights".
	Op string
	// Effect is whether the call may have taken effect.
	Effect Effect
	// Status is the HTTP status of the response, or 0 if there was none.
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

// NotApplied reports whether err is an *Error of a call that had no effect. It is
// false for all other errors and for nil.
func NotApplied(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Effect == EffectNone
}

// transportEffect returns the effect of a call that failed without a response. Only a
// failure to connect proves that no byte of the request was sent.
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

// statusEffect returns the effect of a call that received an error status. The log
// service guarantees that a call with a 4xx or 503 response had no effect. A service
// may send any other 5xx status after a write.
func statusEffect(status int) Effect {
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if clientError || status == http.StatusServiceUnavailable {
		return EffectNone
	}
	return EffectUnknown
}
