package upstream

import (
	"fmt"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Delivery says whether a call to an upstream was delivered. The zero value is
// Maybe, so that a Delivery that was never set makes no promise.
type Delivery uint8

// The values of Delivery.
const (
	// Maybe means that the upstream may have executed the call.
	Maybe Delivery = iota
	// NotSent means that no byte of the call left this process.
	NotSent
	// Refused means that the upstream responded that it did not execute the call.
	Refused
	// Done means that the upstream executed the call and responded.
	Done
)

// String returns the name that is used in logs.
func (d Delivery) String() string {
	switch d {
	case NotSent:
		return "not-sent"
	case Refused:
		return "refused"
	case Done:
		return "done"
	default:
		return "maybe"
	}
}

// CallError is the only error type that this package's clients return.
type CallError struct {
	// Delivery is never Done.
	Delivery Delivery
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Refusal is set when Delivery is Refused.
	Refusal *engineapi.Refusal
	// Withheld is set if this process did not send the call because of what the upstream had
	// stated of its availability. Delivery is then NotSent, and the upstream has not failed.
	Withheld bool

	// Response is the upstream's complete error response, to be passed on to the caller
	// unchanged; nil if there is none.
	Response *ServiceResponse

	cause error
}

// NewCallError returns a CallError. It is for packages that have clients of their
// own for other interfaces.
func NewCallError(d Delivery, status int, cause error) *CallError {
	return &CallError{Delivery: d, Status: status, cause: cause}
}

// Error implements error.
func (e *CallError) Error() string {
	switch {
	case e.Refusal != nil:
		return fmt.Sprintf("refused with status %d: %s", e.Status, e.Refusal.Reason)
	case e.Status != 0:
		return fmt.Sprintf("%s, status %d: %v", e.Delivery, e.Status, e.cause)
	default:
		return fmt.Sprintf("%s: %v", e.Delivery, e.cause)
	}
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// DeliveryOf returns Done for a nil error, the delivery of a *CallError, and
// Maybe for anything else.
func DeliveryOf(err error) Delivery {
	if err == nil {
		return Done
	}
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Delivery
	}
	return Maybe
}

// IsWithheld reports whether err is a *CallError with Withheld set.
func IsWithheld(err error) bool {
	var ce *CallError
	return errors.As(err, &ce) && ce.Withheld
}

// HostResponded reports whether a call failed because the upstream's host refused or reset the
// connection. The host is then up and the network path to it works.
func HostResponded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// RefusalOf returns the refusal in err's *CallError, or nil.
func RefusalOf(err error) *engineapi.Refusal {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Refusal
	}
	return nil
}

// ResponseOf returns the upstream's error response in err's *CallError, or nil.
func ResponseOf(err error) *ServiceResponse {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Response
	}
	return nil
}

// HasReply reports whether the upstream replied to a call that ended with err, whatever it said.
func HasReply(err error) bool {
	var ce *CallError
	return err == nil || errors.As(err, &ce) && ce.Status != 0
}

// isRefusalStatus reports whether a response with this status may have a Refusal as its body.
func isRefusalStatus(status int) bool {
	return status == http.StatusConflict ||
		status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable
}
